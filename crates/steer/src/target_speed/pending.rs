//! Requests in progress at one target, as evidence before their responses.

use std::time::Duration;

use bambooseam_types::Moment;

use super::usual::Level;

/// Number of requests tracked for one target. Further requests are not measured.
const TRACKED_REQUESTS: usize = 8;

/// Ratio of the time so far to the expected time from which a request counts as overdue.
const OVERDUE: f32 = 3.0;

/// Responses to later requests after which an overdue request is no evidence: it takes long by
/// itself, or its response was acknowledged at another VM.
const MAX_OVERTAKEN: u8 = 2;

/// A request in progress.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PendingRequest {
    started: Moment,
    expected: Duration,
    /// Load of the target when the request began.
    pub level: Level,
    /// Responses to later requests.
    overtaken: u8,
}

/// Requests in progress at one target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pending {
    requests: [Option<PendingRequest>; TRACKED_REQUESTS],
    /// Earliest time at which a request is overdue.
    first_due: Option<Moment>,
}

impl PendingRequest {
    /// Creates a request that is expected to take as long as `expected`.
    pub fn new(started: Moment, expected: Duration, level: Level) -> Self {
        Self {
            started,
            expected,
            level,
            overtaken: 0,
        }
    }

    /// Time so far relative to the expected time.
    pub fn ratio(&self, now: Moment) -> f32 {
        // The clock counts milliseconds; a response within the same one took half of it on average.
        let time = now.since(self.started).as_secs_f32().max(0.000_5);
        time / self.expected.as_secs_f32().max(0.000_5)
    }

    /// Whether the request takes much longer than expected, and later requests do not.
    pub fn is_overdue(&self, now: Moment) -> bool {
        self.overtaken < MAX_OVERTAKEN && self.ratio(now) >= OVERDUE
    }

    /// Whether the request takes much longer than expected and later requests do not, so that its
    /// time shows nothing about the target.
    pub fn is_outlier(&self, now: Moment) -> bool {
        self.overtaken >= MAX_OVERTAKEN && self.ratio(now) >= OVERDUE
    }

    fn due(&self) -> Moment {
        self.started.after(self.expected.mul_f32(OVERDUE))
    }
}

impl Pending {
    /// Adds a request unless as many as can be tracked are in progress.
    pub fn begin(&mut self, request: PendingRequest) {
        if let Some(slot) = self.requests.iter_mut().find(|slot| slot.is_none()) {
            *slot = Some(request);
            let due = request.due();
            self.first_due = Some(self.first_due.map_or(due, |first| first.min(due)));
        }
    }

    /// The request that began at `started`.
    pub fn find(&self, started: Moment) -> Option<&PendingRequest> {
        let mut requests = self.requests.iter().flatten();
        requests.find(|request| request.started == started)
    }

    /// Removes the request that began at `started`.
    pub fn end(&mut self, started: Moment) -> Option<PendingRequest> {
        let is_same = |slot: &&mut Option<PendingRequest>| {
            slot.is_some_and(|request| request.started == started)
        };
        let request = self.requests.iter_mut().find(is_same)?.take();
        self.update_first_due();
        request
    }

    /// Records a response to a request that began at `started`.
    pub fn record_overtaken(&mut self, started: Moment) {
        for request in self.requests.iter_mut().flatten() {
            if request.started < started {
                request.overtaken = request.overtaken.saturating_add(1);
            }
        }
        self.update_first_due();
    }

    /// Factor of the target that its overdue requests show; `None` without any. A single request
    /// counts as half, because some requests take several times as long as others.
    pub fn overdue(&self, now: Moment) -> Option<f32> {
        if self.first_due? > now {
            return None;
        }
        let requests = self.requests.iter().flatten();
        let overdue = requests.filter(|request| request.is_overdue(now));
        let ratio = |request: &PendingRequest| request.ratio(now);
        let longest = overdue.clone().map(ratio).reduce(f32::max)?;
        let share = match overdue.count() {
            1 => 0.5,
            _ => 1.0,
        };
        Some(longest * share)
    }

    fn update_first_due(&mut self) {
        let requests = self.requests.iter().flatten();
        let relevant = requests.filter(|request| request.overtaken < MAX_OVERTAKEN);
        self.first_due = relevant.map(PendingRequest::due).min();
    }
}
