//! The gate before serving: nothing new is served until what is held has been compared.
//!
//! It is shut at start, until peers were asked, and after a pause, until a peer or the platform
//! has answered. A document taken meanwhile is kept; only its publication waits.

use std::time::{Duration, Instant};

/// Longest time that the gate stays shut when nobody answers.
const GATE_TIME: Duration = Duration::from_millis(1_500);

/// Longest time that the gate stays shut while a peer is known to hold something newer.
const BEHIND_TIME: Duration = Duration::from_secs(4);

/// Peers whose answers are enough to open the gate.
const ANSWERS_WANTED: usize = 3;

/// Decides when held documents may be served.
#[derive(Debug)]
pub struct ServingGate {
    shut: Option<Shut>,
}

/// Why the gate is shut, and what came since.
#[derive(Debug, Clone, Copy)]
struct Shut {
    since: Instant,
    answers: usize,
    wanted: usize,
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
        let shut = Shut {
            since: now,
            answers: 0,
            wanted: peers.min(ANSWERS_WANTED),
            after_pause: false,
        };
        Self { shut: Some(shut) }
    }

    /// Shuts the gate until one peer or the platform has answered.
    pub fn close_after_pause(&mut self, now: Instant) {
        if self.shut.is_some() {
            return;
        }
        self.shut = Some(Shut {
            since: now,
            answers: 0,
            wanted: 1,
            after_pause: true,
        });
    }

    /// Counts the answer of a peer that holds a configuration.
    pub fn count_response(&mut self) {
        if let Some(shut) = &mut self.shut {
            shut.answers += 1;
        }
    }

    /// Counts an answer of the platform, which may be stale at start but tells of a pause's end.
    pub fn count_platform_read(&mut self) {
        if let Some(shut) = &mut self.shut
            && shut.after_pause
        {
            shut.answers += 1;
        }
    }

    /// Opens the gate when enough answers or enough time have passed.
    pub fn try_open(&mut self, now: Instant, is_behind: bool) -> Option<Opened> {
        let shut = self.shut?;
        let time = now.saturating_duration_since(shut.since);
        let is_due = shut.answers >= shut.wanted || time >= GATE_TIME;
        if !is_due || (is_behind && time < BEHIND_TIME) {
            return None;
        }
        self.shut = None;
        Some(Opened {
            after_pause: shut.after_pause,
            time,
        })
    }

    /// Whether views are served.
    pub fn is_open(&self) -> bool {
        self.shut.is_none()
    }
}
