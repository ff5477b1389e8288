//! The header fields of a packet that steering reads.

use std::net::SocketAddrV4;
use std::str::FromStr;

use bambooseam_types::{Flow, Protocol, Token};
use bambooseam_view::FlowKey;
use derive_more::{Display, Error};

/// Both ends of a flow, as named in the caller's packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{caller}>{frontend}")]
pub struct FlowId {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port at which a service accepts flows.
    pub frontend: SocketAddrV4,
}

/// Error for a text that is not a valid flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("not two IPv4 addresses with ports, as in 192.0.2.1:1024>198.51.100.1:443")]
pub struct ParseFlowError;

impl FromStr for FlowId {
    type Err = ParseFlowError;

    fn from_str(text: &str) -> Result<Self, ParseFlowError> {
        let (caller, frontend) = text.split_once('>').ok_or(ParseFlowError)?;
        let address = |text: &str| text.parse().map_err(|_| ParseFlowError);
        Ok(Self {
            caller: address(caller)?,
            frontend: address(frontend)?,
        })
    }
}

/// TCP flags of a packet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PacketFlags {
    /// Opens a flow.
    pub syn: bool,
    /// Acknowledges bytes of the other end.
    pub ack: bool,
    /// Ends one direction of the flow.
    pub fin: bool,
    /// Aborts the flow.
    pub rst: bool,
}

/// Header of a packet from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketHeader {
    /// Flow that the packet belongs to.
    pub flow: FlowId,
    /// TCP flags.
    pub flags: PacketFlags,
    /// Token of the target that the flow was opened at; `None` in an opening packet.
    pub token: Option<Token>,
    /// Sequence number of the first byte that the packet carries.
    pub seq: u32,
    /// Sequence number of the next byte that the caller expects; in an opening packet, the number
    /// of earlier transmissions.
    pub ack: u32,
    /// Length of the data in bytes.
    pub len: u16,
}

impl FlowId {
    /// Hash of the flow; identical on every VM.
    pub fn key(&self) -> FlowKey {
        FlowKey::from(&Flow {
            protocol: Protocol::Tcp,
            caller: self.caller.into(),
            service: self.frontend.into(),
        })
    }
}

impl PacketHeader {
    /// Whether the packet opens a new flow.
    pub fn is_opening(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Whether the packet is the first transmission of an opening packet, so that no target can have
    /// received it before.
    pub fn is_first_opening(&self) -> bool {
        self.is_opening() && self.ack == 0
    }

    /// Whether the packet cannot come from a caller: only a target answers an opening packet.
    pub fn is_forged(&self) -> bool {
        self.flags.syn && (self.flags.ack || self.flags.fin || self.flags.rst)
    }
}
