//! Messages between agents: summaries that are compared, and updates that bring differences.
//!
//! [`Summary`] and [`Update`] are the typed forms of what `agent.capnp` describes; [`serve_peers`]
//! and [`PeerLink`] carry them.

mod codec;
mod message;
mod patch;
mod rpc;

pub use message::{
    ConfigUpdate, DocumentVersion, Heartbeat, ListUpdate, Observation, Summary, Update,
    digest_prefix,
};
pub use patch::{Patch, PatchError, Step};
pub use rpc::{PeerClient, PeerService, serve_peers};
