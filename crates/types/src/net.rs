//! Flows as delivered by the fabric.

use std::net::SocketAddr;

use derive_more::Display;

/// Transport protocol of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Protocol {
    /// Transmission Control Protocol.
    #[display("tcp")]
    Tcp,
    /// User Datagram Protocol.
    #[display("udp")]
    Udp,
}

/// Protocol, addresses and ports that identify a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{protocol}/{caller}>{service}")]
pub struct Flow {
    /// Transport protocol.
    pub protocol: Protocol,
    /// Address and port of the caller.
    pub caller: SocketAddr,
    /// Address and port of the service.
    pub service: SocketAddr,
}
