//! Slots, service times and the record of runs of a target.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bambooseam_types::TargetId;
use derive_more::Display;
use tokio::time::Instant;

use super::{TargetMode, TargetSpec};

/// Factor by which a target is slower at the start of its warm-up.
const COLD_SLOWDOWN: f64 = 4.0;

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("target={target} request={request} key={key} method={method} outcome={outcome}")]
pub struct Run {
    /// Target that ran the request.
    pub target: TargetId,
    /// Request id; empty if the request had none.
    pub request: String,
    /// Idempotency key; empty if the request had none.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Result of the run.
    pub outcome: RunOutcome,
}

/// Result of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RunOutcome {
    /// The run has not ended.
    #[display("running")]
    Running,
    /// The complete response was handed over.
    #[display("finished")]
    Finished,
    /// The caller closed the connection.
    #[display("cancelled")]
    Cancelled,
    /// The deadline passed.
    #[display("expired")]
    Expired,
}

/// Request counters of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
#[display(
    "finished={finished} cancelled={cancelled} expired={expired} shed={shed} busy={busy} peak={peak}"
)]
pub struct WorkStats {
    /// Runs whose complete response was handed over.
    pub finished: u64,
    /// Runs whose caller closed the connection.
    pub cancelled: u64,
    /// Runs ended by their deadline.
    pub expired: u64,
    /// Requests refused without a run.
    pub shed: u64,
    /// Slots in use.
    pub busy: usize,
    /// Maximum number of slots in use at a time.
    pub peak: usize,
}

/// Request handling of one target: slots, service times and runs.
#[derive(Debug)]
pub(super) struct Worker {
    target: TargetId,
    slots: usize,
    short: Duration,
    long: Duration,
    ramp: Duration,
    started: Instant,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    mode: TargetMode,
    runs: Vec<Run>,
    stats: WorkStats,
}

/// Occupied slot of a run; a guard that is dropped before its end counts the run as cancelled.
#[derive(Debug)]
pub(super) struct RunGuard {
    worker: Arc<Worker>,
    index: usize,
    outcome: RunOutcome,
}

impl Worker {
    pub(super) fn new(spec: &TargetSpec) -> Self {
        Self {
            target: spec.entry.id.clone(),
            slots: spec.slots,
            short: spec.short,
            long: spec.long,
            ramp: spec.ramp,
            started: Instant::now(),
            inner: Mutex::default(),
        }
    }

    pub(super) fn set_mode(&self, mode: TargetMode) {
        self.lock().mode = mode;
    }

    pub(super) fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    pub(super) fn stats(&self) -> WorkStats {
        self.lock().stats
    }

    /// Starts a run; returns `None` and counts the request as shed if no slot is free or if the
    /// target drains.
    pub(super) fn start_run(
        self: &Arc<Self>,
        request: &str,
        key: &str,
        method: &str,
    ) -> Option<RunGuard> {
        let mut inner = self.lock();
        if inner.mode == TargetMode::Drain || inner.stats.busy >= self.slots {
            inner.stats.shed += 1;
            return None;
        }
        inner.stats.busy += 1;
        inner.stats.peak = inner.stats.peak.max(inner.stats.busy);
        inner.runs.push(Run {
            target: self.target.clone(),
            request: request.into(),
            key: key.into(),
            method: method.into(),
            outcome: RunOutcome::Running,
        });
        Some(RunGuard {
            worker: Arc::clone(self),
            index: inner.runs.len() - 1,
            outcome: RunOutcome::Cancelled,
        })
    }

    /// Returns the current service time of a run, which is longer during the warm-up.
    pub(super) fn service_time(&self, is_long: bool) -> Duration {
        let warm_time = if is_long { self.long } else { self.short };
        let age = self.started.elapsed();
        if age >= self.ramp {
            return warm_time;
        }
        let remaining = 1.0 - age.as_secs_f64() / self.ramp.as_secs_f64();
        warm_time.mul_f64(1.0 + (COLD_SLOWDOWN - 1.0) * remaining)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunGuard {
    /// Ends the run with this result.
    pub(super) fn end(mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut inner = self.worker.lock();
        inner.stats.busy -= 1;
        match self.outcome {
            RunOutcome::Finished => inner.stats.finished += 1,
            RunOutcome::Expired => inner.stats.expired += 1,
            RunOutcome::Cancelled | RunOutcome::Running => inner.stats.cancelled += 1,
        }
        inner.runs[self.index].outcome = self.outcome;
    }
}
