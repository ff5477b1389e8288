//! A stand-in of the users' platform, by its published protocol.
//!
//! [`Store`] keeps what operators and targets write and shows it through one [`Door`] for each VM,
//! each with its own [`Fault`]. [`Router`] hands packets to VMs by a hash and by readiness.
//! [`CallerHost`] and [`FlowTarget`] are the two ends of flows. [`Tally`] counts what both ends saw;
//! nothing is judged by what the product says of itself. [`Site`] ties them together.

mod caller;
mod door;
mod end;
mod history;
mod router;
mod settings;
mod stage;
mod store;
mod tally;
mod target;
mod traffic;
mod vm;
mod wire;

pub use caller::{CallerFlow, CallerHost, FlowError};
pub use door::{Door, Fault};
pub use history::{Event, Gone, History, Item};
pub use router::Router;
pub use settings::render;
pub use stage::{Site, SitePlan};
pub use store::Store;
pub use tally::Tally;
pub use target::{FlowTarget, TargetPlan};
pub use traffic::Traffic;
pub use vm::Vm;
pub use wire::{Flags, Packet};
