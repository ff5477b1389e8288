//! What forwarders tell one another of a flow, with its packets.

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

/// How the shadow is told of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Replication {
    /// The packet goes by way of the shadow to the target.
    ViaShadow,
    /// The same, and the shadow must not stay with the target that it knows.
    Final,
    /// The shadow gets a copy that it does not send on.
    Copy,
}

impl<O: Output, C: Clock, P: Pick> Forwarder<O, C, P> {
    /// Asks the next forwarder in rank, or concludes that none knows the flow.
    pub(super) fn query_next(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
        from: usize,
    ) -> Result<(), DropCause> {
        if let Some(entry) = self.find_entry(packet.key, route) {
            // Another packet of the flow was faster.
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

    /// Returns a packet to the forwarder that asked, with what is known.
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

    /// Learns from an answer and sends the packet on.
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

    /// Learns as shadow and sends the packet to the target.
    pub(super) fn handle_replicate(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        binding: FlowBinding,
        is_final: bool,
    ) -> Result<(), DropCause> {
        self.record_sender(source);
        let held = self.find_entry(packet.key, route).filter(|_| !is_final);
        let other = held.filter(|entry| self.address_of(*entry) != binding.target);
        if let Some(entry) = other
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
        // A flow must not begin at a target that only the sender would know: where its next packet
        // goes, nobody may ask the sender. The caller sends again, and the view follows.
        let is_new = packet.phase == Phase::First || !packet.is_tcp();
        if is_new && !self.is_trusted(source, route, binding) {
            return Err(DropCause::UnknownSender);
        }
        let entry = self.record_binding(source, packet, route, binding);
        self.deliver(packet, route.vni, entry.target())
    }

    /// Whether the view says that a target takes no new flows.
    pub(super) fn is_draining(&self, route: &Route, binding: FlowBinding) -> bool {
        let status = self.status_of(route, binding);
        matches!(status, Some(TargetStatus::Leaving | TargetStatus::Removed))
    }

    /// Whether the view has lost a target that it had before.
    pub(super) fn is_removed(&self, route: &Route, binding: FlowBinding) -> bool {
        self.status_of(route, binding) == Some(TargetStatus::Removed)
    }

    /// What the view says of a target that another forwarder names.
    pub(super) fn status_of(&self, route: &Route, binding: FlowBinding) -> Option<TargetStatus> {
        let number = self.targets.find(identity_of(route, binding))?;
        Some(self.targets.get(number).status)
    }

    /// Picks anew as shadow, since the owner does not know yet that its pick is leaving.
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

    /// Tells another forwarder what this one remembers, with a copy of the packet.
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

    /// Learns without sending the packet on.
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

    /// Whether an own entry is to be believed rather than the sender's.
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
        // Of two picks at the same time the shadow's stands, as both owners ask it.
        Tick::from(self.event_time).since(entry.seen()) <= binding.age
    }

    /// Notes a sender that the view lacks: the view may be late, and others know more flows.
    fn record_sender(&mut self, source: SocketAddr) {
        if self.is_member(source) {
            return;
        }
        self.counters.unknown_senders += 1;
        self.view_late_until = self.event_time.after(HOLD_TIME);
    }

    /// Whether a target that another forwarder names may be remembered.
    ///
    /// A forwarder that joined may be in the views of others before it is in this one. What it says
    /// is kept if the view has the target too.
    fn is_trusted(&self, source: SocketAddr, route: &Route, binding: FlowBinding) -> bool {
        self.is_member(source) || self.is_listed(route, binding)
    }

    /// Whether the view in force has a target where a packet goes.
    fn is_listed(&self, route: &Route, binding: FlowBinding) -> bool {
        let Some(topology) = self.topology.as_ref() else {
            return false;
        };
        let number = self.targets.find(identity_of(route, binding));
        number.is_some_and(|number| topology.group(route.group).has(number))
    }

    /// Remembers what another forwarder said; the entry is good for this packet in any case.
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
        // Forwarders that kept a lost target for one another would keep it for ever.
        let is_usable = self.targets.get(number).is_usable();
        if is_trusted && is_usable && self.insert_flow(packet.key, entry) {
            self.counters.flows_learned += 1;
        }
        entry
    }

    /// Tells the shadow of a flow; false if there is none.
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
        let head = Header::new(vni, Some(&option), &Payload::Packet(packet.bytes));
        self.output.send(to, &head, packet.bytes);
    }
}

/// Identity of a target that another forwarder names.
fn identity_of(route: &Route, binding: FlowBinding) -> Identity {
    Identity {
        vni: route.vni,
        address: binding.target,
    }
}
