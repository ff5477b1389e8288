//! Tests of the workspace, one file per feature under `tests/`.
