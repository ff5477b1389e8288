//! A simulated site of the users' platform, built from the platform's published protocol.
//!
//! [`Store`] holds what operators and targets write. Each VM reads the store through its own
//! [`StoreServer`], which may have a [`Fault`]. [`Router`] distributes packets over the VMs by a
//! hash and by readiness. [`CallerHost`] and [`FlowTarget`] are the two ends of flows. [`Counters`]
//! records what both ends observe; no invariant relies on what the load balancer reports about
//! itself. [`Site`] combines these parts.

mod caller;
mod cluster;
mod counters;
mod endpoint;
mod history;
mod packet;
mod router;
mod settings;
mod store;
mod store_server;
mod target;
mod traffic;
mod vm;

pub use caller::{CallerFlow, CallerHost, FlowError};
pub use cluster::{Site, SitePlan, zone_name};
pub use counters::Counters;
pub use history::{Compacted, Event, History, Item};
pub use packet::{Flags, Packet};
pub use router::Router;
pub use settings::render;
pub use store::Store;
pub use store_server::{Fault, StoreServer};
pub use target::{FlowTarget, TargetPlan};
pub use traffic::Traffic;
pub use vm::Vm;
