//! Stand-ins for platform, fabric, targets and callers.
//!
//! For tests, measurements and the demonstration only; the product never links this crate.

pub mod deployment;

pub use deployment::{Deployment, DeploymentKind, Plan};
