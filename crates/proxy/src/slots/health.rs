//! What an owner has seen of a target: ejection, return in steps, cold start.

use std::time::Duration;

use tokio::time::Instant;

/// How one piece of work ended on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkOutcome {
    /// The target gave a whole answer.
    Served,
    /// The target refused without running it.
    Shed,
    /// The target failed or was silent.
    Failed,
    /// No connection to the target could be made.
    Unreachable,
    /// The caller left; says nothing about the target.
    Cancelled,
}

/// Failures in a row after which a target is ejected.
const FAILURE_LIMIT: u32 = 3;

/// First time out of service; it doubles with each ejection in a row.
const EJECT_TIME: Duration = Duration::from_secs(2);

/// Time out of service of a target that can't be reached; nothing is lost by leaving it out.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);

/// Longest time out of service.
const MAX_EJECT_TIME: Duration = Duration::from_secs(60);

/// Time for which a target that sheds gets one slot less; it doubles with each shed in a row.
const SHED_TIME: Duration = Duration::from_millis(100);

/// Mean pause after a shed, in which its slots are left to whoever else uses them; it doubles too.
const SHED_PAUSE: Duration = Duration::from_millis(20);

/// Most doublings of both times.
const MAX_SHED_DOUBLINGS: u32 = 4;

/// Time without a shed after which the next one counts as the first.
const SHED_RESET_TIME: Duration = Duration::from_secs(1);

/// Own observations of one target.
#[derive(Debug, Clone)]
pub struct Health {
    failures: u32,
    ejections: u32,
    sheds: u32,
    shed_until: Instant,
    paused_until: Instant,
    ejected_until: Option<Instant>,
    suspect_until: Option<Instant>,
    warm_since: Instant,
    ramp_time: Duration,
}

impl Health {
    /// A target that starts cold now.
    pub fn cold(ramp_time: Duration) -> Self {
        let now = Instant::now();
        Self {
            failures: 0,
            ejections: 0,
            sheds: 0,
            shed_until: now,
            paused_until: now,
            ejected_until: None,
            suspect_until: None,
            warm_since: now,
            ramp_time,
        }
    }

    /// A target that is at its full share.
    pub fn warm() -> Self {
        Self::cold(Duration::ZERO)
    }

    /// Notes how work ended; tells whether the target should be ejected.
    pub fn record(&mut self, outcome: WorkOutcome) -> bool {
        match outcome {
            WorkOutcome::Served => {
                self.failures = 0;
                self.ejections = 0;
                self.ejected_until = None;
                self.suspect_until = None;
            }
            WorkOutcome::Shed => {
                let now = Instant::now();
                if now > self.shed_until + SHED_RESET_TIME {
                    self.sheds = 0;
                }
                self.shed_until = now + SHED_TIME * (1 << self.sheds.min(MAX_SHED_DOUBLINGS));
                let pause = SHED_PAUSE * (1 << self.sheds.min(MAX_SHED_DOUBLINGS));
                self.paused_until = now + pause.mul_f64(rand::random_range(0.5..1.5));
                self.sheds += 1;
            }
            WorkOutcome::Failed => self.failures += 1,
            WorkOutcome::Unreachable => {
                self.failures += 1;
                self.ejections = self.ejections.max(1);
                self.ejected_until = Some(Instant::now() + UNREACHABLE_TIME);
            }
            WorkOutcome::Cancelled => {}
        }
        self.failures >= FAILURE_LIMIT && !self.is_ejected()
    }

    /// Takes the target out of service for a while; it then returns in steps.
    ///
    /// Beyond the cap on ejections it stays as a last resort.
    pub fn eject(&mut self, ramp_time: Duration, is_capped: bool) {
        let time = EJECT_TIME.saturating_mul(1 << self.ejections.min(5));
        let until = Instant::now() + time.min(MAX_EJECT_TIME);
        self.ejections += 1;
        // One more failure after the return ejects again.
        self.failures = FAILURE_LIMIT - 1;
        if is_capped {
            self.suspect_until = Some(until);
            return;
        }
        self.ejected_until = Some(until);
        self.warm_since = until;
        self.ramp_time = ramp_time;
    }

    /// Whether the target is out of service now.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Whether the target has just shed, so that more work would be shed as well.
    pub fn is_paused(&self) -> bool {
        Instant::now() < self.paused_until
    }

    /// Whether the target should be a last resort now.
    pub fn is_suspect(&self) -> bool {
        self.suspect_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Whether failures have been seen that no served work has cleared.
    pub fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Slots, of `limit`, that may be used now.
    pub fn allowed(&self, limit: u32) -> u32 {
        if self.is_ejected() {
            return 0;
        }
        let now = Instant::now();
        // A target that has failed and not served since proves itself with one request.
        if self.failures > 0 && self.ejections > 0 {
            return limit.min(1);
        }
        let mut allowed = limit;
        if !self.ramp_time.is_zero() {
            let passed = now.saturating_duration_since(self.warm_since).as_secs_f64();
            let fraction = (passed / self.ramp_time.as_secs_f64()).min(1.0);
            allowed = ((f64::from(limit) * fraction).ceil() as u32).clamp(1, limit);
        }
        if now < self.shed_until {
            allowed = allowed.saturating_sub(1).max(1);
        }
        allowed
    }
}
