//! What the signals of a packet show about its target: load, response times and paths.

use std::time::Duration;

use bambooseam_types::Moment;

use super::{MAX_RESPONSE_TIMES, Steering};
use crate::flows::{Released, Signals};
use crate::target_speed::Outcome;
use crate::target_table::{TargetIndex, TargetTable};
use crate::timing::Response;

/// Interval between two searches for flows that pass through other VMs.
const MOVED_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a search after which the next one waits for [`MOVED_INTERVAL`]: this process may have
/// been paused, and packets of the flows wait to be received.
const MAX_MOVED_INTERVAL: Duration = Duration::from_millis(150);

impl Steering {
    /// Stops counting requests that are no longer in progress, or that other VMs no longer report.
    pub(super) fn expire_load(&mut self, now: Moment) {
        self.zone_load.expire(now);
        let elapsed = now.since(self.moved_checked);
        if elapsed < MOVED_INTERVAL {
            return;
        }
        self.moved_checked = now;
        if elapsed > MAX_MOVED_INTERVAL {
            return;
        }
        let (targets, timings) = (&self.targets, &self.timings);
        let is_finished = |index: TargetIndex, began: Moment| {
            let Some(record) = targets.get(index) else {
                return false;
            };
            let time = timings.get(&record.target.service).overtaking_time();
            let finished = record.load.last_finished;
            finished.is_some_and(|finished| finished >= began.after(time))
        };
        let mut moved = Vec::new();
        self.flows
            .release_moved(now, is_finished, |released| moved.push(released));
        for released in moved {
            release(&mut self.targets, (released, Outcome::Unusable), now);
        }
    }

    /// Records requests and responses for timeouts, path health and metrics.
    pub(super) fn observe(&mut self, index: TargetIndex, signals: Signals, now: Moment) {
        let Some(record) = self.targets.get_mut(index) else {
            return;
        };
        let (service, zone) = (&record.target.service, &record.target.zone);
        if signals.has_request {
            let timeout = self.timings.get(service).request_timeout();
            self.paths.record_sent(zone, now);
            record.load.responsiveness.record_request(now, timeout);
        }
        if let Some(sent) = signals.answered.filter(|_| signals.repeats == 0) {
            self.paths.record_answered(zone, sent);
        }
        let Some(time) = signals.response_time else {
            return;
        };
        let response = Response {
            time,
            retransmissions: signals.repeats,
            is_cold: record.load.is_cold(now),
        };
        self.timings.record(service, response, now);
        if self.response_times.len() < MAX_RESPONSE_TIMES {
            self.response_times.push((index, time));
        }
    }
}

/// Updates the load of a target with the signals of a packet.
pub(super) fn apply_signals(
    targets: &mut TargetTable,
    index: TargetIndex,
    signals: Signals,
    now: Moment,
) {
    if let Some(replaced) = signals.replaced {
        release(targets, (replaced, Outcome::Abandoned), now);
    }
    let Some(record) = targets.get_mut(index) else {
        return;
    };
    let load = &mut record.load;
    if signals.is_new {
        load.flows += 1;
    }
    if signals.is_ended {
        load.flows = load.flows.saturating_sub(1);
    }
    match (signals.was_busy, signals.is_busy) {
        (false, true) => load.busy += 1,
        (true, false) => load.busy = load.busy.saturating_sub(1),
        _ => {}
    }
    if signals.has_response() {
        load.record_response(signals.response_time.is_some(), now);
        load.last_answered = load.last_answered.max(signals.answered);
        if signals.response_time.is_some() {
            load.last_finished = load.last_finished.max(signals.answered);
        }
    }
}

/// Subtracts the load of a removed flow or an abandoned request from its target.
pub(super) fn release(
    targets: &mut TargetTable,
    (released, outcome): (Released, Outcome),
    now: Moment,
) {
    let Some(record) = targets.get_mut(released.target) else {
        return;
    };
    if record.token != released.token {
        return;
    }
    if let Some(started) = released.request_since {
        record.speed.end(started, outcome, now);
    }
    if released.busy_since.is_some() && released.is_counted {
        record.load.busy = record.load.busy.saturating_sub(1);
    }
    if released.is_removed && !released.was_ended {
        record.load.flows = record.load.flows.saturating_sub(1);
    }
}
