//! Geneve encapsulation (RFC 8926) of IP packets without Ethernet.

use derive_more::{Display, Error};

use crate::FlowOption;
use crate::option::LONG_BYTES;

/// Bytes of the fixed header.
const BASE_HEADER_BYTES: usize = 8;
/// Bytes of an option's header.
const OPTION_HEADER_BYTES: usize = 4;
/// Most bytes before the inner packet in what this module writes.
pub const MAX_HEADER_BYTES: usize = BASE_HEADER_BYTES + OPTION_HEADER_BYTES + LONG_BYTES;
/// EtherType of IPv4.
const ETHERTYPE_IPV4: u16 = 0x0800;
/// EtherType of IPv6.
const ETHERTYPE_IPV6: u16 = 0x86DD;
/// EtherType for local experiments: a handover carries keys and no packet.
const ETHERTYPE_KEYS: u16 = 0x88B5;
/// Option class of the mark, in the experimental range.
const OPTION_CLASS: u16 = 0xFFBA;
/// Option type of the mark: critical, so that a receiver that lacks it drops the packet.
const OPTION_TYPE: u8 = 0x81;
/// Bit that makes an option critical.
const CRITICAL_BIT: u8 = 0x80;
/// Largest inner packet.
pub const PACKET_LIMIT: usize = 9_000;

/// Why a datagram can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Error)]
pub enum PacketError {
    /// It ends before its own lengths say.
    #[display("truncated")]
    Truncated,
    /// The inner packet is above [`PACKET_LIMIT`].
    #[display("oversized")]
    Oversized,
    /// The version is not 0.
    #[display("unknown_version")]
    UnknownVersion,
    /// The inner protocol is none of those known.
    #[display("unknown_protocol")]
    UnknownProtocol,
    /// A critical option is unknown.
    #[display("unknown_option")]
    UnknownOption,
    /// A mark is malformed or stands twice.
    #[display("bad_mark")]
    BadOption,
    /// The inner packet is not a whole IP packet.
    #[display("bad_ip")]
    BadIp,
    /// The inner packet is a fragment.
    #[display("fragment")]
    Fragment,
    /// The inner transport is neither TCP nor UDP, or is malformed.
    #[display("bad_transport")]
    BadTransport,
}

/// A datagram taken apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Datagram<'a> {
    /// Network identifier, 24 bits.
    pub vni: u32,
    /// Mark of another forwarder.
    pub option: Option<FlowOption>,
    /// What the datagram carries.
    pub payload: Payload<'a>,
}

/// What a datagram carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Payload<'a> {
    /// An IP packet.
    Packet(&'a [u8]),
    /// Keys of flows, 8 bytes each.
    Keys(&'a [u8]),
}

/// Everything before the inner packet.
#[derive(Debug, Clone, Copy)]
pub struct Header {
    bytes: [u8; MAX_HEADER_BYTES],
    len: usize,
}

/// Takes a datagram apart; never panics.
///
/// # Errors
///
/// A [`PacketError`] for anything that is not Geneve as this system speaks it.
#[inline]
pub fn decode(bytes: &[u8]) -> Result<Datagram<'_>, PacketError> {
    let Some((header, rest)) = bytes.split_first_chunk::<BASE_HEADER_BYTES>() else {
        return Err(PacketError::Truncated);
    };
    if header[0] >> 6 != 0 {
        return Err(PacketError::UnknownVersion);
    }
    let options_len = usize::from(header[0] & 0x3F) * 4;
    let Some((options, inner)) = rest.split_at_checked(options_len) else {
        return Err(PacketError::Truncated);
    };
    if inner.len() > PACKET_LIMIT {
        return Err(PacketError::Oversized);
    }
    let option = match options.is_empty() {
        true => None,
        false => read_options(options)?,
    };
    let payload = match u16::from_be_bytes([header[2], header[3]]) {
        ETHERTYPE_IPV4 | ETHERTYPE_IPV6 => Payload::Packet(inner),
        ETHERTYPE_KEYS if inner.len() % 8 == 0 => Payload::Keys(inner),
        ETHERTYPE_KEYS => return Err(PacketError::Truncated),
        _ => return Err(PacketError::UnknownProtocol),
    };
    let vni = u32::from_be_bytes([0, header[4], header[5], header[6]]);
    Ok(Datagram {
        vni,
        option,
        payload,
    })
}

/// Finds the mark among options; unknown ones that are not critical are passed over.
fn read_options(mut options: &[u8]) -> Result<Option<FlowOption>, PacketError> {
    let mut option = None;
    while !options.is_empty() {
        let Some((header, rest)) = options.split_first_chunk::<OPTION_HEADER_BYTES>() else {
            return Err(PacketError::Truncated);
        };
        let len = usize::from(header[3] & 0x1F) * 4;
        let Some((data, rest)) = rest.split_at_checked(len) else {
            return Err(PacketError::Truncated);
        };
        options = rest;
        let class = u16::from_be_bytes([header[0], header[1]]);
        if class == OPTION_CLASS && header[2] == OPTION_TYPE {
            if option.is_some() {
                return Err(PacketError::BadOption);
            }
            option = Some(FlowOption::read(data)?);
            continue;
        }
        if header[2] & CRITICAL_BIT != 0 {
            return Err(PacketError::UnknownOption);
        }
    }
    Ok(option)
}

impl Header {
    /// Head for a payload; `vni` has 24 bits.
    #[inline]
    pub fn new(vni: u32, option: Option<&FlowOption>, payload: &Payload<'_>) -> Self {
        let mut bytes = [0; MAX_HEADER_BYTES];
        let protocol = match payload {
            Payload::Keys(_) => ETHERTYPE_KEYS,
            Payload::Packet(packet) if packet.first().is_some_and(|b| b >> 4 == 6) => {
                ETHERTYPE_IPV6
            }
            Payload::Packet(_) => ETHERTYPE_IPV4,
        };
        bytes[2..4].copy_from_slice(&protocol.to_be_bytes());
        bytes[4..7].copy_from_slice(&vni.to_be_bytes()[1..]);
        let Some(option) = option else {
            return Self {
                bytes,
                len: BASE_HEADER_BYTES,
            };
        };
        let mut data = [0; LONG_BYTES];
        let len = option.write(&mut data);
        // Bit 6 of the second byte says that a critical option is there.
        bytes[1] = 0x40;
        bytes[0] = ((OPTION_HEADER_BYTES + len) / 4) as u8;
        bytes[8..10].copy_from_slice(&OPTION_CLASS.to_be_bytes());
        bytes[10] = OPTION_TYPE;
        bytes[11] = (len / 4) as u8;
        bytes[12..12 + len].copy_from_slice(&data[..len]);
        Self {
            bytes,
            len: BASE_HEADER_BYTES + OPTION_HEADER_BYTES + len,
        }
    }

    /// The bytes.
    #[inline]
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes[..self.len]
    }
}

impl<'a> Payload<'a> {
    /// The bytes.
    pub fn as_bytes(&self) -> &'a [u8] {
        match self {
            Self::Packet(bytes) | Self::Keys(bytes) => bytes,
        }
    }
}

/// Joins a head and an inner packet into one datagram.
pub fn encode(head: &Header, payload: &[u8]) -> Vec<u8> {
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(payload);
    bytes
}
