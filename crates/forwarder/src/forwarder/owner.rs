//! Work of a flow's owner: places the flow, forwards its packets, and finds the target of a flow
//! that the owner does not know.

use std::time::Duration;

use bambooseam_types::ServiceId;
use bambooseam_view::FlowKey;

use super::peers::Replication;
use super::tracking::DUPLICATE_TICKS;
use super::{Forwarder, Output, RELAY_LIMIT, Route};
use crate::Clock;
use crate::counters::DropCause;
use crate::geneve::{Header, Payload};
use crate::option::FlowOptionKind;
use crate::packet::{Packet, Phase};
use crate::pick::{Loads, Pick};
use crate::strip::strip_data;
use crate::table::{Entry, EntryState, Tick};
use crate::target::TargetNumber;
use crate::topology::{Group, GroupIndex, Member, Role};

/// Time for which packets are dropped while a forwarder that can't be queried may know their flow.
pub(super) const HOLD_TIME: Duration = Duration::from_secs(10);
/// As [`HOLD_TIME`], for TCP while a zone is partitioned: TCP callers retransmit for minutes.
const PARTITION_HOLD_TIME: Duration = Duration::from_secs(120);

impl<O: Output, C: Clock, P: Pick> Forwarder<O, C, P> {
    /// Handles a packet from the fabric, or one relayed to this forwarder.
    pub(super) fn dispatch(&mut self, packet: &Packet<'_>, route: &Route) -> Result<(), DropCause> {
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let role = topology.role(&route.ranks);
        let is_owner = role == Role::Owner || route.hops >= RELAY_LIMIT;
        if !is_owner {
            // The owner must see the first and last packets of a flow.
            let may_deliver = role == Role::Shadow && packet.phase == Phase::Middle;
            let is_deliverable = |entry: &Entry| may_deliver && !entry.state().is_opening();
            if let Some(entry) = self.find_entry(packet.key, route).filter(is_deliverable) {
                self.touch(packet, entry);
                return self.deliver(packet, route.vni, entry.target());
            }
            return self.relay(packet, route);
        }
        match self.find_entry(packet.key, route) {
            Some(entry) if packet.phase != Phase::First => self.forward(packet, route, entry),
            Some(entry) if self.is_retransmitted(entry) => {
                self.forward_retransmission(packet, route, entry)
            }
            Some(_) => self.place_new(packet, route),
            None if packet.phase == Phase::First && self.is_settled() => {
                self.place_new(packet, route)
            }
            None => self.query_next(packet, route, 0),
        }
    }

    /// Forwards a packet of a known flow, through the shadow if the shadow may not know the flow
    /// yet.
    pub(super) fn forward(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
        entry: Entry,
    ) -> Result<(), DropCause> {
        self.touch(packet, entry);
        let is_unreplicated = packet.phase == Phase::Last
            || entry.state().is_opening()
            || entry.seen() <= Tick::from(self.membership_changed);
        if is_unreplicated && self.replicate(packet, route, entry, Replication::ViaShadow) {
            return Ok(());
        }
        self.deliver(packet, route.vni, entry.target())
    }

    /// Forwards a further copy of a first packet.
    ///
    /// A duplicate made by the fabric goes through the shadow as the first copy did, since the
    /// shadow may yet override the pick. A caller retransmits only after a while: by then the
    /// shadow may be dead, so the packet goes straight to the target. On the second retransmission
    /// the target may be dead, so another target is picked.
    pub(super) fn forward_retransmission(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
        entry: Entry,
    ) -> Result<(), DropCause> {
        let is_duplicate = Tick::from(self.event_time).since(entry.seen()) < DUPLICATE_TICKS;
        if !is_duplicate && entry.state() == EntryState::Retried {
            return self.place(packet, route, Some(entry.target()));
        }
        self.touch(packet, entry);
        if is_duplicate && self.replicate(packet, route, entry, Replication::ViaShadow) {
            return Ok(());
        }
        if !is_duplicate {
            self.replicate(packet, route, entry, Replication::Copy);
        }
        self.deliver(packet, route.vni, entry.target())
    }

    /// Relays a packet to the owner.
    pub(super) fn relay(&mut self, packet: &Packet<'_>, route: &Route) -> Result<(), DropCause> {
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let owner = topology.owner(&route.ranks).ok_or(DropCause::NoView)?;
        let to = owner.address;
        self.counters.relayed += 1;
        self.send_to_peer(to, 0, FlowOptionKind::Relay, route.hops, packet);
        Ok(())
    }

    /// Lets the next forwarder in rank act as owner while this forwarder's view may be out of date.
    pub(super) fn defer(&mut self, packet: &Packet<'_>, route: &Route) -> Result<(), DropCause> {
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let peer = topology.first_peer(&route.ranks);
        let to = peer.ok_or(DropCause::AwaitingView)?.address;
        self.counters.relayed += 1;
        let hops = route.hops.max(RELAY_LIMIT);
        self.send_to_peer(to, 0, FlowOptionKind::Relay, hops, packet);
        Ok(())
    }

    /// Handles a packet whose flow no queried forwarder knows.
    pub(super) fn resolve_unknown(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
    ) -> Result<(), DropCause> {
        if packet.phase == Phase::First {
            return self.place_new(packet, route);
        }
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let now = self.event_time;
        let is_recent = |member: &Member| now.since(member.since) < HOLD_TIME;
        let is_partition_recent = |member: &Member| now.since(member.since) < PARTITION_HOLD_TIME;
        let may_be_known = now < self.view_late_until
            || topology.has_suspected_rank(&route.ranks, is_recent)
            || (packet.is_tcp() && topology.has_suspected_zone(is_partition_recent));
        if may_be_known {
            return Err(DropCause::HolderUnreachable);
        }
        let has_suspected = topology.has_suspected_rank(&route.ranks, |_| true);
        if !packet.is_tcp() && !has_suspected {
            return self.place_new(packet, route);
        }
        self.place_by_default(packet, route)
    }

    /// Sends a packet of an unknown flow to the default pick.
    pub(super) fn place_by_default(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
    ) -> Result<(), DropCause> {
        if self.event_time < self.recheck_until {
            return self.defer(packet, route);
        }
        let number = self
            .default_pick(packet.key, route.group)
            .ok_or(DropCause::NoTarget)?;
        let seen = Tick::from(self.event_time);
        // A UDP target accepts any packet, so the default pick binds the flow without confirmation.
        let state = match packet.is_tcp() {
            true => EntryState::Unconfirmed,
            false => EntryState::Open,
        };
        let entry = Entry::new(number, state, seen).with_tcp(packet.is_tcp());
        self.insert_flow(packet.key, entry);
        self.counters.flows_defaulted += 1;
        self.deliver(packet, route.vni, number)
    }

    /// Places a new flow.
    pub(super) fn place_new(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
    ) -> Result<(), DropCause> {
        self.place(packet, route, None)
    }

    /// Places a new flow, or a flow that the target `excluded` did not accept.
    pub(super) fn place(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
        excluded: Option<TargetNumber>,
    ) -> Result<(), DropCause> {
        if self.event_time < self.recheck_until {
            return self.defer(packet, route);
        }
        if self.table.is_full() && self.table.get(packet.key).is_none() {
            return Err(DropCause::TableFull);
        }
        let number = self.pick_target(packet, route, excluded)?;
        let entry = self.new_entry(packet, number);
        self.insert_flow(packet.key, entry);
        self.counters.flows_new += 1;
        let replication = match excluded {
            Some(_) => Replication::Final,
            None => Replication::ViaShadow,
        };
        if self.replicate(packet, route, entry, replication) {
            return Ok(());
        }
        self.deliver(packet, route.vni, number)
    }

    /// Creates the entry of a flow that this forwarder has placed.
    pub(super) fn new_entry(&self, packet: &Packet<'_>, number: TargetNumber) -> Entry {
        let state = match packet.phase {
            Phase::First => EntryState::Opening,
            _ => EntryState::Open,
        };
        Entry::new(number, state, Tick::from(self.event_time)).with_tcp(packet.is_tcp())
    }

    /// Picks an open target for a new flow; `excluded` is picked only if no other target is open.
    pub(super) fn pick_target(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
        excluded: Option<TargetNumber>,
    ) -> Result<TargetNumber, DropCause> {
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let loads = Loads {
            targets: &self.targets,
            now: self.event_time,
        };
        let group = topology.group(route.group);
        let picked = match excluded {
            Some(excluded) => self.pick.pick(packet.key, &group.without(excluded), &loads),
            None => self.pick.pick(packet.key, group, &loads),
        };
        let picked = picked.or(excluded).ok_or(DropCause::NoTarget)?;
        self.check(self.targets.get(picked).is_open(), "new_flow_to_leaving");
        Ok(picked)
    }

    /// Sends a packet to the pick of the hash alone.
    pub(super) fn place_stateless(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
    ) -> Result<(), DropCause> {
        let number = self.pick_target(packet, route, None)?;
        self.deliver(packet, route.vni, number)
    }

    /// Sends a packet to its target.
    pub(super) fn deliver(
        &mut self,
        packet: &Packet<'_>,
        vni: ServiceId,
        number: TargetNumber,
    ) -> Result<(), DropCause> {
        let identity = self.targets.get(number).identity;
        self.check(identity.vni == vni, "wrong_service");
        self.counters.delivered += 1;
        if packet.phase == Phase::First && packet.has_data {
            let stripped = strip_data(packet.bytes).ok_or(DropCause::SynData)?;
            self.counters.syn_stripped += 1;
            let header = Header::new(identity.vni.get(), None, &Payload::Packet(&stripped));
            self.output.send(identity.address, &header, &stripped);
            return Ok(());
        }
        let header = Header::new(identity.vni.get(), None, &Payload::Packet(packet.bytes));
        self.output.send(identity.address, &header, packet.bytes);
        Ok(())
    }

    /// Returns the default pick under the oldest view whose pick is still a candidate.
    pub(super) fn default_pick(&self, key: FlowKey, index: GroupIndex) -> Option<TargetNumber> {
        let current = self.topology.as_ref()?.group(index);
        let is_same = |group: &&Group| group.vni == current.vni && group.kind == current.kind;
        for groups in &self.history {
            let Some(group) = groups.iter().find(is_same) else {
                continue;
            };
            let Some(number) = group.default_pick(key) else {
                continue;
            };
            if current.has(number) {
                return Some(number);
            }
        }
        current.default_pick(key)
    }
}
