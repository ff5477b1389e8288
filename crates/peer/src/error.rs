//! Errors of messages between processes.

use std::io;

use bambooseam_types::Findings;
use derive_more::{Display, Error, From};

/// Why a message could not be exchanged.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The call failed or its message was malformed.
    #[display("call failed: {_0}")]
    Call(capnp::Error),
    /// The message contains documents that fail validation.
    #[display("invalid documents: {_0}")]
    Documents(Findings),
}
