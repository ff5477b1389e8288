//! How fast work is served and refused, and when refused callers should come back.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which counts fade.
const WINDOW: Duration = Duration::from_secs(5);

/// Served and refused requests of the last seconds.
#[derive(Debug, Clone)]
pub struct DrainMeter {
    at: Instant,
    served: f64,
    refused: f64,
}

impl DrainMeter {
    /// Creates an idle meter.
    pub fn new() -> Self {
        Self {
            at: Instant::now(),
            served: 0.0,
            refused: 0.0,
        }
    }

    /// Notes a whole answer.
    pub fn serve(&mut self) {
        self.advance();
        self.served += 1.0;
    }

    /// Notes a refusal; returns the time over which refused callers should come back, so that
    /// they are served at the measured rate: the expected wait and the backlog of refused ones.
    pub fn refuse(&mut self, wait: Duration) -> Duration {
        self.advance();
        self.refused += 1.0;
        let rounds = self.refused / self.served.max(1.0);
        wait + WINDOW.mul_f64(rounds.min(100.0))
    }

    fn advance(&mut self) {
        let now = Instant::now();
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let rest = (-passed / WINDOW.as_secs_f64()).exp();
        self.served *= rest;
        self.refused *= rest;
    }
}

impl Default for DrainMeter {
    fn default() -> Self {
        Self::new()
    }
}
