//! Decision for a packet: forward, reset or drop.

use std::net::SocketAddrV4;

use bambooseam_types::{TargetLabel, Token};
use derive_more::Display;

use crate::FlowId;

/// Decision for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The packet is forwarded to a target.
    Forward {
        /// Address at which the target receives datagrams.
        address: SocketAddrV4,
        /// Label of the target that the datagram is addressed to.
        label: TargetLabel,
        /// Token that the forwarded packet carries. It differs from that of the received packet if
        /// that named another start of the target, or another form is in force.
        token: Token,
        /// How the target was found; `None` if the packet named its present start.
        placement: Option<Placement>,
    },
    /// The caller receives a reset: the flow cannot continue.
    Reset(ResetCause),
    /// The packet is dropped without an answer.
    Drop(DropCause),
    /// The opening packet waits until [`Steering::take_released`] returns its flow.
    ///
    /// [`Steering::take_released`]: crate::Steering::take_released
    Hold,
}

/// VM whose caller sent an opening packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Origin {
    /// This VM.
    #[display("own")]
    Local,
    /// Another VM, which asks this VM for a target and forwards the packet itself.
    #[display("{_0}")]
    Vm(SocketAddrV4),
}

/// Final decision about an opening packet that was held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Released {
    /// The flow.
    pub flow: FlowId,
    /// VM that holds the packet.
    pub origin: Origin,
    /// The decision; never [`Decision::Hold`].
    pub decision: Decision,
}

/// How the target of a packet was found that does not name the present start of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Placement {
    /// The first opening packet of a flow was placed.
    #[display("placed")]
    Placed,
    /// A retransmission goes to the same target as the first opening packet.
    #[display("copy")]
    Retransmitted,
    /// A retransmission was placed again: the first target has ended or is unresponsive.
    #[display("moved")]
    Moved,
    /// A packet of an open flow names another start of the target, or another target that was sent the
    /// flow's opening packet.
    #[display("continued")]
    Continued,
}

/// Reason for a reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ResetCause {
    /// No route has the frontend of the packet.
    #[display("no_route")]
    NoRoute,
    /// The route of the frontend was removed.
    #[display("route_removed")]
    RouteRemoved,
    /// The service has no target that takes new flows.
    #[display("no_target")]
    NoTarget,
    /// The service is full, and the opening can't be served within its latency goal.
    #[display("overloaded")]
    Overloaded,
    /// This VM reaches nothing outside its zone, and no target of its zone takes new flows.
    #[display("isolated")]
    Isolated,
    /// The target has ended, or has been restarted at another address or for another service.
    #[display("target_gone")]
    TargetGone,
    /// The target does not acknowledge data.
    #[display("target_stalled")]
    TargetStalled,
    /// The token belongs to no known target.
    #[display("unknown_token")]
    UnknownToken,
    /// A packet of an established flow carries no token.
    #[display("no_token")]
    NoToken,
    /// The coordinator of the zone has rejected the flow: the service can't serve it in time.
    #[display("rejected_by_zone")]
    RejectedByZone,
}

/// Reason for dropping a packet without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum DropCause {
    /// Routes and targets have not been received yet, or may be stale.
    #[display("view_not_current")]
    ViewNotCurrent,
    /// The token is unknown, and entries that may explain the token have not arrived yet.
    #[display("token_not_known_yet")]
    TokenNotKnownYet,
    /// A retransmission would exceed the limit on openings at a cold target.
    #[display("cold_limit")]
    ColdLimit,
    /// A retransmission to a target whose entry was replaced by one that contradicts its known start.
    #[display("entry_disputed")]
    EntryDisputed,
    /// The packet is a reset, and no known target holds its flow.
    #[display("already_ended")]
    AlreadyEnded,
    /// The service is full, and a target may have been sent an earlier transmission of the opening.
    #[display("not_admitted")]
    NotAdmitted,
    /// The packet has a combination of flags that no caller sends.
    #[display("forged")]
    Forged,
    /// The opening packet waited for its decision for so long that another VM may have placed a
    /// retransmission: the process was paused.
    #[display("held_too_long")]
    HeldTooLong,
}

impl Decision {
    /// Address and token of the target if the packet is forwarded.
    pub fn forwarded(&self) -> Option<(SocketAddrV4, Token)> {
        match *self {
            Self::Forward { address, token, .. } => Some((address, token)),
            Self::Reset(_) | Self::Drop(_) | Self::Hold => None,
        }
    }
}
