//! How much work is served, and when refused callers should come back.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

/// Time over which served work fades.
const WINDOW: Duration = Duration::from_secs(5);

/// Part of the drain rate that returning callers may use; the rest is for new ones.
const RETURN_FRACTION: f64 = 0.35;

/// Served work, in seconds, that is assumed when less was measured.
const MIN_SERVED_SECONDS: f64 = 0.1;

/// Least time before a refused caller may come back.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// Longest time before a refused caller may come back.
const MAX_BACKOFF: Duration = Duration::from_secs(120);

/// Part of the backoff by which callers differ to either side.
const JITTER_FRACTION: f64 = 0.25;

/// Served work of the last seconds, and when the refused callers before will have come back.
///
/// Each refused caller is told to come back after those before it, at a part of the measured
/// rate, so that refused callers never return faster than they can be served.
#[derive(Debug, Clone)]
pub struct DrainMeter {
    updated: Instant,
    /// Seconds of service time.
    served_seconds: f64,
    next_return: Instant,
}

impl DrainMeter {
    /// Creates an idle meter.
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            updated: now,
            served_seconds: 0.0,
            next_return: now,
        }
    }

    /// Notes a whole answer and its service time.
    pub fn record_served(&mut self, time: Duration) {
        self.decay();
        self.served_seconds += time.as_secs_f64();
    }

    /// Notes a refusal of work that takes about `time`; returns when its caller should come back,
    /// if a slot is expected after `wait`.
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

/// Seconds after which one caller should come back.
pub fn jittered(random: &mut impl Rng, backoff: Duration) -> u64 {
    let backoff = backoff.as_secs_f64();
    let min = (backoff * (1.0 - JITTER_FRACTION)).max(1.0);
    let max = backoff * (1.0 + JITTER_FRACTION) + 1.0;
    random.random_range(min..=max.max(min)).round() as u64
}
