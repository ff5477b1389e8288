//! What becomes of a packet.

use std::net::SocketAddrV4;

use bambooseam_types::{TargetLabel, Token};
use derive_more::Display;

/// What becomes of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It goes to a target.
    Forward {
        /// Where the target receives.
        address: SocketAddrV4,
        /// The target that the datagram is meant for.
        label: TargetLabel,
        /// Token that the packet carries on.
        token: Token,
        /// How the flow was placed; `None` when the packet named its target.
        placement: Option<Placement>,
    },
    /// The caller is told that the flow can't go on.
    Reset(ResetCause),
    /// Nothing is sent.
    Drop(DropCause),
}

/// How an opening packet got its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Placement {
    /// The first packet of a flow was placed.
    #[display("placed")]
    Placed,
    /// A copy follows the first packet.
    #[display("copy")]
    Retransmitted,
    /// A copy was placed anew: the first target is gone or silent.
    #[display("moved")]
    Moved,
}

/// Why a caller is told that its flow can't go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ResetCause {
    /// No route has this entrance.
    #[display("no_route")]
    NoRoute,
    /// The route was removed.
    #[display("route_removed")]
    RouteRemoved,
    /// The service has no target that takes new flows.
    #[display("no_target")]
    NoTarget,
    /// The target, or the start of it that held the flow, has ended.
    #[display("target_gone")]
    TargetGone,
    /// No target that is known now has this token.
    #[display("unknown_token")]
    UnknownToken,
    /// A packet inside a flow names no target.
    #[display("no_token")]
    NoToken,
}

/// Why a packet is dropped without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum DropCause {
    /// Targets and routes are not known yet, or not known to be current.
    #[display("view_not_current")]
    ViewNotCurrent,
    /// The token is unknown, and the news that would tell has not come yet.
    #[display("token_not_known_yet")]
    TokenNotKnownYet,
    /// The packet ends a flow that nobody holds.
    #[display("already_ended")]
    AlreadyEnded,
    /// Flags that no caller sends.
    #[display("forged")]
    Forged,
}

impl Decision {
    /// The target's address and token, of a packet that is passed on.
    pub fn forwarded(&self) -> Option<(SocketAddrV4, Token)> {
        match *self {
            Self::Forward { address, token, .. } => Some((address, token)),
            Self::Reset(_) | Self::Drop(_) => None,
        }
    }
}
