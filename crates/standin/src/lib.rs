//! Stand-ins for platform, fabric, targets and callers.
//!
//! For tests, measurements and the demonstration only; the product never links this crate.

pub mod deployment;
mod http;
pub mod platform;

pub use deployment::{Deployment, DeploymentKind, Plan};
pub use platform::{Mode, Platform};
