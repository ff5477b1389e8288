//! Packets of flows with all their fields, as callers and targets encode and parse them.

use std::net::{Ipv4Addr, SocketAddrV4};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of the header in bytes.
const HEADER_BYTES: usize = 34;

/// Key of the checksum. Only callers and targets know it, so that the load balancer can't produce a
/// valid checksum.
const CHECKSUM_KEY: u64 = 0x5eed_0fa1_1e4d_5000;

/// Flags of a packet, as a bit set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flags(pub u8);

/// A packet of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// Address of the sender.
    pub src: SocketAddrV4,
    /// Address of the receiver.
    pub dst: SocketAddrV4,
    /// Flags that are set.
    pub flags: Flags,
    /// Echo value that the sender last received.
    pub echo: u32,
    /// Sequence number of the first data byte.
    pub seq: u32,
    /// Sequence number of the next byte that the sender expects.
    pub ack: u32,
    /// Data bytes of the flow.
    pub data: Vec<u8>,
    /// Checksum as received; [`Packet::encode`] computes it anew.
    pub checksum: u32,
}

impl Flags {
    /// Opens a flow.
    pub const SYN: Self = Self(128);
    /// The `ack` field is valid.
    pub const ACK: Self = Self(8);
    /// Closes one direction.
    pub const FIN: Self = Self(32);
    /// Resets a flow.
    pub const RST: Self = Self(16);

    /// Returns the union of two sets of flags.
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns whether all flags of `other` are set.
    pub const fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}

impl Packet {
    /// Creates a packet without data.
    pub fn new(src: SocketAddrV4, dst: SocketAddrV4, flags: Flags) -> Self {
        Self {
            src,
            dst,
            flags,
            echo: 0,
            seq: 0,
            ack: 0,
            data: Vec::new(),
            checksum: 0,
        }
    }

    /// Parses a packet; `None` if the bytes are not a valid packet.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let header = bytes.get(..HEADER_BYTES)?;
        let data = &bytes[HEADER_BYTES..];
        let u16_at = |at: usize| u16::from_le_bytes([header[at], header[at + 1]]);
        let u32_at = |at: usize| u32::from(u16_at(at)) | u32::from(u16_at(at + 2)) << 16;
        let end = |address, port| SocketAddrV4::new(Ipv4Addr::from(u32_at(address)), u16_at(port));
        if usize::from(u16_at(12)) != data.len() {
            return None;
        }
        Some(Self {
            src: end(24, 28),
            dst: end(20, 18),
            flags: Flags(header[30]),
            echo: u32_at(14),
            seq: u32_at(0),
            ack: u32_at(4),
            data: data.into(),
            checksum: u32_at(8),
        })
    }

    /// Encodes the packet with its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        bytes.extend(self.seq.to_le_bytes());
        bytes.extend(self.ack.to_le_bytes());
        bytes.extend(self.keyed_checksum().to_le_bytes());
        bytes.extend((self.data.len() as u16).to_le_bytes());
        bytes.extend(self.echo.to_le_bytes());
        bytes.extend(self.dst.port().to_le_bytes());
        bytes.extend(u32::from(*self.dst.ip()).to_le_bytes());
        bytes.extend(u32::from(*self.src.ip()).to_le_bytes());
        bytes.extend(self.src.port().to_le_bytes());
        bytes.extend([self.flags.0, 0, 0, 0]);
        bytes.extend(&self.data);
        bytes
    }

    /// Returns whether the checksum is valid, so that the packet is unchanged since its sender
    /// encoded it.
    pub fn is_intact(&self) -> bool {
        self.checksum == self.keyed_checksum()
    }

    /// Returns whether the load balancer itself sent this reset.
    pub fn is_system_reset(&self) -> bool {
        self.flags == Flags::RST && self.checksum == 0 && self.data.is_empty()
    }

    /// Computes the checksum over all fields except `echo`, which the load balancer changes.
    fn keyed_checksum(&self) -> u32 {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        bytes.extend(self.seq.to_le_bytes());
        bytes.extend(self.ack.to_le_bytes());
        for end in [self.src, self.dst] {
            bytes.extend(u32::from(*end.ip()).to_le_bytes());
            bytes.extend(end.port().to_le_bytes());
        }
        bytes.push(self.flags.0);
        bytes.extend(&self.data);
        // The load balancer marks its own resets by the checksum 0.
        (xxh3_64_with_seed(&bytes, CHECKSUM_KEY) as u32).max(1)
    }
}
