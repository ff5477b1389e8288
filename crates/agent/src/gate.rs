//! The gate before serving: nothing new is served until what is held has been compared.
//!
//! It is shut at start, until peers were asked, and after a pause, until a peer or the platform
//! has answered. A document taken meanwhile is kept; only its publication waits.

use std::time::{Duration, Instant};

/// Longest time that the gate stays shut when nobody answers.
const CLOSED_LIMIT: Duration = Duration::from_millis(1_500);

/// Longest time that the gate stays shut while a peer is known to hold something newer.
const BEHIND_LIMIT: Duration = Duration::from_secs(4);

/// Peers whose answers are enough to open the gate.
const REQUIRED_RESPONSES: usize = 3;

/// Decides when held documents may be served.
#[derive(Debug)]
pub struct ServingGate {
    closed: Option<Closed>,
}

/// Why the gate is shut, and what came since.
#[derive(Debug, Clone, Copy)]
struct Closed {
    since: Instant,
    responses: usize,
    required: usize,
    after_pause: bool,
}

/// How the gate was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opened {
    /// Whether it was shut because of a pause.
    pub after_pause: bool,
    /// How long it was shut.
    pub time: Duration,
}

impl ServingGate {
    /// Creates a gate that waits for the answers of up to `peers` peers.
    pub fn new(now: Instant, peers: usize) -> Self {
        let closed = Closed {
            since: now,
            responses: 0,
            required: peers.min(REQUIRED_RESPONSES),
            after_pause: false,
        };
        Self {
            closed: Some(closed),
        }
    }

    /// Shuts the gate until one peer or the platform has answered.
    pub fn close_after_pause(&mut self, now: Instant) {
        if self.closed.is_some() {
            return;
        }
        self.closed = Some(Closed {
            since: now,
            responses: 0,
            required: 1,
            after_pause: true,
        });
    }

    /// Counts the answer of a peer that holds a configuration.
    pub fn count_response(&mut self) {
        if let Some(closed) = &mut self.closed {
            closed.responses += 1;
        }
    }

    /// Counts an answer of the platform, which may be stale at start but tells of a pause's end.
    pub fn count_platform_read(&mut self) {
        if let Some(closed) = &mut self.closed
            && closed.after_pause
        {
            closed.responses += 1;
        }
    }

    /// Opens the gate when enough answers or enough time have passed.
    pub fn try_open(&mut self, now: Instant, is_behind: bool) -> Option<Opened> {
        let closed = self.closed?;
        let time = now.saturating_duration_since(closed.since);
        let is_due = closed.responses >= closed.required || time >= CLOSED_LIMIT;
        if !is_due || (is_behind && time < BEHIND_LIMIT) {
            return None;
        }
        self.closed = None;
        Some(Opened {
            after_pause: closed.after_pause,
            time,
        })
    }

    /// Whether views are served.
    pub fn is_open(&self) -> bool {
        self.closed.is_none()
    }
}
