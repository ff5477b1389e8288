//! The decision log: what a program decided lately, with cause and revision.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use bambooseam_types::{PresetName, Revision};
use serde_json::{Value, json};

/// Decisions of a process that are kept.
const CAPACITY: usize = 300;

/// One decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// When it was made, in milliseconds since 1970.
    pub time_ms: u64,
    /// What was decided, as in `preset_switched`.
    pub kind: &'static str,
    /// Why.
    pub cause: String,
    /// Revision in force at the time.
    pub revision: Revision,
}

/// The last decisions of a program, oldest first.
#[derive(Debug)]
pub struct DecisionLog {
    capacity: usize,
    revision: AtomicU64,
    held: Mutex<VecDeque<Decision>>,
}

/// Decisions of this process.
static DECISIONS: DecisionLog = DecisionLog::with_capacity(CAPACITY);

/// The last 300 decisions of this process.
pub fn decisions() -> &'static DecisionLog {
    &DECISIONS
}

impl DecisionLog {
    /// Creates a log of the last `capacity` decisions.
    pub const fn with_capacity(capacity: usize) -> Self {
        Self {
            capacity,
            revision: AtomicU64::new(0),
            held: Mutex::new(VecDeque::new()),
        }
    }

    /// Notes which preset is in force; another revision is a decision of its own.
    pub fn record_preset(&self, preset: &PresetName, revision: Revision) {
        let before = self.revision.swap(revision.get(), Ordering::Relaxed);
        if before != revision.get() {
            self.push("preset_switched", format!("preset {preset}"));
        }
    }

    /// Keeps a decision under the revision in force and writes it to the log.
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
        let mut held = self.lock();
        if held.len() >= self.capacity {
            held.pop_front();
        }
        held.push_back(decision);
    }

    /// The decisions kept, oldest first.
    pub fn list(&self) -> Vec<Decision> {
        self.lock().iter().cloned().collect()
    }

    /// The decisions as the `events` of `/status`.
    pub fn to_json(&self) -> Value {
        self.lock().iter().map(Decision::to_json).collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Decision>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Decision {
    /// The decision as an object of `/status`.
    pub fn to_json(&self) -> Value {
        json!({
            "time_ms": self.time_ms,
            "kind": self.kind,
            "cause": self.cause,
            "revision": self.revision.get(),
        })
    }
}

/// Milliseconds since 1970.
fn now_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
