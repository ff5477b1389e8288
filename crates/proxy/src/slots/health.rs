//! Health of a target as its owner observes it.
//!
//! Targets are ejected after consecutive failures and return in steps; a target that starts cold
//! ramps up to its full share; a target that sheds load receives less work for a short time.

use std::time::Duration;

use tokio::time::Instant;

/// How one piece of work ended on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkOutcome {
    /// The target returned a complete response.
    Served,
    /// The target refused the work without running it.
    Shed,
    /// The target failed or did not respond.
    Failed,
    /// No connection to the target could be opened.
    Unreachable,
    /// The caller disconnected, which says nothing about the target.
    Cancelled,
}

/// Number of consecutive failures after which a target is ejected.
const FAILURE_LIMIT: u32 = 3;

/// Duration of the first ejection. The duration doubles with each consecutive ejection.
const EJECT_TIME: Duration = Duration::from_secs(2);

/// Duration of the ejection of an unreachable target. No work is lost meanwhile, since the target
/// could not have run any.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);

/// Maximum duration of an ejection.
const MAX_EJECT_TIME: Duration = Duration::from_secs(60);

/// Time for which a target that has shed load may use one slot less. The time doubles with each
/// consecutive shed.
const SHED_TIME: Duration = Duration::from_millis(100);

/// Mean pause after a shed, during which the target's slots are left to its other users. The pause
/// doubles with each consecutive shed.
const SHED_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of doublings of `SHED_TIME` and `SHED_PAUSE`.
const MAX_SHED_DOUBLINGS: u32 = 4;

/// Time without a shed after which the next shed counts as the first.
const SHED_RESET_TIME: Duration = Duration::from_secs(1);

/// Health of one target as observed by one owner.
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
    /// Creates the state of a target that starts cold now and reaches its full share after
    /// `ramp_time`.
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

    /// Creates the state of a target at its full share.
    pub fn warm() -> Self {
        Self::cold(Duration::ZERO)
    }

    /// Records how work ended. Returns whether the target should be ejected.
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

    /// Ejects the target for some time, after which it returns in steps.
    ///
    /// If `is_capped` is set, too many targets are ejected already, and the target stays available
    /// as a last resort.
    pub fn eject(&mut self, ramp_time: Duration, is_capped: bool) {
        let time = EJECT_TIME.saturating_mul(1 << self.ejections.min(5));
        let until = Instant::now() + time.min(MAX_EJECT_TIME);
        self.ejections += 1;
        // A single failure after the return ejects the target again.
        self.failures = FAILURE_LIMIT - 1;
        if is_capped {
            self.suspect_until = Some(until);
            return;
        }
        self.ejected_until = Some(until);
        self.warm_since = until;
        self.ramp_time = ramp_time;
    }

    /// Whether the target is ejected now.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Whether the target has just shed load, so that further work would be shed too.
    pub fn is_paused(&self) -> bool {
        Instant::now() < self.paused_until
    }

    /// Whether the target may be used only as a last resort now.
    pub fn is_suspect(&self) -> bool {
        self.suspect_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Whether failures were recorded since the last served request.
    pub fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Returns how many slots of `limit` may be used now.
    pub fn allowed(&self, limit: u32) -> u32 {
        if self.is_ejected() {
            return 0;
        }
        let now = Instant::now();
        // After an ejection, a target is limited to one request at a time until it has served one.
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
