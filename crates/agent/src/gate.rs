//! The gate before serving: nothing new is served until what is held has been compared.
//!
//! It is shut at start, until peers were asked, and after a pause, until a peer or the platform
//! has answered. A document taken meanwhile is kept; only its publication waits.

use std::time::{Duration, Instant};

/// Longest time that the gate stays shut when nobody answers.
pub(crate) const GATE_TIME: Duration = Duration::from_millis(1_500);

/// Peers whose answers are enough to open the gate.
const ANSWERS_WANTED: usize = 3;

/// Whether views are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateState {
    /// Shut since this time, with this many answers so far.
    Shut {
        /// When it was shut.
        since: Instant,
        /// Answers of peers since then.
        answers: usize,
    },
    /// Open.
    Open,
}

/// Decides when held documents may be served.
#[derive(Debug)]
pub struct Gate {
    state: GateState,
    wanted: usize,
}

impl Gate {
    /// Creates a gate that waits for the answers of up to `peers` peers.
    pub fn new(now: Instant, peers: usize) -> Self {
        let mut gate = Self {
            state: GateState::Open,
            wanted: 0,
        };
        gate.shut(now, peers);
        gate
    }

    /// Shuts the gate until some of `peers` peers have answered.
    pub fn shut(&mut self, now: Instant, peers: usize) {
        self.wanted = peers.min(ANSWERS_WANTED);
        self.state = GateState::Shut {
            since: now,
            answers: 0,
        };
    }

    /// Counts an answer of a peer.
    pub fn count_answer(&mut self) {
        if let GateState::Shut { answers, .. } = &mut self.state {
            *answers += 1;
        }
    }

    /// Opens the gate when enough answers or enough time have passed; true when it has just opened.
    pub fn try_open(&mut self, now: Instant) -> bool {
        let GateState::Shut { since, answers } = self.state else {
            return false;
        };
        if answers < self.wanted && now.duration_since(since) < GATE_TIME {
            return false;
        }
        self.state = GateState::Open;
        true
    }

    /// Whether views are served.
    pub fn is_open(&self) -> bool {
        self.state == GateState::Open
    }
}
