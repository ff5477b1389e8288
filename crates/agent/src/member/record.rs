//! What is known of one VM.

use std::time::{Duration, Instant};

use bambooseam_peer::agent::Heartbeat;
use bambooseam_types::VmId;

use super::OBSERVERS;

/// Seconds by which a report may lag behind the last sign of life: peers hear at different times.
const BEAT_SLACK: u64 = 10;

/// Time after which a report that led to nothing is dropped.
const REPORT_TIME: Duration = Duration::from_secs(60);

/// What is known of one VM.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) vm: VmId,
    pub(super) last: Heartbeat,
    pub(super) heard: Option<Instant>,
    pub(super) misses: u32,
    pub(super) missed: Option<Instant>,
    pub(super) reports: Vec<Report>,
    pub(super) suspected: Option<Instant>,
    pub(super) is_dead: bool,
}

/// An observer's word that a VM is silent.
#[derive(Debug)]
pub(super) struct Report {
    pub(super) observer: VmId,
    pub(super) heartbeat: Heartbeat,
    pub(super) time: Instant,
}

impl Member {
    /// Creates the record of a VM of which nothing is known.
    pub(super) fn new(vm: VmId) -> Self {
        Self {
            vm,
            last: Heartbeat::default(),
            heard: None,
            misses: 0,
            missed: None,
            reports: Vec::new(),
            suspected: None,
            is_dead: false,
        }
    }

    /// Notes that the VM answers.
    pub(super) fn clear_misses(&mut self) {
        self.misses = 0;
        self.missed = None;
    }

    /// Keeps a report unless a newer sign of life refutes it; true when it is news.
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
            .find(|held| held.observer == report.observer);
        match found {
            Some(held) if held.heartbeat >= report.heartbeat => {
                held.time = now;
                false
            }
            Some(held) => {
                *held = report;
                true
            }
            None => {
                let is_news = self.reports.len() <= OBSERVERS;
                self.reports.push(report);
                is_news
            }
        }
    }

    /// Whether a later sign of life is known than the one that a report rests on.
    fn refutes(&self, heartbeat: Heartbeat) -> bool {
        let last = self.last;
        heartbeat.incarnation < last.incarnation
            || (heartbeat.incarnation == last.incarnation
                && heartbeat.uptime_s + BEAT_SLACK < last.uptime_s)
    }

    /// Drops the reports that a later sign of life refutes.
    pub(super) fn drop_refuted(&mut self) {
        let reports = std::mem::take(&mut self.reports);
        let held = reports.into_iter().filter(|r| !self.refutes(r.heartbeat));
        self.reports = held.collect();
    }

    /// Drops reports that led to nothing.
    pub(super) fn drop_old(&mut self, now: Instant) {
        self.reports
            .retain(|report| now.saturating_duration_since(report.time) < REPORT_TIME);
    }

    /// Whether the VM was heard lately.
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| now.saturating_duration_since(heard) < REPORT_TIME)
    }

    /// Why the VM is suspected.
    pub(super) fn cause(&self) -> String {
        let names: Vec<&str> = self.reports.iter().map(|r| r.observer.as_str()).collect();
        format!("silent towards {}", names.join(", "))
    }
}
