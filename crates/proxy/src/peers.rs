//! Slots and claims between proxies, over capnp-rpc.
//!
//! capnp-rpc keeps its state on one thread. [`Peers`] is the side that asks and may be used from
//! any task; [`serve_desk`] answers other proxies. A slot or claim is a capability: when the
//! holder or its connection is gone, the slot is free and the claim counts as run.

mod ask;
mod serve;

pub use ask::{PeerClaim, PeerLease, Peers};
pub use serve::{Desk, serve_desk};
