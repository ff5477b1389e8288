//! Exchange of flow state between forwarders, carried by the packets of the flows.
//!
//! The owner queries its peers about flows that it does not know and replicates bindings to the
//! shadow. Shadow and owner may record different targets for one flow while their views differ;
//! this module resolves such conflicts.

use std::net::SocketAddr;

use super::owner::HOLD_TIME;
use super::{Forwarder, Output, Route, Tracking};
use crate::Clock;
use crate::counters::DropCause;
use crate::geneve::{Header, Payload};
use crate::option::{FlowBinding, FlowOption, FlowOptionKind};
use crate::packet::{Packet, Phase};
use crate::pick::Pick;
use crate::table::{Entry, EntryState, Tick};
use crate::target::{Identity, TargetStatus};

/// How a binding is replicated to the shadow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Replication {
    /// The packet goes through the shadow to the target.
    ViaShadow,
    /// As [`Self::ViaShadow`], and the shadow must replace the target that it has recorded.
    Final,
    /// The shadow receives a copy that it does not send on.
    Copy,
}

impl<O: Output, C: Clock, P: Pick> Forwarder<O, C, P> {
    /// Queries the next forwarder in rank, or resolves the flow as unknown when none is left.
    pub(super) fn query_next(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
        from: usize,
    ) -> Result<(), DropCause> {
        if let Some(entry) = self.find_entry(packet.key, route) {
            // A reply to a query for another packet of the flow arrived first.
            return self.forward(packet, route, entry);
        }
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let Some((rank, member)) = topology.next_queried(&route.ranks, from) else {
            return self.resolve_unknown(packet, route);
        };
        let kind = FlowOptionKind::Query { rank: rank as u8 };
        let to = member.address;
        self.counters.queries += 1;
        self.send_to_peer(to, 0, kind, route.hops, packet);
        Ok(())
    }

    /// Returns a packet to the forwarder that sent the query, with the binding if there is one.
    pub(super) fn answer_query(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        rank: u8,
    ) {
        let is_answerable = |entry: &Entry| {
            let is_confirmed = entry.state() != EntryState::Unconfirmed;
            is_confirmed && (packet.phase != Phase::First || self.is_retransmitted(*entry))
        };
        let (vni, kind) = match self.find_entry(packet.key, route).filter(is_answerable) {
            Some(entry) => {
                self.record_opened(packet, entry);
                (
                    route.vni.get(),
                    FlowOptionKind::Found(self.binding_of(entry)),
                )
            }
            None => (0, FlowOptionKind::NotFound { rank }),
        };
        self.counters.replies += 1;
        self.send_to_peer(source, vni, kind, route.hops, packet);
    }

    /// Records the binding of a reply and sends the packet on.
    pub(super) fn handle_found(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        binding: FlowBinding,
    ) -> Result<(), DropCause> {
        self.record_sender(source);
        if let Some(entry) = self.find_entry(packet.key, route) {
            return self.forward(packet, route, entry);
        }
        if packet.phase == Phase::First && self.is_removed(route, binding) {
            return self.place_new(packet, route);
        }
        let entry = self.record_binding(source, packet, route, binding);
        let is_from_shadow = self
            .topology
            .as_ref()
            .and_then(|topology| topology.first_peer(&route.ranks))
            .is_some_and(|shadow| shadow.address == source);
        if !is_from_shadow && self.replicate(packet, route, entry, Replication::ViaShadow) {
            return Ok(());
        }
        self.deliver(packet, route.vni, entry.target())
    }

    /// Records a binding as shadow and sends the packet to the target.
    pub(super) fn handle_replicate(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        binding: FlowBinding,
        is_final: bool,
    ) -> Result<(), DropCause> {
        self.record_sender(source);
        let existing = self.find_entry(packet.key, route).filter(|_| !is_final);
        let conflicting = existing.filter(|entry| self.address_of(*entry) != binding.target);
        if let Some(entry) = conflicting
            && self.is_preferred(packet, entry, binding)
        {
            self.counters.conflicts += 1;
            self.send_update(source, packet, route, entry);
            self.touch(packet, entry);
            return self.deliver(packet, route.vni, entry.target());
        }
        if packet.phase == Phase::First && self.is_draining(route, binding) {
            return self.override_pick(source, packet, route);
        }
        // A flow must not begin at a target that only the sender has recorded: other forwarders
        // can't query a sender that is missing from their view, so the next packet of the flow
        // could go elsewhere. The caller retransmits, and by then the view may have caught up.
        let is_new = packet.phase == Phase::First || !packet.is_tcp();
        if is_new && !self.is_trusted(source, route, binding) {
            return Err(DropCause::UnknownSender);
        }
        let entry = self.record_binding(source, packet, route, binding);
        self.deliver(packet, route.vni, entry.target())
    }

    /// Whether the target of a binding is leaving or removed under the current view.
    pub(super) fn is_draining(&self, route: &Route, binding: FlowBinding) -> bool {
        let status = self.status_of(route, binding);
        matches!(status, Some(TargetStatus::Leaving | TargetStatus::Removed))
    }

    /// Whether the target of a binding is removed under the current view.
    pub(super) fn is_removed(&self, route: &Route, binding: FlowBinding) -> bool {
        self.status_of(route, binding) == Some(TargetStatus::Removed)
    }

    /// Returns the status of a target that another forwarder names.
    pub(super) fn status_of(&self, route: &Route, binding: FlowBinding) -> Option<TargetStatus> {
        let number = self.targets.find(identity_of(route, binding))?;
        Some(self.targets.get(number).status)
    }

    /// Picks another target as shadow, since the owner's view does not show yet that its pick is
    /// leaving.
    pub(super) fn override_pick(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
    ) -> Result<(), DropCause> {
        let number = self.pick_target(packet, route, None)?;
        let entry = self.new_entry(packet, number);
        self.insert_flow(packet.key, entry);
        self.counters.conflicts += 1;
        self.send_update(source, packet, route, entry);
        self.deliver(packet, route.vni, number)
    }

    /// Sends this forwarder's binding to another forwarder, with a copy of the packet.
    pub(super) fn send_update(
        &mut self,
        to: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        entry: Entry,
    ) {
        let kind = FlowOptionKind::Update(self.binding_of(entry));
        self.counters.control_bytes += packet.bytes.len() as u64;
        self.send_to_peer(to, route.vni.get(), kind, route.hops, packet);
    }

    /// Records a binding without sending the packet on.
    pub(super) fn handle_update(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        binding: FlowBinding,
    ) -> Result<(), DropCause> {
        self.record_sender(source);
        self.record_binding(source, packet, route, binding);
        Ok(())
    }

    /// Whether this forwarder's own entry takes precedence over the sender's binding.
    pub(super) fn is_preferred(
        &self,
        packet: &Packet<'_>,
        entry: Entry,
        binding: FlowBinding,
    ) -> bool {
        if entry.state() == EntryState::Unconfirmed {
            return false;
        }
        if packet.phase == Phase::First {
            return self.is_retransmitted(entry);
        }
        // When two owners pick at the same time, the entry of the shadow takes precedence, since
        // both owners replicate to the shadow.
        Tick::from(self.event_time).since(entry.seen()) <= binding.age
    }

    /// Records that the view lacks a sender: the view may be out of date, and other forwarders may
    /// know more flows.
    fn record_sender(&mut self, source: SocketAddr) {
        if self.is_member(source) {
            return;
        }
        self.counters.unknown_senders += 1;
        self.view_late_until = self.event_time.after(HOLD_TIME);
    }

    /// Whether a target that another forwarder names may be recorded.
    ///
    /// A forwarder that joined may be in the views of others before it is in this one. A binding
    /// from such a forwarder is accepted if the view lists the target too.
    fn is_trusted(&self, source: SocketAddr, route: &Route, binding: FlowBinding) -> bool {
        self.is_member(source) || self.is_listed(route, binding)
    }

    /// Whether the current view lists a target in the group of a packet.
    fn is_listed(&self, route: &Route, binding: FlowBinding) -> bool {
        let Some(topology) = self.topology.as_ref() else {
            return false;
        };
        let number = self.targets.find(identity_of(route, binding));
        number.is_some_and(|number| topology.group(route.group).has(number))
    }

    /// Records a binding from another forwarder.
    ///
    /// The returned entry is valid for this packet even when it was not stored.
    pub(super) fn record_binding(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        binding: FlowBinding,
    ) -> Entry {
        let status = TargetStatus::Unlisted(self.event_time);
        let number = self.targets.intern(identity_of(route, binding), status);
        let state = match packet.phase {
            Phase::First => EntryState::Opening,
            Phase::Middle => EntryState::Open,
            Phase::Last => EntryState::Closing,
        };
        let entry =
            Entry::new(number, state, Tick::from(self.event_time)).with_tcp(packet.is_tcp());
        let is_trusted = self.is_trusted(source, route, binding);
        // If forwarders learned removed targets from each other, no forwarder would ever drop
        // such a target.
        let is_usable = self.targets.get(number).is_usable();
        if is_trusted && is_usable && self.insert_flow(packet.key, entry) {
            self.counters.flows_learned += 1;
        }
        entry
    }

    /// Replicates a binding to the shadow; returns false when there is no shadow.
    pub(super) fn replicate(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
        entry: Entry,
        replication: Replication,
    ) -> bool {
        if self.tracking != Tracking::OwnerShadow || entry.state() == EntryState::Unconfirmed {
            return false;
        }
        let topology = self.topology.as_ref();
        let Some(shadow) = topology.and_then(|topology| topology.first_peer(&route.ranks)) else {
            return false;
        };
        let to = shadow.address;
        let binding = self.binding_of(entry);
        let kind = match replication {
            Replication::ViaShadow | Replication::Final => FlowOptionKind::Replicate {
                binding,
                is_final: replication == Replication::Final,
            },
            Replication::Copy => FlowOptionKind::Update(binding),
        };
        match replication {
            Replication::ViaShadow | Replication::Final => self.counters.replicated += 1,
            Replication::Copy => self.counters.control_bytes += packet.bytes.len() as u64,
        }
        self.send_to_peer(to, route.vni.get(), kind, route.hops, packet);
        true
    }

    /// Sends a packet to another forwarder.
    pub(super) fn send_to_peer(
        &mut self,
        to: SocketAddr,
        vni: u32,
        kind: FlowOptionKind,
        hops: u8,
        packet: &Packet<'_>,
    ) {
        let option = FlowOption {
            kind,
            hops: hops.saturating_add(1),
            revision: self.revision().unwrap_or_default(),
        };
        let header = Header::new(vni, Some(&option), &Payload::Packet(packet.bytes));
        self.output.send(to, &header, packet.bytes);
    }
}

fn identity_of(route: &Route, binding: FlowBinding) -> Identity {
    Identity {
        vni: route.vni,
        address: binding.target,
    }
}
