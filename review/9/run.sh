#!/usr/bin/env bash
# Runs the case same-id: exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
rig=target/rig/release/review-rig
if [[ ! -x $rig || ! -x target/release/redwinglb ]]; then
    echo "build the program of the deploy file, and run review/build-2.sh" | tee review/9/record.txt
    exit 2
fi
exec "$rig" same-id review/9/record.txt
