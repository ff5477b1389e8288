//! Control program of an entry VM.
//!
//! An agent reads the documents that operators publish, exchanges digests and patches with peer
//! agents, and serves one validated view to the forwarder and the proxy of the same VM. The
//! versions that an agent holds only increase: [`Store`] compares versions, [`Members`] tracks the
//! health of the VMs, and [`Agent`] runs the tasks that fetch documents and exchange with peers.

mod agent;
mod budget;
mod event;
mod exchange;
mod gate;
mod gossip;
mod member;
mod neighbour;
mod peering;
mod platform;
mod process;
mod reader;
mod shared;
mod status;
mod store;
mod version;

pub use agent::{Agent, AgentError};
pub use budget::Budget;
pub use event::{Event, EventKind, EventLog};
pub use gate::{Opened, ServingGate};
pub use member::{Health, HealthChange, HeartbeatStatus, Members};
pub use platform::{HttpPlatform, KeyValue, LongPoll, Platform, PlatformError};
pub use process::{ProcessError, run_process};
pub use shared::{Provider, Shared};
pub use store::{OfferResult, Rejection, Store};
pub use version::{Config, ConfigVersion, List, ListKind, ListVersion, Origin};
