//! Seeds that once found a fault, kept with their cause.
//!
//! A seed gives the same plan as long as [`crate::plan`] draws alike. Where that has changed since,
//! the cause names the test that replays the fault without a seed.

use std::time::Duration;

use crate::PlanSize;

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
pub const REGRESSIONS: &[Regression] = &[Regression {
    seed: 40,
    size: PlanSize {
        length: Duration::from_secs(45),
        vms: 6,
    },
    cause: "a VM that started while entries had lapsed reset flows whose target it did not know; \
            test steer::vm_that_starts_while_entries_come_back_resets_and_refuses_nothing",
}];

/// The usual size of a run.
pub const DEFAULT_SIZE: PlanSize = PlanSize {
    length: Duration::from_secs(60),
    vms: 6,
};
