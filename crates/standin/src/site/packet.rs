//! Packets of flows with all their fields, as both ends read and write them.

use std::net::{Ipv4Addr, SocketAddrV4};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a head.
const HEADER_BYTES: usize = 34;

/// Key of the sum; only the two ends know it.
const CHECKSUM_KEY: u64 = 0x5eed_0fa1_1e4d_5000;

/// Flags of a packet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flags(pub u8);

/// A packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// Sender's end.
    pub src: SocketAddrV4,
    /// Receiver's end.
    pub dst: SocketAddrV4,
    /// Flags.
    pub flags: Flags,
    /// What the sender last received.
    pub echo: u32,
    /// First byte.
    pub seq: u32,
    /// Next byte expected.
    pub ack: u32,
    /// Bytes of the flow.
    pub data: Vec<u8>,
    /// The sum as it came; written anew when sent.
    pub checksum: u32,
}

impl Flags {
    /// Opens a flow.
    pub const SYN: Self = Self(128);
    /// Acknowledges.
    pub const ACK: Self = Self(8);
    /// Ends one direction.
    pub const FIN: Self = Self(32);
    /// Breaks off.
    pub const RST: Self = Self(16);

    /// Both.
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Whether all bits of `other` are set.
    pub const fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}

impl Packet {
    /// A packet of one end.
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

    /// Reads a packet; `None` when it is none.
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

    /// The bytes of the packet, with its sum.
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

    /// Whether the sender wrote the packet so.
    pub fn is_intact(&self) -> bool {
        self.checksum == self.keyed_checksum()
    }

    /// Whether it is a reset of the system's own.
    pub fn is_system_reset(&self) -> bool {
        self.flags == Flags::RST && self.checksum == 0 && self.data.is_empty()
    }

    /// The sum over all fields but `echo`.
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
        // 0 is for resets of the system.
        (xxh3_64_with_seed(&bytes, CHECKSUM_KEY) as u32).max(1)
    }
}
