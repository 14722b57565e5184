#!/usr/bin/env bash
# Runs a script case with its driver: run-3.sh CASE FOLDER. The driver writes record.txt
# into the folder. With TROUBLE=0 it does the same without the disruption.
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
set -euo pipefail
name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
for program in release/redwinglb release/redwingctl review-3/release/probe-3; do
    if [ ! -x "target/$program" ]; then
        echo "run-3.sh: target/$program is not built" >&2
        exit 2
    fi
done
exec target/review-3/release/probe-3 "$name" target/release "$folder/record.txt"
