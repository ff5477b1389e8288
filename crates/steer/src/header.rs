//! What the head of a packet says.

use std::net::SocketAddrV4;
use std::str::FromStr;

use bambooseam_types::{Flow, Protocol, Token};
use bambooseam_view::FlowKey;
use derive_more::{Display, Error};

/// Both ends of a flow as a caller's packets name them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{caller}>{frontend}")]
pub struct FlowId {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port at which a service receives.
    pub frontend: SocketAddrV4,
}

/// Text that names no flow.
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

/// Flags of a packet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PacketFlags {
    /// Opens a flow.
    pub syn: bool,
    /// Acknowledges the other end's bytes.
    pub ack: bool,
    /// Ends one direction.
    pub fin: bool,
    /// Breaks the flow off.
    pub rst: bool,
}

/// The head of a packet from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketHeader {
    /// The flow.
    pub flow: FlowId,
    /// The flags.
    pub flags: PacketFlags,
    /// Target that the flow was opened at; `None` in an opening packet.
    pub token: Option<Token>,
    /// Number of the first byte that the packet carries.
    pub seq: u32,
    /// Next byte that the caller expects; in an opening packet the number of earlier copies.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
}

impl FlowId {
    /// Hash of the flow; the same on every VM.
    pub fn key(&self) -> FlowKey {
        FlowKey::from(&Flow {
            protocol: Protocol::Tcp,
            caller: self.caller.into(),
            service: self.frontend.into(),
        })
    }
}

impl PacketHeader {
    /// Whether the packet asks for a new flow.
    pub fn is_opening(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Whether the packet can't come from a caller: only targets answer an opening packet.
    pub fn is_forged(&self) -> bool {
        self.flags.syn && (self.flags.ack || self.flags.fin || self.flags.rst)
    }
}
