//! Observations of callers and targets, from which the invariants of a run are checked.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time after the store has acknowledged an evacuation from which a target of the zone must receive
/// no new flow.
const EVACUATION_GRACE: Duration = Duration::from_secs(5);

/// Counters of one run.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests with a complete answer.
    pub served: AtomicU64,
    /// Requests that failed for any cause.
    pub failed: AtomicU64,
    /// Open flows that the load balancer reset while their target was running.
    pub broken_flows: AtomicU64,
    /// Flow openings that the load balancer refused.
    pub refused: AtomicU64,
    /// Packets whose checksum or format shows that they were changed after they were sent.
    pub altered: AtomicU64,
    /// Opening answers (SYN and ACK), which only targets send, that arrived at a target.
    pub forged: AtomicU64,
    /// Flow openings at a target whose service has never had a route from the frontend.
    pub wrong_service: AtomicU64,
    /// Flow openings at a draining target more than 3 s after its announcement.
    pub late_to_leaving: AtomicU64,
    /// Flow openings at a target of an evacuated zone more than 5 s after the store acknowledged the
    /// evacuation.
    pub late_to_evacuated: AtomicU64,
    /// Datagrams labelled for another target at the same address.
    pub misdirected: AtomicU64,
    /// Opening packets that arrived at more than one target. Moved retransmissions are among them, so
    /// that the count is only meaningful while all targets respond.
    pub split_openings: AtomicU64,
    /// Answers that belong to another request.
    pub crossed: AtomicU64,
    /// Number of runs of each request.
    runs: Mutex<HashMap<String, u32>>,
    /// Names of the running target incarnations.
    alive: Mutex<HashSet<String>>,
    /// Evacuated zones, with the time at which the store acknowledged each evacuation.
    evacuated: Mutex<HashMap<String, Instant>>,
    /// First target of each opening packet: caller, frontend and sequence number.
    openings: Mutex<HashMap<(SocketAddrV4, SocketAddrV4, u32), String>>,
}

impl Counters {
    /// Increments a counter by one.
    pub fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    pub fn value(counter: &AtomicU64) -> u64 {
        counter.load(Ordering::Relaxed)
    }

    /// Records that a target ran a request.
    pub fn record_run(&self, id: &str) {
        if let Ok(mut runs) = self.runs.lock() {
            *runs.entry(id.into()).or_default() += 1;
        }
    }

    /// Records that an opening packet arrived at a target.
    pub fn record_first_target(&self, opening: (SocketAddrV4, SocketAddrV4, u32), target: &str) {
        let Ok(mut openings) = self.openings.lock() else {
            return;
        };
        let first = openings.entry(opening).or_insert_with(|| target.into());
        if first != target {
            Self::increment(&self.split_openings);
        }
    }

    /// Records the start or the end of a target incarnation.
    pub fn set_alive(&self, name: &str, is_alive: bool) {
        if let Ok(mut alive) = self.alive.lock() {
            match is_alive {
                true => alive.insert(name.into()),
                false => alive.remove(name),
            };
        }
    }

    /// Returns whether a target incarnation is running.
    pub fn is_alive(&self, name: &str) -> bool {
        self.alive.lock().is_ok_and(|alive| alive.contains(name))
    }

    /// Records that the store has acknowledged the evacuation of a zone.
    pub fn evacuate(&self, zone: &str) {
        if let Ok(mut evacuated) = self.evacuated.lock() {
            evacuated.entry(zone.into()).or_insert_with(Instant::now);
        }
    }

    /// Records that the evacuation of a zone is about to be removed.
    pub fn readmit(&self, zone: &str) {
        if let Ok(mut evacuated) = self.evacuated.lock() {
            evacuated.remove(zone);
        }
    }

    /// Records that a target of a zone has accepted the opening packet of a flow.
    pub fn record_opening(&self, zone: &str) {
        let evacuated = self.evacuated.lock();
        let since = evacuated.map_or(None, |evacuated| evacuated.get(zone).copied());
        if since.is_some_and(|since| since.elapsed() > EVACUATION_GRACE) {
            Self::increment(&self.late_to_evacuated);
        }
    }

    /// Returns the number of requests that ran more than once.
    pub fn doubled(&self) -> u64 {
        let runs = self.runs.lock();
        runs.map_or(0, |runs| {
            runs.values().filter(|runs| **runs > 1).count() as u64
        })
    }

    /// Returns the counters that must be 0 in every run and are not, with their names.
    pub fn violations(&self) -> Vec<(&'static str, u64)> {
        let counts = [
            ("broken_flows", Self::value(&self.broken_flows)),
            ("altered", Self::value(&self.altered)),
            ("forged", Self::value(&self.forged)),
            ("wrong_service", Self::value(&self.wrong_service)),
            ("late_to_leaving", Self::value(&self.late_to_leaving)),
            ("late_to_evacuated", Self::value(&self.late_to_evacuated)),
            ("crossed", Self::value(&self.crossed)),
            ("doubled", self.doubled()),
        ];
        counts.into_iter().filter(|(_, count)| *count > 0).collect()
    }
}
