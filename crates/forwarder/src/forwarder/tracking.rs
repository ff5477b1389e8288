//! Flow tracking: when an entry is recorded, refreshed, confirmed and expired.

use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_types::ServiceId;
use bambooseam_view::FlowKey;

use super::{Forwarder, Output, Route};
use crate::option::FlowBinding;
use crate::packet::{Packet, Phase};
use crate::pick::Pick;
use crate::table::{Entry, EntryState, SHARDS, Tick};
use crate::target::TargetNumber;
use crate::topology::Role;
use crate::{Clock, Moment};

/// Time after a change of membership in which new flows are queried before they are placed.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// Ticks within which a SYN of a known flow counts as a retransmission: one minute.
const RETRANSMIT_TICKS: u32 = 600;
/// Ticks after which a further packet shows that the target of an unconfirmed flow has not reset
/// it.
const CONFIRM_TICKS: u32 = 20;
/// Idle ticks after which a closing flow expires: two minutes.
const CLOSING_IDLE_TICKS: u32 = 1_200;
/// Idle ticks after which a flow that never opened expires: one minute.
const OPENING_IDLE_TICKS: u32 = 600;
/// Idle ticks after which an unconfirmed flow expires: one minute.
const UNCONFIRMED_IDLE_TICKS: u32 = 600;
/// Ticks within which a further SYN is a duplicate made by the fabric.
pub(super) const DUPLICATE_TICKS: u32 = 2;

impl<O: Output, C: Clock, P: Pick> Forwarder<O, C, P> {
    /// Returns the target of an open flow that had a packet since the last change of membership,
    /// and records the new packet.
    ///
    /// Such an entry exists only on the owner or the shadow, so no ranks have to be looked up.
    #[inline]
    pub(super) fn established_target(
        &mut self,
        packet: &Packet<'_>,
        vni: ServiceId,
    ) -> Option<TargetNumber> {
        if packet.phase != Phase::Middle {
            return None;
        }
        let changed = Tick::from(self.membership_changed);
        let entry = self.table.get_mut(packet.key)?;
        let record = self.targets.get(entry.target());
        let is_settled = entry.state() == EntryState::Open
            && entry.seen() > changed
            && record.is_usable()
            && record.identity.vni == vni;
        if !is_settled {
            return None;
        }
        entry.set_seen(Tick::from(self.event_time));
        Some(entry.target())
    }

    /// Returns the entry of a flow if its target belongs to the packet's service and is still
    /// usable.
    pub(super) fn find_entry(&self, key: FlowKey, route: &Route) -> Option<Entry> {
        let entry = self.table.get(key)?;
        let record = self.targets.get(entry.target());
        let is_valid = record.is_usable() && record.identity.vni == route.vni;
        is_valid.then_some(entry)
    }

    /// Whether a SYN of a known flow is a copy of the flow's first packet.
    pub(super) fn is_retransmitted(&self, entry: Entry) -> bool {
        let idle = Tick::from(self.event_time).since(entry.seen());
        entry.state().is_active() && idle < RETRANSMIT_TICKS
    }

    /// Whether the membership has been unchanged for [`SETTLE_TIME`].
    pub(super) fn is_settled(&self) -> bool {
        self.event_time.since(self.membership_changed) >= SETTLE_TIME
    }

    /// Records a packet of a known flow.
    pub(super) fn touch(&mut self, packet: &Packet<'_>, entry: Entry) {
        let idle = Tick::from(self.event_time).since(entry.seen());
        let is_confirmed = entry.state() == EntryState::Unconfirmed && idle >= CONFIRM_TICKS;
        let state = match (packet.phase, entry.state()) {
            (Phase::Last, _) => EntryState::Closing,
            (Phase::Middle, EntryState::Opening | EntryState::Retried) => EntryState::Open,
            (Phase::First, EntryState::Opening) if idle >= DUPLICATE_TICKS => EntryState::Retried,
            _ if is_confirmed => EntryState::Open,
            (_, state) => state,
        };
        let updated =
            Entry::new(entry.target(), state, Tick::from(self.event_time)).with_tcp(entry.is_tcp());
        if state == entry.state()
            && let Some(existing) = self.table.get_mut(packet.key)
        {
            *existing = updated;
            return;
        }
        self.insert_flow(packet.key, updated);
    }

    /// Records that a flow has opened, when another forwarder sends a query with a later packet of
    /// the flow.
    ///
    /// The time of the last packet is left as it is, so that the next packet that arrives here
    /// still goes through a new shadow.
    pub(super) fn record_opened(&mut self, packet: &Packet<'_>, entry: Entry) {
        if packet.phase != Phase::Middle || !entry.state().is_opening() {
            return;
        }
        let opened = Entry::new(entry.target(), EntryState::Open, entry.seen());
        self.insert_flow(packet.key, opened.with_tcp(entry.is_tcp()));
    }

    /// Inserts a flow; returns false when the table is full.
    pub(crate) fn insert_flow(&mut self, key: FlowKey, entry: Entry) -> bool {
        let Ok(existing) = self.table.insert(key, entry) else {
            self.counters.flows_untracked += 1;
            return false;
        };
        if let Some(existing) = existing {
            self.release(existing);
        }
        if entry.state() != EntryState::Closing {
            self.targets.add_flow(entry.target());
        }
        true
    }

    /// Subtracts a removed entry from the flow count of its target.
    pub(crate) fn release(&mut self, entry: Entry) {
        if entry.state() != EntryState::Closing {
            self.targets.remove_flow(entry.target());
        }
    }

    /// Returns the binding of an entry to send to another forwarder.
    pub(super) fn binding_of(&self, entry: Entry) -> FlowBinding {
        FlowBinding {
            target: self.address_of(entry),
            age: Tick::from(self.event_time).since(entry.seen()),
        }
    }

    /// Returns the address of an entry's target.
    pub(super) fn address_of(&self, entry: Entry) -> SocketAddr {
        self.targets.get(entry.target()).identity.address
    }

    /// Expires idle flows of one shard.
    pub(super) fn sweep(&mut self, now: Moment) {
        let is_settled = self.is_settled() && self.handover.is_done();
        let now = Tick::from(now);
        let targets = &self.targets;
        let mut topology = self.topology.as_mut().filter(|_| is_settled);
        let mut expired = Vec::new();
        self.table.retain(self.next_shard, |key, entry| {
            let idle = match entry.state() {
                EntryState::Open => targets.get(entry.target()).idle_ticks,
                EntryState::Closing => CLOSING_IDLE_TICKS,
                EntryState::Unconfirmed => UNCONFIRMED_IDLE_TICKS,
                EntryState::Opening | EntryState::Retried => OPENING_IDLE_TICKS,
            };
            // A flow that other forwarders own has been handed over, and this forwarder would not
            // see its end.
            let is_handed_over = topology.as_mut().is_some_and(|topology| {
                let ranks = topology.ranks(key);
                topology.local().is_some() && topology.role(&ranks) == Role::Relay
            });
            let is_kept = !is_handed_over && now.since(entry.seen()) <= idle;
            if !is_kept {
                expired.push(entry);
            }
            is_kept
        });
        self.counters.flows_expired += expired.len() as u64;
        for entry in expired {
            self.release(entry);
        }
        self.next_shard = (self.next_shard + 1) % SHARDS;
    }
}
