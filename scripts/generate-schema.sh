#!/usr/bin/env bash
# Regenerates the committed code of the capnp schemas; needs `capnp` and `capnpc-rust` 0.27.
set -euo pipefail
cd "$(dirname "$0")/../crates/peer"
capnp compile -orust:src/generated --src-prefix=schema schema/*.capnp
