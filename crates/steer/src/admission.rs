//! Admission control: which openings wait, and which are rejected, while a service is full.
//!
//! Load pattern addressed: callers ask for more than a service can finish. Without admission control
//! the queues of the targets fill up. Every request then waits as long as every other, urgent
//! requests miss their latency goals like all others, and the targets work on requests that are late
//! already or refuse requests at random.
//!
//! A service is full when every target that may take its openings has as many requests in progress
//! as it handles well. Openings then wait in an [`AdmissionQueue`] in place of the targets' queues.
//! The queue is ordered by priority, then by turn, then by arrival. The turn of an opening is the
//! number of openings of the same caller address that wait already, so a caller that sends many at
//! once goes behind the first openings of all others.
//!
//! The expected wait is known on arrival: the number of openings ahead, divided by the rate at which
//! the service finishes requests, less the rate at which more urgent openings arrive, which will
//! overtake. An opening whose expected wait is too long is rejected at once, so that its caller can
//! retry while its latency goal can still be met. An opening that waits longer than expected is
//! rejected at its limit: a quarter of the latency goal, which leaves the rest to the response, and
//! never beyond [`MAX_WAIT`].
//!
//! The logic applies only where the requests in progress are known for all openings of a zone. It is
//! a set of plain values without I/O: the caller of this module passes the load of the service.

use std::time::Duration;

use bambooseam_types::Moment;
use derive_more::Display;

use crate::{FlowId, Origin, PacketHeader};

/// Longest wait of an opening. Callers retransmit after 200 ms; until then the decision has to be
/// made and has to reach the caller.
pub const MAX_WAIT: Duration = Duration::from_millis(150);

/// Time after which a caller retransmits an opening packet.
const RETRANSMISSION_TIME: Duration = Duration::from_millis(200);

/// An opening waits for at most this fraction of its latency goal, so that the response has the rest.
const WAIT_DIVISOR: u32 = 4;

/// Largest number of openings that wait for one service: those that a group of 64 targets with two
/// slots finishes within [`MAX_WAIT`], at 40 ms for a request.
pub const MAX_WAITING: usize = 512;

/// Time constant of the arrival rates; long enough to average over single packets, short enough to
/// follow a burst.
const RATE_TIME: Duration = Duration::from_millis(250);

/// Largest number of priorities whose arrival rate is measured; configurations have two or three.
const MAX_PRIORITIES: usize = 16;

/// Part of the finished requests that counts for the less urgent openings at least, so that an
/// arrival rate that was overestimated does not reject all of them.
const MIN_RATE_SHARE: f64 = 0.05;

/// Time without a full target set after which a service counts as no longer overloaded: longer than
/// the gaps between bursts at the edge of the capacity, and less than the second after which a service
/// has to be back to normal.
const RECOVERY_TIME: Duration = Duration::from_millis(400);

/// Load of the targets that may take the openings of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests that the targets can take before each is at its limit.
    pub room: u32,
    /// Mean time from a request to its response; `None` until enough responses were observed.
    pub response_time: Option<Duration>,
}

/// An opening that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// Header of the opening packet.
    pub header: PacketHeader,
    /// VM that holds the packet.
    pub origin: Origin,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Latency goal of the route.
    pub latency_goal: Duration,
}

/// An opening in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// The opening.
    pub opening: Opening,
    /// When it arrived.
    pub arrived: Moment,
    /// Whether an earlier transmission waited before.
    is_restarted: bool,
    /// Number of openings of the same caller and priority that waited when it arrived.
    turn: u32,
    /// Number of the arrival.
    number: u64,
}

/// Decision about an opening that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The opening is placed now.
    Place,
    /// The opening waits in the queue.
    Wait,
    /// The opening is rejected.
    Reject(Rejection),
}

/// Why an opening was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum RejectCause {
    /// The queue was full with openings that go first.
    #[display("queue_full")]
    QueueFull,
    /// The expected wait was too long on arrival.
    #[display("expected_wait")]
    ExpectedWait,
    /// The opening waited for as long as it may.
    #[display("waited")]
    Waited,
}

/// A rejection with the inputs of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(
    "cause={cause} priority={priority} ahead={ahead} in_progress={in_progress} response_ms={} \
     expected_ms={} limit_ms={}",
    response_time.as_millis(),
    expected.as_millis(),
    limit.as_millis()
)]
pub struct Rejection {
    /// Why.
    pub cause: RejectCause,
    /// Priority of the route.
    pub priority: u32,
    /// Openings that would go first.
    pub ahead: u32,
    /// Requests in progress at the targets.
    pub in_progress: u32,
    /// Mean response time; zero if unknown.
    pub response_time: Duration,
    /// Expected wait, or the time waited.
    pub expected: Duration,
    /// Longest wait.
    pub limit: Duration,
}

/// Start or end of an overload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverloadChange {
    /// The service is full.
    Began,
    /// The service has had room for some time.
    Ended {
        /// Time since the start.
        elapsed: Duration,
        /// Openings rejected since.
        rejected: u64,
    },
}

/// Openings of one service that wait until a target has room.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    /// Sorted by priority, turn and arrival.
    waiting: Vec<Waiting>,
    next_number: u64,
    /// Arrival rates of all openings, by priority.
    arrivals: Vec<(u32, ArrivalRate)>,
    overload: Option<Overload>,
}

/// An overload that has not ended.
#[derive(Debug, Clone, Copy)]
struct Overload {
    began: Moment,
    last_full: Moment,
    rejected: u64,
    is_reported: bool,
}

/// Number of arrivals, decayed over [`RATE_TIME`].
#[derive(Debug, Clone, Copy, Default)]
struct ArrivalRate {
    count: f64,
    updated: Moment,
}

impl ServiceLoad {
    /// Whether each target is at its limit.
    pub fn is_full(&self) -> bool {
        self.room == 0
    }

    /// Requests that the service finishes per second: by Little's law, the requests in progress
    /// divided by the mean response time. Both include the time that a request waits at its target.
    pub fn finish_rate(&self) -> Option<f64> {
        let time = self.response_time?.as_secs_f64();
        (time > 0.0 && self.in_progress > 0).then(|| f64::from(self.in_progress) / time)
    }
}

impl Opening {
    /// Longest time that the opening may wait.
    pub fn max_wait(&self) -> Duration {
        MAX_WAIT.min(self.latency_goal / WAIT_DIVISOR)
    }

    /// Whether no target can have been sent the opening: its first transmission was received now. The
    /// earlier transmissions of a retransmitted one may have passed through another VM.
    pub fn is_unsent(&self) -> bool {
        self.header.is_first_opening()
    }

    fn is_same(&self, flow: &FlowId, origin: Origin) -> bool {
        self.header.flow == *flow && self.origin == origin
    }
}

impl Waiting {
    /// Whether a reset truthfully says that the request has not run: no target can have been sent the
    /// opening, neither before it arrived nor through another VM since, as the caller has not
    /// retransmitted yet.
    pub fn may_reset(&self, now: Moment) -> bool {
        self.opening.is_unsent() && !self.is_restarted && !self.is_stale(now)
    }

    /// Whether the caller has retransmitted the opening by now.
    fn is_stale(&self, now: Moment) -> bool {
        now.since(self.arrived) >= RETRANSMISSION_TIME
    }

    /// Whether the opening has waited longer than it may.
    fn is_overdue(&self, now: Moment) -> bool {
        now.since(self.arrived) > self.opening.max_wait()
    }

    fn rank(&self) -> (u32, u32, u64) {
        (self.opening.priority, self.turn, self.number)
    }
}

impl AdmissionQueue {
    /// Decides about an opening; `spare` is the number of openings that other bounds allow to add.
    /// Returns also the opening that it displaces from a full queue.
    pub fn offer(
        &mut self,
        opening: Opening,
        load: &ServiceLoad,
        spare: usize,
        now: Moment,
    ) -> (Verdict, Option<(Waiting, Rejection)>) {
        let flow = opening.header.flow;
        let held = self
            .waiting
            .iter()
            .position(|waiting| waiting.opening.is_same(&flow, opening.origin));
        match held {
            // A retransmission keeps the place of the first transmission. After a pause of this
            // process, the opening starts anew, and can't be reset any more.
            Some(at) if !self.waiting[at].is_stale(now) => return (Verdict::Wait, None),
            Some(at) => {
                self.waiting.remove(at);
            }
            None => self.record_arrival(opening.priority, now),
        }
        let waiting = Waiting {
            opening,
            arrived: now,
            is_restarted: held.is_some(),
            turn: self.turn(&opening),
            number: self.next_number,
        };
        let rank = waiting.rank();
        let ahead = self.waiting.partition_point(|other| other.rank() < rank);
        if ahead == 0 && !load.is_full() {
            return (Verdict::Place, None);
        }
        // A full queue is no reason to reject while a target has room: the openings that go first are
        // about to leave the queue.
        let bound = MAX_WAITING.min(self.waiting.len() + spare) + load.room as usize;
        if load.is_full() {
            self.record_full(now);
        }
        let expected = self.expected_wait(ahead, opening.priority, load, now);
        let rejection = Rejection {
            cause: RejectCause::ExpectedWait,
            priority: opening.priority,
            ahead: ahead as u32,
            in_progress: load.in_progress,
            response_time: load.response_time.unwrap_or_default(),
            expected: expected.unwrap_or_default(),
            limit: opening.max_wait(),
        };
        if load.is_full() && expected.is_some_and(|expected| expected > opening.max_wait()) {
            return (self.reject(rejection), None);
        }
        let cause = RejectCause::QueueFull;
        if ahead >= bound {
            return (self.reject(Rejection { cause, ..rejection }), None);
        }
        self.next_number += 1;
        self.waiting.insert(ahead, waiting);
        if self.waiting.len() <= bound {
            return (Verdict::Wait, None);
        }
        let Some(last) = self.waiting.pop() else {
            return (Verdict::Wait, None);
        };
        let ahead = self.waiting.len();
        let displaced = self.rejection(&last, cause, ahead, load, now);
        (Verdict::Wait, Some((last, displaced)))
    }

    /// Removes and returns the opening that goes next.
    pub fn pop(&mut self) -> Option<Waiting> {
        (!self.waiting.is_empty()).then(|| self.waiting.remove(0))
    }

    /// Removes the openings that were not decided before their callers retransmitted, for example
    /// because this process was paused. The retransmissions stand for them.
    pub fn take_stale(&mut self, now: Moment) -> Vec<Waiting> {
        self.extract(|waiting| waiting.is_stale(now))
    }

    /// Removes the openings that have waited for as long as they may.
    pub fn take_overdue(&mut self, load: &ServiceLoad, now: Moment) -> Vec<(Waiting, Rejection)> {
        let overdue = self.extract(|waiting| waiting.is_overdue(now));
        let reject = |waiting| {
            let cause = RejectCause::Waited;
            let rejection = self.rejection(&waiting, cause, 0, load, now);
            (waiting, rejection)
        };
        overdue.into_iter().map(reject).collect()
    }

    /// Removes and returns the openings for which `is_extracted` is true.
    pub fn extract(&mut self, is_extracted: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        if !self.waiting.iter().any(&is_extracted) {
            return Vec::new();
        }
        let (extracted, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| is_extracted(waiting));
        self.waiting = kept;
        extracted
    }

    /// Updates whether the service is overloaded. An overload ends once no opening waits and the
    /// service has had room for [`RECOVERY_TIME`].
    pub fn update(&mut self, now: Moment) -> Option<OverloadChange> {
        let overload = self.overload.as_mut()?;
        if !std::mem::replace(&mut overload.is_reported, true) {
            return Some(OverloadChange::Began);
        }
        let is_over = now.since(overload.last_full) >= RECOVERY_TIME;
        if !self.waiting.is_empty() || !is_over {
            return None;
        }
        let ended = OverloadChange::Ended {
            elapsed: overload.last_full.since(overload.began),
            rejected: overload.rejected,
        };
        self.overload = None;
        Some(ended)
    }

    /// Whether the service is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.overload.is_some()
    }

    /// Number of waiting openings.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no opening waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Waiting openings in the order in which they go.
    pub fn iter(&self) -> std::slice::Iter<'_, Waiting> {
        self.waiting.iter()
    }

    /// Expected wait behind `ahead` openings; `None` until the finish rate is known.
    fn expected_wait(
        &self,
        ahead: usize,
        priority: u32,
        load: &ServiceLoad,
        now: Moment,
    ) -> Option<Duration> {
        let rate = load.finish_rate()?;
        let more_urgent = self.arrivals.iter().filter(|(other, _)| *other < priority);
        let overtaking: f64 = more_urgent.map(|(_, arrivals)| arrivals.get(now)).sum();
        let rate = (rate - overtaking).max(rate * MIN_RATE_SHARE);
        Some(Duration::from_secs_f64((ahead + 1) as f64 / rate))
    }

    /// Number of openings of the same caller and priority that wait.
    fn turn(&self, opening: &Opening) -> u32 {
        let caller = opening.header.flow.caller.ip();
        let is_same = |waiting: &&Waiting| {
            waiting.opening.priority == opening.priority
                && waiting.opening.header.flow.caller.ip() == caller
        };
        self.waiting.iter().filter(is_same).count() as u32
    }

    fn reject(&mut self, rejection: Rejection) -> Verdict {
        self.count_rejection();
        Verdict::Reject(rejection)
    }

    fn rejection(
        &mut self,
        waiting: &Waiting,
        cause: RejectCause,
        ahead: usize,
        load: &ServiceLoad,
        now: Moment,
    ) -> Rejection {
        self.count_rejection();
        Rejection {
            cause,
            priority: waiting.opening.priority,
            ahead: ahead as u32,
            in_progress: load.in_progress,
            response_time: load.response_time.unwrap_or_default(),
            expected: now.since(waiting.arrived),
            limit: waiting.opening.max_wait(),
        }
    }

    fn count_rejection(&mut self) {
        if let Some(overload) = &mut self.overload {
            overload.rejected += 1;
        }
    }

    fn record_full(&mut self, now: Moment) {
        let overload = self.overload.get_or_insert(Overload {
            began: now,
            last_full: now,
            rejected: 0,
            is_reported: false,
        });
        overload.last_full = now;
    }

    fn record_arrival(&mut self, priority: u32, now: Moment) {
        let found = self
            .arrivals
            .binary_search_by_key(&priority, |(other, _)| *other);
        let at = match found {
            Ok(at) => at,
            Err(_) if self.arrivals.len() >= MAX_PRIORITIES => return,
            Err(at) => {
                self.arrivals.insert(at, (priority, ArrivalRate::default()));
                at
            }
        };
        self.arrivals[at].1.record(now);
    }
}

impl ArrivalRate {
    fn record(&mut self, now: Moment) {
        self.count = self.decayed(now) + 1.0;
        self.updated = now;
    }

    /// Arrivals per second.
    fn get(&self, now: Moment) -> f64 {
        self.decayed(now) / RATE_TIME.as_secs_f64()
    }

    fn decayed(&self, now: Moment) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / RATE_TIME.as_secs_f64();
        self.count * (-age).exp()
    }
}
