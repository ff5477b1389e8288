//! Response times of each service, from which timeouts and costs follow.
//!
//! How long a target may work on a request depends on the service. A fixed timeout finds the
//! targets of a slow service unresponsive while they work, and those of a fast service only late.
//! The request timeout is therefore a multiple of the longest response time of the last seconds.
//! Only responses of running targets count: a running target acknowledges the first retransmission,
//! so a response after several of them was delayed by something else.

use std::time::Duration;

use bambooseam_types::{Moment, ServiceName};

/// Request timeout of a service without observed responses.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum and maximum request timeout. Callers retransmit a request after 200 ms; an unresponsive
/// target is probed again after 2 s.
const MIN_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Factor between the longest response time and the request timeout, in percent.
const TIMEOUT_PERCENT: u32 = 150;

/// Time for which a response time counts at least; at most twice as long.
const WINDOW: Duration = Duration::from_secs(10);

/// Largest number of retransmissions of a request whose response time counts.
const MAX_RETRANSMISSIONS: u32 = 1;

/// Cost of a request at a target that was started recently, in percent of the usual cost: before
/// enough responses were observed, and the bounds afterwards.
const DEFAULT_COLD_PERCENT: u64 = 160;
const MAX_COLD_PERCENT: u64 = 400;

/// Factor between the mean response time and the time in which a request may be overtaken by later
/// ones at its target: the longest requests take seven times as long as the usual ones.
const OVERTAKING_FACTOR: u32 = 7;
const MIN_OVERTAKING_TIME: Duration = Duration::from_millis(200);

/// Number of responses after which a mean counts, and the weight of the mean against a response.
const MIN_RESPONSES: u32 = 16;
const MEAN_WEIGHT: u32 = 32;

/// Response times of all services.
#[derive(Debug, Default)]
pub struct ServiceTimings {
    /// Sorted by service.
    services: Vec<(ServiceName, Timing)>,
}

/// Response times of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Timing {
    /// Start of the current window.
    window_start: Option<Moment>,
    /// Longest response time of the current and of the previous window.
    longest: Duration,
    previous_longest: Duration,
    /// Mean response times of targets that are warm, and that were started recently.
    warm: Mean,
    cold: Mean,
}

/// Moving average.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Mean {
    value: Duration,
    count: u32,
}

/// One response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// Time from the request to the first sign of the response.
    pub time: Duration,
    /// Number of times that the caller retransmitted the request.
    pub retransmissions: u32,
    /// Whether the target was started recently.
    pub is_cold: bool,
}

impl ServiceTimings {
    /// Records a response.
    pub fn record(&mut self, service: &ServiceName, response: Response, now: Moment) {
        let at = match self.find(service) {
            Ok(at) => at,
            Err(at) => {
                self.services
                    .insert(at, (service.clone(), Timing::default()));
                at
            }
        };
        self.services[at].1.record(response, now);
    }

    /// Response times of a service.
    pub fn get(&self, service: &ServiceName) -> Timing {
        let found = self.find(service).ok();
        found.map_or_else(Timing::default, |at| self.services[at].1)
    }

    fn find(&self, service: &ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|(other, _)| other.cmp(service))
    }
}

impl Timing {
    /// Records a response.
    pub fn record(&mut self, response: Response, now: Moment) {
        if response.retransmissions > MAX_RETRANSMISSIONS {
            return;
        }
        let start = *self.window_start.get_or_insert(now);
        if now.since(start) >= WINDOW {
            let is_recent = now.since(start) < 2 * WINDOW;
            self.previous_longest = if is_recent {
                self.longest
            } else {
                Duration::ZERO
            };
            self.longest = Duration::ZERO;
            self.window_start = Some(now);
        }
        self.longest = self.longest.max(response.time);
        match response.is_cold {
            true => self.cold.record(response.time),
            false => self.warm.record(response.time),
        }
    }

    /// Mean response time of targets that were not started recently; `None` until enough responses
    /// were observed.
    pub fn mean(&self) -> Option<Duration> {
        (self.warm.count >= MIN_RESPONSES).then_some(self.warm.value)
    }

    /// Time after which a request counts as unanswered.
    pub fn request_timeout(&self) -> Duration {
        let longest = self.longest.max(self.previous_longest);
        if longest.is_zero() {
            return DEFAULT_REQUEST_TIMEOUT;
        }
        (longest * TIMEOUT_PERCENT / 100).clamp(MIN_REQUEST_TIMEOUT, MAX_REQUEST_TIMEOUT)
    }

    /// Time after which a request is not in progress any more if its target has finished a request
    /// that began so much later.
    pub fn overtaking_time(&self) -> Duration {
        let time = self.warm.value * OVERTAKING_FACTOR;
        time.clamp(MIN_OVERTAKING_TIME, MAX_REQUEST_TIMEOUT)
    }

    /// Mean response time of warm targets; `None` before enough responses were observed.
    pub fn warm_mean(&self) -> Option<Duration> {
        (self.warm.count >= MIN_RESPONSES).then_some(self.warm.value)
    }

    /// Cost of a request at a target that was started recently, in percent of the usual cost.
    pub fn cold_percent(&self) -> u64 {
        if self.warm.count < MIN_RESPONSES || self.cold.count < MIN_RESPONSES {
            return DEFAULT_COLD_PERCENT;
        }
        let warm = self.warm.value.as_micros().max(1);
        let percent = 100 * self.cold.value.as_micros() / warm;
        (percent as u64).clamp(100, MAX_COLD_PERCENT)
    }
}

impl Mean {
    fn record(&mut self, time: Duration) {
        self.count = self.count.saturating_add(1);
        let weight = self.count.min(MEAN_WEIGHT);
        self.value = (self.value * (weight - 1) + time) / weight;
    }
}
