#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, without a network. The cases start the program of
# the deploy file beside them.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig/Cargo.toml --target-dir target/rig
