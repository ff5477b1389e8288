//! Messages between agents: summaries that are compared, and updates that bring differences.
//!
//! [`Summary`] and [`Update`] are the typed forms of what `agent.capnp` describes; [`serve_peers`]
//! and [`PeerLink`] carry them.

mod codec;
mod message;
mod patch;
mod rpc;

pub use message::{
    Beat, ConfigUpdate, DocumentVersion, ListUpdate, Rumour, Summary, Update, mark_of,
};
pub use patch::{Patch, PatchError, Step};
pub use rpc::{PeerLink, PeerService, serve_peers};
