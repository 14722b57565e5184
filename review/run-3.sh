#!/usr/bin/env bash
# Runs a script case with its driver: run-3.sh CASE RECORD. The driver writes the record, and
# does the same without the disruption if TROUBLE is 0.
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
set -euo pipefail
name=$1
record=$2
cd "$(dirname "$0")/.."
for program in release/redwinglb release/redwingctl review-3/release/probe-3; do
    if [ ! -x "target/$program" ]; then
        echo "target/$program is not built" | tee "$record" >&2
        exit 2
    fi
done
exec target/review-3/release/probe-3 "$name" target/release "$record"
