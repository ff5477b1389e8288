//! Targets that flows are bound to, numbered so that an entry of the table is small.
//!
//! A target is its service's identifier and its address together. The same address under
//! another service is another target, and so is never mistaken for the first.

use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_types::ServiceId;
use derive_more::Display;

use crate::Moment;

/// Silence after which flows of a target that no view names are forgotten: a minute.
const UNLISTED_IDLE_TICKS: u32 = 600;

/// Bits of a number.
const NUMBER_MASK: u32 = (1 << 24) - 1;

/// Number of a target in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct TargetNumber(u32);

/// What makes a target the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// Service of the target.
    pub vni: ServiceId,
    /// Where it receives encapsulated packets.
    pub address: SocketAddr,
}

/// What the view in force says of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TargetStatus {
    /// Takes new flows.
    Open,
    /// Keeps its flows, takes no new ones.
    Leaving,
    /// Not in the view, but named by another forwarder since.
    Unlisted(Moment),
    /// Was in an earlier view, or was named by others but by no view in time.
    Removed,
}

/// A target and what is counted of it.
#[derive(Debug, Clone, Copy)]
pub struct TargetRecord {
    /// Service and address.
    pub identity: Identity,
    /// What the view in force says.
    pub status: TargetStatus,
    /// Flows in the table that are not closing.
    pub flows: u32,
    /// When it joined; `None` for a target as old as this process.
    pub joined: Option<Moment>,
    /// Silence, in ticks, after which its flows may be forgotten.
    pub idle_ticks: u32,
}

/// All targets known to this process.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    records: Vec<TargetRecord>,
    /// Positions in `records`, sorted by identity.
    sorted: Vec<TargetNumber>,
}

impl TargetNumber {
    /// The number, 24 bits.
    #[inline]
    pub fn get(self) -> u32 {
        self.0
    }

    #[inline]
    fn index(self) -> usize {
        self.0 as usize
    }
}

impl From<u32> for TargetNumber {
    fn from(number: u32) -> Self {
        Self(number & NUMBER_MASK)
    }
}

impl TargetRecord {
    /// Whether packets of known flows may go there.
    #[inline]
    pub fn is_usable(&self) -> bool {
        self.status != TargetStatus::Removed
    }

    /// Whether new flows may go there.
    pub fn is_open(&self) -> bool {
        self.status == TargetStatus::Open
    }
}

impl TargetRegistry {
    /// The record of a number.
    pub fn get(&self, number: TargetNumber) -> &TargetRecord {
        &self.records[number.index()]
    }

    /// Number of the target with this identity, if it was met before.
    pub fn find(&self, identity: Identity) -> Option<TargetNumber> {
        let found = self
            .sorted
            .binary_search_by(|number| self.get(*number).identity.cmp(&identity));
        found.ok().map(|at| self.sorted[at])
    }

    /// Number of the target with this identity; a new one stands as `standing`.
    pub fn intern(&mut self, identity: Identity, status: TargetStatus) -> TargetNumber {
        let found = self
            .sorted
            .binary_search_by(|number| self.get(*number).identity.cmp(&identity));
        match found {
            Ok(at) => self.sorted[at],
            Err(at) => {
                let number = TargetNumber::from(self.records.len() as u32);
                self.records.push(TargetRecord {
                    identity,
                    status,
                    flows: 0,
                    joined: None,
                    idle_ticks: UNLISTED_IDLE_TICKS,
                });
                self.sorted.insert(at, number);
                number
            }
        }
    }

    /// Marks all targets of earlier views as gone, before those of a new view are set.
    pub fn reset_statuses(&mut self, now: Moment, unlisted_time: Duration) {
        for record in &mut self.records {
            let is_recent = matches!(
                record.status,
                TargetStatus::Unlisted(since) if now.since(since) < unlisted_time
            );
            if !is_recent {
                record.status = TargetStatus::Removed;
            }
        }
    }

    /// Lets go of targets that no view has named in time.
    pub fn expire_unlisted(&mut self, now: Moment, unlisted_time: Duration) {
        for record in &mut self.records {
            let is_over = matches!(
                record.status,
                TargetStatus::Unlisted(since) if now.since(since) >= unlisted_time
            );
            if is_over {
                record.status = TargetStatus::Removed;
            }
        }
    }

    /// Sets what the view in force says of a target.
    pub fn set_status(&mut self, number: TargetNumber, status: TargetStatus) {
        self.records[number.index()].status = status;
    }

    /// Sets when a target joined.
    pub fn set_joined(&mut self, number: TargetNumber, joined: Moment) {
        self.records[number.index()].joined = Some(joined);
    }

    /// Sets the silence, in ticks, after which flows of a target may be forgotten.
    pub fn set_idle_ticks(&mut self, number: TargetNumber, idle_ticks: u32) {
        self.records[number.index()].idle_ticks = idle_ticks;
    }

    /// Counts a flow.
    pub fn add_flow(&mut self, number: TargetNumber) {
        self.records[number.index()].flows += 1;
    }

    /// Takes a flow back.
    pub fn remove_flow(&mut self, number: TargetNumber) {
        let record = &mut self.records[number.index()];
        debug_assert!(record.flows > 0, "a flow was taken back twice");
        record.flows = record.flows.saturating_sub(1);
    }

    /// All records.
    pub fn records(&self) -> &[TargetRecord] {
        &self.records
    }
}
