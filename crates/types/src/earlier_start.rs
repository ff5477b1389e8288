//! Earlier starts of targets that have started again.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::{ServiceName, TargetId, Token};

/// An earlier start of a target that has started again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EarlierStart {
    /// Token of the earlier start.
    pub token: Token,
    /// Identifier of the target.
    pub target: TargetId,
    /// Service of the earlier start.
    pub service: ServiceName,
    /// Address at which the earlier start received datagrams.
    pub address: SocketAddrV4,
    /// Time since a VM read the entry of a later start, or found that the earlier one had ended.
    pub elapsed: Duration,
}
