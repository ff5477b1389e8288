//! Detection of targets that do not answer, from callers' packets alone.
//!
//! A target can stop responding (it crashed, hangs or is cut off) while its entry is still
//! published. Answers do not pass through this VM, but the callers' packets show them: the first
//! packet inside a flow shows that the opening packet was answered, and an advancing
//! acknowledgement number shows progress. A target that was sent flows or requests and has not
//! responded since takes no new flows for some time.
//!
//! After two seconds one flow probes an unresponsive target. If the target is still unresponsive,
//! this flow waits until its first retransmission, 200 ms; all other flows are placed elsewhere
//! until the target answers.
//!
//! An unresponsive target keeps its flows, because the target may be running and only be
//! unreachable from this VM. Retransmissions of an opening packet move to another target only after
//! two flows have found the target unresponsive: a single answer may be lost and sent again, and if
//! two targets answer one flow, their tokens race at the caller.
//!
//! A full target is not unresponsive. If a target has as many requests in progress as it processes at
//! a time, an opening may wait in its queue until one of them is finished. As long as the target has
//! finished a request within the request timeout, such an opening does not count as unanswered. A
//! target that stops while it is full is found unresponsive once that time has passed.

use std::time::Duration;

use bambooseam_types::Moment;

/// Time after which an opening packet counts as unanswered: less than the 200 ms after which callers
/// retransmit, so that the retransmission can move.
pub const OPENING_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which an unresponsive target is probed again: more than the 1.4 s for which callers
/// retransmit an opening packet.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(2_000);

/// Minimum number of unanswered openings and requests before retransmissions of an opening packet
/// move to another target.
const MIN_FLOWS: u32 = 2;

/// Openings and requests sent to a target since its last response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Responsiveness {
    /// When the oldest of these openings was sent.
    opening: Option<Moment>,
    /// Time after which that opening counts as unanswered.
    opening_timeout: Duration,
    /// When the oldest of these requests was sent.
    request: Option<Moment>,
    /// Time after which that request counts as unanswered.
    request_timeout: Duration,
    /// Number of these openings and requests.
    flows: u32,
    /// Whether the target was found unresponsive, so that later flows are probes.
    is_probing: bool,
    /// When the first flow was sent to the target since its last response.
    first_sent: Option<Moment>,
    /// When the target last finished a request.
    finished: Option<Moment>,
}

impl Responsiveness {
    /// Records that a new flow was sent to the target. `queue_timeout` is the time within which a full
    /// target finishes a request; `None` if the target is not full.
    pub fn record_opening(&mut self, now: Moment, queue_timeout: Option<Duration>) {
        self.expire(now);
        self.first_sent.get_or_insert(now);
        if self.opening.is_none() {
            self.opening = Some(now);
            self.opening_timeout = self.next_opening_timeout(now, queue_timeout);
        }
        self.flows = self.flows.saturating_add(1);
    }

    /// Records that a request was sent to the target, which counts as unanswered after `timeout`.
    pub fn record_request(&mut self, now: Moment, timeout: Duration) {
        self.expire(now);
        self.first_sent.get_or_insert(now);
        if self.request.is_none() {
            self.request = Some(now);
            self.request_timeout = timeout;
        }
        self.flows = self.flows.saturating_add(1);
    }

    /// Records that the target has responded.
    pub fn record_response(&mut self) {
        *self = Self {
            finished: self.finished,
            ..Self::default()
        };
    }

    /// Records that the target has finished a request.
    pub fn record_finished(&mut self, now: Moment) {
        self.finished = Some(now);
    }

    /// Whether the target takes no new flows at present. After [`PROBE_INTERVAL`] one flow may
    /// probe the target; other flows are placed elsewhere until the target answers.
    pub fn is_unresponsive(&self, now: Moment) -> bool {
        let is_probed = self.is_probing && is_pending(self.opening, now, Duration::ZERO);
        is_probed || self.is_unanswered(now)
    }

    /// Whether retransmissions of an opening packet may move to another target.
    pub fn is_confirmed(&self, now: Moment) -> bool {
        (self.flows >= MIN_FLOWS || self.is_probing) && self.is_unanswered(now)
    }

    /// When the first flow was sent to a target that is suspected to be unresponsive, also while
    /// the target may be probed; `None` for a responsive target.
    pub fn suspected_since(&self, now: Moment) -> Option<Moment> {
        let first_sent = self.first_sent?;
        let is_overdue = now.since(first_sent) > PROBE_INTERVAL;
        (self.is_probing || self.is_unanswered(now) || is_overdue).then_some(first_sent)
    }

    /// Number of unanswered openings and requests, and the time since the oldest of them.
    pub fn unanswered(&self, now: Moment) -> (u32, Duration) {
        let oldest = self.opening.into_iter().chain(self.request).min();
        (
            self.flows,
            oldest.map_or(Duration::ZERO, |oldest| now.since(oldest)),
        )
    }

    fn is_unanswered(&self, now: Moment) -> bool {
        is_pending(self.opening, now, self.opening_timeout)
            || is_pending(self.request, now, self.request_timeout)
    }

    /// Time after which an opening that is sent now counts as unanswered.
    fn next_opening_timeout(&self, now: Moment, queue_timeout: Option<Duration>) -> Duration {
        let finish_due = self
            .finished
            .zip(queue_timeout)
            .map(|(finished, timeout)| timeout.saturating_sub(now.since(finished)));
        finish_due.map_or(OPENING_TIMEOUT, |due| due.max(OPENING_TIMEOUT))
    }

    /// Drops openings and requests older than [`PROBE_INTERVAL`], so that the target is probed
    /// again.
    fn expire(&mut self, now: Moment) {
        let oldest = self.opening.into_iter().chain(self.request).min();
        if oldest.is_some_and(|oldest| now.since(oldest) > PROBE_INTERVAL) {
            *self = Self {
                is_probing: self.is_probing || self.flows >= MIN_FLOWS,
                first_sent: self.first_sent,
                finished: self.finished,
                ..Self::default()
            };
        }
    }
}

/// Whether the age of `sent` is at least `min_age` and at most [`PROBE_INTERVAL`].
fn is_pending(sent: Option<Moment>, now: Moment, min_age: Duration) -> bool {
    sent.is_some_and(|sent| now.since(sent) >= min_age && now.since(sent) <= PROBE_INTERVAL)
}
