//! How much work is served, and when refused callers should come back.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

/// Time over which served work fades.
const WINDOW: Duration = Duration::from_secs(5);

/// Part of the drain rate that returning callers may use; the rest is for new ones.
const RETURN_PART: f64 = 0.35;

/// Served work, in seconds, that is assumed when less was measured.
const LEAST_SERVED: f64 = 0.1;

/// Least time before a refused caller may come back.
const LEAST_BACKOFF: Duration = Duration::from_secs(1);

/// Longest time before a refused caller may come back.
const MOST_BACKOFF: Duration = Duration::from_secs(120);

/// Part of the backoff by which callers differ to either side.
const JITTER_PART: f64 = 0.25;

/// Served work of the last seconds, and when the refused callers before will have come back.
///
/// Each refused caller is told to come back after those before it, at a part of the measured
/// rate, so that refused callers never return faster than they can be served.
#[derive(Debug, Clone)]
pub struct DrainMeter {
    at: Instant,
    /// Seconds of service time.
    served: f64,
    next: Instant,
}

impl DrainMeter {
    /// Creates an idle meter.
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            at: now,
            served: 0.0,
            next: now,
        }
    }

    /// Notes a whole answer and its service time.
    pub fn record_served(&mut self, time: Duration) {
        self.advance();
        self.served += time.as_secs_f64();
    }

    /// Notes a refusal of work that takes about `time`; returns when its caller should come back,
    /// if a slot is expected after `wait`.
    pub fn record_refusal(&mut self, wait: Duration, time: Duration) -> Duration {
        let now = self.advance();
        let rate = self.served.max(LEAST_SERVED) / WINDOW.as_secs_f64();
        let turn = Duration::from_secs_f64(time.as_secs_f64() / (rate * RETURN_PART));
        self.next = (self.next.max(now + wait) + turn).min(now + MOST_BACKOFF);
        (self.next - now).max(LEAST_BACKOFF)
    }

    fn advance(&mut self) -> Instant {
        let now = Instant::now();
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.served *= (-passed / WINDOW.as_secs_f64()).exp();
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
    let least = (backoff * (1.0 - JITTER_PART)).max(1.0);
    let most = backoff * (1.0 + JITTER_PART) + 1.0;
    random.random_range(least..=most.max(least)).round() as u64
}
