//! Simulated platform, fabric, targets and callers for tests, measurements and the demonstration.
//!
//! The crate runs on loopback addresses. The load balancer programs never depend on it.

pub mod caller;
pub mod deployment;
mod fabric;
pub mod feed;
pub mod geneve;
pub mod host;
pub mod http;
mod network;
pub mod platform;
pub mod settings;
pub mod site;
pub mod target;

pub use caller::{Callers, Load, Outcome};
pub use deployment::{Deployment, DeploymentKind, Plan};
pub use fabric::Fabric;
pub use feed::Feed;
pub use host::TargetHost;
pub use network::{Network, bind_with_retry};
pub use platform::{Mode, Platform};
pub use target::{Target, TargetMode, TargetSpec};
