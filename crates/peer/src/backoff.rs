//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

/// Pauses that double with each failure, each with jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    min_pause: Duration,
    max_pause: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose pauses grow from `min_pause` to `max_pause`, before jitter.
    pub const fn new(min_pause: Duration, max_pause: Duration) -> Self {
        Self {
            min_pause,
            max_pause,
            failures: 0,
        }
    }

    /// Starts from the shortest pause again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The next pause; at least `floor`.
    pub fn pause(&mut self, floor: Duration) -> Duration {
        let factor = 1_u32 << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let full = self.min_pause.saturating_mul(factor).min(self.max_pause);
        jitter(full.max(floor))
    }
}

/// A random duration between 1 and 1.5 times `base`, so that many agents do not retry at the same
/// moment.
pub fn jitter(base: Duration) -> Duration {
    base.mul_f64(rand::rng().random_range(1.0..1.5))
}
