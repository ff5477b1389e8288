//! Serving gate: no new view is published until the documents held have been compared with those
//! of peers.
//!
//! The gate is closed at start until peers have responded, and after a pause of the process until a
//! peer or the platform has responded. Documents are accepted while the gate is closed; only their
//! publication waits.

use std::time::{Duration, Instant};

/// Longest time that the gate stays closed when too few peers respond.
const GATE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time that the gate stays closed while a peer is known to hold a newer configuration.
const BEHIND_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of peer responses sufficient to open the gate.
const REQUIRED_RESPONSES: usize = 3;

/// Decides when the documents held may be served.
#[derive(Debug)]
pub struct ServingGate {
    closed: Option<Closed>,
}

/// State of a closed gate: since when and why, and the responses counted since.
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
    /// Whether the gate had been closed because of a pause.
    pub after_pause: bool,
    /// Time for which the gate was closed.
    pub time: Duration,
}

impl ServingGate {
    /// Creates a closed gate that waits for the responses of up to `peers` peers.
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

    /// Closes the gate until one peer or the platform has responded.
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

    /// Counts the response of a peer that holds a configuration.
    pub fn count_response(&mut self) {
        if let Some(closed) = &mut self.closed {
            closed.responses += 1;
        }
    }

    /// Counts a response of the platform. The platform may be stale at start, so its responses
    /// count only after a pause.
    pub fn count_platform_read(&mut self) {
        if let Some(closed) = &mut self.closed
            && closed.after_pause
        {
            closed.responses += 1;
        }
    }

    /// Opens the gate when enough responses were counted or enough time has passed. While a peer is
    /// known to hold a newer configuration (`is_behind`), the gate stays closed for longer.
    pub fn try_open(&mut self, now: Instant, is_behind: bool) -> Option<Opened> {
        let closed = self.closed?;
        let time = now.saturating_duration_since(closed.since);
        let is_due = closed.responses >= closed.required || time >= GATE_TIMEOUT;
        if !is_due || (is_behind && time < BEHIND_TIMEOUT) {
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
