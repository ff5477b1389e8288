//! Messages between bambooseam processes, over capnp-rpc.
//!
//! The code in `generated/` comes from `schema/` by `scripts/generate-schema.sh` and is committed,
//! so that the build needs no generator.

mod connect;
mod error;
pub mod feed;

pub use connect::{connect, local_thread, serve};
pub use error::PeerError;

#[allow(missing_docs, clippy::all, clippy::use_self, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/view_capnp.rs"]
pub mod view_capnp;

#[allow(missing_docs, clippy::all, clippy::use_self, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/slot_capnp.rs"]
pub mod slot_capnp;
