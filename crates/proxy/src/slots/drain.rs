//! Measures the rate at which work is served and derives retry delays for refused callers from it.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

/// Time constant of the exponential decay of served work.
const WINDOW: Duration = Duration::from_secs(5);

/// Fraction of the measured service rate that is planned for returning callers; the rest is left
/// for new ones.
const RETURN_FRACTION: f64 = 0.35;

/// Lower bound on the served work, in seconds of service time, from which the rate is computed.
const MIN_SERVED_SECONDS: f64 = 0.1;

/// Minimum delay before a refused caller may retry.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum delay before a refused caller may retry.
const MAX_BACKOFF: Duration = Duration::from_secs(120);

/// Maximum deviation of a caller's delay from the backoff in either direction, as a fraction.
const JITTER_FRACTION: f64 = 0.25;

/// Service rate of the last seconds, and the time by which all refused callers so far will have
/// returned.
///
/// Each refused caller is scheduled after the callers refused before, at a fraction of the measured
/// rate, so that refused callers never return faster than they can be served.
#[derive(Debug, Clone)]
pub struct DrainMeter {
    updated: Instant,
    /// Decayed sum of service times, in seconds.
    served_seconds: f64,
    next_return: Instant,
}

impl DrainMeter {
    /// Creates a meter that has recorded no work.
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            updated: now,
            served_seconds: 0.0,
            next_return: now,
        }
    }

    /// Records a completely delivered response and its service time.
    pub fn record_served(&mut self, time: Duration) {
        self.decay();
        self.served_seconds += time.as_secs_f64();
    }

    /// Records a refusal of work with expected service time `time` and returns the delay after
    /// which its caller should retry, given that a slot is expected to be free after `wait`.
    pub fn record_refusal(&mut self, wait: Duration, time: Duration) -> Duration {
        let now = self.decay();
        let rate = self.served_seconds.max(MIN_SERVED_SECONDS) / WINDOW.as_secs_f64();
        let slot_time = Duration::from_secs_f64(time.as_secs_f64() / (rate * RETURN_FRACTION));
        self.next_return = (self.next_return.max(now + wait) + slot_time).min(now + MAX_BACKOFF);
        (self.next_return - now).max(MIN_BACKOFF)
    }

    fn decay(&mut self) -> Instant {
        let now = Instant::now();
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        self.served_seconds *= (-passed / WINDOW.as_secs_f64()).exp();
        now
    }
}

impl Default for DrainMeter {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the jittered delay of one caller, in whole seconds.
pub fn jittered(random: &mut impl Rng, backoff: Duration) -> u64 {
    let backoff = backoff.as_secs_f64();
    let min = (backoff * (1.0 - JITTER_FRACTION)).max(1.0);
    let max = backoff * (1.0 + JITTER_FRACTION) + 1.0;
    random.random_range(min..=max.max(min)).round() as u64
}
