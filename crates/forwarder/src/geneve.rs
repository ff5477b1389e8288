//! Geneve encapsulation (RFC 8926) of IP packets without Ethernet.

use derive_more::{Display, Error};

use crate::FlowOption;
use crate::option::LONG_BYTES;

/// Bytes of the base header.
const BASE_HEADER_BYTES: usize = 8;
/// Bytes of the header of an option.
const OPTION_HEADER_BYTES: usize = 4;
/// Most bytes that this module writes before the inner packet.
pub const MAX_HEADER_BYTES: usize = BASE_HEADER_BYTES + OPTION_HEADER_BYTES + LONG_BYTES;
/// EtherType of IPv4.
const ETHERTYPE_IPV4: u16 = 0x0800;
/// EtherType of IPv6.
const ETHERTYPE_IPV6: u16 = 0x86DD;
/// EtherType for local experiments, used by handovers, which carry flow keys and no packet.
const ETHERTYPE_KEYS: u16 = 0x88B5;
/// Class of the option between forwarders, in the experimental range.
const OPTION_CLASS: u16 = 0xFFBA;
/// Type of the option between forwarders. It is critical: a receiver that does not know the option
/// drops the packet.
const OPTION_TYPE: u8 = 0x81;
/// Bit that makes an option critical.
const CRITICAL_BIT: u8 = 0x80;
/// Largest inner packet in bytes.
pub const PACKET_LIMIT: usize = 9_000;

/// Why a datagram can't be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Error)]
pub enum PacketError {
    /// The datagram is shorter than its length fields say.
    #[display("truncated")]
    Truncated,
    /// The inner packet is larger than [`PACKET_LIMIT`].
    #[display("oversized")]
    Oversized,
    /// The Geneve version is not 0.
    #[display("unknown_version")]
    UnknownVersion,
    /// The protocol type is neither IP nor flow keys.
    #[display("unknown_protocol")]
    UnknownProtocol,
    /// A critical option is unknown.
    #[display("unknown_option")]
    UnknownOption,
    /// The option between forwarders is malformed or present twice.
    #[display("bad_mark")]
    BadOption,
    /// The inner packet is not a complete IP packet.
    #[display("bad_ip")]
    BadIp,
    /// The inner packet is a fragment.
    #[display("fragment")]
    Fragment,
    /// The inner transport is neither TCP nor UDP, or is malformed.
    #[display("bad_transport")]
    BadTransport,
}

/// A decoded datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Datagram<'a> {
    /// Virtual network identifier, 24 bits.
    pub vni: u32,
    /// Option between forwarders, if the datagram carries one.
    pub option: Option<FlowOption>,
    /// Content of the datagram.
    pub payload: Payload<'a>,
}

/// Content of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Payload<'a> {
    /// An IP packet.
    Packet(&'a [u8]),
    /// Flow keys, 8 bytes each.
    Keys(&'a [u8]),
}

/// Encoded Geneve header with its option.
#[derive(Debug, Clone, Copy)]
pub struct Header {
    bytes: [u8; MAX_HEADER_BYTES],
    len: usize,
}

/// Decodes a datagram; never panics.
///
/// # Errors
///
/// A [`PacketError`] for anything that is not Geneve in the form that forwarders and fabric use.
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

/// Finds the option between forwarders; unknown options that are not critical are skipped.
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
    /// Creates the header for a payload; `vni` has 24 bits.
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
        // Bit 6 of the second byte announces a critical option.
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

    /// Returns the encoded bytes.
    #[inline]
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes[..self.len]
    }
}

impl<'a> Payload<'a> {
    /// Returns the bytes of the packet or the keys.
    pub fn as_bytes(&self) -> &'a [u8] {
        match self {
            Self::Packet(bytes) | Self::Keys(bytes) => bytes,
        }
    }
}

/// Joins a header and a payload into one datagram.
pub fn encode(header: &Header, payload: &[u8]) -> Vec<u8> {
    let mut bytes = header.as_bytes().to_vec();
    bytes.extend_from_slice(payload);
    bytes
}
