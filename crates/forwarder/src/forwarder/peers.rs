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
use crate::target::{Identity, Standing};

/// How the shadow is told of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Teaching {
    /// The packet goes by way of the shadow to the target.
    Path,
    /// The same, and the shadow must not stay with the target that it knows.
    Final,
    /// The shadow gets a copy that it does not send on.
    Copy,
}

impl<O: Output, C: Clock, P: Pick> Forwarder<O, C, P> {
    /// Asks the next forwarder in rank, or concludes that none knows the flow.
    pub(super) fn walk(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
        from: usize,
    ) -> Result<(), DropCause> {
        if let Some(entry) = self.known(packet.key, route) {
            // Another packet of the flow was faster.
            return self.pass(packet, route, entry);
        }
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let Some((rank, member)) = topology.next_asked(&route.ranks, from) else {
            return self.conclude(packet, route);
        };
        let kind = FlowOptionKind::Query { rank: rank as u8 };
        let to = member.address;
        self.counters.queries += 1;
        self.send_marked(to, 0, kind, route.hops, packet);
        Ok(())
    }

    /// Returns a packet to the forwarder that asked, with what is known.
    pub(super) fn answer(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        rank: u8,
    ) {
        let is_wanted = |entry: &Entry| {
            let is_sure = entry.state() != EntryState::Guessed;
            is_sure && (packet.phase != Phase::First || self.is_retransmitted(*entry))
        };
        let (vni, kind) = match self.known(packet.key, route).filter(is_wanted) {
            Some(entry) => {
                self.note_opened(packet, entry);
                (route.vni.get(), FlowOptionKind::Found(self.recall(entry)))
            }
            None => (0, FlowOptionKind::NotFound { rank }),
        };
        self.counters.replies += 1;
        self.send_marked(source, vni, kind, route.hops, packet);
    }

    /// Learns from an answer and sends the packet on.
    pub(super) fn take_known(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        binding: FlowBinding,
    ) -> Result<(), DropCause> {
        self.note_sender(source);
        if let Some(entry) = self.known(packet.key, route) {
            return self.pass(packet, route, entry);
        }
        if packet.phase == Phase::First && self.is_gone(route, binding) {
            return self.begin(packet, route);
        }
        let entry = self.learn(source, packet, route, binding);
        let is_from_shadow = self
            .topology
            .as_ref()
            .and_then(|topology| topology.first_peer(&route.ranks))
            .is_some_and(|shadow| shadow.address == source);
        if !is_from_shadow && self.teach(packet, route, entry, Teaching::Path) {
            return Ok(());
        }
        self.deliver(packet, route.vni, entry.target())
    }

    /// Learns as shadow and sends the packet to the target.
    pub(super) fn take_learn(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        binding: FlowBinding,
        is_final: bool,
    ) -> Result<(), DropCause> {
        self.note_sender(source);
        let held = self.known(packet.key, route).filter(|_| !is_final);
        let other = held.filter(|entry| self.address_of(*entry) != binding.target);
        if let Some(entry) = other
            && self.is_better(packet, entry, binding)
        {
            self.counters.conflicts += 1;
            self.send_correct(source, packet, route, entry);
            self.touch(packet, entry);
            return self.deliver(packet, route.vni, entry.target());
        }
        if packet.phase == Phase::First && self.is_closed(route, binding) {
            return self.overrule(source, packet, route);
        }
        // A flow must not begin at a target that only the sender would know: where its next packet
        // goes, nobody may ask the sender. The caller sends again, and the view follows.
        let is_new = packet.phase == Phase::First || !packet.is_tcp();
        if is_new && !self.is_believed(source, route, binding) {
            return Err(DropCause::UnknownSender);
        }
        let entry = self.learn(source, packet, route, binding);
        self.deliver(packet, route.vni, entry.target())
    }

    /// Whether the view says that a target takes no new flows.
    pub(super) fn is_closed(&self, route: &Route, binding: FlowBinding) -> bool {
        let standing = self.standing_of(route, binding);
        matches!(standing, Some(Standing::Leaving | Standing::Gone))
    }

    /// Whether the view has lost a target that it had before.
    pub(super) fn is_gone(&self, route: &Route, binding: FlowBinding) -> bool {
        self.standing_of(route, binding) == Some(Standing::Gone)
    }

    /// What the view says of a target that another forwarder names.
    pub(super) fn standing_of(&self, route: &Route, binding: FlowBinding) -> Option<Standing> {
        let number = self.targets.find(identity_of(route, binding))?;
        Some(self.targets.get(number).standing)
    }

    /// Picks anew as shadow, since the owner does not know yet that its pick is leaving.
    pub(super) fn overrule(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
    ) -> Result<(), DropCause> {
        let number = self.pick_target(packet, route, None)?;
        let entry = self.new_entry(packet, number);
        self.remember(packet.key, entry);
        self.counters.conflicts += 1;
        self.send_correct(source, packet, route, entry);
        self.deliver(packet, route.vni, number)
    }

    /// Tells another forwarder what this one remembers, with a copy of the packet.
    pub(super) fn send_correct(
        &mut self,
        to: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        entry: Entry,
    ) {
        let kind = FlowOptionKind::Update(self.recall(entry));
        self.counters.control_bytes += packet.bytes.len() as u64;
        self.send_marked(to, route.vni.get(), kind, route.hops, packet);
    }

    /// Learns without sending the packet on.
    pub(super) fn take_correct(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        binding: FlowBinding,
    ) -> Result<(), DropCause> {
        self.note_sender(source);
        self.learn(source, packet, route, binding);
        Ok(())
    }

    /// Whether an own entry is to be believed rather than the sender's.
    pub(super) fn is_better(
        &self,
        packet: &Packet<'_>,
        entry: Entry,
        binding: FlowBinding,
    ) -> bool {
        if entry.state() == EntryState::Guessed {
            return false;
        }
        if packet.phase == Phase::First {
            return self.is_retransmitted(entry);
        }
        // Of two picks at the same time the shadow's stands, as both owners ask it.
        Tick::from(self.latest).since(entry.seen()) <= binding.age
    }

    /// Notes a sender that the view lacks: the view may be late, and others know more flows.
    fn note_sender(&mut self, source: SocketAddr) {
        if self.is_member(source) {
            return;
        }
        self.counters.unknown_senders += 1;
        self.late_until = self.latest.after(HOLD_TIME);
    }

    /// Whether a target that another forwarder names may be remembered.
    ///
    /// A forwarder that joined may be in the views of others before it is in this one. What it says
    /// is kept if the view has the target too.
    fn is_believed(&self, source: SocketAddr, route: &Route, binding: FlowBinding) -> bool {
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
    pub(super) fn learn(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        binding: FlowBinding,
    ) -> Entry {
        let standing = Standing::Foreign(self.latest);
        let number = self.targets.intern(identity_of(route, binding), standing);
        let state = match packet.phase {
            Phase::First => EntryState::Opening,
            Phase::Middle => EntryState::Open,
            Phase::Last => EntryState::Closing,
        };
        let entry = Entry::new(number, state, Tick::from(self.latest)).with_tcp(packet.is_tcp());
        let is_believed = self.is_believed(source, route, binding);
        // Forwarders that kept a lost target for one another would keep it for ever.
        let is_usable = self.targets.get(number).is_usable();
        if is_believed && is_usable && self.remember(packet.key, entry) {
            self.counters.flows_learned += 1;
        }
        entry
    }

    /// Tells the shadow of a flow; false if there is none.
    pub(super) fn teach(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
        entry: Entry,
        teaching: Teaching,
    ) -> bool {
        if self.tracking != Tracking::OwnerShadow || entry.state() == EntryState::Guessed {
            return false;
        }
        let topology = self.topology.as_ref();
        let Some(shadow) = topology.and_then(|topology| topology.first_peer(&route.ranks)) else {
            return false;
        };
        let to = shadow.address;
        let binding = self.recall(entry);
        let kind = match teaching {
            Teaching::Path | Teaching::Final => FlowOptionKind::Replicate {
                binding,
                is_final: teaching == Teaching::Final,
            },
            Teaching::Copy => FlowOptionKind::Update(binding),
        };
        match teaching {
            Teaching::Path | Teaching::Final => self.counters.replicated += 1,
            Teaching::Copy => self.counters.control_bytes += packet.bytes.len() as u64,
        }
        self.send_marked(to, route.vni.get(), kind, route.hops, packet);
        true
    }

    /// Sends a packet to another forwarder.
    pub(super) fn send_marked(
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
