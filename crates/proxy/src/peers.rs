//! Exchange of slots and key claims between proxies, over capnp-rpc.
//!
//! capnp-rpc keeps its state on one thread. [`Peers`] is the client and may be used from any task;
//! [`serve_peers`] is the server. A slot or claim is a capability: when its holder drops it
//! or the connection is lost, the slot is freed and an unsettled claim counts as run.

mod ask;
mod server;

pub use ask::{PeerClaim, PeerLease, Peers};
pub use server::{PeerService, serve_peers};
