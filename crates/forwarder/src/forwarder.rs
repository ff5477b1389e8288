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

mod owner;
mod peers;
mod tracking;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_observe::{check_invariant, decisions};
use bambooseam_types::{ByteRate, Revision, ServiceId, VmId};
use bambooseam_view::View;

use crate::counters::{Counters, DropCause};
use crate::geneve::{self, Header, Payload};
use crate::handover::Handover;
use crate::option::FlowOptionKind;
use crate::packet::{self, Phase};
use crate::pick::Pick;
use crate::table::FlowTable;
use crate::target::{TargetNumber, TargetRegistry};
use crate::topology::{Group, GroupIndex, Ranks, Topology};
use crate::{Clock, Moment};

/// Times that a packet may be relayed before its holder acts as owner.
const RELAY_LIMIT: u8 = 3;
/// Times that a packet may be passed on in all.
const HOP_LIMIT: u8 = 24;
/// Groups of earlier views that are kept for default picks.
const HISTORY_LIMIT: usize = 16;
/// Gap between two events after which this process takes itself for paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time that a view may take to arrive after a pause.
const RECHECK_TIME: Duration = Duration::from_secs(15);
/// Time for which a target that only other forwarders name is kept.
const UNLISTED_TIME: Duration = Duration::from_secs(60);
/// Time after a pause in which first packets may have waited for long and are dropped.
const STALE_TIME: Duration = Duration::from_millis(200);

/// Where packets go.
pub trait Output {
    /// Sends one datagram; a loss is like one of the network.
    fn send(&mut self, to: SocketAddr, head: &Header, payload: &[u8]);
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
    membership_changed: Moment,
    /// No new flow is placed before this moment.
    recheck_until: Moment,
    /// Forwarders that the view lacks may know flows until this moment.
    view_late_until: Moment,
    /// First packets that arrive before this moment may have waited for long.
    stale_until: Moment,
    event_time: Moment,
    next_shard: usize,
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
        let event_time = clock.now();
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
            membership_changed: event_time,
            recheck_until: event_time,
            view_late_until: event_time,
            stale_until: event_time,
            event_time,
            next_shard: 0,
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
    pub fn handover_backlog(&self) -> usize {
        self.handover.backlog()
    }

    /// Whether nothing is left to hand over since the last change of membership.
    pub fn is_handover_done(&self) -> bool {
        self.handover.is_done()
    }

    /// Puts a view in force; false when its revision is below the one in force.
    pub fn set_view(&mut self, view: Arc<View>) -> bool {
        let now = self.advance_clock();
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
        self.targets.reset_statuses(now, UNLISTED_TIME);
        let topology = Topology::new(view, &self.vm, earlier.as_ref(), &mut self.targets, now);
        if let Some(earlier) = earlier {
            for number in known..self.targets.records().len() {
                self.targets
                    .set_joined(TargetNumber::from(number as u32), now);
            }
            self.archive(earlier, &topology, now);
        } else {
            self.membership_changed = now;
        }
        self.topology = Some(topology);
        self.counters.views += 1;
        self.check(held <= self.revision(), "revision_fell");
        true
    }

    /// Keeps what an earlier view is still needed for.
    fn archive(&mut self, earlier: Topology, topology: &Topology, now: Moment) {
        if !topology.is_same_membership(&earlier) {
            self.membership_changed = now;
            self.handover.restart();
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
        self.advance_clock();
        self.counters.received += 1;
        if let Err(cause) = self.process(source, bytes) {
            self.counters.drop_packet(cause, self.event_time);
        }
    }

    /// Does the regular work; to be called ten times a second.
    pub fn tick(&mut self) {
        let now = self.advance_clock();
        self.targets.expire_unlisted(now, UNLISTED_TIME);
        self.sweep(now);
        self.run_handover(now);
    }

    fn process(&mut self, source: SocketAddr, bytes: &[u8]) -> Result<(), DropCause> {
        let datagram = geneve::decode(bytes).map_err(DropCause::Malformed)?;
        let bytes = match (datagram.payload, datagram.option) {
            (Payload::Packet(bytes), _) => bytes,
            (Payload::Keys(keys), Some(option)) => {
                return self.handle_handover(source, datagram.vni, option, keys);
            }
            (Payload::Keys(_), None) => return Err(DropCause::UnknownSender),
        };
        if datagram.option.is_none() && datagram.vni != 0 {
            return Err(DropCause::UnexpectedVni);
        }
        let packet = packet::decode(bytes).map_err(DropCause::Malformed)?;
        let topology = self.topology.as_mut().ok_or(DropCause::NoView)?;
        let group = topology
            .find_group(packet.flow.service)
            .ok_or(DropCause::NoEntrance)?;
        let vni = topology.group(group).vni;
        let kind = datagram
            .option
            .map_or(FlowOptionKind::Relay, |option| option.kind);
        if kind == FlowOptionKind::Relay
            && let Some(number) = self.established_target(&packet, vni)
        {
            return self.deliver(&packet, vni, number);
        }
        let topology = self.topology.as_mut().ok_or(DropCause::NoView)?;
        let hops = datagram.option.map_or(0, |option| option.hops);
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
            return Err(DropCause::HopLimit);
        }
        if packet.phase == Phase::First && self.event_time < self.stale_until {
            return Err(DropCause::Stale);
        }
        let has_binding = matches!(
            kind,
            FlowOptionKind::Found(_) | FlowOptionKind::Replicate { .. } | FlowOptionKind::Update(_)
        );
        if has_binding && datagram.vni != vni.get() {
            return Err(DropCause::ServiceMismatch);
        }
        match kind {
            FlowOptionKind::Relay => self.dispatch(&packet, &route),
            FlowOptionKind::Query { rank } => {
                self.answer_query(source, &packet, &route, rank);
                Ok(())
            }
            FlowOptionKind::Found(binding) => self.handle_found(source, &packet, &route, binding),
            FlowOptionKind::NotFound { rank } => {
                self.query_next(&packet, &route, usize::from(rank) + 1)
            }
            FlowOptionKind::Replicate { binding, is_final } => {
                self.handle_replicate(source, &packet, &route, binding, is_final)
            }
            FlowOptionKind::Update(binding) => self.handle_update(source, &packet, &route, binding),
            FlowOptionKind::Handover { .. } | FlowOptionKind::HandoverAck { .. } => {
                Err(DropCause::Malformed(geneve::PacketError::BadOption))
            }
        }
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
    pub(crate) fn advance_clock(&mut self) -> Moment {
        let now = self.clock.now();
        if now.since(self.event_time) >= PAUSE_THRESHOLD {
            self.counters.pauses += 1;
            self.membership_changed = now;
            self.recheck_until = now.after(RECHECK_TIME);
            self.stale_until = now.after(STALE_TIME);
            let time = now.since(self.event_time);
            decisions().push(
                "pause_found",
                format!("{} ms without work", time.as_millis()),
            );
        }
        self.event_time = self.event_time.max(now);
        self.event_time
    }

    /// Reports a broken invariant: counted, logged, and a panic while debugging.
    fn check(&mut self, holds: bool, invariant: &'static str) {
        if holds {
            return;
        }
        self.counters.violations += 1;
        check_invariant(holds, invariant, || format!("forwarder of {}", self.vm));
    }
}
