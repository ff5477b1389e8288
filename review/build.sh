#!/bin/sh
# Builds the stand-ins of the review's scripts into the project's target directory.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target" cargo build --release --locked --offline \
    --manifest-path review/standin/Cargo.toml
