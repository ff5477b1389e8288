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
const GONE_IDLE_TICKS: u32 = 600;

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
pub enum Standing {
    /// Takes new flows.
    Open,
    /// Keeps its flows, takes no new ones.
    Leaving,
    /// Not in the view, but named by another forwarder since.
    Foreign(Moment),
    /// Was in an earlier view, or was named by others but by no view in time.
    Gone,
}

/// A target and what is counted of it.
#[derive(Debug, Clone, Copy)]
pub struct TargetRecord {
    /// Service and address.
    pub identity: Identity,
    /// What the view in force says.
    pub standing: Standing,
    /// Flows in the table that are not closing.
    pub flows: u32,
    /// When it joined; `None` for a target as old as this process.
    pub opened: Option<Moment>,
    /// Silence, in ticks, after which its flows may be forgotten.
    pub idle: u32,
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
        self.standing != Standing::Gone
    }

    /// Whether new flows may go there.
    pub fn is_open(&self) -> bool {
        self.standing == Standing::Open
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
    pub fn intern(&mut self, identity: Identity, standing: Standing) -> TargetNumber {
        let found = self
            .sorted
            .binary_search_by(|number| self.get(*number).identity.cmp(&identity));
        match found {
            Ok(at) => self.sorted[at],
            Err(at) => {
                let number = TargetNumber::from(self.records.len() as u32);
                self.records.push(TargetRecord {
                    identity,
                    standing,
                    flows: 0,
                    opened: None,
                    idle: GONE_IDLE_TICKS,
                });
                self.sorted.insert(at, number);
                number
            }
        }
    }

    /// Marks all targets of earlier views as gone, before those of a new view are set.
    pub fn clear_standings(&mut self, now: Moment, foreign_time: Duration) {
        for record in &mut self.records {
            let is_fresh = matches!(
                record.standing,
                Standing::Foreign(since) if now.since(since) < foreign_time
            );
            if !is_fresh {
                record.standing = Standing::Gone;
            }
        }
    }

    /// Lets go of targets that no view has named in time.
    pub fn expire_foreign(&mut self, now: Moment, foreign_time: Duration) {
        for record in &mut self.records {
            let is_over = matches!(
                record.standing,
                Standing::Foreign(since) if now.since(since) >= foreign_time
            );
            if is_over {
                record.standing = Standing::Gone;
            }
        }
    }

    /// Sets what the view in force says of a target.
    pub fn set_standing(&mut self, number: TargetNumber, standing: Standing) {
        self.records[number.index()].standing = standing;
    }

    /// Sets when a target joined.
    pub fn set_opened(&mut self, number: TargetNumber, opened: Moment) {
        self.records[number.index()].opened = Some(opened);
    }

    /// Sets the silence, in ticks, after which flows of a target may be forgotten.
    pub fn set_idle(&mut self, number: TargetNumber, idle: u32) {
        self.records[number.index()].idle = idle;
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
