//! Tests of the workspace, one file per feature under `tests/`.

pub mod inputs;
pub mod programs;
pub mod site;
pub mod steering;
