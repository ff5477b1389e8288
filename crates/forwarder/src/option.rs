//! Geneve option that forwarders add to packets which they send to each other.
//!
//! The option carries a request (relay, query, replicate) and what the sender knows of the flow, so
//! that flow state travels with the packets and needs no messages of its own.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use bambooseam_types::Revision;

use crate::geneve::PacketError;

/// Bytes of an option without a target.
const SHORT_BYTES: usize = 16;

/// Bytes of an option with a target.
pub(crate) const LONG_BYTES: usize = 36;

/// Request or reply that one forwarder sends to another with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowOption {
    /// Action that the receiver is asked to take.
    pub kind: FlowOptionKind,
    /// Number of forwarders that have passed the packet on so far.
    pub hops: u8,
    /// Revision of the sender's view.
    pub revision: Revision,
}

/// Action that the receiver of an option is asked to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowOptionKind {
    /// Handle the packet as if the fabric had delivered it.
    Relay,
    /// Return the packet with what is known of its flow.
    Query {
        /// Position of the receiver in the sender's query order.
        rank: u8,
    },
    /// Record the target and deliver the packet: the positive reply to a query.
    Found(FlowBinding),
    /// Query the next forwarder: the negative reply to a query.
    NotFound {
        /// Position of the replying forwarder in the receiver's query order.
        rank: u8,
    },
    /// Record the target, then deliver the packet.
    Replicate {
        /// Target recorded by the sender.
        binding: FlowBinding,
        /// Whether the sender has replaced the target that it picked first.
        is_final: bool,
    },
    /// Record the target without delivering the packet, which was delivered already.
    Update(FlowBinding),
    /// Record a batch of flows; the datagram carries their keys and no packet.
    Handover {
        /// Sequence number of the batch.
        sequence: u32,
        /// Whether the flows of the batch are TCP.
        is_tcp: bool,
        /// Target of all flows in the batch.
        binding: FlowBinding,
    },
    /// Acknowledge a batch that was recorded.
    HandoverAck {
        /// Sequence number of the batch.
        sequence: u32,
    },
}

/// Target of a flow and time since its last packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowBinding {
    /// Address at which the target receives encapsulated packets.
    pub target: SocketAddr,
    /// Tenths of a second between the previous packet of the flow and this packet.
    pub age: u32,
}

impl FlowOptionKind {
    /// Returns the code of the kind on the wire.
    fn code(&self) -> u8 {
        match self {
            Self::Relay => 1,
            Self::Query { .. } => 2,
            Self::Found(_) => 3,
            Self::NotFound { .. } => 4,
            Self::Replicate { .. } => 5,
            Self::Update(_) => 6,
            Self::Handover { .. } => 7,
            Self::HandoverAck { .. } => 8,
        }
    }

    /// Returns the third byte: a position in the query order, or a flag of the kind.
    fn rank(&self) -> u8 {
        match self {
            Self::Query { rank } | Self::NotFound { rank } => *rank,
            Self::Handover { is_tcp, .. } => u8::from(*is_tcp),
            Self::Replicate { is_final, .. } => u8::from(*is_final),
            _ => 0,
        }
    }

    /// Returns the binding, for the kinds that carry one.
    fn binding(&self) -> Option<&FlowBinding> {
        match self {
            Self::Found(binding) | Self::Update(binding) => Some(binding),
            Self::Replicate { binding, .. } | Self::Handover { binding, .. } => Some(binding),
            _ => None,
        }
    }

    /// Returns the sequence number of a batch, or the age of a flow.
    fn number(&self) -> u32 {
        match self {
            Self::Handover { sequence, .. } | Self::HandoverAck { sequence } => *sequence,
            _ => self.binding().map_or(0, |binding| binding.age),
        }
    }
}

impl FlowOption {
    /// Writes the option data and returns its length, a multiple of 4.
    pub(crate) fn write(&self, bytes: &mut [u8; LONG_BYTES]) -> usize {
        bytes[0] = self.kind.code();
        bytes[1] = self.hops;
        bytes[2] = self.kind.rank();
        bytes[3] = 0;
        bytes[4..12].copy_from_slice(&self.revision.get().to_be_bytes());
        bytes[12..16].copy_from_slice(&self.kind.number().to_be_bytes());
        let Some(binding) = self.kind.binding() else {
            return SHORT_BYTES;
        };
        let ip = match binding.target.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        bytes[16..32].copy_from_slice(&ip.octets());
        bytes[32..34].copy_from_slice(&binding.target.port().to_be_bytes());
        bytes[34..36].fill(0);
        LONG_BYTES
    }

    /// Parses option data.
    ///
    /// # Errors
    ///
    /// [`PacketError::BadOption`] when the kind is unknown or the length does not match the kind.
    pub(crate) fn read(bytes: &[u8]) -> Result<Self, PacketError> {
        if bytes.len() < SHORT_BYTES {
            return Err(PacketError::BadOption);
        }
        let revision = u64::from_be_bytes(array(&bytes[4..12]));
        let number = u32::from_be_bytes(array(&bytes[12..16]));
        let rank = bytes[2];
        let kind = match bytes[0] {
            1 => FlowOptionKind::Relay,
            2 => FlowOptionKind::Query { rank },
            3 => FlowOptionKind::Found(read_binding(bytes, number)?),
            4 => FlowOptionKind::NotFound { rank },
            5 => FlowOptionKind::Replicate {
                binding: read_binding(bytes, number)?,
                is_final: rank != 0,
            },
            6 => FlowOptionKind::Update(read_binding(bytes, number)?),
            7 => FlowOptionKind::Handover {
                sequence: number,
                is_tcp: rank != 0,
                binding: read_binding(bytes, 0)?,
            },
            8 => FlowOptionKind::HandoverAck { sequence: number },
            _ => return Err(PacketError::BadOption),
        };
        let expected = match kind.binding() {
            Some(_) => LONG_BYTES,
            None => SHORT_BYTES,
        };
        if bytes.len() != expected {
            return Err(PacketError::BadOption);
        }
        Ok(Self {
            kind,
            hops: bytes[1],
            revision: Revision::from(revision),
        })
    }
}

/// Parses the target of a long option.
fn read_binding(bytes: &[u8], age: u32) -> Result<FlowBinding, PacketError> {
    if bytes.len() != LONG_BYTES {
        return Err(PacketError::BadOption);
    }
    let ip = Ipv6Addr::from(array::<16>(&bytes[16..32])).to_canonical();
    let port = u16::from_be_bytes(array(&bytes[32..34]));
    Ok(FlowBinding {
        target: SocketAddr::new(ip, port),
        age,
    })
}

/// Copies bytes whose number the caller has checked.
fn array<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let mut copy = [0; N];
    copy.copy_from_slice(bytes);
    copy
}
