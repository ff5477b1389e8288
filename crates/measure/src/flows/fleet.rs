//! Forwarders over an in-memory fabric in virtual time.
//!
//! The forwarders are those of the binary; fakes stand at their ports only. Callers, targets and
//! the fabric keep just what is needed to see whether a flow survives.

use std::cell::{Cell, RefCell};
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_config::{TargetState, VmState, digest_of};
use bambooseam_forwarder::geneve::{self, Header, Payload};
use bambooseam_forwarder::pick::Pick;
use bambooseam_forwarder::{Clock, Forwarder, Moment, Output, Tracking, packet};
use bambooseam_standin::deployment::{DOWNLOADS_PORT, FEED_PORT};
use bambooseam_standin::{Deployment, Plan};
use bambooseam_types::{VmId, Weight};
use bambooseam_view::View;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::caller::{CallerFlow, FlowId, FlowState, Profile};
use super::tally::{Cause, Tally};

/// Time between two rounds of regular work of a forwarder.
const TICK: Duration = Duration::from_millis(100);
/// Time of one hop.
const HOP: Duration = Duration::from_millis(1);
/// Most extra delay of a packet that is reordered or duplicated.
const STRAY: Duration = Duration::from_millis(40);
/// Time after its announcement from which a leaving target must get no new flow.
const LEAVE_GRACE: Duration = Duration::from_secs(3);

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Places, VMs and targets.
    pub plan: Plan,
    /// What forwarders remember.
    pub tracking: Tracking,
    /// Seed of all chance.
    pub seed: u64,
    /// Packets in a thousand that are duplicated, and as many that are late.
    pub disordered: u32,
    /// Weights that targets have in turn; all usual when empty.
    pub weights: Vec<u32>,
}

/// Forwarders, targets and callers.
pub struct Fleet<P> {
    /// What the platform publishes.
    pub deployment: Deployment,
    /// Results so far.
    pub tally: Tally,
    setup: Setup,
    pick: P,
    clock: FakeClock,
    nodes: Vec<Node<P>>,
    hosts: Vec<Host>,
    /// Host that has an address now.
    places: HashMap<SocketAddr, usize>,
    flows: Vec<CallerFlow>,
    events: BinaryHeap<Event>,
    sequence: u64,
    views: u64,
    rng: StdRng,
    /// Zones on each side of a cut.
    cut: Vec<String>,
}

/// Virtual time.
#[derive(Debug, Clone, Default)]
pub struct FakeClock(Rc<Cell<u64>>);

/// Datagrams that a forwarder has sent.
#[derive(Debug, Clone, Default)]
pub struct Wire(Rc<RefCell<Vec<Sent>>>);

/// A datagram on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Sent {
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// A forwarder and its state.
struct Node<P> {
    id: VmId,
    address: SocketAddr,
    zone: String,
    forwarder: Forwarder<Wire, FakeClock, P>,
    wire: Wire,
    is_dead: bool,
    frozen_until: Moment,
    /// Whether the fabric sends packets here.
    is_in_rotation: bool,
}

/// A target as a kernel sees it.
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

/// Something that happens at a moment.
struct Event {
    at: Moment,
    sequence: u64,
    kind: EventKind,
}

/// What happens.
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
    /// The earliest event is the largest, as the heap gives the largest first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl Clock for FakeClock {
    fn now(&self) -> Moment {
        Moment::from_millis(self.0.get())
    }
}

impl Output for Wire {
    fn send(&mut self, to: SocketAddr, head: &Header, payload: &[u8]) {
        let bytes = geneve::encode(head, payload);
        self.0.borrow_mut().push(Sent { to, bytes });
    }
}

impl<P: Pick + Clone> Fleet<P> {
    /// Creates a fleet whose forwarders all have the first view, long settled.
    pub fn new(setup: Setup, pick: P) -> Self {
        let mut deployment = setup.plan.build();
        open_second_entrance(&mut deployment);
        set_weights(&mut deployment, &setup.weights);
        let mut fleet = Self {
            deployment,
            tally: Tally::default(),
            rng: StdRng::seed_from_u64(setup.seed),
            setup,
            pick,
            clock: FakeClock::default(),
            nodes: Vec::new(),
            hosts: Vec::new(),
            places: HashMap::new(),
            flows: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            views: 0,
            cut: Vec::new(),
        };
        for index in 0..fleet.deployment.vms.0.len() {
            fleet.start_node(index);
        }
        for index in 0..fleet.deployment.targets.0.len() {
            fleet.start_host(index);
        }
        fleet.publish();
        fleet.run_for(Duration::from_secs(40));
        fleet
    }

    /// Starts the forwarder of a VM that the deployment lists, or starts it anew.
    pub fn start_node(&mut self, index: usize) {
        let entry = &self.deployment.vms.0[index];
        let wire = Wire::default();
        let forwarder = Forwarder::new(
            entry.id.clone(),
            1_000_000,
            wire.clone(),
            self.clock.clone(),
            self.pick.clone(),
        );
        let node = Node {
            id: entry.id.clone(),
            address: entry.forwarder,
            zone: entry.zone.to_string(),
            forwarder: forwarder.with_tracking(self.setup.tracking),
            wire,
            is_dead: false,
            frozen_until: Moment::default(),
            is_in_rotation: true,
        };
        let at = self.nodes.len();
        self.nodes.push(node);
        self.schedule(TICK, EventKind::Tick { node: at });
    }

    /// Starts the target that the deployment lists at a position.
    pub fn start_host(&mut self, index: usize) {
        let entry = &self.deployment.targets.0[index];
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
        self.places.insert(host.address, self.hosts.len());
        self.hosts.push(host);
    }

    /// Time now.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Chance of this run.
    pub fn rng(&mut self) -> &mut StdRng {
        &mut self.rng
    }

    /// Number of forwarders that ever were.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Last part of an address that no target has had.
    pub fn next_host(&self) -> u8 {
        u8::try_from(self.hosts.len() + 1).expect("at most 254 targets")
    }

    /// Position of the forwarder that runs on a VM.
    pub fn node_of(&self, vm: &VmId) -> Option<usize> {
        let runs = |node: &Node<P>| node.id == *vm && !node.is_dead;
        self.nodes.iter().rposition(runs)
    }

    /// A forwarder.
    pub fn forwarder(&self, node: usize) -> &Forwarder<Wire, FakeClock, P> {
        &self.nodes[node].forwarder
    }

    /// Forwarders that run.
    pub fn running(&self) -> Vec<usize> {
        let is_up = |at: &usize| !self.nodes[*at].is_dead;
        (0..self.nodes.len()).filter(is_up).collect()
    }

    /// All flows of callers.
    pub fn flows(&self) -> &[CallerFlow] {
        &self.flows
    }

    /// Publishes the deployment to all forwarders at once.
    pub fn publish(&mut self) {
        self.publish_lagging(|_| Duration::ZERO, &[]);
    }

    /// Publishes the deployment; each forwarder gets it after its lag and suspects some VMs.
    pub fn publish_lagging(&mut self, lag: impl Fn(usize) -> Duration, suspects: &[VmId]) {
        let view = self.build_view(suspects);
        for node in 0..self.nodes.len() {
            let view = Arc::clone(&view);
            self.schedule(lag(node), EventKind::View { node, view });
        }
    }

    /// Publishes the deployment to some forwarders.
    pub fn publish_to(&mut self, nodes: &[usize], lag: Duration, suspects: &[VmId]) {
        let view = self.build_view(suspects);
        for node in nodes {
            let view = Arc::clone(&view);
            let node = *node;
            self.schedule(lag, EventKind::View { node, view });
        }
    }

    /// Ends a forwarder without notice.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_dead = true;
    }

    /// Stops the fabric from sending packets to a forwarder, or lets it again.
    pub fn set_in_rotation(&mut self, node: usize, is_in_rotation: bool) {
        self.nodes[node].is_in_rotation = is_in_rotation;
    }

    /// Stops a forwarder for a while; what reaches it meanwhile waits.
    pub fn freeze(&mut self, node: usize, time: Duration) {
        self.nodes[node].frozen_until = self.now().after(time);
    }

    /// Cuts zones off from all others; none to heal.
    pub fn partition(&mut self, zones: &[&str]) {
        self.cut = zones.iter().map(|zone| (*zone).to_owned()).collect();
    }

    /// Whether a forwarder is on the cut side.
    pub fn is_partitioned(&self, node: usize) -> bool {
        self.cut.contains(&self.nodes[node].zone)
    }

    /// Ends a target without notice; its flows are lost to that and not counted as broken.
    pub fn kill_host(&mut self, address: SocketAddr) {
        let Some(host) = self.places.get(&address) else {
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

    /// Notes that the platform announces a target as leaving.
    pub fn announce_leaving(&mut self, index: usize) {
        let now = self.now();
        let entry = &mut self.deployment.targets.0[index];
        entry.state = TargetState::Leaving;
        if let Some(host) = self.places.get(&entry.flows) {
            self.hosts[*host].leaving_since = Some(now);
        }
    }

    /// Part of the remembered flows whose target is not that of the default pick.
    pub fn non_default_share(&self) -> f64 {
        let running = || self.nodes.iter().filter(|node| !node.is_dead);
        let flows: usize = running().map(|node| node.forwarder.table().len()).sum();
        let exceptions: usize = running()
            .map(|node| node.forwarder.non_default_flows())
            .sum();
        exceptions as f64 / flows.max(1) as f64
    }

    /// Sets what the platform says of a VM.
    pub fn set_vm_state(&mut self, vm: &VmId, state: VmState) {
        for entry in &mut self.deployment.vms.0 {
            if entry.id == *vm {
                entry.state = state;
            }
        }
    }

    /// Lets callers open flows, spread evenly over a time.
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

    /// Lets time pass.
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
            self.happen(event.kind);
        }
        self.clock.0.set(end.as_millis());
    }

    /// Open flows of each target of a service, each divided by the target's weight.
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
        self.views += 1;
        let mut source = self.deployment.source(self.views);
        source.suspects = suspects.to_vec();
        source.suspects.sort();
        Arc::new(View::build(&source).expect("the stand-in publishes valid documents"))
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

    fn happen(&mut self, kind: EventKind) {
        match kind {
            EventKind::Datagram { from, to, bytes } => self.arrive(from, to, bytes),
            EventKind::Caller(id) => self.call(id),
            EventKind::View { node, view } => {
                if self.nodes[node].is_dead {
                    return;
                }
                if let Some(wait) = self.frozen_for(node) {
                    return self.schedule(wait, EventKind::View { node, view });
                }
                let forwarder = &mut self.nodes[node].forwarder;
                // An agent never goes back to an earlier view.
                if forwarder
                    .view()
                    .is_none_or(|held| held.number < view.number)
                {
                    forwarder.set_view(view);
                }
            }
            EventKind::Tick { node } => {
                if self.nodes[node].is_dead {
                    return;
                }
                if let Some(wait) = self.frozen_for(node) {
                    return self.schedule(wait, EventKind::Tick { node });
                }
                self.nodes[node].forwarder.tick();
                self.collect(node);
                self.schedule(TICK, EventKind::Tick { node });
            }
        }
    }

    /// Time that a frozen forwarder still sleeps.
    fn frozen_for(&self, node: usize) -> Option<Duration> {
        let left = self.nodes[node].frozen_until.since(self.now());
        (!left.is_zero()).then_some(left)
    }

    /// A datagram reaches a forwarder or a target.
    fn arrive(&mut self, from: Option<usize>, to: SocketAddr, bytes: Vec<u8>) {
        let runs_at = |node: &Node<P>| node.address == to && !node.is_dead;
        if let Some(node) = self.nodes.iter().rposition(runs_at) {
            if self.is_between_sides(from, &self.nodes[node].zone) {
                return;
            }
            if let Some(wait) = self.frozen_for(node) {
                return self.schedule(wait, EventKind::Datagram { from, to, bytes });
            }
            let source = from.map_or(to, |from| self.nodes[from].address);
            self.nodes[node].forwarder.receive(source, &bytes);
            return self.collect(node);
        }
        let Some(host) = self.places.get(&to).copied() else {
            return;
        };
        if self.hosts[host].is_dead || self.is_between_sides(from, &self.hosts[host].zone) {
            return;
        }
        self.reach_host(host, &bytes);
    }

    /// Whether a partition lies between a forwarder and a zone.
    fn is_between_sides(&self, from: Option<usize>, zone: &String) -> bool {
        let Some(from) = from else { return false };
        self.is_partitioned(from) != self.cut.contains(zone)
    }

    /// A packet reaches a target's kernel.
    fn reach_host(&mut self, at: usize, bytes: &[u8]) {
        let Ok(datagram) = geneve::decode(bytes) else {
            return;
        };
        let host = &mut self.hosts[at];
        if datagram.vni != host.vni {
            self.tally.foreign_vni += 1;
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
            flow.progress();
            return;
        }
        if flow.is_tcp && is_opening {
            // A second answer to the SYN, which the caller resets.
            self.tally.double_syn += 1;
            return;
        }
        if flow.state == FlowState::Open {
            flow.state = FlowState::Broken;
            self.tally.record_broken(id, Cause::Reset, self.clock.now());
        }
    }

    /// It is a caller's turn.
    fn call(&mut self, id: FlowId) {
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
            self.spread(inner);
        }
        self.schedule(step.wait, EventKind::Caller(id));
    }

    /// The fabric hands a packet to any forwarder, at times twice or late.
    fn spread(&mut self, inner: Vec<u8>) {
        self.tally.sent += 1;
        let head = Header::new(0, None, &Payload::Packet(&inner));
        let bytes = geneve::encode(&head, &inner);
        let copies = 1 + usize::from(self.is_disordered());
        for _ in 0..copies {
            let to = self.any_in_rotation();
            let late = match self.is_disordered() {
                true => STRAY.mul_f64(self.rng.random()),
                false => Duration::ZERO,
            };
            let bytes = bytes.clone();
            let from = None;
            self.schedule(HOP + late, EventKind::Datagram { from, to, bytes });
        }
    }

    fn is_disordered(&mut self) -> bool {
        self.rng.random_ratio(self.setup.disordered, 1_000)
    }

    /// Any forwarder that the fabric knows of, dead ones included.
    fn any_in_rotation(&mut self) -> SocketAddr {
        loop {
            let at = self.rng.random_range(0..self.nodes.len());
            if self.nodes[at].is_in_rotation {
                return self.nodes[at].address;
            }
        }
    }

    /// Takes what a forwarder has sent.
    fn collect(&mut self, node: usize) {
        let wire = self.nodes[node].wire.clone();
        for Sent { to, bytes } in wire.0.borrow_mut().drain(..) {
            let from = Some(node);
            self.schedule(HOP, EventKind::Datagram { from, to, bytes });
        }
    }
}

/// Gives the downloads a flow entrance beside their requests.
fn open_second_entrance(deployment: &mut Deployment) {
    let requests = format!("request-port = {DOWNLOADS_PORT}");
    let both = format!("flow-ports = {FEED_PORT}\n{requests}");
    for (name, text) in &mut deployment.presets {
        *text = text.replace(&requests, &both);
        if *name == deployment.pointer.name {
            deployment.pointer.digest = digest_of(text);
        }
    }
}

/// Gives targets weights in turn.
fn set_weights(deployment: &mut Deployment, weights: &[u32]) {
    let targets = deployment.targets.0.iter_mut();
    for (target, weight) in targets.zip(weights.iter().cycle()) {
        target.weight = Weight::try_from(*weight).expect("a valid weight");
    }
}
