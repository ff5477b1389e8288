//! Rate-limited log lines for events that untrusted input can trigger.
//!
//! Each event is counted, but only a few log lines are written per second, so that a flood of bad
//! input cannot flood the log.

use std::fmt::Display;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Length of the window in which log lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts every event of one kind in the counter of the same name and logs a few per second.
///
/// The constructor is `const`, so that a limit can be a `static`.
#[derive(Debug)]
pub struct LogLimit {
    event: &'static str,
    limit: u32,
    total: AtomicU64,
    window: Mutex<Window>,
}

/// Log lines of the current window.
#[derive(Debug)]
struct Window {
    start: Option<Instant>,
    logged: u32,
    suppressed: u64,
}

impl LogLimit {
    /// Creates a limit of `limit` lines per second; `event` names both the log event and the
    /// counter.
    pub const fn new(event: &'static str, limit: u32) -> Self {
        Self {
            event,
            limit,
            total: AtomicU64::new(0),
            window: Mutex::new(Window {
                start: None,
                logged: 0,
                suppressed: 0,
            }),
        }
    }

    /// Counts an event, and logs a warning unless the limit of the current second is reached.
    pub fn report(&self, cause: impl Display) {
        let Some(suppressed) = self.admit(Instant::now()) else {
            return;
        };
        let event = self.event;
        let cause = cause.to_string();
        log::warn!("event={event} cause={cause:?} suppressed={suppressed}");
    }

    /// Counts an event at `now`. Returns the number of lines suppressed since the last logged one
    /// if this event may be logged, and `None` otherwise.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        self.total.fetch_add(1, Ordering::Relaxed);
        metrics::counter!(self.event).increment(1);
        let mut window = self.window.lock().ok()?;
        let is_elapsed = window
            .start
            .is_none_or(|start| now.saturating_duration_since(start) >= WINDOW);
        if is_elapsed {
            window.start = Some(now);
            window.logged = 0;
        }
        if window.logged >= self.limit {
            window.suppressed += 1;
            return None;
        }
        window.logged += 1;
        Some(std::mem::take(&mut window.suppressed))
    }

    /// Returns the number of events counted since the start of the process.
    pub fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }
}
