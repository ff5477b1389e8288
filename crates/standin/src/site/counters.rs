//! What callers and targets saw.

use std::collections::{HashMap, HashSet};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts of one run.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests answered whole.
    pub served: AtomicU64,
    /// Requests that failed in any way.
    pub failed: AtomicU64,
    /// Open flows that the system reset although their target lives.
    pub broken_flows: AtomicU64,
    /// Openings that the system refused.
    pub refused: AtomicU64,
    /// Packets that a target got and its sender did not write so.
    pub altered: AtomicU64,
    /// Answers of targets that came to targets.
    pub forged: AtomicU64,
    /// Openings at a target whose service the entrance does not have.
    pub wrong_service: AtomicU64,
    /// Openings at a target long after it had announced that it leaves.
    pub late_to_leaving: AtomicU64,
    /// Datagrams for another target at the same address.
    pub misdirected: AtomicU64,
    /// Answers that belong to another request.
    pub crossed: AtomicU64,
    /// Runs of each request.
    runs: Mutex<HashMap<String, u32>>,
    /// Names of starts of targets that live.
    alive: Mutex<HashSet<String>>,
}

impl Counters {
    /// Adds one.
    pub fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// A count.
    pub fn value(counter: &AtomicU64) -> u64 {
        counter.load(Ordering::Relaxed)
    }

    /// Notes that a target ran a request.
    pub fn record_run(&self, id: &str) {
        if let Ok(mut runs) = self.runs.lock() {
            *runs.entry(id.into()).or_default() += 1;
        }
    }

    /// Notes that a start of a target lives, or has ended.
    pub fn set_alive(&self, name: &str, is_alive: bool) {
        if let Ok(mut alive) = self.alive.lock() {
            match is_alive {
                true => alive.insert(name.into()),
                false => alive.remove(name),
            };
        }
    }

    /// Whether a start of a target lives.
    pub fn is_alive(&self, name: &str) -> bool {
        self.alive.lock().is_ok_and(|alive| alive.contains(name))
    }

    /// Requests that ran more than once.
    pub fn doubled(&self) -> u64 {
        let runs = self.runs.lock();
        runs.map_or(0, |runs| {
            runs.values().filter(|runs| **runs > 1).count() as u64
        })
    }

    /// Counts that must be 0 whatever happens, with their names.
    pub fn violations(&self) -> Vec<(&'static str, u64)> {
        let counts = [
            ("broken_flows", Self::value(&self.broken_flows)),
            ("altered", Self::value(&self.altered)),
            ("forged", Self::value(&self.forged)),
            ("wrong_service", Self::value(&self.wrong_service)),
            ("late_to_leaving", Self::value(&self.late_to_leaving)),
            ("crossed", Self::value(&self.crossed)),
            ("doubled", self.doubled()),
        ];
        counts.into_iter().filter(|(_, count)| *count > 0).collect()
    }
}
