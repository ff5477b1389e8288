//! Targets as they are published.

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{Incarnation, ServiceName, TargetId, TargetLabel, Token, ZoneId};
use xxhash_rust::xxh3::xxh3_64;

/// A target that may be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Identifier; a start may take it over from an earlier one.
    pub id: TargetId,
    /// The identifier as datagrams name it.
    pub label: TargetLabel,
    /// The start; a later one holds no flow of an earlier one.
    pub start: Incarnation,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it receives datagrams.
    pub address: SocketAddrV4,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it works on at a time.
    pub capacity: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// How much longer it is slow after its start, from when the entry was written.
    pub cold_time: Duration,
}

impl Target {
    /// The token of this start; the same on every VM.
    pub fn token(&self) -> Token {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.label.get().to_be_bytes());
        bytes[8..].copy_from_slice(&self.start.get().to_be_bytes());
        let hash = xxh3_64(&bytes);
        Token::from_hash((hash ^ (hash >> 32)) as u32)
    }
}
