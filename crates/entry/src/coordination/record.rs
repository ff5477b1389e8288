//! Logs and metrics of coordination.

use std::net::SocketAddrV4;
use std::time::Instant;

use bambooseam_observe::LogLimit;
use bambooseam_steer::zone_load::questions::Answer;
use bambooseam_steer::{AnswerOutcome, Origin, Steering};
use metrics::{counter, gauge, histogram};

/// Limits log lines about coordinators that are chosen or excluded.
static COORDINATOR_CHANGES: LogLimit = LogLimit::new("coordinator_changes", 10);
/// Limits log lines about services for which asking begins or ends.
static ASKING_CHANGES: LogLimit = LogLimit::new("asking_changes", 10);

/// Logs a new choice of coordinators among `vms` known VMs.
pub(super) fn log_chosen(chosen: &[Option<Origin>], vms: usize) {
    let Some(suppressed) = COORDINATOR_CHANGES.admit(Instant::now()) else {
        return;
    };
    let names: Vec<_> = chosen.iter().map(|c| coordinator_name(*c)).collect();
    let names = names.join(",");
    log::info!("event=coordinator_chosen coordinators={names} vms={vms} suppressed={suppressed}");
}

/// Logs that a coordinator is not used for some time.
pub(super) fn log_excluded(coordinator: SocketAddrV4, cause: &str) {
    if let Some(suppressed) = COORDINATOR_CHANGES.admit(Instant::now()) {
        log::warn!(
            "event=coordinator_excluded coordinator={coordinator} cause={cause} \
             suppressed={suppressed}"
        );
    }
}

/// Logs the services for which this VM has begun or ended asking.
pub(super) fn log_demand(steering: &mut Steering) {
    steering.drain_demand_changes(|service, change| {
        let Some(suppressed) = ASKING_CHANGES.admit(Instant::now()) else {
            return;
        };
        let (percent, own) = (change.percent, change.own);
        match change.is_asking {
            true => log::info!(
                "event=asking_begun service={service} zone_percent={percent} own={own} \
                 suppressed={suppressed}"
            ),
            false => log::info!(
                "event=asking_ended service={service} zone_percent={percent} own={own} \
                 suppressed={suppressed}"
            ),
        }
    });
}

/// Sets the gauges of requests in progress.
pub(super) fn record_load(steering: &Steering) {
    let others = steering.zone_load().total();
    for (source, count) in [
        ("own", steering.own_in_progress()),
        ("reported", others.reported),
        ("granted", others.granted),
    ] {
        let zone = steering.zone().to_string();
        gauge!("requests_in_progress", "zone" => zone, "source" => source).set(f64::from(count));
    }
}

/// Counts an answer that this VM gives.
pub(super) fn count_given(answer: Answer) {
    let outcome = match answer {
        Answer::Place(_) => "placed",
        Answer::Wait(_) => "waiting",
        Answer::Reject => "rejected",
        Answer::Decide => "delegated",
    };
    counter!("coordination_answers", "outcome" => outcome).increment(1);
}

/// Counts a question that was discarded, because it waited while the process was paused.
pub(super) fn count_discarded() {
    counter!("coordination_answers", "outcome" => "discarded").increment(1);
}

/// Counts an answer that this VM has received, with what became of it.
pub(super) fn count_received(answer: Answer, outcome: Option<AnswerOutcome>) {
    let outcome = match outcome {
        Some(AnswerOutcome::Applied) => "applied",
        Some(AnswerOutcome::NotAccepted) => "not_accepted",
        Some(AnswerOutcome::Delegated) => "delegated",
        Some(AnswerOutcome::Rejected) => "rejected",
        Some(AnswerOutcome::Dropped) => "dropped",
        None if matches!(answer, Answer::Wait(_)) => "waiting",
        None => "ignored",
    };
    counter!("coordination_questions", "outcome" => outcome).increment(1);
}

/// Counts questions without an answer in time.
pub(super) fn count_timed_out(count: usize) {
    if count > 0 {
        counter!("coordination_questions", "outcome" => "timed_out").increment(count as u64);
    }
}

/// Records the time from an opening packet to the answer about it.
pub(super) fn record_answer_time(elapsed: std::time::Duration) {
    histogram!("coordination_answer_seconds").record(elapsed.as_secs_f64());
}

/// Name of a coordinator in logs and in the status.
pub(crate) fn coordinator_name(coordinator: Option<Origin>) -> String {
    coordinator.map_or_else(|| "none".into(), |coordinator| coordinator.to_string())
}
