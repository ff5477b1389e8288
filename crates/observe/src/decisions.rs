//! Decision log: the most recent decisions of a program, each with its cause and the configuration
//! revision in force.
//!
//! `/status` lists these decisions as `events`, so that operators see why a program changed its
//! behaviour.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use bambooseam_types::{PresetName, Revision};
use serde_json::{Value, json};

/// Number of decisions that a process retains.
const MAX_DECISIONS: usize = 300;

/// A decision of a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Kind of the decision, such as `preset_switched`.
    pub kind: &'static str,
    /// Cause of the decision.
    pub cause: String,
    /// Configuration revision in force at that time.
    pub revision: Revision,
}

/// The most recent decisions of a program, oldest first.
#[derive(Debug)]
pub struct DecisionLog {
    capacity: usize,
    revision: AtomicU64,
    entries: Mutex<VecDeque<Decision>>,
}

/// The decision log of this process.
static DECISIONS: DecisionLog = DecisionLog::with_capacity(MAX_DECISIONS);

/// Returns the log of this process, which retains the last 300 decisions.
pub fn decisions() -> &'static DecisionLog {
    &DECISIONS
}

impl DecisionLog {
    /// Creates a log that retains the last `capacity` decisions.
    pub const fn with_capacity(capacity: usize) -> Self {
        Self {
            capacity,
            revision: AtomicU64::new(0),
            entries: Mutex::new(VecDeque::new()),
        }
    }

    /// Records the preset in force; a change of revision adds a `preset_switched` decision.
    pub fn record_preset(&self, preset: &PresetName, revision: Revision) {
        let before = self.revision.swap(revision.get(), Ordering::Relaxed);
        if before != revision.get() {
            self.push("preset_switched", format!("preset {preset}"));
        }
    }

    /// Adds a decision under the revision in force and writes it to the program's log.
    pub fn push(&self, kind: &'static str, cause: impl Into<String>) {
        let cause = cause.into();
        let revision = Revision::from(self.revision.load(Ordering::Relaxed));
        log::info!("event={kind} cause={cause:?} revision={revision}");
        let decision = Decision {
            time_ms: now_ms(),
            kind,
            cause,
            revision,
        };
        let mut entries = self.lock();
        if entries.len() >= self.capacity {
            entries.pop_front();
        }
        entries.push_back(decision);
    }

    /// Returns the retained decisions, oldest first.
    pub fn list(&self) -> Vec<Decision> {
        self.lock().iter().cloned().collect()
    }

    /// Returns the retained decisions as the `events` array of `/status`.
    pub fn to_json(&self) -> Value {
        self.lock().iter().map(Decision::to_json).collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Decision>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Decision {
    /// Returns the decision as an object of the `events` array of `/status`.
    pub fn to_json(&self) -> Value {
        json!({
            "time_ms": self.time_ms,
            "kind": self.kind,
            "cause": self.cause,
            "revision": self.revision.get(),
        })
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
