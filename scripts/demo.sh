#!/usr/bin/env bash
# Builds all programs, runs them as processes on loopback, drives them and prints a summary.
# Options go to `bambooseam-measure demo`, as in: scripts/demo.sh --deployment swanbourne --seed 2
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --locked --workspace --bins
exec "${CARGO_TARGET_DIR:-target}/release/bambooseam-measure" demo "$@"
