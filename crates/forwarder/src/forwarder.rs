//! The path of a packet: service, owner, target.
//!
//! Any forwarder may receive any packet. It relays to the flow's *owner*, the first live
//! forwarder in rank. The owner picks the target of a new flow and sends the first packet by way
//! of the *shadow*, the second in rank, so that both know the target before it sees the flow. An
//! owner that does not know a flow asks down the rank, with the packet itself; former owners are
//! there, since a rank only shifts when members come and go. Only when every forwarder that can
//! be reached says "unknown" does the default pick decide.
//!
//! After a change of membership the next packet of each flow goes by way of the shadow again, so
//! a new shadow learns without messages of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_types::{ByteRate, Revision, ServiceId, VmId};
use bambooseam_view::{FlowKey, View};

use crate::counters::{Counters, DropCause};
use crate::geneve::{self, Head, Payload};
use crate::handover::Handover;
use crate::mark::{Mark, MarkKind, Recalled};
use crate::packet::{self, Packet, Phase};
use crate::pick::{Loads, Pick};
use crate::strip::strip_data;
use crate::table::{Entry, EntryState, FlowTable, SHARDS, Tick};
use crate::target::{Identity, Standing, TargetNumber, TargetRegistry};
use crate::topology::{Group, GroupIndex, Member, Ranks, Role, Topology};
use crate::{Clock, Moment};

/// Times that a packet may be relayed before its holder acts as owner.
const RELAY_LIMIT: u8 = 3;
/// Times that a packet may be passed on in all.
const HOP_LIMIT: u8 = 24;
/// Groups of earlier views that are kept for default picks.
const HISTORY_LIMIT: usize = 16;
/// Time after a change of membership in which new flows are asked about before they are placed.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// Time for which packets are dropped while a dead forwarder may know their flow.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// The same for TCP while a zone is cut off: callers of TCP send again for minutes.
const CUT_HOLD_TIME: Duration = Duration::from_secs(120);
/// Gap between two events after which this process takes itself for paused.
const PAUSE_TIME: Duration = Duration::from_secs(2);
/// Time that a view may take to arrive after a pause.
const RECHECK_TIME: Duration = Duration::from_secs(15);
/// Time for which a target that only other forwarders name is kept.
const FOREIGN_TIME: Duration = Duration::from_secs(60);
/// Ticks in which a SYN of a known flow is taken for a retransmission: a minute.
const RETRANSMIT_TICKS: u32 = 600;
/// Ticks after which a further packet shows that the target of a guessed flow has not reset it.
const PROOF_TICKS: u32 = 20;
/// Time after a pause in which first packets may have waited for long and are dropped.
const STALE_TIME: Duration = Duration::from_millis(200);
/// Ticks before which a further SYN is a copy that the fabric made.
const RESEND_TICKS: u32 = 2;
/// Ticks of silence after which a closing flow is forgotten: two minutes.
const CLOSING_IDLE_TICKS: u32 = 1_200;
/// Ticks of silence after which a guessed flow is forgotten: a minute.
const GUESSED_IDLE_TICKS: u32 = 600;

/// Where packets go.
pub trait Output {
    /// Sends one datagram; a loss is like one of the network.
    fn send(&mut self, to: SocketAddr, head: &Head, payload: &[u8]);
}

/// What is remembered of flows; all but [`Tracking::OwnerShadow`] serve comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tracking {
    /// Nothing: each packet goes to the pick of the hash under the view in force.
    Stateless,
    /// The owner remembers.
    Owner,
    /// The owner and the next in rank remember.
    OwnerShadow,
}

/// The packet program, over its ports.
#[derive(Debug)]
pub struct Forwarder<O, C, P> {
    pub(crate) output: O,
    clock: C,
    pick: P,
    pub(crate) tracking: Tracking,
    vm: VmId,
    pub(crate) table: FlowTable,
    pub(crate) targets: TargetRegistry,
    pub(crate) topology: Option<Topology>,
    pub(crate) history: Vec<Vec<Group>>,
    pub(crate) handover: Handover,
    pub(crate) counters: Counters,
    /// When members last changed, or this process last slept.
    changed: Moment,
    /// No new flow is placed before this moment.
    recheck_until: Moment,
    /// First packets that arrive before this moment may have waited for long.
    stale_until: Moment,
    latest: Moment,
    sweep: usize,
    pub(crate) is_stopping: bool,
}

/// Where a packet belongs under the view in force.
#[derive(Debug, Clone, Copy)]
struct Route {
    group: GroupIndex,
    vni: ServiceId,
    ranks: Ranks,
    hops: u8,
}

impl<O: Output, C: Clock, P: Pick> Forwarder<O, C, P> {
    /// Creates the forwarder of `vm` with room for `flow_limit` flows.
    pub fn new(vm: VmId, flow_limit: usize, output: O, clock: C, pick: P) -> Self {
        let latest = clock.now();
        Self {
            output,
            clock,
            pick,
            tracking: Tracking::OwnerShadow,
            vm,
            table: FlowTable::new(flow_limit),
            targets: TargetRegistry::default(),
            topology: None,
            history: Vec::new(),
            handover: Handover::default(),
            counters: Counters::default(),
            changed: latest,
            recheck_until: latest,
            stale_until: latest,
            latest,
            sweep: 0,
            is_stopping: false,
        }
    }

    /// Sets what is remembered of flows.
    pub fn with_tracking(mut self, tracking: Tracking) -> Self {
        self.tracking = tracking;
        self
    }

    /// Sets the budget of handovers in bytes per second.
    pub fn with_handover_budget(mut self, budget: ByteRate) -> Self {
        self.handover = Handover::new(budget);
        self
    }

    /// What was counted.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The flows that are remembered.
    pub fn table(&self) -> &FlowTable {
        &self.table
    }

    /// The targets that were met.
    pub fn targets(&self) -> &TargetRegistry {
        &self.targets
    }

    /// The view in force.
    pub fn view(&self) -> Option<&Arc<View>> {
        self.topology.as_ref().map(Topology::view)
    }

    /// Where packets go.
    pub fn output(&mut self) -> &mut O {
        &mut self.output
    }

    /// Flows that are still to be handed over.
    pub fn handover_waiting(&self) -> usize {
        self.handover.waiting()
    }

    /// Whether nothing is left to hand over since the last change of membership.
    pub fn is_handed_over(&self) -> bool {
        self.handover.is_done()
    }

    /// Puts a view in force; false when its revision is below the one in force.
    pub fn set_view(&mut self, view: Arc<View>) -> bool {
        let now = self.note_time();
        let held = self.view().map(|view| view.revision());
        if held.is_some_and(|held| view.revision() < held) {
            self.counters.views_refused += 1;
            log::warn!(
                "event=view_refused cause=lower_revision revision={}",
                view.revision()
            );
            return false;
        }
        let known = self.targets.records().len();
        let earlier = self.topology.take();
        self.targets.clear_standings(now, FOREIGN_TIME);
        let topology = Topology::new(view, &self.vm, earlier.as_ref(), &mut self.targets, now);
        if let Some(earlier) = earlier {
            for number in known..self.targets.records().len() {
                self.targets
                    .set_opened(TargetNumber::from(number as u32), now);
            }
            self.replace(earlier, &topology, now);
        } else {
            self.changed = now;
        }
        self.topology = Some(topology);
        self.counters.views += 1;
        self.check(held <= self.revision(), "revision_fell");
        true
    }

    /// Keeps what an earlier view is still needed for.
    fn replace(&mut self, earlier: Topology, topology: &Topology, now: Moment) {
        if !topology.is_same_membership(&earlier) {
            self.changed = now;
            self.handover.begin();
        }
        if topology.groups() == earlier.groups() {
            return;
        }
        if self.history.len() == HISTORY_LIMIT {
            self.history.remove(0);
        }
        self.history.push(earlier.into_groups());
    }

    /// Takes one datagram from the fabric or another forwarder.
    pub fn receive(&mut self, source: SocketAddr, bytes: &[u8]) {
        self.note_time();
        self.counters.received += 1;
        if let Err(cause) = self.take(source, bytes) {
            self.counters.drop_packet(cause, self.latest);
        }
    }

    /// Does the regular work; to be called ten times a second.
    pub fn tick(&mut self) {
        let now = self.note_time();
        self.sweep(now);
        self.step_handover(now);
    }

    fn take(&mut self, source: SocketAddr, bytes: &[u8]) -> Result<(), DropCause> {
        let datagram = geneve::decode(bytes).map_err(DropCause::Malformed)?;
        let bytes = match (datagram.payload, datagram.mark) {
            (Payload::Packet(bytes), _) => bytes,
            (Payload::Keys(keys), Some(mark)) => {
                return self.take_handover(source, datagram.vni, mark, keys);
            }
            (Payload::Keys(_), None) => return Err(DropCause::UnknownSender),
        };
        if datagram.mark.is_none() && datagram.vni != 0 {
            return Err(DropCause::ForeignVni);
        }
        let packet = packet::decode(bytes).map_err(DropCause::Malformed)?;
        let topology = self.topology.as_mut().ok_or(DropCause::NoView)?;
        let group = topology
            .find_group(packet.flow.service)
            .ok_or(DropCause::NoEntrance)?;
        let vni = topology.group(group).vni;
        let hops = datagram.mark.map_or(0, |mark| mark.hops);
        let route = Route {
            group,
            vni,
            ranks: topology.ranks(packet.key),
            hops,
        };
        if self.tracking == Tracking::Stateless {
            return self.place_stateless(&packet, &route);
        }
        if hops > HOP_LIMIT {
            return Err(DropCause::Looping);
        }
        if packet.phase == Phase::First && self.latest < self.stale_until {
            return Err(DropCause::Stale);
        }
        let kind = datagram.mark.map_or(MarkKind::Relay, |mark| mark.kind);
        let names_target = matches!(
            kind,
            MarkKind::Known(_) | MarkKind::Learn(_) | MarkKind::Correct(_)
        );
        if names_target && datagram.vni != vni.get() {
            return Err(DropCause::ServiceMismatch);
        }
        match kind {
            MarkKind::Relay => self.arrive(&packet, &route),
            MarkKind::Ask { rank } => {
                self.answer(source, &packet, &route, rank);
                Ok(())
            }
            MarkKind::Known(recalled) => self.take_known(source, &packet, &route, recalled),
            MarkKind::Unknown { rank } => self.walk(&packet, &route, usize::from(rank) + 1),
            MarkKind::Learn(recalled) => self.take_learn(source, &packet, &route, recalled),
            MarkKind::Correct(recalled) => self.take_correct(source, &packet, &route, recalled),
            MarkKind::Handover { .. } | MarkKind::HandoverDone { .. } => {
                Err(DropCause::Malformed(geneve::PacketError::BadMark))
            }
        }
    }

    /// Places a packet from the fabric, or one relayed to this forwarder.
    fn arrive(&mut self, packet: &Packet<'_>, route: &Route) -> Result<(), DropCause> {
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let role = topology.role(&route.ranks);
        if packet.phase == Phase::Middle
            && role != Role::Relay
            && let Some(number) = self.settled_target(packet, route)
        {
            return self.deliver(packet, route, number);
        }
        let is_owner = role == Role::Owner || route.hops >= RELAY_LIMIT;
        if !is_owner {
            // The owner must see how a flow begins and ends.
            let is_known = role == Role::Shadow && packet.phase == Phase::Middle;
            if let Some(entry) = self.known(packet.key, route).filter(|_| is_known) {
                self.touch(packet, entry);
                return self.deliver(packet, route, entry.target());
            }
            return self.relay(packet, route);
        }
        match self.known(packet.key, route) {
            Some(entry) if packet.phase != Phase::First => self.pass(packet, route, entry),
            Some(entry) if self.is_retransmitted(entry) => self.repeat(packet, route, entry),
            Some(_) => self.begin(packet, route),
            None if packet.phase == Phase::First && self.is_settled() => self.begin(packet, route),
            None => self.walk(packet, route, 0),
        }
    }

    /// Target of an open flow that the shadow knows too; notes that the flow was seen.
    fn settled_target(&mut self, packet: &Packet<'_>, route: &Route) -> Option<TargetNumber> {
        let changed = Tick::from(self.changed);
        let entry = self.table.get_mut(packet.key)?;
        let record = self.targets.get(entry.target());
        let is_settled = entry.state() == EntryState::Open
            && entry.seen() > changed
            && record.is_usable()
            && record.identity.vni == route.vni;
        if !is_settled {
            return None;
        }
        entry.set_seen(Tick::from(self.latest));
        Some(entry.target())
    }

    /// Sends a packet of a known flow on, by way of a shadow that may not know it yet.
    fn pass(&mut self, packet: &Packet<'_>, route: &Route, entry: Entry) -> Result<(), DropCause> {
        self.touch(packet, entry);
        let is_due = packet.phase == Phase::Last || entry.seen() <= Tick::from(self.changed);
        if is_due && self.teach(packet, route, entry, Teaching::Path) {
            return Ok(());
        }
        self.deliver(packet, route, entry.target())
    }

    /// Sends a further copy of a first packet on.
    ///
    /// A copy that the fabric made takes the way of the first, as the shadow may yet overrule the
    /// pick. A caller sends again only after a while: then the shadow may be dead, and the packet
    /// goes straight to the target.
    fn repeat(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
        entry: Entry,
    ) -> Result<(), DropCause> {
        let is_copy = Tick::from(self.latest).since(entry.seen()) < RESEND_TICKS;
        self.touch(packet, entry);
        if is_copy && self.teach(packet, route, entry, Teaching::Path) {
            return Ok(());
        }
        if !is_copy {
            self.teach(packet, route, entry, Teaching::Copy);
        }
        self.deliver(packet, route, entry.target())
    }

    /// Relays a packet to the owner.
    fn relay(&mut self, packet: &Packet<'_>, route: &Route) -> Result<(), DropCause> {
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let owner = topology.owner(&route.ranks).ok_or(DropCause::NoView)?;
        let to = owner.address;
        self.counters.relayed += 1;
        self.send_marked(to, 0, MarkKind::Relay, route.hops, packet);
        Ok(())
    }

    /// Lets the next in rank act as owner while this forwarder's view may be old.
    fn defer(&mut self, packet: &Packet<'_>, route: &Route) -> Result<(), DropCause> {
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let other = topology.first_other(&route.ranks);
        let to = other.ok_or(DropCause::Recheck)?.address;
        self.counters.relayed += 1;
        let hops = route.hops.max(RELAY_LIMIT);
        self.send_marked(to, 0, MarkKind::Relay, hops, packet);
        Ok(())
    }

    /// Asks the next forwarder in rank, or concludes that none knows the flow.
    fn walk(&mut self, packet: &Packet<'_>, route: &Route, from: usize) -> Result<(), DropCause> {
        if let Some(entry) = self.known(packet.key, route) {
            // Another packet of the flow was faster.
            return self.pass(packet, route, entry);
        }
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let Some((rank, member)) = topology.next_asked(&route.ranks, from) else {
            return self.conclude(packet, route);
        };
        let kind = MarkKind::Ask { rank: rank as u8 };
        let to = member.address;
        self.counters.asked += 1;
        self.send_marked(to, 0, kind, route.hops, packet);
        Ok(())
    }

    /// Returns a packet to the forwarder that asked, with what is known.
    fn answer(&mut self, source: SocketAddr, packet: &Packet<'_>, route: &Route, rank: u8) {
        let is_wanted = |entry: &Entry| {
            let is_sure = entry.state() != EntryState::Guessed;
            is_sure && (packet.phase != Phase::First || self.is_retransmitted(*entry))
        };
        let (vni, kind) = match self.known(packet.key, route).filter(is_wanted) {
            Some(entry) => (route.vni.get(), MarkKind::Known(self.recall(entry))),
            None => (0, MarkKind::Unknown { rank }),
        };
        self.counters.answered += 1;
        self.send_marked(source, vni, kind, route.hops, packet);
    }

    /// Learns from an answer and sends the packet on.
    fn take_known(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        recalled: Recalled,
    ) -> Result<(), DropCause> {
        if let Some(entry) = self.known(packet.key, route) {
            return self.pass(packet, route, entry);
        }
        let entry = self.learn(source, packet, route, recalled);
        let is_from_shadow = self
            .topology
            .as_ref()
            .and_then(|topology| topology.first_other(&route.ranks))
            .is_some_and(|shadow| shadow.address == source);
        if !is_from_shadow && self.teach(packet, route, entry, Teaching::Path) {
            return Ok(());
        }
        self.deliver(packet, route, entry.target())
    }

    /// Learns as shadow and sends the packet to the target.
    fn take_learn(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        recalled: Recalled,
    ) -> Result<(), DropCause> {
        let held = self.known(packet.key, route);
        let other = held.filter(|entry| self.address_of(*entry) != recalled.target);
        if let Some(entry) = other
            && self.is_better(packet, entry, recalled)
        {
            self.counters.conflicts += 1;
            self.send_correct(source, packet, route, entry);
            self.touch(packet, entry);
            return self.deliver(packet, route, entry.target());
        }
        let entry = self.learn(source, packet, route, recalled);
        let is_closed_here = self.targets.get(entry.target()).standing == Standing::Leaving;
        if packet.phase == Phase::First && is_closed_here {
            return self.overrule(source, packet, route);
        }
        self.deliver(packet, route, entry.target())
    }

    /// Picks anew as shadow, since the owner does not know yet that its pick is leaving.
    fn overrule(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
    ) -> Result<(), DropCause> {
        let number = self.pick_target(packet, route)?;
        let seen = Tick::from(self.latest);
        let entry = Entry::new(number, EntryState::Open, seen).with_tcp(packet.is_tcp());
        self.remember(packet.key, entry);
        self.counters.conflicts += 1;
        self.send_correct(source, packet, route, entry);
        self.deliver(packet, route, number)
    }

    /// Tells another forwarder what this one remembers, with a copy of the packet.
    fn send_correct(&mut self, to: SocketAddr, packet: &Packet<'_>, route: &Route, entry: Entry) {
        let kind = MarkKind::Correct(self.recall(entry));
        self.counters.control_bytes += packet.bytes.len() as u64;
        self.send_marked(to, route.vni.get(), kind, route.hops, packet);
    }

    /// Learns without sending the packet on.
    fn take_correct(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        recalled: Recalled,
    ) -> Result<(), DropCause> {
        if !self.is_member(source) {
            return Err(DropCause::UnknownSender);
        }
        self.learn(source, packet, route, recalled);
        Ok(())
    }

    /// Whether an own entry is to be believed rather than the sender's.
    fn is_better(&self, packet: &Packet<'_>, entry: Entry, recalled: Recalled) -> bool {
        if entry.state() == EntryState::Guessed {
            return false;
        }
        if packet.phase == Phase::First {
            return self.is_retransmitted(entry);
        }
        Tick::from(self.latest).since(entry.seen()) < recalled.age
    }

    /// Remembers what another forwarder said; the entry is good for this packet in any case.
    fn learn(
        &mut self,
        source: SocketAddr,
        packet: &Packet<'_>,
        route: &Route,
        recalled: Recalled,
    ) -> Entry {
        let identity = Identity {
            vni: route.vni,
            address: recalled.target,
        };
        let standing = Standing::Foreign(self.latest);
        let number = self.targets.intern(identity, standing);
        if !self.targets.get(number).is_usable() {
            self.targets.set_standing(number, standing);
        }
        let state = match packet.phase {
            Phase::Last => EntryState::Closing,
            _ => EntryState::Open,
        };
        let entry = Entry::new(number, state, Tick::from(self.latest)).with_tcp(packet.is_tcp());
        if self.is_member(source) && self.remember(packet.key, entry) {
            self.counters.flows_learned += 1;
        }
        entry
    }

    /// Decides on a flow that no forwarder knows.
    fn conclude(&mut self, packet: &Packet<'_>, route: &Route) -> Result<(), DropCause> {
        if packet.phase == Phase::First {
            return self.begin(packet, route);
        }
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let now = self.latest;
        let is_recent = |member: &Member| now.since(member.since) < HOLD_TIME;
        let is_cut = |member: &Member| now.since(member.since) < CUT_HOLD_TIME;
        let is_held = topology.has_lost_rank(&route.ranks, is_recent)
            || (packet.is_tcp() && topology.has_lost_zone(is_cut));
        if is_held {
            return Err(DropCause::Held);
        }
        let is_lost = topology.has_lost_rank(&route.ranks, |_| true);
        if !packet.is_tcp() && !is_lost {
            return self.begin(packet, route);
        }
        self.guess(packet, route)
    }

    /// Sends a packet of an unknown flow to the default pick.
    fn guess(&mut self, packet: &Packet<'_>, route: &Route) -> Result<(), DropCause> {
        if self.latest < self.recheck_until {
            return self.defer(packet, route);
        }
        let number = self
            .default_pick(packet.key, route.group)
            .ok_or(DropCause::NoTarget)?;
        let seen = Tick::from(self.latest);
        // A target of UDP takes any packet, so the guess binds the flow.
        let state = match packet.is_tcp() {
            true => EntryState::Guessed,
            false => EntryState::Open,
        };
        let entry = Entry::new(number, state, seen).with_tcp(packet.is_tcp());
        self.remember(packet.key, entry);
        self.counters.flows_guessed += 1;
        self.deliver(packet, route, number)
    }

    /// Places a new flow.
    fn begin(&mut self, packet: &Packet<'_>, route: &Route) -> Result<(), DropCause> {
        if self.latest < self.recheck_until {
            return self.defer(packet, route);
        }
        if self.table.is_full() && self.table.get(packet.key).is_none() {
            return Err(DropCause::TableFull);
        }
        let number = self.pick_target(packet, route)?;
        let seen = Tick::from(self.latest);
        let entry = Entry::new(number, EntryState::Open, seen).with_tcp(packet.is_tcp());
        self.remember(packet.key, entry);
        self.counters.flows_new += 1;
        if self.teach(packet, route, entry, Teaching::Path) {
            return Ok(());
        }
        self.deliver(packet, route, number)
    }

    /// An open target for a new flow.
    fn pick_target(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
    ) -> Result<TargetNumber, DropCause> {
        let topology = self.topology.as_ref().ok_or(DropCause::NoView)?;
        let loads = Loads {
            targets: &self.targets,
            now: self.latest,
        };
        let picked = self
            .pick
            .pick(packet.key, topology.group(route.group), &loads)
            .ok_or(DropCause::NoTarget)?;
        self.check(self.targets.get(picked).is_open(), "new_flow_to_leaving");
        Ok(picked)
    }

    /// Sends a packet by the pick of the hash alone.
    fn place_stateless(&mut self, packet: &Packet<'_>, route: &Route) -> Result<(), DropCause> {
        let number = self.pick_target(packet, route)?;
        self.deliver(packet, route, number)
    }

    /// Sends a packet to its target.
    fn deliver(
        &mut self,
        packet: &Packet<'_>,
        route: &Route,
        number: TargetNumber,
    ) -> Result<(), DropCause> {
        let identity = self.targets.get(number).identity;
        self.check(identity.vni == route.vni, "wrong_service");
        self.counters.delivered += 1;
        if packet.phase == Phase::First && packet.has_data {
            let stripped = strip_data(packet.bytes).ok_or(DropCause::SynData)?;
            self.counters.syn_stripped += 1;
            let head = Head::new(identity.vni.get(), None, &Payload::Packet(&stripped));
            self.output.send(identity.address, &head, &stripped);
            return Ok(());
        }
        let head = Head::new(identity.vni.get(), None, &Payload::Packet(packet.bytes));
        self.output.send(identity.address, &head, packet.bytes);
        Ok(())
    }

    /// Tells the shadow of a flow; false if there is none.
    fn teach(
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
        let Some(shadow) = topology.and_then(|topology| topology.first_other(&route.ranks)) else {
            return false;
        };
        let to = shadow.address;
        let recalled = self.recall(entry);
        let kind = match teaching {
            Teaching::Path => MarkKind::Learn(recalled),
            Teaching::Copy => MarkKind::Correct(recalled),
        };
        match teaching {
            Teaching::Path => self.counters.taught += 1,
            Teaching::Copy => self.counters.control_bytes += packet.bytes.len() as u64,
        }
        self.send_marked(to, route.vni.get(), kind, route.hops, packet);
        true
    }

    /// Sends a packet to another forwarder.
    fn send_marked(
        &mut self,
        to: SocketAddr,
        vni: u32,
        kind: MarkKind,
        hops: u8,
        packet: &Packet<'_>,
    ) {
        let mark = Mark {
            kind,
            hops: hops.saturating_add(1),
            revision: self.revision().unwrap_or_default(),
        };
        let head = Head::new(vni, Some(&mark), &Payload::Packet(packet.bytes));
        self.output.send(to, &head, packet.bytes);
    }

    /// The entry of a flow, if its target is of the packet's service and still in use.
    fn known(&self, key: FlowKey, route: &Route) -> Option<Entry> {
        let entry = self.table.get(key)?;
        let record = self.targets.get(entry.target());
        let is_good = record.is_usable() && record.identity.vni == route.vni;
        is_good.then_some(entry)
    }

    /// Whether a SYN of a known flow is a copy of its first packet.
    fn is_retransmitted(&self, entry: Entry) -> bool {
        let silence = Tick::from(self.latest).since(entry.seen());
        entry.state() == EntryState::Open && silence < RETRANSMIT_TICKS
    }

    /// Whether members have been the same for a while.
    fn is_settled(&self) -> bool {
        self.latest.since(self.changed) >= SETTLE_TIME
    }

    /// Notes that a packet of a known flow has been seen.
    fn touch(&mut self, packet: &Packet<'_>, entry: Entry) {
        let silence = Tick::from(self.latest).since(entry.seen());
        let is_proved = entry.state() == EntryState::Guessed && silence >= PROOF_TICKS;
        let state = match packet.phase {
            Phase::Last => EntryState::Closing,
            _ if is_proved => EntryState::Open,
            _ => entry.state(),
        };
        let fresh =
            Entry::new(entry.target(), state, Tick::from(self.latest)).with_tcp(entry.is_tcp());
        if state == entry.state()
            && let Some(held) = self.table.get_mut(packet.key)
        {
            *held = fresh;
            return;
        }
        self.remember(packet.key, fresh);
    }

    /// Remembers a flow; false when the table is full.
    pub(crate) fn remember(&mut self, key: FlowKey, entry: Entry) -> bool {
        let Ok(held) = self.table.insert(key, entry) else {
            self.counters.flows_unremembered += 1;
            return false;
        };
        if let Some(held) = held {
            self.uncount(held);
        }
        if entry.state() != EntryState::Closing {
            self.targets.add_flow(entry.target());
        }
        true
    }

    /// Takes an entry that was removed out of its target's count.
    pub(crate) fn uncount(&mut self, entry: Entry) {
        if entry.state() != EntryState::Closing {
            self.targets.remove_flow(entry.target());
        }
    }

    /// What to tell another forwarder of an entry.
    fn recall(&self, entry: Entry) -> Recalled {
        Recalled {
            target: self.address_of(entry),
            age: Tick::from(self.latest).since(entry.seen()),
        }
    }

    /// Address of an entry's target.
    fn address_of(&self, entry: Entry) -> SocketAddr {
        self.targets.get(entry.target()).identity.address
    }

    /// The pick of the hash under the oldest view whose target is still in use.
    fn default_pick(&self, key: FlowKey, index: GroupIndex) -> Option<TargetNumber> {
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

    /// Whether an address is that of a forwarder in the view.
    pub(crate) fn is_member(&self, address: SocketAddr) -> bool {
        let topology = self.topology.as_ref();
        topology.is_some_and(|topology| topology.is_member(address))
    }

    /// Revision of the view in force.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.view().map(|view| view.revision())
    }

    /// Notes the time; a gap since the last event means that this process was paused.
    pub(crate) fn note_time(&mut self) -> Moment {
        let now = self.clock.now();
        if now.since(self.latest) >= PAUSE_TIME {
            self.counters.pauses += 1;
            self.changed = now;
            self.recheck_until = now.after(RECHECK_TIME);
            self.stale_until = now.after(STALE_TIME);
            log::warn!(
                "event=process_paused time_ms={}",
                now.since(self.latest).as_millis()
            );
        }
        self.latest = self.latest.max(now);
        self.latest
    }

    /// Forgets flows of one shard that have been silent for too long.
    fn sweep(&mut self, now: Moment) {
        let is_settled = self.is_settled() && self.handover.is_done();
        let now = Tick::from(now);
        let targets = &self.targets;
        let mut topology = self.topology.as_mut().filter(|_| is_settled);
        let mut expired = Vec::new();
        self.table.retain(self.sweep, |key, entry| {
            let idle = match entry.state() {
                EntryState::Open => targets.get(entry.target()).idle,
                EntryState::Closing => CLOSING_IDLE_TICKS,
                EntryState::Guessed => GUESSED_IDLE_TICKS,
            };
            // A flow that others own has been handed over, and its end would not be seen here.
            let is_others = topology.as_mut().is_some_and(|topology| {
                let ranks = topology.ranks(key);
                topology.me().is_some() && topology.role(&ranks) == Role::Relay
            });
            let is_kept = !is_others && now.since(entry.seen()) <= idle;
            if !is_kept {
                expired.push(entry);
            }
            is_kept
        });
        self.counters.flows_expired += expired.len() as u64;
        for entry in expired {
            self.uncount(entry);
        }
        self.sweep = (self.sweep + 1) % SHARDS;
    }

    /// Reports a broken invariant: counted, logged, and a panic while debugging.
    fn check(&mut self, holds: bool, invariant: &'static str) {
        if holds {
            return;
        }
        self.counters.violations += 1;
        log::error!("event=invariant_broken invariant={invariant} place=forwarder");
        debug_assert!(holds, "invariant broken: {invariant}");
    }
}

/// How the shadow is told of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Teaching {
    /// The packet goes by way of the shadow to the target.
    Path,
    /// The shadow gets a copy that it does not send on.
    Copy,
}
