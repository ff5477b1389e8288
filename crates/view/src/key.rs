//! Hash keys of flows and names, as input of rendezvous hashing.

use std::net::IpAddr;

use bambooseam_types::{Flow, Protocol};
use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64;

/// Size of an encoded flow in bytes: protocol, two addresses and two ports.
const FLOW_BYTES: usize = 1 + 2 * (16 + 2);

/// Hash of a flow or name; identical in every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0:016x}")]
pub struct FlowKey(u64);

impl FlowKey {
    /// Returns the hash as a number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Creates the key of a name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl From<u64> for FlowKey {
    fn from(hash: u64) -> Self {
        Self(hash)
    }
}

impl From<&Flow> for FlowKey {
    fn from(flow: &Flow) -> Self {
        let mut bytes = [0; FLOW_BYTES];
        bytes[0] = match flow.protocol {
            Protocol::Tcp => 6,
            Protocol::Udp => 17,
        };
        for (end, start) in [(&flow.caller, 1), (&flow.service, 19)] {
            let ip = match end.ip() {
                IpAddr::V4(ip) => ip.to_ipv6_mapped(),
                IpAddr::V6(ip) => ip,
            };
            bytes[start..start + 16].copy_from_slice(&ip.octets());
            bytes[start + 16..start + 18].copy_from_slice(&end.port().to_be_bytes());
        }
        Self(xxh3_64(&bytes))
    }
}
