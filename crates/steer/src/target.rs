//! Targets as described by their published entries.

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{Incarnation, ServiceName, TargetId, TargetLabel, Token, ZoneId};
use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64;

/// A target of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Identifier; a later start may reuse the identifier of an earlier start.
    pub id: TargetId,
    /// The identifier in the form used in datagrams.
    pub label: TargetLabel,
    /// Incarnation of the target; a later start holds no flows of an earlier start.
    pub start: Incarnation,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address at which the target receives datagrams.
    pub address: SocketAddrV4,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Number of requests that the target processes at a time.
    pub capacity: u32,
    /// Whether the target is leaving and takes no new work.
    pub is_leaving: bool,
    /// Remaining time for which the target is slow after its start, counted from the write of the
    /// entry.
    pub cold_time: Duration,
}

/// Form of the token that a VM writes into packets. Every VM reads both forms.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum TokenForm {
    /// The token of a start. All versions read this form, but it does not lead from one start of a
    /// target to another.
    #[default]
    #[display("start")]
    Start,
    /// The numbered token, which leads to the target whichever start it names. Versions before it take
    /// it for the token of an unknown target.
    #[display("numbered")]
    Numbered,
}

impl Target {
    /// Token of this start of the target; identical on every VM. VMs name starts by it among
    /// themselves, whichever form packets carry.
    pub fn token(&self) -> Token {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.label.get().to_be_bytes());
        bytes[8..].copy_from_slice(&self.start.get().to_be_bytes());
        Token::from_hash(hash(&bytes))
    }

    /// Token that names the target, and this start of it in a few bits; identical on every VM.
    pub fn numbered_token(&self) -> Token {
        let target_hash = hash(&self.label.get().to_be_bytes());
        Token::numbered(target_hash, hash(&self.start.get().to_be_bytes()))
    }

    /// Token of the target as packets carry it.
    pub fn token_in(&self, form: TokenForm) -> Token {
        match form {
            TokenForm::Start => self.token(),
            TokenForm::Numbered => self.numbered_token(),
        }
    }
}

fn hash(bytes: &[u8]) -> u32 {
    let hash = xxh3_64(bytes);
    (hash ^ (hash >> 32)) as u32
}
