//! Seeds that found a fault, kept with the cause of the fault.
//!
//! A seed gives the same plan as long as [`crate::plan`] draws the same random numbers. If the
//! draws have changed since, the cause names the test that reproduces the fault without a seed.

use std::time::Duration;

use crate::PlanSize;

/// A seed that found a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// Size of the run.
    pub size: PlanSize,
    /// Cause of the fault.
    pub cause: &'static str,
}

/// All kept seeds, in the order of their discovery.
pub const REGRESSIONS: &[Regression] = &[Regression {
    seed: 40,
    size: PlanSize {
        length: Duration::from_secs(45),
        vms: 6,
        has_restores: false,
        has_restarts: false,
        has_lapses: false,
    },
    cause: "a VM that started while entries were expired reset flows of targets unknown to it; \
            test steer::vm_that_starts_while_entries_come_back_resets_and_refuses_nothing",
}];

/// Default size of a run.
pub const DEFAULT_SIZE: PlanSize = PlanSize {
    length: Duration::from_secs(60),
    vms: 6,
    has_restores: false,
    has_restarts: false,
    has_lapses: false,
};
