//! Messages between agents: summaries of the versions that an agent holds, and updates that contain
//! patches.
//!
//! [`Summary`] and [`Update`] are the typed forms of the messages in `agent.capnp`; [`serve_peers`]
//! and [`PeerClient`] transport them.

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
