#!/bin/bash
# Builds the stand-ins of the second review's cases; needs no network.
set -e
cd "$(dirname "$0")/standin-2"
CARGO_TARGET_DIR=../../target cargo build --release --locked --offline
