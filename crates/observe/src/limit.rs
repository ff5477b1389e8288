//! Rate-limited log lines for input that anybody may send.

use std::fmt::Display;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Counts each event of one kind, under a metric of its name, and logs a few a second.
///
/// It is made to stand in a `static`.
#[derive(Debug)]
pub struct LogLimit {
    event: &'static str,
    limit: u32,
    total: AtomicU64,
    period: Mutex<Period>,
}

/// Lines of the running period.
#[derive(Debug)]
struct Period {
    start: Option<Instant>,
    logged: u32,
    suppressed: u64,
}

impl LogLimit {
    /// Creates a limit of `limit` lines a second; `event` names both the line and the counter.
    pub const fn new(event: &'static str, limit: u32) -> Self {
        Self {
            event,
            limit,
            total: AtomicU64::new(0),
            period: Mutex::new(Period {
                start: None,
                logged: 0,
                suppressed: 0,
            }),
        }
    }

    /// Counts one event, and logs it as a warning unless too many were logged in this second.
    pub fn report(&self, cause: impl Display) {
        let Some(suppressed) = self.admit(Instant::now()) else {
            return;
        };
        let event = self.event;
        let cause = cause.to_string();
        log::warn!("event={event} cause={cause:?} suppressed={suppressed}");
    }

    /// Counts one event at `now`; gives the lines suppressed before it when it may be logged.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        self.total.fetch_add(1, Ordering::Relaxed);
        metrics::counter!(self.event).increment(1);
        let mut period = self.period.lock().ok()?;
        let is_over = period
            .start
            .is_none_or(|start| now.saturating_duration_since(start) >= PERIOD);
        if is_over {
            period.start = Some(now);
            period.logged = 0;
        }
        if period.logged >= self.limit {
            period.suppressed += 1;
            return None;
        }
        period.logged += 1;
        Some(std::mem::take(&mut period.suppressed))
    }

    /// Events counted since the start of the process.
    pub fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }
}
