//! A soak: real entry programs under random faults, and the promises that must hold meanwhile.
//!
//! [`Plan`] draws from a seed what happens when; the same seed gives the same plan. [`run`] starts a
//! site of the stand-ins, brings the plan about from outside the programs, and looks at callers and
//! targets only: no promise is judged by what a program says of itself. [`Outcome`] holds what was
//! broken, with the lines of all programs around it, and [`picture`] draws a run for reading.

pub mod chart;
mod check;
pub mod outcome;
pub mod plan;
pub mod regressions;
mod run;

pub use outcome::{Outcome, Sample, Violation};
pub use plan::{Event, Plan, PlanSize};
pub use run::run;
