//! Token bucket for the control bytes that an agent sends.
//!
//! Every byte sent drains the bucket. Summaries and small updates are sent in any case, so that a
//! switch of the preset reaches every VM; summaries are sent less often while the bucket is in
//! debt. A larger update waits until the bucket holds its size.

use std::time::Instant;

use bambooseam_types::{ByteCount, ByteRate};

/// Capacity of the bucket, in seconds at the configured rate.
const BURST_SECONDS: f64 = 60.0;

/// Largest update, in bytes, that is sent regardless of the level of the bucket. A pointer or a
/// change of one target fits.
const SMALL_BYTES: usize = 1_024;

/// Token bucket for control bytes.
#[derive(Debug)]
pub struct Budget {
    rate: f64,
    level: f64,
    time: Instant,
    sent: u64,
}

impl Budget {
    /// Creates a full bucket.
    pub fn new(rate: ByteRate, now: Instant) -> Self {
        let rate = rate.get() as f64;
        Self {
            rate,
            level: rate * BURST_SECONDS,
            time: now,
            sent: 0,
        }
    }

    /// Refills the bucket for the time since the last call, then drains the bytes sent since then;
    /// `sent` is the total since the start.
    pub fn settle(&mut self, now: Instant, sent: ByteCount) {
        let burst = self.rate * BURST_SECONDS;
        let passed = now.saturating_duration_since(self.time).as_secs_f64();
        let drained = sent.get().saturating_sub(self.sent) as f64;
        self.level = (self.level + self.rate * passed).min(burst) - drained;
        self.time = now;
        self.sent = sent.get();
    }

    /// Whether an update of `size` bytes may be sent. An update larger than half the capacity may
    /// be sent once the bucket is half full.
    pub fn allows(&self, size: usize) -> bool {
        if size <= SMALL_BYTES {
            return true;
        }
        let half = self.rate * BURST_SECONDS / 2.0;
        self.level >= (size as f64).min(half)
    }

    /// Whether more was sent than the rate allows.
    pub fn is_overdrawn(&self) -> bool {
        self.level < 0.0
    }
}
