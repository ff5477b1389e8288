//! Seeds that once found a fault, kept with their cause.

use crate::PlanSize;
use std::time::Duration;

/// A seed that found a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// Size of its run.
    pub size: PlanSize,
    /// What the fault was.
    pub cause: &'static str,
}

/// All kept seeds, in the order they were found.
pub const REGRESSIONS: &[Regression] = &[];

/// The usual size of a run.
pub const USUAL: PlanSize = PlanSize {
    length: Duration::from_secs(60),
    vms: 6,
};
