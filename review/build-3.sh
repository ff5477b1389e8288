#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Run it at the root of the project,
# after the build of the deploy file.
set -eu
CARGO_TARGET_DIR="$PWD/target" cargo build --release --locked --offline \
    --manifest-path review/standin-3/Cargo.toml
