//! The control program of an entry VM.
//!
//! An agent reads what operators publish, exchanges digests and differences with peer agents, and
//! serves one checked view to the forwarder and the proxy beside it. What it holds only gets newer:
//! [`Store`] compares versions, [`Agent`] runs the tasks that bring documents in.

mod agent;
mod backoff;
mod event;
mod gate;
mod invariant;
mod platform;
mod reader;
mod shared;
mod status;
mod store;
mod version;

pub use agent::{Agent, AgentError};
pub use event::{Event, EventKind, EventLog};
pub use gate::{Gate, GateState};
pub use platform::{HttpPlatform, Platform, PlatformError, Reading, Wait};
pub use shared::Shared;
pub use store::{Offer, Refusal, Store};
pub use version::{Config, ConfigVersion, List, ListKind, ListVersion, Origin};
