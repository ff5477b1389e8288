//! The path of a packet through the forwarders: service, owner, target.
//!
//! Any forwarder may receive any packet from the fabric. Rendezvous hashing ranks the forwarders
//! for each flow. The receiver relays the packet to the flow's *owner*, the first live forwarder in
//! rank. The owner picks the target of a new flow and sends the first packet through the *shadow*,
//! the second live forwarder in rank, so that owner and shadow have both recorded the target before
//! the target receives the packet.
//!
//! An owner that does not know a flow queries the other forwarders in rank order and sends the
//! packet itself along with the query. Former owners are among those forwarders, since ranks only
//! shift when members join or leave. The default pick, which depends on the hash alone, decides
//! only when every reachable forwarder has replied that the flow is unknown.
//!
//! After a change of membership the next packet of each flow goes through the shadow again, so that
//! a new shadow learns the target without additional messages.

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

/// Number of relays of a packet after which the receiving forwarder acts as owner.
const RELAY_LIMIT: u8 = 3;
/// Maximum number of times that a packet may be passed between forwarders, relays, queries and
/// replies together.
const HOP_LIMIT: u8 = 24;
/// Number of earlier views whose groups are kept for default picks.
const HISTORY_LIMIT: usize = 16;
/// Gap between two events after which the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time allowed for a current view to arrive after a pause.
const RECHECK_TIME: Duration = Duration::from_secs(15);
/// Time for which a target is kept that other forwarders name but the view does not list.
const UNLISTED_TIME: Duration = Duration::from_secs(60);
/// Time after a pause in which first packets are dropped, as they may have waited in the socket
/// buffer for long.
const STALE_TIME: Duration = Duration::from_millis(200);

/// Destination of datagrams.
pub trait Output {
    /// Sends one datagram; the datagram may be lost, as on the network.
    fn send(&mut self, to: SocketAddr, header: &Header, payload: &[u8]);
}

/// Which forwarders record a flow.
///
/// The program uses [`Tracking::OwnerShadow`]; the other modes serve as baselines in measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tracking {
    /// No forwarder: each packet goes to the pick of the hash under the current view.
    Stateless,
    /// The owner.
    Owner,
    /// The owner and the shadow, which is next in rank.
    OwnerShadow,
}

/// Forwarding logic, generic over output, clock and pick policy.
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
    /// When the membership last changed, or the process last resumed from a pause.
    membership_changed: Moment,
    /// No new flow is placed before this moment.
    recheck_until: Moment,
    /// Until this moment forwarders that are missing from the view may know flows.
    view_late_until: Moment,
    /// First packets that arrive before this moment may have waited for long.
    stale_until: Moment,
    event_time: Moment,
    next_shard: usize,
    pub(crate) is_stopping: bool,
}

/// Group, service and ranks of a packet under the current view.
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

    /// Sets which forwarders record a flow.
    pub fn with_tracking(mut self, tracking: Tracking) -> Self {
        self.tracking = tracking;
        self
    }

    /// Sets the budget of handovers in bytes per second.
    pub fn with_handover_budget(mut self, budget: ByteRate) -> Self {
        self.handover = Handover::new(budget);
        self
    }

    /// Returns the event counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the flow table.
    pub fn table(&self) -> &FlowTable {
        &self.table
    }

    /// Returns the registry of all targets that a view or another forwarder has named.
    pub fn targets(&self) -> &TargetRegistry {
        &self.targets
    }

    /// Returns the current view.
    pub fn view(&self) -> Option<&Arc<View>> {
        self.topology.as_ref().map(Topology::view)
    }

    /// Returns the output.
    pub fn output(&mut self) -> &mut O {
        &mut self.output
    }

    /// Returns the number of flows that are still to be handed over.
    pub fn handover_backlog(&self) -> usize {
        self.handover.backlog()
    }

    /// Whether all flows have been handed over since the last change of membership.
    pub fn is_handover_done(&self) -> bool {
        self.handover.is_done()
    }

    /// Applies a view; returns false when its revision is below the current one.
    pub fn set_view(&mut self, view: Arc<View>) -> bool {
        let now = self.advance_clock();
        let current = self.view().map(|view| view.revision());
        if current.is_some_and(|current| view.revision() < current) {
            self.counters.views_refused += 1;
            log::warn!(
                "event=view_refused cause=lower_revision revision={}",
                view.revision()
            );
            return false;
        }
        let known_count = self.targets.records().len();
        let earlier = self.topology.take();
        self.targets.reset_statuses(now, UNLISTED_TIME);
        let topology = Topology::new(view, &self.vm, earlier.as_ref(), &mut self.targets, now);
        if let Some(earlier) = earlier {
            for number in known_count..self.targets.records().len() {
                self.targets
                    .set_joined(TargetNumber::from(number as u32), now);
            }
            self.archive(earlier, &topology, now);
        } else {
            self.membership_changed = now;
        }
        self.topology = Some(topology);
        self.counters.views += 1;
        self.check(current <= self.revision(), "revision_fell");
        true
    }

    /// Records a change of membership and keeps the groups of an earlier view for default picks.
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

    /// Handles one datagram from the fabric or from another forwarder.
    pub fn receive(&mut self, source: SocketAddr, bytes: &[u8]) {
        self.advance_clock();
        self.counters.received += 1;
        if let Err(cause) = self.process(source, bytes) {
            self.counters.drop_packet(cause, self.event_time);
        }
    }

    /// Runs periodic work; to be called ten times a second.
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
            .ok_or(DropCause::NoFrontend)?;
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

    /// Whether an address belongs to a forwarder of the view.
    pub(crate) fn is_member(&self, address: SocketAddr) -> bool {
        let topology = self.topology.as_ref();
        topology.is_some_and(|topology| topology.is_member(address))
    }

    /// Returns the revision of the current view.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.view().map(|view| view.revision())
    }

    /// Records the time of an event; a long gap since the previous event means that the process was
    /// paused.
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
                format!("no event processed for {} ms", time.as_millis()),
            );
        }
        self.event_time = self.event_time.max(now);
        self.event_time
    }

    /// Reports a broken invariant: counts it, logs it, and panics in debug builds.
    fn check(&mut self, holds: bool, invariant: &'static str) {
        if holds {
            return;
        }
        self.counters.violations += 1;
        check_invariant(holds, invariant, || format!("forwarder of {}", self.vm));
    }
}
