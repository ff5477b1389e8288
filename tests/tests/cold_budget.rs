//! Limit on the openings at cold targets. A model of VMs that do not know each other guards against
//! a limit that is exceeded by all VMs together although each keeps it; the other tests cover one
//! VM.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bambooseam_config::{Document, Settings};
use bambooseam_platform::{Document as PlatformDocument, DocumentKind};
use bambooseam_standin::site::render;
use bambooseam_steer::{
    ColdPolicy, Decision, DropCause, FlowId, ResetCause, Routes, ServiceLimits, Steering,
    SteeringEvent, SteeringSettings, Target,
};
use bambooseam_tests::steering::*;
use bambooseam_types::{Incarnation, Moment, TargetLabel};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// Margins of the deployments with a limit.
const POLICY: ColdPolicy = ColdPolicy {
    excess: 1.5,
    slack: 5.0,
};

/// Targets of the model at a time, and their zones.
const TARGETS: usize = 12;
const ZONES: usize = 3;
/// Requests that a target processes at a time, and those that wait.
const SLOTS: usize = 2;
const QUEUE: usize = 8;
/// Shortest and longest time of a request at a warm target, in milliseconds.
const WORK_MS: (u64, u64) = (10, 30);
/// Openings per second that all targets together can finish without queueing.
const CAPACITY: f64 = 1_200.0;
/// Time for which a target is cold after its start, in milliseconds.
const COLD_MS: u64 = 2_000;
/// Attempts of a caller for one request.
const ATTEMPTS: u8 = 3;

/// Openings per second that the limit permits.
fn limit(rate: f64) -> f64 {
    rate * POLICY.excess + POLICY.slack
}

fn limited_routes(rate: f64) -> Routes {
    routes().with_services(vec![ServiceLimits {
        service: "orders".parse().expect("a service"),
        cold_rate: (rate > 0.0).then_some(rate),
    }])
}

fn limited_steering(zone: usize, rate: f64, policy: Option<ColdPolicy>) -> Steering {
    let mut steering = Steering::new(SteeringSettings {
        zone: zone_name(zone).parse().expect("a zone"),
        flow_limit: 100_000,
        cold_policy: policy,
        target_speed: true,
        evacuated_last_resort: true,
    });
    steering.set_routes(limited_routes(rate));
    steering
}

fn zone_name(zone: usize) -> String {
    ["a", "b", "c"][zone % ZONES].into()
}

/// A VM of the model. VMs do not communicate.
struct Vm {
    steering: Steering,
    /// Until when no packet reaches the VM.
    down_until: u64,
    /// Until when the VM learns nothing from the store.
    cut_until: u64,
    /// Documents on their way to the VM, with the time of their arrival.
    updates: VecDeque<(u64, Update)>,
}

#[derive(Clone, Copy)]
enum Update {
    Put(usize),
    Remove(usize),
}

/// A target of the model.
struct ModelTarget {
    zone: usize,
    started: u64,
    is_alive: bool,
    running: usize,
    queue: VecDeque<usize>,
    /// Times at which opening packets arrived, including retransmissions.
    openings: Vec<u64>,
}

/// An attempt of a caller.
struct Attempt {
    flow: FlowId,
    number: u8,
    target: Option<usize>,
    is_answered: bool,
    is_closed: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sweep,
    Arrival,
    Open { attempt: usize, transmission: u32 },
    GiveUp(usize),
    AtTarget { attempt: usize, target: usize },
    Answered(usize),
    Done { attempt: usize, target: usize },
}

/// VMs, targets and callers in virtual time.
struct Model {
    rng: StdRng,
    rate: f64,
    policy: Option<ColdPolicy>,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    vms: Vec<Vm>,
    targets: Vec<ModelTarget>,
    attempts: Vec<Attempt>,
    /// New requests per second.
    demand: f64,
    /// Probability that an opening packet or its answer is lost.
    loss: f64,
    /// Zones whose VMs and targets do not reach other zones.
    cut_zone: Option<usize>,
}

impl Model {
    fn new(vms: usize, rate: f64, policy: Option<ColdPolicy>, seed: u64) -> Self {
        let mut model = Self {
            rng: StdRng::seed_from_u64(seed),
            rate,
            policy,
            now: 10_000,
            events: BinaryHeap::new(),
            scheduled: 0,
            vms: Vec::new(),
            targets: Vec::new(),
            attempts: Vec::new(),
            demand: 0.05 * CAPACITY,
            loss: 0.0,
            cut_zone: None,
        };
        for number in 0..TARGETS {
            // These targets are warm when the VMs start.
            model.add_target(number % ZONES, 0);
        }
        for number in 0..vms {
            let steering = limited_steering(number, rate, policy);
            model.vms.push(Vm {
                steering,
                down_until: 0,
                cut_until: 0,
                updates: VecDeque::new(),
            });
            model.restart_vm(number, 0);
        }
        model.schedule(0, Event::Sweep);
        model.schedule(0, Event::Arrival);
        model
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.scheduled += 1;
        self.events
            .push(Reverse((self.now + after, self.scheduled, event)));
    }

    fn add_target(&mut self, zone: usize, started: u64) -> usize {
        self.targets.push(ModelTarget {
            zone,
            started,
            is_alive: true,
            running: 0,
            queue: VecDeque::new(),
            openings: Vec::new(),
        });
        self.targets.len() - 1
    }

    /// Entry of a target, with the cold time left at the time of writing.
    fn entry(&self, index: usize, written: u64) -> Target {
        let target = &self.targets[index];
        let left = (target.started + COLD_MS).saturating_sub(written);
        let [high, low] = (index as u16).to_be_bytes();
        Target {
            id: format!("i-{:08x}", index + 1).parse().expect("an id"),
            label: TargetLabel::new(index as u64 + 1).expect("a label"),
            start: Incarnation::from(1_000 + target.started),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 8080),
            zone: zone_name(target.zone).parse().expect("a zone"),
            capacity: SLOTS as u32,
            cold_time: Duration::from_millis(left),
            ..target_template()
        }
    }

    /// Ends the oldest targets; returns their zones.
    fn remove_targets(&mut self, count: usize) -> Vec<usize> {
        let alive: Vec<_> = (0..self.targets.len())
            .filter(|&index| self.targets[index].is_alive)
            .collect();
        for &index in alive.iter().take(count) {
            self.targets[index].is_alive = false;
            self.targets[index].queue.clear();
            self.publish(Update::Remove(index));
        }
        let removed = alive.into_iter().take(count);
        removed.map(|index| self.targets[index].zone).collect()
    }

    /// Starts a target, whose entry reaches each VM after some time.
    fn publish_new(&mut self, zone: usize) {
        let index = self.add_target(zone, self.now);
        self.publish(Update::Put(index));
    }

    fn replace_targets(&mut self, count: usize) {
        for zone in self.remove_targets(count) {
            self.publish_new(zone);
        }
    }

    fn publish(&mut self, update: Update) {
        for vm in &mut self.vms {
            let delay = self.rng.random_range(5..400);
            // A VM receives changes in the order in which they were published.
            let at = vm.updates.back().map_or(0, |last| last.0);
            vm.updates.push_back((at.max(self.now + delay), update));
        }
    }

    /// Starts a VM anew: it knows the published targets, and nothing else.
    fn restart_vm(&mut self, number: usize, down_ms: u64) {
        let mut steering = limited_steering(number, self.rate, self.policy);
        let now = Moment::from_millis(self.now);
        for index in 0..self.targets.len() {
            if self.targets[index].is_alive {
                steering.put_target(self.entry(index, self.now), now);
            }
        }
        steering.record_sync(now);
        let vm = &mut self.vms[number];
        vm.steering = steering;
        vm.updates.clear();
        vm.down_until = self.now + down_ms;
    }

    fn run_for(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at >= end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Sweep => self.sweep(),
            Event::Arrival => {
                let gap = -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / self.demand;
                self.start_attempt(0);
                // Arrivals within one millisecond stay possible: the gap is rounded at random.
                let gap = gap + self.rng.random::<f64>();
                self.schedule(gap as u64, Event::Arrival);
            }
            Event::Open {
                attempt,
                transmission,
            } => self.open(attempt, transmission),
            Event::GiveUp(attempt) => {
                if !self.attempts[attempt].is_answered {
                    self.end_attempt(attempt);
                }
            }
            Event::AtTarget { attempt, target } => self.arrive(attempt, target),
            Event::Answered(attempt) => self.answer(attempt),
            Event::Done { attempt, target } => self.finish(attempt, target),
        }
    }

    fn sweep(&mut self) {
        self.schedule(500, Event::Sweep);
        for number in 0..self.vms.len() {
            self.deliver(number);
            let now = Moment::from_millis(self.now);
            let vm = &mut self.vms[number];
            if self.now >= vm.cut_until {
                vm.steering.record_sync(now);
            }
            vm.steering.sweep(now);
        }
    }

    /// Applies the documents that have reached a VM.
    fn deliver(&mut self, number: usize) {
        let now = Moment::from_millis(self.now);
        while let Some((at, _)) = self.vms[number].updates.front() {
            if (*at).max(self.vms[number].cut_until) > self.now {
                return;
            }
            let Some((_, update)) = self.vms[number].updates.pop_front() else {
                return;
            };
            match update {
                Update::Put(index) => {
                    // The entry counts down from its writing, which the VM does not know.
                    let entry = self.entry(index, self.targets[index].started);
                    self.vms[number].steering.put_target(entry, now);
                }
                Update::Remove(index) => {
                    let id = self.entry(index, self.now).id;
                    self.vms[number].steering.remove_targets(&[id], now);
                }
            }
        }
    }

    fn start_attempt(&mut self, number: u8) {
        let index = self.attempts.len();
        let [_, a, b, c] = (index as u32 / 60_000).to_be_bytes();
        self.attempts.push(Attempt {
            flow: FlowId {
                caller: SocketAddrV4::new(
                    Ipv4Addr::new(100, a, b, c),
                    1_000 + (index % 60_000) as u16,
                ),
                frontend: ORDERS,
            },
            number,
            target: None,
            is_answered: false,
            is_closed: false,
        });
        self.schedule(
            1,
            Event::Open {
                attempt: index,
                transmission: 0,
            },
        );
        self.schedule(1_400, Event::GiveUp(index));
    }

    /// Ends an attempt that did not run; the caller has further attempts.
    fn end_attempt(&mut self, attempt: usize) {
        let ended = &mut self.attempts[attempt];
        if std::mem::replace(&mut ended.is_closed, true) {
            return;
        }
        let number = ended.number + 1;
        if number < ATTEMPTS {
            self.start_attempt(number);
        }
    }

    /// VM that receives the packets of a flow.
    fn vm_of(&self, flow: &FlowId) -> Option<usize> {
        let count = self.vms.len();
        let first = flow.key().get() as usize % count;
        let mut order = (0..count).map(|step| (first + step) % count);
        order.find(|&number| self.vms[number].down_until <= self.now)
    }

    fn open(&mut self, attempt: usize, transmission: u32) {
        let state = &self.attempts[attempt];
        if state.is_closed || state.is_answered {
            return;
        }
        if transmission < 2 {
            let next = Event::Open {
                attempt,
                transmission: transmission + 1,
            };
            self.schedule([200, 400][transmission as usize], next);
        }
        let flow = self.attempts[attempt].flow;
        let Some(vm) = self.vm_of(&flow) else {
            return;
        };
        self.deliver(vm);
        let packet = opening_packet(flow, transmission);
        let now = Moment::from_millis(self.now);
        match self.vms[vm].steering.decide(&packet, now) {
            Decision::Forward { address, .. } => {
                let [_, _, high, low] = address.ip().octets();
                let target = usize::from(u16::from_be_bytes([high, low]));
                if self.is_lost(vm, target) {
                    return;
                }
                let delay = self.rng.random_range(1..4);
                self.schedule(delay, Event::AtTarget { attempt, target });
            }
            Decision::Reset(_) => self.end_attempt(attempt),
            Decision::Drop(_) | Decision::Hold => {}
        }
    }

    fn is_lost(&mut self, vm: usize, target: usize) -> bool {
        let (from, to) = (vm % ZONES, self.targets[target].zone);
        let is_cut = from != to && self.cut_zone.is_some_and(|zone| zone == from || zone == to);
        is_cut || self.rng.random::<f64>() < self.loss
    }

    fn arrive(&mut self, attempt: usize, index: usize) {
        if !self.targets[index].is_alive {
            return;
        }
        let now = self.now;
        let target = &mut self.targets[index];
        target.openings.push(now);
        if self.attempts[attempt].target.is_none() {
            let waiting = target.running + target.queue.len();
            if waiting >= SLOTS + QUEUE {
                self.end_attempt(attempt);
                return;
            }
            self.attempts[attempt].target = Some(index);
            target.queue.push_back(attempt);
            self.start_work(index);
        }
        if self.rng.random::<f64>() >= self.loss {
            self.schedule(1, Event::Answered(attempt));
        }
    }

    fn start_work(&mut self, index: usize) {
        let is_cold = self.now < self.targets[index].started + COLD_MS;
        while self.targets[index].running < SLOTS {
            let Some(attempt) = self.targets[index].queue.pop_front() else {
                return;
            };
            self.targets[index].running += 1;
            let work = self.rng.random_range(WORK_MS.0..=WORK_MS.1);
            let target = index;
            let factor = if is_cold { 2 } else { 1 };
            self.schedule(factor * work, Event::Done { attempt, target });
        }
    }

    fn answer(&mut self, attempt: usize) {
        if std::mem::replace(&mut self.attempts[attempt].is_answered, true) {
            return;
        }
        self.send(attempt, |flow, token| {
            flow_packet(flow, token, 101, 501, 100)
        });
    }

    fn finish(&mut self, attempt: usize, index: usize) {
        if !self.targets[index].is_alive {
            return;
        }
        self.targets[index].running -= 1;
        self.start_work(index);
        if self.attempts[attempt].is_answered {
            self.attempts[attempt].is_closed = true;
            self.send(attempt, |flow, token| fin_packet(flow, token, 901));
        }
    }

    fn send(
        &mut self,
        attempt: usize,
        packet: impl Fn(FlowId, bambooseam_types::Token) -> bambooseam_steer::PacketHeader,
    ) {
        let flow = self.attempts[attempt].flow;
        let (Some(target), Some(vm)) = (self.attempts[attempt].target, self.vm_of(&flow)) else {
            return;
        };
        let token = self.entry(target, self.now).token();
        let now = Moment::from_millis(self.now);
        self.vms[vm].steering.decide(&packet(flow, token), now);
    }

    /// Most openings that any cold target got in a second, among those started from `since` on; and
    /// the mean number in a second of the cold time that is over.
    fn openings_at_cold(&self, since: u64) -> (usize, f64) {
        let (mut most, mut sum, mut seconds) = (0, 0, 0.0);
        for target in self.targets.iter().filter(|t| t.started >= since.max(1)) {
            let cold = target.openings.iter();
            let cold: Vec<u64> = cold
                .copied()
                .filter(|at| *at < target.started + COLD_MS)
                .collect();
            for (index, at) in cold.iter().enumerate() {
                let window = cold[index..].iter().take_while(|end| **end < at + 1_000);
                most = most.max(window.count());
            }
            sum += cold.len();
            seconds += self.now.min(target.started + COLD_MS) as f64 / 1_000.0;
            seconds -= target.started as f64 / 1_000.0;
        }
        (most, sum as f64 / f64::max(seconds, 0.001))
    }

    /// Prints and returns the largest number of openings in a second since `since`.
    fn report(&self, phase: &str, since: u64) -> (usize, f64) {
        let (most, mean) = self.openings_at_cold(since);
        let limit = limit(self.rate);
        println!(
            "vms={} rate={} phase={phase} limit={limit} most={most} mean={mean:.2} unused={:.2}",
            self.vms.len(),
            self.rate,
            1.0 - mean / limit
        );
        (most, mean)
    }
}

fn target_template() -> Target {
    target(1)
}

/// Runs all phases with a number of VMs.
fn run_phases(vms: usize, rate: f64, seed: u64) {
    let mut model = Model::new(vms, rate, Some(POLICY), seed);
    let permitted = limit(rate);
    let check = |model: &Model, phase: &str, since: u64| {
        let (most, mean) = model.report(phase, since);
        assert!(most as f64 <= permitted, "{phase}: {most} of {permitted}");
        mean
    };
    // Longer than the time in which response times may still include full queues.
    model.demand = 0.15 * CAPACITY;
    model.run_for(140_000);

    let since = model.now;
    model.demand = 0.8 * CAPACITY;
    for _ in 0..3 {
        model.replace_targets(1);
        model.run_for(COLD_MS);
    }
    check(&model, "replaced_one_by_one", since);

    let since = model.now;
    model.demand = 2.0 * CAPACITY;
    model.run_for(1_000);
    model.replace_targets(TARGETS / 2);
    model.run_for(COLD_MS);
    check(&model, "burst_half_replaced", since);

    let since = model.now;
    model.replace_targets(TARGETS);
    model.run_for(COLD_MS);
    let mean = check(&model, "burst_all_replaced", since);
    assert!(mean > 0.0, "cold targets got no work");

    // Callers do not ask for less when most targets are lost, and then some return.
    let since = model.now;
    model.demand = 0.8 * CAPACITY;
    let lost = model.remove_targets(TARGETS - 2);
    model.run_for(4_000);
    for zone in &lost[..2] {
        model.publish_new(*zone);
    }
    model.run_for(COLD_MS);
    for zone in &lost[2..] {
        model.publish_new(*zone);
    }
    model.run_for(COLD_MS);
    check(&model, "most_lost_and_back", since);

    let since = model.now;
    model.demand = 2.0 * CAPACITY;
    model.loss = 0.05;
    model.cut_zone = Some(0);
    for number in 0..vms / 3 {
        model.vms[number * 3].cut_until = model.now + 3_000;
    }
    for number in 0..vms.div_ceil(4) {
        model.restart_vm(number, 300);
    }
    model.run_for(500);
    model.replace_targets(TARGETS);
    model.run_for(COLD_MS);
    check(&model, "burst_loss_partition_restarts", since);

    let since = model.now;
    model.cut_zone = None;
    for number in 0..vms {
        model.restart_vm(number, 100);
    }
    model.run_for(2_500);
    model.replace_targets(TARGETS * 2 / 3);
    model.run_for(COLD_MS);
    check(&model, "burst_all_vms_restarted", since);
}

/// Runs all numbers of VMs; `BAMBOOSEAM_COLD_SEEDS` sets the number of seeds.
fn run_all_sizes(rate: f64) {
    let seeds = std::env::var("BAMBOOSEAM_COLD_SEEDS");
    let seeds = seeds.map_or(1, |text| text.parse().expect("a number"));
    for vms in [4, 30, 170] {
        for seed in 1..=seeds {
            run_phases(vms, rate, seed);
        }
    }
}

#[test]
fn no_second_exceeds_the_limit_at_rate_5() {
    run_all_sizes(5.0);
}

#[test]
fn no_second_exceeds_the_limit_at_rate_20() {
    run_all_sizes(20.0);
}

#[test]
fn no_second_exceeds_the_limit_at_rate_100() {
    run_all_sizes(100.0);
}

/// Guards against a model that could not exceed the limit in any case.
#[test]
fn model_exceeds_the_limit_without_a_policy() {
    for vms in [4, 30, 170] {
        let mut model = Model::new(vms, 20.0, None, 7);
        model.run_for(5_000);
        let since = model.now;
        model.demand = 0.8 * CAPACITY;
        model.replace_targets(1);
        model.run_for(COLD_MS);
        model.report("no_policy_one_replaced", since);
        model.demand = 2.0 * CAPACITY;
        model.replace_targets(TARGETS);
        let since = model.now;
        model.run_for(COLD_MS);
        let (most, _) = model.report("no_policy", since);
        assert!(most as f64 > limit(20.0), "{most}");
    }
}

/// Returns target `number` at a time when it is cold for another minute.
fn cold(number: u8) -> Target {
    Target {
        cold_time: Duration::from_secs(60),
        ..target(number)
    }
}

/// Serves `count` flows from port `first` on, each with a response after 10 ms.
fn serve(steering: &mut Steering, first: u16, count: u16, start: u64) {
    for number in first..first + count {
        let now = at(start + 20 * u64::from(number - first));
        let flow = flow(number, ORDERS);
        let token = token_of(steering.decide(&opening_packet(flow, 0), now));
        steering.decide(&flow_packet(flow, token, 101, 501, 100), now);
        let end = now.after(Duration::from_millis(10));
        steering.decide(&fin_packet(flow, token, 901), end);
    }
}

/// Decisions about 2,000 flows that stay open.
fn decisions(steering: &mut Steering) -> Vec<Decision> {
    let packets = (1..=2_000).map(|number| opening_packet(flow(number, ORDERS), 0));
    packets
        .map(|packet| steering.decide(&packet, at(1_000)))
        .collect()
}

#[test]
fn nothing_changes_without_a_rate_or_without_settings() {
    let run = |rate: f64, policy| {
        let mut steering = limited_steering(0, rate, policy);
        for target in [target(1), cold(2), target(3)] {
            steering.put_target(target, at(0));
        }
        steering.record_sync(at(0));
        assert!(steering.sweep(at(500)).is_empty());
        assert!(steering.cold_budgets().iter().next().is_none());
        decisions(&mut steering)
    };
    let before = run(0.0, None);
    assert_eq!(before, run(0.0, Some(POLICY)));
    assert_eq!(before, run(20.0, None));
    let at_cold = before.iter().filter_map(Decision::forwarded);
    assert!(
        at_cold
            .filter(|(_, token)| *token == cold(2).token())
            .count()
            > 100
    );
}

#[test]
fn vm_that_has_seen_no_responses_opens_nothing_at_a_cold_target() {
    let mut steering = limited_steering(0, 100.0, Some(POLICY));
    steering.put_target(target(1), at(0));
    steering.put_target(cold(2), at(0));
    steering.record_sync(at(0));
    steering.sweep(at(500));
    for decision in decisions(&mut steering) {
        assert_eq!(token_of(decision), target(1).token());
    }
}

#[test]
fn flows_outside_the_share_are_reset_if_all_targets_are_cold() {
    let mut steering = limited_steering(0, 100.0, Some(POLICY));
    steering.put_target(target(1), at(0));
    steering.record_sync(at(0));
    serve(&mut steering, 1, 40, 0);
    steering.record_sync(at(3_000));
    steering.sweep(at(3_000));
    steering.put_target(cold(1), at(3_000));
    let packets = (100..2_100).map(|number| opening_packet(flow(number, ORDERS), 0));
    let decisions: Vec<_> = packets.map(|p| steering.decide(&p, at(3_000))).collect();
    let placed = decisions.iter().filter_map(Decision::forwarded).count();
    let reset = Decision::Reset(ResetCause::NoTarget);
    let resets = decisions.iter().filter(|d| **d == reset).count();
    assert_eq!(placed + resets, 2_000);
    // One VM alone keeps the limit, whatever arrives.
    assert!(placed > 0 && placed as f64 <= limit(100.0), "{placed}");
}

#[test]
fn share_is_the_same_on_vms_that_saw_different_flows() {
    let admitted = |first: u16| {
        let mut steering = limited_steering(0, 20.0, Some(POLICY));
        steering.put_target(target(1), at(0));
        steering.put_target(cold(2), at(0));
        steering.record_sync(at(0));
        serve(&mut steering, first, 60, 0);
        steering.sweep(at(2_000));
        let budgets = steering.cold_budgets();
        let service = "orders".parse().expect("a service");
        let budget = budgets.service(&service).expect("a budget");
        let keys = (1..=60_000).map(|number| flow(number, ORDERS).key());
        let admitted = keys.filter(|key| budget.admits(*key, cold(2).token(), at(2_000)));
        (budget.share(), admitted.collect::<Vec<_>>())
    };
    let (share, keys) = admitted(1);
    assert_eq!((share, keys.clone()), admitted(10_000));
    let expected = share.fraction() * 60_000.0;
    assert!((keys.len() as f64 - expected).abs() < expected / 2.0 + 10.0);
}

#[test]
fn retransmission_stays_with_its_cold_target_and_counts() {
    let mut steering = limited_steering(0, 0.5, Some(POLICY));
    // The limit is five openings.
    steering.put_target(target(1), at(0));
    steering.record_sync(at(0));
    serve(&mut steering, 1, 40, 0);
    steering.record_sync(at(3_000));
    steering.sweep(at(3_000));
    steering.put_target(cold(1), at(3_000));
    let flows = (100..60_000).map(|number| flow(number, ORDERS));
    let admitted = flows.clone().find(|flow| {
        let decision = steering.decide(&opening_packet(*flow, 0), at(3_000));
        decision.forwarded().is_some()
    });
    let admitted = admitted.expect("an admitted flow");
    for _ in 1..5 {
        let repeated = steering.decide(&opening_packet(admitted, 1), at(3_200));
        assert_eq!(token_of(repeated), cold(1).token());
    }
    // The route has moved to a service without a limit; the target still has one.
    let moved = Routes::new(vec![route(ORDERS, "charts")], None);
    steering.set_routes(moved.with_services(limited_routes(0.5).services().to_vec()));
    let sixth = steering.decide(&opening_packet(admitted, 1), at(3_300));
    assert_eq!(sixth, Decision::Drop(DropCause::ColdLimit));
    let later = steering.decide(&opening_packet(admitted, 2), at(4_500));
    assert_eq!(token_of(later), cold(1).token());
}

#[test]
fn share_is_logged_when_it_changes_only() {
    let mut steering = limited_steering(0, 20.0, Some(POLICY));
    steering.put_target(target(1), at(0));
    steering.put_target(cold(2), at(0));
    steering.record_sync(at(0));
    let lines = |steering: &mut Steering, now| {
        let events = steering.sweep(at(now)).into_iter();
        let shares = events.filter(|event| matches!(event, SteeringEvent::ColdShare { .. }));
        shares.map(|event| event.to_string()).collect::<Vec<_>>()
    };
    let first = lines(&mut steering, 500);
    assert_eq!(
        first,
        [
            "event=cold_share target=i-00000002 service=orders share_ppm=0 limit=35 slots=4 \
          response_us=0"
        ]
    );
    assert!(lines(&mut steering, 1_000).is_empty());
    serve(&mut steering, 1, 40, 1_000);
    assert_eq!(lines(&mut steering, 2_000).len(), 1);
    for now in (2_500..60_000).step_by(500) {
        assert!(lines(&mut steering, now).is_empty());
    }
}

#[test]
fn rate_of_a_configuration_is_parsed_and_0_means_no_limit() {
    let parse = |services: serde_json::Value| {
        let document = json!({"config_version": 1, "routes": [], "services": services});
        match DocumentKind::Config.parse(document.to_string().as_bytes()) {
            Ok(PlatformDocument::Config(config)) => config,
            other => panic!("no configuration: {other:?}"),
        }
    };
    let config = parse(json!([
        {"name": "b", "warmup_s": 2.0, "warmup_per_s": 12.5},
        {"name": "a", "warmup_s": 2.0, "warmup_per_s": 0.0},
        {"name": "c"},
    ]));
    let rates = config.routes.services().iter().map(|s| s.cold_rate);
    assert_eq!(rates.collect::<Vec<_>>(), [None, Some(12.5), None]);
    let config = parse(json!([{"name": "a", "warmup_per_s": -1}, 7]));
    assert_eq!(
        (config.routes.services().len(), config.skipped.len()),
        (0, 2)
    );
}

#[test]
fn settings_have_valid_margins_or_none() {
    let template = include_str!("../../platform/settings.ini");
    let parse = |margins: serde_json::Value| {
        let mut contract = json!({"grace_s": 6});
        for (key, value) in margins.as_object().expect("an object") {
            contract[key] = value.clone();
        }
        let values = json!({
            "node_id": "vm-1", "zone": "a", "ip": "10.0.0.1", "seeds": ["10.0.0.2:7720"],
            "platform": {"address": "10.0.0.9:80"}, "contract_params": contract,
            "listen_addrs": {"datagram_addr": "10.0.0.1:7710", "ready": "10.0.0.1:7711",
                             "control": "10.0.0.1:7720"},
        });
        let text = render(template, &values);
        let document = Document::parse("settings", &text)?;
        let settings = Settings::try_from(&document)?;
        Ok::<_, bambooseam_types::Findings>(settings.entry.expect("a section").cold_limit)
    };
    let limit = parse(json!({"warmup_excess": 1.5, "warmup_slack": 5})).expect("settings");
    let limit = limit.expect("a limit");
    assert_eq!((limit.excess, limit.slack), (1.5, 5.0));
    assert_eq!(parse(json!({})).expect("settings"), None);
    // A platform may leave out a margin of 0: refusing the settings would keep all VMs from starting.
    let limit = parse(json!({"warmup_excess": 1.5})).expect("settings");
    let limit = limit.expect("a limit");
    assert_eq!((limit.excess, limit.slack), (1.5, 0.0));
    let limit = parse(json!({"warmup_slack": 5})).expect("settings");
    let limit = limit.expect("a limit");
    assert_eq!((limit.excess, limit.slack), (1.0, 5.0));
    for invalid in [
        json!({"warmup_excess": -1, "warmup_slack": 5}),
        json!({"warmup_excess": "NaN", "warmup_slack": 5}),
        json!({"warmup_excess": 1.5, "warmup_slack": "many"}),
    ] {
        assert_eq!(
            parse(invalid.clone()).expect_err("a finding").len(),
            1,
            "{invalid}"
        );
    }
}
