//! Health record of one VM.

use std::time::{Duration, Instant};

use bambooseam_peer::agent::Heartbeat;
use bambooseam_types::VmId;

use super::OBSERVER_QUORUM;

/// Seconds by which a report may lag behind the last known heartbeat, since observers receive
/// heartbeats at different times.
const HEARTBEAT_SLACK_S: u64 = 10;

/// Time after which a report that did not lead to a suspicion is dropped.
const REPORT_LIFETIME: Duration = Duration::from_secs(60);

/// Health record of one VM.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) vm: VmId,
    pub(super) latest: Heartbeat,
    pub(super) last_seen: Option<Instant>,
    pub(super) failures: u32,
    pub(super) failing_since: Option<Instant>,
    pub(super) reports: Vec<Report>,
    pub(super) suspected_since: Option<Instant>,
    pub(super) is_dead: bool,
}

/// An observer's report that a VM is unresponsive.
#[derive(Debug)]
pub(super) struct Report {
    pub(super) observer: VmId,
    pub(super) heartbeat: Heartbeat,
    pub(super) time: Instant,
}

impl Member {
    /// Creates the record of a VM of which nothing is known yet.
    pub(super) fn new(vm: VmId) -> Self {
        Self {
            vm,
            latest: Heartbeat::default(),
            last_seen: None,
            failures: 0,
            failing_since: None,
            reports: Vec::new(),
            suspected_since: None,
            is_dead: false,
        }
    }

    /// Records that the VM responds.
    pub(super) fn reset_failures(&mut self) {
        self.failures = 0;
        self.failing_since = None;
    }

    /// Keeps a report unless a newer heartbeat refutes it; returns true when the report is new.
    pub(super) fn report(&mut self, observer: VmId, heartbeat: Heartbeat, now: Instant) -> bool {
        if self.refutes(heartbeat) {
            return false;
        }
        let report = Report {
            observer,
            heartbeat,
            time: now,
        };
        let found = self
            .reports
            .iter_mut()
            .find(|known| known.observer == report.observer);
        match found {
            Some(known) if known.heartbeat >= report.heartbeat => {
                known.time = now;
                false
            }
            Some(known) => {
                *known = report;
                true
            }
            None => {
                let is_new = self.reports.len() <= OBSERVER_QUORUM;
                self.reports.push(report);
                is_new
            }
        }
    }

    /// Whether the last known heartbeat is newer than `heartbeat`, on which a report is based, by
    /// more than [`HEARTBEAT_SLACK_S`] or by an incarnation.
    fn refutes(&self, heartbeat: Heartbeat) -> bool {
        let latest = self.latest;
        heartbeat.incarnation < latest.incarnation
            || (heartbeat.incarnation == latest.incarnation
                && heartbeat.uptime_s + HEARTBEAT_SLACK_S < latest.uptime_s)
    }

    /// Drops the reports that a newer heartbeat refutes.
    pub(super) fn remove_refuted(&mut self) {
        let reports = std::mem::take(&mut self.reports);
        let valid = reports.into_iter().filter(|r| !self.refutes(r.heartbeat));
        self.reports = valid.collect();
    }

    /// Drops reports that are older than [`REPORT_LIFETIME`].
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.reports
            .retain(|report| now.saturating_duration_since(report.time) < REPORT_LIFETIME);
    }

    /// Whether a heartbeat was received from the VM within [`REPORT_LIFETIME`].
    pub(super) fn is_recent(&self, now: Instant) -> bool {
        self.last_seen
            .is_some_and(|last_seen| now.saturating_duration_since(last_seen) < REPORT_LIFETIME)
    }

    /// Why the VM is suspected.
    pub(super) fn cause(&self) -> String {
        let names: Vec<&str> = self.reports.iter().map(|r| r.observer.as_str()).collect();
        format!("does not respond to {}", names.join(", "))
    }
}
