#!/usr/bin/env bash
# Runs the experiments on release binaries over loopback and writes their
# pages under docs/measurements/. Takes a few minutes; CI does not run it.
set -euo pipefail
cd "$(dirname "$0")"
status=0
./measure-path.sh || status=1
./measure-fleet.sh || status=1
exit "$status"
