//! Simulates forwarders, callers and targets over an in-memory fabric in virtual time.
//!
//! The forwarders run the code of the real program; only clock and output are replaced. Callers,
//! targets and the fabric model no more than is needed to decide whether a flow survives.

use std::cell::{Cell, RefCell};
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bambooseam_config::{EvacuatedZone, TargetState, VmState, digest_of};
use bambooseam_forwarder::geneve::{self, Header, Payload};
use bambooseam_forwarder::pick::Pick;
use bambooseam_forwarder::{Clock, Forwarder, Moment, Output, Tracking, packet};
use bambooseam_standin::deployment::{DOWNLOADS_PORT, FEED_PORT};
use bambooseam_standin::{Deployment, Plan};
use bambooseam_types::{VmId, Weight, ZoneId};
use bambooseam_view::View;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::caller::{CallerFlow, FlowId, FlowState, Profile};
use super::tally::{Cause, Tally};

/// Interval between two ticks of a forwarder.
const TICK: Duration = Duration::from_millis(100);
/// Latency of one hop.
const HOP_TIME: Duration = Duration::from_millis(1);
/// Maximum extra delay of a packet that the fabric delivers late.
const MAX_EXTRA_DELAY: Duration = Duration::from_millis(40);
/// Time after the announcement of a leaving target from which it must receive no new flow.
const LEAVE_GRACE: Duration = Duration::from_secs(3);

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Zones, VMs, services and targets.
    pub plan: Plan,
    /// Which flows forwarders keep track of.
    pub tracking: Tracking,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Packets per thousand that are duplicated, and packets per thousand that are delayed.
    pub disordered: u32,
    /// Weights assigned to the targets in turn; all targets have the default when empty.
    pub weights: Vec<u32>,
}

/// A simulation of forwarders, targets and callers.
pub struct Fleet<P> {
    /// Documents that the platform publishes.
    pub deployment: Deployment,
    /// Results collected so far.
    pub tally: Tally,
    setup: Setup,
    pick: P,
    clock: VirtualClock,
    nodes: Vec<Node<P>>,
    hosts: Vec<Host>,
    /// Index of the host that currently has each address.
    host_at: HashMap<SocketAddr, usize>,
    flows: Vec<CallerFlow>,
    events: BinaryHeap<Event>,
    sequence: u64,
    view_number: u64,
    rng: StdRng,
    /// Zones that are partitioned from all other zones.
    partitioned: Vec<String>,
}

/// Virtual time.
#[derive(Debug, Clone, Default)]
pub struct VirtualClock(Rc<Cell<u64>>);

/// Datagrams that a forwarder has sent and the fabric has not picked up.
#[derive(Debug, Clone, Default)]
pub struct Outbox(Rc<RefCell<Vec<SentDatagram>>>);

/// A datagram and its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SentDatagram {
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// A simulated forwarder process.
struct Node<P> {
    id: VmId,
    address: SocketAddr,
    zone: String,
    forwarder: Forwarder<Outbox, VirtualClock, P>,
    outbox: Outbox,
    is_dead: bool,
    frozen_until: Moment,
    /// Whether the fabric sends callers' packets to this forwarder.
    is_in_rotation: bool,
}

/// A target, modelled at the level of its kernel.
struct Host {
    address: SocketAddr,
    zone: String,
    vni: u32,
    service: SocketAddr,
    weight: u32,
    flows: HashSet<FlowId>,
    is_dead: bool,
    leaving_since: Option<Moment>,
}

/// A scheduled event.
struct Event {
    at: Moment,
    sequence: u64,
    kind: EventKind,
}

/// Action of an event.
enum EventKind {
    Datagram {
        from: Option<usize>,
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    View {
        node: usize,
        view: Arc<View>,
    },
    Tick {
        node: usize,
    },
    Caller(FlowId),
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    /// Orders the earliest event as the largest, since the heap pops the largest first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl Clock for VirtualClock {
    fn now(&self) -> Moment {
        Moment::from_millis(self.0.get())
    }
}

impl Output for Outbox {
    fn send(&mut self, to: SocketAddr, header: &Header, payload: &[u8]) {
        let bytes = geneve::encode(header, payload);
        self.0.borrow_mut().push(SentDatagram { to, bytes });
    }
}

impl<P: Pick + Clone> Fleet<P> {
    /// Creates a fleet whose forwarders have had the first view for 40 s, long enough for its
    /// membership to count as settled.
    pub fn new(setup: Setup, pick: P) -> Self {
        let mut deployment = setup.plan.build();
        add_flow_frontend(&mut deployment);
        set_weights(&mut deployment, &setup.weights);
        let mut fleet = Self {
            deployment,
            tally: Tally::default(),
            rng: StdRng::seed_from_u64(setup.seed),
            setup,
            pick,
            clock: VirtualClock::default(),
            nodes: Vec::new(),
            hosts: Vec::new(),
            host_at: HashMap::new(),
            flows: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            view_number: 0,
            partitioned: Vec::new(),
        };
        for index in 0..fleet.deployment.vms.0.len() {
            fleet.start_node(index);
        }
        for index in 0..fleet.deployment.targets.targets.len() {
            fleet.start_host(index);
        }
        fleet.publish();
        fleet.run_for(Duration::from_secs(40));
        fleet
    }

    /// Starts or restarts the forwarder of the VM at a position of the deployment's list.
    pub fn start_node(&mut self, index: usize) {
        let entry = &self.deployment.vms.0[index];
        let outbox = Outbox::default();
        let forwarder = Forwarder::new(
            entry.id.clone(),
            1_000_000,
            outbox.clone(),
            self.clock.clone(),
            self.pick.clone(),
        );
        let node = Node {
            id: entry.id.clone(),
            address: entry.forwarder,
            zone: entry.zone.to_string(),
            forwarder: forwarder.with_tracking(self.setup.tracking),
            outbox,
            is_dead: false,
            frozen_until: Moment::default(),
            is_in_rotation: true,
        };
        let at = self.nodes.len();
        self.nodes.push(node);
        self.schedule(TICK, EventKind::Tick { node: at });
    }

    /// Starts the target at a position of the deployment's list.
    pub fn start_host(&mut self, index: usize) {
        let entry = &self.deployment.targets.targets[index];
        let service = self.service_of(entry.service.as_str());
        let host = Host {
            address: entry.flows,
            zone: entry.zone.to_string(),
            vni: service.0,
            service: service.1,
            weight: entry.weight.get(),
            flows: HashSet::new(),
            is_dead: false,
            leaving_since: None,
        };
        self.host_at.insert(host.address, self.hosts.len());
        self.hosts.push(host);
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the random number generator of this run.
    pub fn rng(&mut self) -> &mut StdRng {
        &mut self.rng
    }

    /// Returns the number of forwarders started so far, dead ones included.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns a last address octet that no target has had.
    pub fn next_host(&self) -> u8 {
        u8::try_from(self.hosts.len() + 1).expect("at most 254 targets")
    }

    /// Returns the index of the forwarder that runs on a VM.
    pub fn node_of(&self, vm: &VmId) -> Option<usize> {
        let runs = |node: &Node<P>| node.id == *vm && !node.is_dead;
        self.nodes.iter().rposition(runs)
    }

    /// Returns a forwarder by index.
    pub fn forwarder(&self, node: usize) -> &Forwarder<Outbox, VirtualClock, P> {
        &self.nodes[node].forwarder
    }

    /// Returns the indexes of the running forwarders.
    pub fn running(&self) -> Vec<usize> {
        let is_up = |at: &usize| !self.nodes[*at].is_dead;
        (0..self.nodes.len()).filter(is_up).collect()
    }

    /// Returns the flows of all callers.
    pub fn flows(&self) -> &[CallerFlow] {
        &self.flows
    }

    /// Publishes the deployment to all forwarders at once.
    pub fn publish(&mut self) {
        self.publish_lagging(|_| Duration::ZERO, &[]);
    }

    /// Publishes the deployment to all forwarders, each after its lag, with `suspects` marked as
    /// suspected.
    pub fn publish_lagging(&mut self, lag: impl Fn(usize) -> Duration, suspects: &[VmId]) {
        let view = self.build_view(suspects);
        for node in 0..self.nodes.len() {
            let view = Arc::clone(&view);
            self.schedule(lag(node), EventKind::View { node, view });
        }
    }

    /// Publishes the deployment to the given forwarders.
    pub fn publish_to(&mut self, nodes: &[usize], lag: Duration, suspects: &[VmId]) {
        let view = self.build_view(suspects);
        for node in nodes {
            let view = Arc::clone(&view);
            let node = *node;
            self.schedule(lag, EventKind::View { node, view });
        }
    }

    /// Kills a forwarder.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_dead = true;
    }

    /// Sets whether the fabric sends callers' packets to a forwarder.
    pub fn set_in_rotation(&mut self, node: usize, is_in_rotation: bool) {
        self.nodes[node].is_in_rotation = is_in_rotation;
    }

    /// Suspends a forwarder for `time`; events that reach it meanwhile are deferred.
    pub fn freeze(&mut self, node: usize, time: Duration) {
        self.nodes[node].frozen_until = self.now().after(time);
    }

    /// Partitions zones from all others; an empty list heals the partition.
    pub fn partition(&mut self, zones: &[&str]) {
        self.partitioned = zones.iter().map(|zone| (*zone).to_owned()).collect();
    }

    /// Whether a forwarder is in a partitioned zone.
    pub fn is_partitioned(&self, node: usize) -> bool {
        self.partitioned.contains(&self.nodes[node].zone)
    }

    /// Kills a target; its flows count as lost with their target, not as broken.
    pub fn kill_host(&mut self, address: SocketAddr) {
        let Some(host) = self.host_at.get(&address) else {
            return;
        };
        let host = &mut self.hosts[*host];
        host.is_dead = true;
        for id in host.flows.drain() {
            let flow = &mut self.flows[id.index()];
            if flow.bound == Some(address) && flow.state == FlowState::Open {
                flow.state = FlowState::TargetLost;
                self.tally.lost_targets += 1;
            }
        }
    }

    /// Marks a target as leaving in the deployment and records the time of the announcement.
    pub fn announce_leaving(&mut self, index: usize) {
        let now = self.now();
        let entry = &mut self.deployment.targets.targets[index];
        entry.state = TargetState::Leaving;
        if let Some(host) = self.host_at.get(&entry.flows) {
            self.hosts[*host].leaving_since = Some(now);
        }
    }

    /// Evacuates a zone in the deployment and records the time at its targets.
    pub fn evacuate(&mut self, zone: &ZoneId) {
        let now = self.now();
        let list = &mut self.deployment.targets;
        list.evacuated.push(EvacuatedZone {
            zone: zone.clone(),
            since: SystemTime::UNIX_EPOCH.into(),
            by: None,
        });
        list.evacuated.sort_by(|a, b| a.zone.cmp(&b.zone));
        for host in &mut self.hosts {
            if host.zone == zone.as_str() {
                host.leaving_since = Some(now);
            }
        }
    }

    /// Returns the fraction of the tracked flows whose target differs from the default choice.
    pub fn non_default_share(&self) -> f64 {
        let running = || self.nodes.iter().filter(|node| !node.is_dead);
        let flows: usize = running().map(|node| node.forwarder.table().len()).sum();
        let non_default: usize = running()
            .map(|node| node.forwarder.non_default_flows())
            .sum();
        non_default as f64 / flows.max(1) as f64
    }

    /// Sets the state of a VM in the deployment.
    pub fn set_vm_state(&mut self, vm: &VmId, state: VmState) {
        for entry in &mut self.deployment.vms.0 {
            if entry.id == *vm {
                entry.state = state;
            }
        }
    }

    /// Schedules `count` new flows, spread evenly over a time.
    pub fn open_flows(&mut self, count: usize, over: Duration, profile: Profile) {
        let service = self.service_of(profile.service);
        for index in 0..count {
            let id = FlowId::from(self.flows.len());
            let wait = over.mul_f64(index as f64 / count.max(1) as f64);
            let flow = CallerFlow::new(id, service.1, &profile, self.now().after(wait));
            self.flows.push(flow);
            self.schedule(wait, EventKind::Caller(id));
        }
    }

    /// Runs the simulation for `time` of virtual time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now().after(time);
        while let Some(event) = self.events.peek() {
            if event.at > end {
                break;
            }
            let Some(event) = self.events.pop() else {
                break;
            };
            self.clock.0.set(event.at.as_millis());
            self.handle(event.kind);
        }
        self.clock.0.set(end.as_millis());
    }

    /// Returns the open flows of each target of a service, divided by the target's weight.
    pub fn loads(&self, service: &str) -> Vec<f64> {
        let (vni, _) = self.service_of(service);
        let mut loads = Vec::new();
        for host in &self.hosts {
            if host.vni != vni || host.is_dead || host.leaving_since.is_some() || host.weight == 0 {
                continue;
            }
            let is_open = |id: &&FlowId| {
                let flow = &self.flows[id.index()];
                flow.state == FlowState::Open && flow.bound == Some(host.address)
            };
            let open = host.flows.iter().filter(is_open).count();
            loads.push(open as f64 / f64::from(host.weight));
        }
        loads
    }

    /// Sums a counter over all forwarders.
    pub fn sum(&self, counter: impl Fn(&bambooseam_forwarder::Counters) -> u64) -> u64 {
        let counters = self.nodes.iter().map(|node| node.forwarder.counters());
        counters.map(counter).sum()
    }

    fn build_view(&mut self, suspects: &[VmId]) -> Arc<View> {
        self.view_number += 1;
        let mut source = self.deployment.source(self.view_number);
        source.suspects = suspects.to_vec();
        source.suspects.sort();
        Arc::new(View::build(&source).expect("the simulated platform publishes valid documents"))
    }

    fn service_of(&self, name: &str) -> (u32, SocketAddr) {
        super::caller::service_of(&self.setup.plan, name)
    }

    fn schedule(&mut self, wait: Duration, kind: EventKind) {
        self.sequence += 1;
        self.events.push(Event {
            at: self.now().after(wait),
            sequence: self.sequence,
            kind,
        });
    }

    fn handle(&mut self, kind: EventKind) {
        match kind {
            EventKind::Datagram { from, to, bytes } => self.deliver(from, to, bytes),
            EventKind::Caller(id) => self.run_caller(id),
            EventKind::View { node, view } => {
                if self.nodes[node].is_dead {
                    return;
                }
                if let Some(wait) = self.frozen_time(node) {
                    return self.schedule(wait, EventKind::View { node, view });
                }
                let forwarder = &mut self.nodes[node].forwarder;
                // An agent never publishes an earlier view after a later one.
                if forwarder
                    .view()
                    .is_none_or(|current| current.number < view.number)
                {
                    forwarder.set_view(view);
                }
            }
            EventKind::Tick { node } => {
                if self.nodes[node].is_dead {
                    return;
                }
                if let Some(wait) = self.frozen_time(node) {
                    return self.schedule(wait, EventKind::Tick { node });
                }
                self.nodes[node].forwarder.tick();
                self.flush_output(node);
                self.schedule(TICK, EventKind::Tick { node });
            }
        }
    }

    /// Returns the remaining time for which a forwarder is frozen; `None` when it runs.
    fn frozen_time(&self, node: usize) -> Option<Duration> {
        let left = self.nodes[node].frozen_until.since(self.now());
        (!left.is_zero()).then_some(left)
    }

    /// Delivers a datagram to the forwarder or target at its destination.
    fn deliver(&mut self, from: Option<usize>, to: SocketAddr, bytes: Vec<u8>) {
        let runs_at = |node: &Node<P>| node.address == to && !node.is_dead;
        if let Some(node) = self.nodes.iter().rposition(runs_at) {
            if self.crosses_partition(from, &self.nodes[node].zone) {
                return;
            }
            if let Some(wait) = self.frozen_time(node) {
                return self.schedule(wait, EventKind::Datagram { from, to, bytes });
            }
            let source = from.map_or(to, |from| self.nodes[from].address);
            self.nodes[node].forwarder.receive(source, &bytes);
            return self.flush_output(node);
        }
        let Some(host) = self.host_at.get(&to).copied() else {
            return;
        };
        if self.hosts[host].is_dead || self.crosses_partition(from, &self.hosts[host].zone) {
            return;
        }
        self.deliver_to_host(host, &bytes);
    }

    /// Whether a partition separates a forwarder from a zone.
    fn crosses_partition(&self, from: Option<usize>, zone: &String) -> bool {
        let Some(from) = from else { return false };
        self.is_partitioned(from) != self.partitioned.contains(zone)
    }

    /// Delivers a datagram to a target's kernel and records the result.
    fn deliver_to_host(&mut self, at: usize, bytes: &[u8]) {
        let Ok(datagram) = geneve::decode(bytes) else {
            return;
        };
        let host = &mut self.hosts[at];
        if datagram.vni != host.vni {
            self.tally.unexpected_vni += 1;
            return;
        }
        let Payload::Packet(inner) = datagram.payload else {
            return;
        };
        let Ok(packet) = packet::decode(inner) else {
            return;
        };
        if packet.flow.service != host.service {
            self.tally.wrong_service += 1;
            return;
        }
        self.tally.delivered += 1;
        let id = FlowId::from_caller(packet.flow.caller);
        let flow = &mut self.flows[id.index()];
        if flow.state == FlowState::Closed {
            return;
        }
        let is_opening = packet.phase == packet::Phase::First || !flow.is_tcp;
        let is_bound_here = flow.bound == Some(host.address) && host.flows.contains(&id);
        if flow.is_tcp && is_opening && packet.has_data {
            self.tally.syn_data += 1;
        }
        if is_opening && flow.bound.is_none() {
            let is_late = host
                .leaving_since
                .is_some_and(|since| self.clock.now().since(since) > LEAVE_GRACE);
            self.tally.new_to_leaving += u64::from(is_late);
            host.flows.insert(id);
            flow.bind(host.address);
            return;
        }
        if is_bound_here {
            flow.record_answer();
            return;
        }
        if flow.is_tcp && is_opening {
            // The caller resets the second answer to its SYN.
            self.tally.double_syn += 1;
            return;
        }
        if flow.state == FlowState::Open {
            flow.state = FlowState::Broken;
            self.tally.record_broken(id, Cause::Reset, self.clock.now());
        }
    }

    /// Executes the next action of a caller.
    fn run_caller(&mut self, id: FlowId) {
        let now = self.now();
        let flow = &mut self.flows[id.index()];
        let Some(step) = flow.step(now, &mut self.rng) else {
            return;
        };
        if step.is_stalled {
            self.tally.record_broken(id, Cause::Stalled, now);
            return;
        }
        if let Some(inner) = step.packet {
            self.distribute(inner);
        }
        self.schedule(step.wait, EventKind::Caller(id));
    }

    /// Sends a packet to a random forwarder, as the fabric does. Some packets are duplicated or
    /// delayed.
    fn distribute(&mut self, inner: Vec<u8>) {
        self.tally.sent += 1;
        let header = Header::new(0, None, &Payload::Packet(&inner));
        let bytes = geneve::encode(&header, &inner);
        let copies = 1 + usize::from(self.is_irregular());
        for _ in 0..copies {
            let to = self.any_in_rotation();
            let extra_delay = match self.is_irregular() {
                true => MAX_EXTRA_DELAY.mul_f64(self.rng.random()),
                false => Duration::ZERO,
            };
            let bytes = bytes.clone();
            let from = None;
            self.schedule(
                HOP_TIME + extra_delay,
                EventKind::Datagram { from, to, bytes },
            );
        }
    }

    fn is_irregular(&mut self) -> bool {
        self.rng.random_ratio(self.setup.disordered, 1_000)
    }

    /// Returns a random forwarder that the fabric sends packets to, dead ones included.
    fn any_in_rotation(&mut self) -> SocketAddr {
        loop {
            let at = self.rng.random_range(0..self.nodes.len());
            if self.nodes[at].is_in_rotation {
                return self.nodes[at].address;
            }
        }
    }

    /// Schedules the delivery of the datagrams that a forwarder has sent.
    fn flush_output(&mut self, node: usize) {
        let outbox = self.nodes[node].outbox.clone();
        for SentDatagram { to, bytes } in outbox.0.borrow_mut().drain(..) {
            let from = Some(node);
            self.schedule(HOP_TIME, EventKind::Datagram { from, to, bytes });
        }
    }
}

/// Adds a flow frontend to the downloads service, which has only a request port by default.
fn add_flow_frontend(deployment: &mut Deployment) {
    let requests = format!("request-port = {DOWNLOADS_PORT}");
    let both = format!("flow-ports = {FEED_PORT}\n{requests}");
    for (name, text) in &mut deployment.presets {
        *text = text.replace(&requests, &both);
        if *name == deployment.pointer.name {
            deployment.pointer.digest = digest_of(text);
        }
    }
}

/// Assigns weights to targets in turn, starting again after the last weight.
fn set_weights(deployment: &mut Deployment, weights: &[u32]) {
    let targets = deployment.targets.targets.iter_mut();
    for (target, weight) in targets.zip(weights.iter().cycle()) {
        target.weight = Weight::try_from(*weight).expect("a valid weight");
    }
}
