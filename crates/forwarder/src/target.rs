//! Registry of the targets that flows are bound to.
//!
//! Targets are numbered so that an entry of the flow table stays small. A target is identified by
//! its service and its address together: the same address under another service is a different
//! target, so that packets of one service never reach the other.

use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_types::ServiceId;
use derive_more::Display;

use crate::Moment;

/// Idle ticks after which flows of a target that no view lists expire: one minute.
const UNLISTED_IDLE_TICKS: u32 = 600;

/// Mask of the 24 bits of a target number.
const NUMBER_MASK: u32 = (1 << 24) - 1;

/// Number of a target in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct TargetNumber(u32);

/// Identity of a target: its service and its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// Service of the target.
    pub vni: ServiceId,
    /// Address at which the target receives encapsulated packets.
    pub address: SocketAddr,
}

/// Status of a target under the current view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TargetStatus {
    /// The target accepts new flows.
    Open,
    /// The target keeps its flows and accepts no new ones.
    Leaving,
    /// The target is not in the view; another forwarder first named it at this moment.
    Unlisted(Moment),
    /// The target was in an earlier view, or other forwarders named it and no view listed it in
    /// time.
    Removed,
}

/// A target with its status and number of flows.
#[derive(Debug, Clone, Copy)]
pub struct TargetRecord {
    /// Service and address.
    pub identity: Identity,
    /// Status under the current view.
    pub status: TargetStatus,
    /// Number of flows in the table that are not closing.
    pub flows: u32,
    /// When a new view added the target; `None` for targets registered otherwise, such as those of
    /// the first view.
    pub joined: Option<Moment>,
    /// Idle ticks after which flows of the target may expire.
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
    /// Returns the number, which has 24 bits.
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
    /// Whether packets of known flows may go to the target.
    #[inline]
    pub fn is_usable(&self) -> bool {
        self.status != TargetStatus::Removed
    }

    /// Whether new flows may go to the target.
    pub fn is_open(&self) -> bool {
        self.status == TargetStatus::Open
    }
}

impl TargetRegistry {
    /// Returns the record of a target.
    pub fn get(&self, number: TargetNumber) -> &TargetRecord {
        &self.records[number.index()]
    }

    /// Returns the number of the target with this identity, if it is registered.
    pub fn find(&self, identity: Identity) -> Option<TargetNumber> {
        let found = self
            .sorted
            .binary_search_by(|number| self.get(*number).identity.cmp(&identity));
        found.ok().map(|at| self.sorted[at])
    }

    /// Returns the number of the target with this identity; a new target is registered with
    /// `status`.
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

    /// Resets the targets of earlier views to [`TargetStatus::Removed`], before the statuses of a
    /// new view are set.
    ///
    /// Targets that other forwarders named within `unlisted_time` keep their status.
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

    /// Removes targets that no view has listed within `unlisted_time`.
    pub fn expire_unlisted(&mut self, now: Moment, unlisted_time: Duration) {
        for record in &mut self.records {
            let is_expired = matches!(
                record.status,
                TargetStatus::Unlisted(since) if now.since(since) >= unlisted_time
            );
            if is_expired {
                record.status = TargetStatus::Removed;
            }
        }
    }

    /// Sets the status of a target under the current view.
    pub fn set_status(&mut self, number: TargetNumber, status: TargetStatus) {
        self.records[number.index()].status = status;
    }

    /// Sets when a target joined.
    pub fn set_joined(&mut self, number: TargetNumber, joined: Moment) {
        self.records[number.index()].joined = Some(joined);
    }

    /// Sets the idle ticks after which flows of a target may expire.
    pub fn set_idle_ticks(&mut self, number: TargetNumber, idle_ticks: u32) {
        self.records[number.index()].idle_ticks = idle_ticks;
    }

    /// Adds a flow to the count of a target.
    pub fn add_flow(&mut self, number: TargetNumber) {
        self.records[number.index()].flows += 1;
    }

    /// Subtracts a flow from the count of a target.
    pub fn remove_flow(&mut self, number: TargetNumber) {
        let record = &mut self.records[number.index()];
        debug_assert!(
            record.flows > 0,
            "the flow count of target {number} fell below zero"
        );
        record.flows = record.flows.saturating_sub(1);
    }

    /// Returns all records, ordered by target number.
    pub fn records(&self) -> &[TargetRecord] {
        &self.records
    }
}
