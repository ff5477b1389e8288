//! Messages between bambooseam processes, over capnp-rpc.
//!
//! `scripts/generate-schema.sh` generates the code in `generated/` from `schema/`. The generated
//! code is committed, so that the build needs no generator.

pub mod agent;
mod backoff;
mod changes;
mod connect;
mod error;
pub mod feed;
mod meter;
pub mod replica;

pub use backoff::{Backoff, jitter};
pub use connect::{Link, connect, connect_metered, serve, serve_metered, spawn_local_thread};
pub use error::PeerError;
pub use meter::{Activity, Meter, Metered};

#[allow(missing_docs, clippy::all, clippy::use_self, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/agent_capnp.rs"]
pub mod agent_capnp;

#[allow(missing_docs, clippy::all, clippy::use_self, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/replica_capnp.rs"]
pub mod replica_capnp;

#[allow(missing_docs, clippy::all, clippy::use_self, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/view_capnp.rs"]
pub mod view_capnp;

#[allow(missing_docs, clippy::all, clippy::use_self, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/slot_capnp.rs"]
pub mod slot_capnp;
