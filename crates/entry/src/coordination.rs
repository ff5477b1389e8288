//! Task that exchanges load reports, questions and answers with the other VMs of the zone.
//!
//! [`Steering`](bambooseam_steer::Steering) decides when this VM asks, and selects the targets for
//! VMs that ask this one; this module has the socket and the times. A message can delay the opening
//! packet of a flow by 40 ms, and has no effect on open flows.

pub mod codec;
pub mod coordinators;
mod link;
mod record;

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use bambooseam_observe::LogLimit;
use bambooseam_peer::jitter;
use bambooseam_steer::zone_load::questions::Answer;
use bambooseam_steer::zone_load::{Group, LoadReport, ServiceLoad};
use bambooseam_steer::{FlowId, Origin, PacketHeader};
use bambooseam_types::{Clock, Moment, ZoneId};
use metrics::counter;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use self::codec::{MAX_MESSAGE_BYTES, Message, ReportScope};
use self::coordinators::Coordinators;
pub use self::link::CoordinationLink;
pub(crate) use self::record::coordinator_name;
use crate::BootClock;
use crate::node::SharedNode;
use crate::peering::SharedPeers;

/// Interval between two reports while this VM has requests in progress.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest interval between two reports of requests that have ended, while this VM asks. The
/// coordinator counts such a request until it is reported, and requests take 4 to 52 ms.
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two checks while openings wait for an answer.
const WAIT_INTERVAL: Duration = Duration::from_millis(5);

/// Delay of a check from which the process counts as paused. Whoever has asked meanwhile has placed
/// the opening by itself.
const MAX_DELAY: Duration = Duration::from_millis(40);

/// Maximum number of datagrams received in a row before other tasks run.
const BATCH_SIZE: usize = 64;

/// Largest number of openings of other VMs that wait for a decision of this VM.
const MAX_WAITING: usize = 2_048;

/// Time after which an opening of another VM no longer waits: the VM has placed it by itself.
const MAX_WAITING_TIME: Duration = Duration::from_millis(250);

/// Limits warnings about invalid datagrams.
static MALFORMED: LogLimit = LogLimit::new("coordination_malformed", 5);
/// Limits warnings about datagrams that could not be sent or received.
static UNSENT: LogLimit = LogLimit::new("coordination_unsent", 5);
/// Exchanges messages with the other VMs of the zone.
#[derive(Debug)]
pub struct Coordination {
    socket: UdpSocket,
    port: u16,
    node: SharedNode,
    peers: SharedPeers,
    link: Rc<CoordinationLink>,
    coordinators: Coordinators,
    /// Coordinators of the other zones.
    other_zones: Vec<(ZoneId, Coordinators)>,
    /// Coordinators in use.
    chosen: Vec<Option<Origin>>,
    /// Openings of other VMs that wait for a decision of this VM.
    waiting: Vec<WaitingAnswer>,
    /// When reports were last sent at the usual interval, and the interval to the next ones.
    ticked: Moment,
    tick_interval: Duration,
    /// When the last report was sent.
    reported: Moment,
    /// When a message was last received.
    active: Moment,
}

/// A question of another VM that waits for a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WaitingAnswer {
    vm: SocketAddrV4,
    number: u32,
    flow: FlowId,
    received: Moment,
}

impl Coordination {
    /// Binds the socket at `address`, at which the other VMs reach this one.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound, for example because it is in use.
    pub async fn bind(
        address: SocketAddrV4,
        node: SharedNode,
        peers: SharedPeers,
        link: Rc<CoordinationLink>,
    ) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(SocketAddr::from(address)).await?,
            port: address.port(),
            node,
            peers,
            link,
            coordinators: Coordinators::new(address),
            other_zones: Vec::new(),
            chosen: Vec::new(),
            waiting: Vec::new(),
            ticked: Moment::default(),
            tick_interval: Duration::ZERO,
            reported: Moment::default(),
            active: Moment::default(),
        })
    }

    /// Exchanges messages until the future is dropped.
    pub async fn run(mut self) {
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            let begun = BootClock.now();
            let interval = self.check_interval(begun);
            // A timeout is the usual end of the wait. An error of the socket shows again when the
            // socket is read.
            let _ = timeout(interval, async {
                tokio::select! {
                    _ = self.socket.readable() => {}
                    () = self.link.woken() => {}
                }
            })
            .await;
            let now = BootClock.now();
            let was_paused = now.since(begun) > interval + MAX_DELAY;
            self.receive(&mut buffer, now, was_paused);
            self.expire_questions(now, was_paused);
            self.send_decided(now);
            self.send_questions(now);
            self.send_reports(now);
            if self.node.borrow().steering().has_released() || !self.waiting.is_empty() {
                self.link.release();
            }
            tokio::task::yield_now().await;
        }
    }

    /// Time until the next check if nothing happens before.
    fn check_interval(&self, now: Moment) -> Duration {
        let is_waiting = self.node.borrow().steering().question_count() > 0;
        if is_waiting || !self.waiting.is_empty() {
            return WAIT_INTERVAL;
        }
        match now.since(self.active) <= 2 * REPORT_INTERVAL {
            true => CHANGE_INTERVAL,
            false => REPORT_INTERVAL,
        }
    }

    /// Handles the datagrams that have arrived. After a pause all of them are read at once, and
    /// questions among them are discarded.
    fn receive(&mut self, buffer: &mut [u8], now: Moment, was_paused: bool) {
        let limit = match was_paused {
            true => usize::MAX,
            false => BATCH_SIZE,
        };
        for _ in 0..limit {
            let (len, from) = match self.socket.try_recv_from(buffer) {
                Ok((len, SocketAddr::V4(from))) => (len, from),
                Ok(_) => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => return UNSENT.report(error),
            };
            if from.port() != self.port {
                MALFORMED.report(format_args!("sender {from} has another port"));
                continue;
            }
            counter!("coordination_bytes_received").increment(len as u64);
            match Message::decode(&buffer[..len]) {
                Ok(Message::Question { .. }) if was_paused => {
                    record::count_discarded();
                }
                Ok(message) => self.handle(from, message, now),
                Err(error) => MALFORMED.report(error),
            }
        }
    }

    fn handle(&mut self, from: SocketAddrV4, message: Message, now: Moment) {
        self.active = now;
        match message {
            Message::Report {
                group,
                scope,
                report,
            } => self.handle_report(from, (group, scope), &report, now),
            Message::ReportAnswer { better, loads, .. } => {
                let better = better.map(|better| SocketAddrV4::new(better, self.port));
                self.handle_report_answer(from, better, &loads, now);
            }
            Message::Question {
                number,
                group,
                header,
                report,
            } => self.handle_question(from, (number, group), &header, &report, now),
            Message::Answer { number, answer } => self.handle_answer(from, number, answer, now),
        }
    }

    fn handle_report(
        &mut self,
        from: SocketAddrV4,
        (group, scope): (Group, ReportScope),
        report: &LoadReport,
        now: Moment,
    ) {
        let better = self.coordinators.better(now);
        let mut node = self.node.borrow_mut();
        let steering = node.steering_mut();
        let is_other_zone = scope == ReportScope::OtherZone;
        match is_other_zone {
            true => steering.record_remote_report(from, report, now),
            false => steering.record_report(from, report, now),
        };
        let is_ready = steering.is_ready();
        // A VM that does not see its zone would report a load that is too low.
        let sees_zone = better.is_none() && steering.has_zone_view();
        let loads = match is_other_zone && !sees_zone {
            true => Vec::new(),
            false => steering.zone_loads(group, now),
        };
        // A VM that stops still answers questions, and the others choose another coordinator
        // before it has ended.
        let answers = scope != ReportScope::Zone && is_ready && !node.is_stopping();
        drop(node);
        if answers {
            let answer = Message::ReportAnswer {
                sequence: report.sequence,
                better: better.map(|better| *better.ip()),
                loads,
            };
            self.send(from, &answer);
        }
    }

    fn handle_report_answer(
        &mut self,
        from: SocketAddrV4,
        better: Option<SocketAddrV4>,
        loads: &[ServiceLoad],
        now: Moment,
    ) {
        if self.coordinators.contains(from) {
            self.coordinators.record_answer(from, now);
            if let Some(better) = better {
                self.coordinators.add_referred(better, now);
            }
            self.choose(now);
            // Other VMs of the zone see a part of the load.
            if self.chosen.contains(&Some(Origin::Vm(from))) {
                let mut node = self.node.borrow_mut();
                node.steering_mut().record_zone_loads(loads, now);
            }
            return;
        }
        let mut zones = self.other_zones.iter_mut();
        let Some((zone, coordinators)) = zones.find(|(_, c)| c.contains(from)) else {
            return;
        };
        coordinators.record_answer(from, now);
        if let Some(better) = better {
            coordinators.add_referred(better, now);
        }
        let mut node = self.node.borrow_mut();
        node.steering_mut().record_outside_answer(now);
        // The list is empty if the sender does not see its zone.
        if !loads.is_empty() {
            node.steering_mut().record_remote_loads(zone, loads, now);
        }
    }

    fn handle_question(
        &mut self,
        from: SocketAddrV4,
        (number, group): (u32, Group),
        header: &PacketHeader,
        report: &LoadReport,
        now: Moment,
    ) {
        let mut node = self.node.borrow_mut();
        let steering = node.steering_mut();
        steering.record_report(from, report, now);
        let answer = match steering.is_ready() && self.waiting.len() < MAX_WAITING {
            true => steering.answer(from, number, group, header, now),
            false => Answer::Decide,
        };
        drop(node);
        if let Answer::Wait(_) = answer {
            self.waiting.push(WaitingAnswer {
                vm: from,
                number,
                flow: header.flow,
                received: now,
            });
        }
        self.send_answer(from, number, answer);
    }

    fn send_answer(&self, to: SocketAddrV4, number: u32, answer: Answer) {
        record::count_given(answer);
        self.send(to, &Message::Answer { number, answer });
    }

    fn handle_answer(&mut self, from: SocketAddrV4, number: u32, answer: Answer, now: Moment) {
        let mut node = self.node.borrow_mut();
        let applied = node.steering_mut().apply_answer(from, number, answer, now);
        record::count_received(answer, applied.map(|(outcome, _)| outcome));
        if let Some((_, elapsed)) = applied {
            record::record_answer_time(elapsed);
            self.link.release();
        }
    }

    /// Places the openings whose answer is overdue. After a pause of this process, the coordinator
    /// is not to blame.
    fn expire_questions(&mut self, now: Moment, was_paused: bool) {
        let mut node = self.node.borrow_mut();
        let before = node.steering().question_count();
        let failed = node.steering_mut().expire_questions(now);
        let expired = before - node.steering().question_count();
        drop(node);
        record::count_timed_out(expired);
        self.waiting
            .retain(|waiting| now.since(waiting.received) <= MAX_WAITING_TIME);
        if failed.is_empty() {
            return;
        }
        if !was_paused {
            for address in failed {
                self.coordinators.exclude(address, now);
                record::log_excluded(address, "no_answer");
            }
            // The next coordinator is used once it has answered a report.
            self.tick_interval = Duration::ZERO;
        }
        self.choose(now);
    }

    /// Sends the decisions about openings of other VMs that have waited.
    fn send_decided(&mut self, now: Moment) {
        for released in self.link.take_decided() {
            let is_asked = |waiting: &WaitingAnswer| {
                released.origin == Origin::Vm(waiting.vm) && released.flow == waiting.flow
            };
            let Some(at) = self.waiting.iter().position(is_asked) else {
                continue;
            };
            let WaitingAnswer { vm, number, .. } = self.waiting.remove(at);
            self.active = now;
            self.send_answer(vm, number, Answer::from(released.decision));
        }
    }

    fn send_questions(&mut self, now: Moment) {
        let questions = self.node.borrow_mut().steering_mut().take_questions();
        for question in questions {
            let mut node = self.node.borrow_mut();
            let report = node.steering_mut().create_report(question.group, now);
            drop(node);
            let message = Message::Question {
                number: question.number,
                group: question.group,
                header: question.header,
                report,
            };
            self.reported = now;
            self.active = now;
            self.send(question.coordinator, &message);
        }
    }

    /// Sends the reports that are due, and updates the choice of coordinators.
    fn send_reports(&mut self, now: Moment) {
        if now.since(self.ticked) >= self.tick_interval {
            self.ticked = now;
            self.tick_interval = jitter(REPORT_INTERVAL);
            return self.tick(now);
        }
        let is_due = self.node.borrow().steering().is_report_due();
        if !is_due || now.since(self.reported) < CHANGE_INTERVAL {
            return;
        }
        for (index, coordinator) in (0..).zip(self.chosen.clone()) {
            if let Some(Origin::Vm(address)) = coordinator {
                self.send_report(address, index, ReportScope::Zone, now);
            }
        }
    }

    fn tick(&mut self, now: Moment) {
        for address in self.coordinators.exclude_unanswering(now) {
            record::log_excluded(address, "no_report_answer");
        }
        let mut peers = self.peers.borrow_mut();
        for address in self.coordinators.lost() {
            peers.forget_lowest(address);
        }
        let addresses = peers.zone_addresses(&peers.own().zone, self.port);
        drop(peers);
        self.coordinators.set_known(addresses, now);
        self.choose(now);
        let mut node = self.node.borrow_mut();
        let steering = node.steering_mut();
        steering.update_demand(now);
        record::log_demand(steering);
        record::record_load(steering);
        let groups = steering.group_count();
        let has_load = steering.has_load_to_report();
        let needs_remote = steering.needs_remote_loads(now);
        drop(node);
        if needs_remote {
            self.send_zone_reports(now);
        }
        if !has_load {
            return;
        }
        self.active = now;
        for (address, index) in self.coordinators.report_receivers(groups, now) {
            self.coordinators.record_report(address);
            self.send_report(address, index, ReportScope::ZoneAnswered, now);
        }
    }

    /// Reports the load of this zone at the targets of the other zones to their coordinators, whose
    /// answers contain the loads of their zones.
    fn send_zone_reports(&mut self, now: Moment) {
        let zones = self.peers.borrow().other_zones();
        self.other_zones.retain(|(zone, _)| zones.contains(zone));
        for zone in zones {
            let addresses = self.peers.borrow().zone_addresses(&zone, self.port);
            let at = match self.other_zones.iter().position(|(z, _)| *z == zone) {
                Some(at) => at,
                None => {
                    let coordinators = Coordinators::of_other_zone(self.port);
                    self.other_zones.push((zone.clone(), coordinators));
                    self.other_zones.len() - 1
                }
            };
            let coordinators = &mut self.other_zones[at].1;
            for address in coordinators.exclude_unanswering(now) {
                record::log_excluded(address, "no_report_answer");
            }
            coordinators.set_known(addresses, now);
            let receivers = coordinators.report_receivers(1, now);
            for (address, index) in receivers {
                self.other_zones[at].1.record_report(address);
                let mut node = self.node.borrow_mut();
                let steering = node.steering_mut();
                let count = steering.group_count_of(&zone);
                let group = Group { index, count };
                let report = steering.create_zone_report(&zone, group, now);
                drop(node);
                let message = Message::Report {
                    group,
                    scope: ReportScope::OtherZone,
                    report,
                };
                self.send(address, &message);
            }
        }
    }

    fn send_report(&mut self, to: SocketAddrV4, index: u8, scope: ReportScope, now: Moment) {
        let mut node = self.node.borrow_mut();
        let count = node.steering().group_count();
        let group = Group { index, count };
        let report = node.steering_mut().create_report(group, now);
        drop(node);
        self.reported = now;
        let message = Message::Report {
            group,
            scope,
            report,
        };
        self.send(to, &message);
    }

    /// Updates the choice of coordinators.
    fn choose(&mut self, now: Moment) {
        let mut node = self.node.borrow_mut();
        let groups = node.steering().group_count();
        let chosen = self.coordinators.choose(groups, now);
        node.steering_mut().set_coordinators(chosen.clone(), now);
        drop(node);
        if self.chosen == chosen {
            return;
        }
        record::log_chosen(&chosen, self.coordinators.len() + 1);
        self.chosen = chosen;
    }

    fn send(&self, to: SocketAddrV4, message: &Message) {
        let bytes = message.encode();
        match self.socket.try_send_to(&bytes, to.into()) {
            Ok(len) => counter!("coordination_bytes_sent").increment(len as u64),
            Err(error) => UNSENT.report(error),
        }
    }
}
