//! Soak test: runs real entry programs under random faults and checks the invariants of the load
//! balancer.
//!
//! [`Plan`] generates the times of all events from a seed; the same seed always gives the same
//! plan. [`run`] starts a simulated site and applies the plan from outside the programs. Only what
//! callers and targets observe is checked: no invariant relies on what a program reports about
//! itself. [`Outcome`] holds the violations, with the log lines of all programs around each of
//! them, and [`chart`] draws a run as an SVG image.

pub mod chart;
mod check;
pub mod outcome;
pub mod plan;
pub mod regressions;
mod run;

pub use outcome::{Outcome, Sample, Violation};
pub use plan::{Event, Plan, PlanSize};
pub use run::{Programs, run};
