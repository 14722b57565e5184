#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start beside the entry processes: the
# project's stand-in platform, and the driver of the cases. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --bin redwingctl
cargo build --release --locked --offline \
    --manifest-path review/probe-3/Cargo.toml --target-dir target/review-3
