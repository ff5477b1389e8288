//! Integration tests of the workspace, one file per feature under `tests/`, and their helpers.

pub mod inputs;
pub mod odd_entries;
pub mod programs;
pub mod site;
pub mod stall;
pub mod steering;
