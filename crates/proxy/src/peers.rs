//! Slots and claims between proxies, over capnp-rpc.
//!
//! capnp-rpc keeps its state on one thread. [`Peers`] is the side that asks and may be used from
//! any task; [`serve_peers`] answers other proxies. A slot or claim is a capability: when the
//! holder or its connection is gone, the slot is free and the claim counts as run.

mod client;
mod server;

pub use client::{PeerClaim, PeerLease, Peers};
pub use server::{PeerService, serve_peers};
