#!/usr/bin/env bash
# Builds the stand-in platform and the helper that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --bin redwingctl
cargo build --release --locked --offline --manifest-path review/tool/Cargo.toml --target-dir target/review
