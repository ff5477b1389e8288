//! A zone of VMs and targets as plain values: flows arrive at random VMs, targets with two slots
//! serve them in order, and messages between VMs take 1 ms, the unit of the model's clock.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use bambooseam_steer::zone_load::questions::{Answer, Question};
use bambooseam_steer::zone_load::{Group, LoadReport, ServiceLoad};
use bambooseam_steer::{Decision, FlowId, Origin, Steering, SteeringSettings};
use bambooseam_tests::steering::*;
use bambooseam_types::{Moment, Token};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub const TARGETS: u8 = 24;
const SLOTS: usize = 2;
/// Requests that a target queues in addition; it refuses the next one.
const QUEUE: usize = 8;
/// Service time of most requests, and of one in ten.
const SHORT_MS: u64 = 30;
const LONG_MS: u64 = 130;
const MEAN_MS: f64 = 40.0;
const REPORT_INTERVAL_MS: u64 = 200;
/// Shortest interval between reports of requests that have ended.
const CHANGE_INTERVAL_MS: u64 = 20;
/// Time that a VM does not use a coordinator that has failed.
const EXCLUSION_MS: u64 = 3_000;
/// Flows before this time are not counted.
const WARM_UP_MS: u64 = 2_000;

/// How targets are selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Each VM counts its own requests.
    Alone,
    /// One VM sees all requests.
    Whole,
    /// The VMs ask a coordinator.
    Coordinated,
}

/// A run of the model.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub vms: usize,
    /// Offered load in percent of the slots.
    pub load: u32,
    pub mode: Mode,
    /// Share of lost messages in percent.
    pub loss: u32,
    /// Number of VMs that act as coordinator, each for a part of the other VMs.
    pub coordinators: usize,
    /// Time at which the coordinator ends.
    pub lost_at: Option<u64>,
    pub end_ms: u64,
}

/// What a run has shown.
#[derive(Debug, Default, Clone, Copy)]
pub struct Outcome {
    pub flows: u64,
    /// Mean wait for a slot in ms, and its 99th percentile.
    pub wait: f64,
    pub wait_p99: u64,
    /// Requests of the busiest target relative to the mean.
    pub busiest: f64,
    pub refused: u64,
    /// Longest time that an opening was held.
    pub longest_hold: u64,
    pub questions: u64,
    pub reports: u64,
    /// Openings that were decided more than once or never.
    pub not_once: u64,
}

enum Message {
    Report(usize, LoadReport),
    ReportAnswer(Vec<ServiceLoad>),
    Question(usize, Question, LoadReport),
    Answer(usize, u32, Answer),
}

struct Zone {
    plan: Plan,
    vms: Vec<Steering>,
    excluded_until: Vec<u64>,
    reported: Vec<u64>,
    targets: Vec<(Token, VecDeque<u64>)>,
    served: Vec<u64>,
    /// Messages by time of arrival and receiver.
    messages: BTreeMap<u64, Vec<(usize, Message)>>,
    ends: BTreeMap<u64, Vec<(usize, FlowId, Token)>>,
    held: BTreeMap<FlowId, u64>,
    waits: Vec<u64>,
    outcome: Outcome,
    /// Separate sources, so that the arrivals are the same in every mode.
    arrivals: StdRng,
    losses: StdRng,
}

pub fn address(vm: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, (vm >> 8) as u8, vm as u8), 7_734)
}

fn index(address: SocketAddrV4) -> usize {
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn new_vm() -> Steering {
    let mut steering = Steering::new(SteeringSettings {
        zone: "a".parse().expect("a zone"),
        flow_limit: 100_000,
        cold_policy: None,
        target_speed: true,
        evacuated_last_resort: true,
    });
    steering.set_routes(routes());
    for number in 1..=TARGETS {
        steering.put_target(target(number), at(0));
    }
    steering.record_sync(at(0));
    steering
}

/// Runs the model.
pub fn run(plan: Plan) -> Outcome {
    let vms = match plan.mode {
        Mode::Whole => 1,
        Mode::Alone | Mode::Coordinated => plan.vms,
    };
    let mut zone = Zone {
        plan,
        vms: (0..vms).map(|_| new_vm()).collect(),
        excluded_until: vec![0; vms],
        reported: vec![0; vms],
        targets: (1..=TARGETS)
            .map(|number| (target(number).token(), VecDeque::new()))
            .collect(),
        served: vec![0; TARGETS.into()],
        messages: BTreeMap::new(),
        ends: BTreeMap::new(),
        held: BTreeMap::new(),
        waits: Vec::new(),
        outcome: Outcome::default(),
        arrivals: StdRng::seed_from_u64(11),
        losses: StdRng::seed_from_u64(12),
    };
    let rate = f64::from(plan.load) / 100.0 * f64::from(TARGETS) * SLOTS as f64 / MEAN_MS;
    let (mut next, mut number) = (0.0, 0_u32);
    for time in 0..plan.end_ms {
        zone.step(time);
        while next <= time as f64 {
            zone.arrive(number, time);
            number += 1;
            let uniform: f64 = zone.arrivals.random_range(1e-9..1.0);
            next -= uniform.ln() / rate;
        }
    }
    for time in plan.end_ms..plan.end_ms + 300 {
        zone.step(time);
    }
    zone.finish()
}

impl Zone {
    fn step(&mut self, time: u64) {
        let now = at(time);
        for (vm, flow, token) in self.ends.remove(&time).unwrap_or_default() {
            self.vms[vm].decide(&fin_packet(flow, token, 901), now);
        }
        for (vm, message) in self.messages.remove(&time).unwrap_or_default() {
            self.receive(vm, message, time);
        }
        for vm in 0..self.vms.len() {
            if time.is_multiple_of(500) {
                self.vms[vm].record_sync(now);
                self.vms[vm].sweep(now);
            }
            if self.plan.mode == Mode::Coordinated {
                self.coordinate(vm, time);
            }
            for released in self.vms[vm].take_released(now) {
                self.place(vm, released.flow, released.decision, time);
            }
        }
    }

    fn is_lost(&self, vm: usize, time: u64) -> bool {
        vm == 0 && self.plan.lost_at.is_some_and(|lost_at| time >= lost_at)
    }

    fn coordinator(&self, vm: usize, time: u64) -> usize {
        if time < self.excluded_until[vm] {
            return 1;
        }
        match vm < self.plan.coordinators {
            true => vm,
            false => vm % self.plan.coordinators,
        }
    }

    /// Sends reports and questions, as the entry program does.
    fn coordinate(&mut self, vm: usize, time: u64) {
        let now = at(time);
        let mut coordinator = self.coordinator(vm, time);
        if !self.vms[vm].expire_questions(now).is_empty() {
            self.excluded_until[vm] = time + EXCLUSION_MS;
            coordinator = 1;
        }
        if (time + vm as u64 * 7).is_multiple_of(REPORT_INTERVAL_MS) {
            let role = match coordinator == vm {
                true => Origin::Local,
                false => Origin::Vm(address(coordinator)),
            };
            self.vms[vm].set_coordinators(vec![Some(role)], now);
            self.vms[vm].update_demand(now);
            if coordinator != vm && self.vms[vm].has_load_to_report() {
                self.report(vm, coordinator, time);
            }
        }
        let is_due = time >= self.reported[vm] + CHANGE_INTERVAL_MS;
        if is_due && coordinator != vm && self.vms[vm].is_report_due() {
            self.report(vm, coordinator, time);
        }
        for question in self.vms[vm].take_questions() {
            self.outcome.questions += 1;
            self.reported[vm] = time;
            let report = self.vms[vm].create_report(question.group, now);
            let to = index(question.coordinator);
            self.send(vm, to, Message::Question(vm, question, report), time);
        }
    }

    fn report(&mut self, vm: usize, coordinator: usize, time: u64) {
        self.reported[vm] = time;
        self.outcome.reports += 1;
        let report = self.vms[vm].create_report(Group::WHOLE, at(time));
        self.send(vm, coordinator, Message::Report(vm, report), time);
    }

    fn send(&mut self, from: usize, to: usize, message: Message, time: u64) {
        let is_lost = self.is_lost(from, time) || self.is_lost(to, time);
        if is_lost || self.losses.random_range(0..100) < self.plan.loss {
            return;
        }
        self.messages
            .entry(time + 1)
            .or_default()
            .push((to, message));
    }

    fn receive(&mut self, vm: usize, message: Message, time: u64) {
        let now = at(time);
        let steering = &mut self.vms[vm];
        match message {
            Message::Report(from, report) => {
                steering.record_report(address(from), &report, now);
                let loads = steering.zone_loads(Group::WHOLE, now);
                self.send(vm, from, Message::ReportAnswer(loads), time);
            }
            Message::ReportAnswer(loads) => steering.record_zone_loads(&loads, now),
            Message::Question(from, question, report) => {
                let asking = address(from);
                steering.record_report(asking, &report, now);
                let (number, group) = (question.number, question.group);
                let answer = steering.answer(asking, number, group, &question.header, now);
                self.send(vm, from, Message::Answer(vm, number, answer), time);
            }
            Message::Answer(from, number, answer) => {
                steering.apply_answer(address(from), number, answer, now);
            }
        }
    }

    fn arrive(&mut self, number: u32, time: u64) {
        let mut vm = (self.arrivals.random::<u32>() as usize) % self.vms.len();
        if self.is_lost(vm, time) {
            vm = 1;
        }
        let flow = FlowId {
            caller: SocketAddrV4::new(
                Ipv4Addr::from(0x6440_0000 + number / 50_000),
                1_024 + (number % 50_000) as u16,
            ),
            frontend: ORDERS,
        };
        self.held.insert(flow, time);
        let decision = self.vms[vm].decide(&opening_packet(flow, 0), at(time));
        if decision != Decision::Hold {
            self.place(vm, flow, decision, time);
        }
    }

    /// Lets the target of a decision serve the flow.
    fn place(&mut self, vm: usize, flow: FlowId, decision: Decision, time: u64) {
        let Some(arrived) = self.held.remove(&flow) else {
            self.outcome.not_once += 1;
            return;
        };
        let token = token_of(decision);
        let now: Moment = at(time);
        self.vms[vm].decide(&flow_packet(flow, token, 101, 501, 100), now);
        // The same flow takes equally long in every mode.
        let service = match flow.key().get() % 10 {
            0 => LONG_MS,
            _ => SHORT_MS,
        };
        let hold = time - arrived;
        let at_target = self.targets.iter().position(|(other, _)| *other == token);
        let at_target = at_target.expect("a target");
        let (_, busy) = &mut self.targets[at_target];
        busy.retain(|end| *end > time);
        self.outcome.longest_hold = self.outcome.longest_hold.max(hold);
        let counts = arrived >= WARM_UP_MS;
        if busy.len() >= SLOTS + QUEUE {
            self.outcome.refused += u64::from(counts);
            self.ends
                .entry(time + 2)
                .or_default()
                .push((vm, flow, token));
            return;
        }
        // Requests start in order of arrival as slots become free.
        let mut ends: Vec<u64> = busy.iter().copied().collect();
        ends.sort_unstable();
        let start = match busy.len() >= SLOTS {
            true => ends[ends.len() - SLOTS],
            false => time,
        };
        busy.push_back(start + service);
        self.ends
            .entry(start + service + 1)
            .or_default()
            .push((vm, flow, token));
        if counts {
            self.served[at_target] += 1;
            self.waits.push(start - time + hold);
        }
    }

    fn finish(mut self) -> Outcome {
        self.outcome.not_once += self.held.len() as u64;
        self.waits.sort_unstable();
        let flows = self.waits.len() as u64;
        let mean = flows as f64 / f64::from(TARGETS);
        let busiest = self.served.iter().max().copied().unwrap_or_default();
        Outcome {
            flows,
            wait: self.waits.iter().sum::<u64>() as f64 / flows as f64,
            wait_p99: self.waits[self.waits.len() * 99 / 100],
            busiest: busiest as f64 / mean,
            ..self.outcome
        }
    }
}
