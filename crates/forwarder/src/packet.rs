//! Parsing of inner IP packets: addresses, ports, flow key and TCP phase.

use std::net::SocketAddr;

use bambooseam_types::{Flow, Protocol};
use bambooseam_view::FlowKey;
use etherparse::{IpNumber, IpSlice, TcpSlice, UdpSlice};

use crate::geneve::PacketError;

/// A parsed inner packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet<'a> {
    /// The whole IP packet.
    pub bytes: &'a [u8],
    /// Addresses, ports and protocol.
    pub flow: Flow,
    /// Key of the flow.
    pub key: FlowKey,
    /// Position of the packet in its flow.
    pub phase: Phase,
    /// Whether the packet carries transport payload.
    pub has_data: bool,
}

/// Position of a packet in its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// A TCP SYN: the first packet, or a copy of the first.
    First,
    /// Any other TCP packet, and every UDP packet.
    Middle,
    /// A TCP FIN or RST.
    Last,
}

/// Parses an inner packet; never panics.
///
/// # Errors
///
/// A [`PacketError`] for anything but a complete TCP or UDP packet.
#[inline]
pub fn decode(bytes: &[u8]) -> Result<Packet<'_>, PacketError> {
    let ip = IpSlice::from_slice(bytes).map_err(|_| PacketError::BadIp)?;
    if ip.is_fragmenting_payload() {
        return Err(PacketError::Fragment);
    }
    let payload = ip.payload();
    let (protocol, ports, phase, has_data) = match payload.ip_number {
        IpNumber::TCP => {
            let tcp =
                TcpSlice::from_slice(payload.payload).map_err(|_| PacketError::BadTransport)?;
            let ports = (tcp.source_port(), tcp.destination_port());
            (
                Protocol::Tcp,
                ports,
                phase_of(&tcp),
                !tcp.payload().is_empty(),
            )
        }
        IpNumber::UDP => {
            let udp =
                UdpSlice::from_slice(payload.payload).map_err(|_| PacketError::BadTransport)?;
            let ports = (udp.source_port(), udp.destination_port());
            (
                Protocol::Udp,
                ports,
                Phase::Middle,
                !udp.payload().is_empty(),
            )
        }
        _ => return Err(PacketError::BadTransport),
    };
    let flow = Flow {
        protocol,
        caller: SocketAddr::new(ip.source_addr(), ports.0),
        service: SocketAddr::new(ip.destination_addr(), ports.1),
    };
    Ok(Packet {
        bytes,
        flow,
        key: FlowKey::from(&flow),
        phase,
        has_data,
    })
}

/// Returns the phase of a TCP segment.
fn phase_of(tcp: &TcpSlice<'_>) -> Phase {
    if tcp.rst() || tcp.fin() {
        return Phase::Last;
    }
    if tcp.syn() && !tcp.ack() {
        return Phase::First;
    }
    Phase::Middle
}

impl Packet<'_> {
    /// Whether the packet is TCP.
    pub fn is_tcp(&self) -> bool {
        self.flow.protocol == Protocol::Tcp
    }
}
