//! A stand-in of the users' platform, by its published protocol.
//!
//! [`Store`] keeps what operators and targets write and shows it through one [`Door`] for each VM,
//! each with its own [`Fault`]. [`Router`] hands packets to VMs by a hash and by readiness.
//! [`CallerHost`] and [`FlowTarget`] are the two ends of flows. [`Tally`] counts what both ends saw;
//! nothing is judged by what the product says of itself. [`Site`] ties them together.

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
pub use cluster::{Site, SitePlan};
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
