//! Learned speeds of targets: input from packets, limits, and figures for metrics.

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{Moment, ServiceName};

use super::Steering;
use crate::SteeringEvent;
use crate::flows::Signals;
use crate::target_speed::Outcome;
use crate::target_speed::usual::{Level, Plausibility, UsualTable};
use crate::target_table::{TargetIndex, TargetRecord};

/// Time without any packet or sweep after which this process counts as paused: sweeps come every
/// 500 ms. Response times across a pause show nothing about targets.
const PAUSE: Duration = Duration::from_millis(900);

/// Retransmissions of a request after which its response time does not count.
const MAX_RETRANSMISSIONS: u32 = 1;

/// Time without a request after which a target does not count as in use.
const IN_USE: Duration = Duration::from_secs(30);

/// Largest share of a service's targets that is limited to less than its capacity, in percent. If
/// more targets look slow, the reason is probably not theirs.
const MAX_LIMITED_PERCENT: usize = 30;

/// State of all services.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    usual: UsualTable,
    /// Time of the last packet or sweep, and of the last refresh.
    last_active: Moment,
    last_refresh: Option<Moment>,
}

/// Speeds of a service's targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpeedSummary {
    /// Minimum, median and maximum of the expected response times at idle targets.
    pub expected: [Duration; 3],
    /// Minimum, median and maximum of the limits.
    pub limit: [u32; 3],
    /// Number of targets whose limit is below their capacity.
    pub limited: usize,
}

impl Steering {
    /// Number of requests in progress that a target handles well: its published capacity plus one
    /// unless its response times show another limit.
    pub fn limit_of(&self, index: TargetIndex) -> u32 {
        let record = self.targets.get(index);
        record.map_or(0, |record| record.speed.limit())
    }

    /// Speeds of the targets of each service whose usual response time is known.
    pub fn speed_summaries(&self) -> Vec<(&ServiceName, SpeedSummary)> {
        let mut summaries = Vec::new();
        for (service, records) in self.targets.services() {
            let speeds: Vec<_> = records.map(|record| &record.speed).collect();
            let mut expected: Vec<_> = speeds.iter().filter_map(|s| s.expected(0)).collect();
            let mut limits: Vec<_> = speeds.iter().map(|speed| speed.limit()).collect();
            let limited = speeds.iter().filter(|speed| speed.is_limited()).count();
            expected.sort_unstable();
            limits.sort_unstable();
            if let (Some(expected), Some(limit)) = (spread(&expected), spread(&limits)) {
                let summary = SpeedSummary {
                    expected,
                    limit,
                    limited,
                };
                summaries.push((service, summary));
            }
        }
        summaries
    }

    /// Forgets the requests in progress if this process was paused.
    pub(super) fn detect_pause(&mut self, now: Moment) {
        let elapsed = now.since(self.speeds.last_active);
        self.speeds.last_active = self.speeds.last_active.max(now);
        if elapsed <= PAUSE {
            return;
        }
        self.targets
            .for_each_mut(|record| record.speed.forget_pending());
    }

    /// Records the requests and responses that a packet shows.
    pub(super) fn observe_speed(
        &mut self,
        index: TargetIndex,
        frontend: SocketAddrV4,
        signals: Signals,
        now: Moment,
    ) {
        if !self.settings.target_speed {
            return;
        }
        let Some(record) = self.targets.get_mut(index) else {
            return;
        };
        let usual = &mut self.speeds.usual;
        if let Some(started) = signals.answered_request {
            record_answer(record, usual, frontend, started, signals, now);
        }
        if let Some(started) = signals.abandoned_request {
            record.speed.end(started, Outcome::Abandoned, now);
        } else if signals.begins_request {
            // A target that is slow after its start is no example of its later speed.
            let is_cold = record.load.is_cold(now);
            let usual = usual.of_route(frontend, &record.target.service);
            let usual = usual.filter(|_| !is_cold);
            let reported = self.zone_load.count(record.token).total();
            let others = record.load.busy.saturating_sub(1) + reported;
            record.speed.begin(others, usual, now);
        }
    }

    /// Updates probe intervals and limits. Returns an event for each changed limit.
    pub(super) fn refresh_speeds(&mut self, now: Moment) -> Vec<SteeringEvent> {
        let last = self.speeds.last_refresh.replace(now);
        let elapsed = last.map_or(Duration::ZERO, |last| now.since(last));
        let mut events = Vec::new();
        if !self.settings.target_speed || elapsed.is_zero() {
            return events;
        }
        let routes = self.routes.as_ref();
        let has_route = |frontend| routes.is_some_and(|routes| routes.find(frontend).is_some());
        let targets = &mut self.targets;
        self.speeds.usual.retain(has_route, |service| {
            targets.of_service(service).next().is_some()
        });
        let usual = &self.speeds.usual;
        targets.for_each_service_mut(|service, records| {
            let mut total = 0.0;
            let mut in_use = 0;
            for record in records.iter_mut() {
                total += record.speed.take_rate(elapsed);
                in_use += usize::from(record.speed.is_in_use(now, IN_USE));
            }
            let rate = total / in_use.max(1) as f32;
            let before: Vec<_> = records.iter().map(|record| record.speed.limit()).collect();
            let usual = usual.of_service(service);
            let average = median_factor(records, now);
            for record in records.iter_mut() {
                let capacity = record.target.capacity;
                record.speed.refresh(capacity, usual, (rate, average), now);
            }
            clear_excess_limits(records);
            for (record, before) in records.iter().zip(before) {
                events.extend(limit_event(record, before));
            }
        });
        events
    }
}

/// Records the response to the request that began at `started`.
fn record_answer(
    record: &mut TargetRecord,
    usual: &mut UsualTable,
    frontend: SocketAddrV4,
    started: Moment,
    signals: Signals,
    now: Moment,
) {
    let service = &record.target.service;
    let (time, length) = (now.since(started), signals.response_len);
    if signals.repeats > MAX_RETRANSMISSIONS || record.load.is_cold(now) {
        record.speed.end(started, Outcome::Unusable, now);
        return;
    }
    let known = usual.of_route(frontend, service);
    let is_learning = known.is_none_or(|usual| usual.expected(Level::Full).is_none());
    let level = match record.speed.level_of(started) {
        Some(level) => level,
        None if is_learning => Level::of(record.load.busy, record.target.capacity),
        // Not tracked, or forgotten because of a pause of this process.
        None => return,
    };
    let plausibility = known.map(|usual| usual.plausibility(time, length, level));
    let outcome = match plausibility {
        None | Some(Plausibility::Usual) => Outcome::Answered,
        Some(Plausibility::Doubtful) => Outcome::Unusable,
        Some(Plausibility::Refusal) => Outcome::Refused,
    };
    usual.record((frontend, service), time, length, level);
    record.speed.end(started, outcome, now);
}

/// Median of the factors that are known; 1 without any.
fn median_factor(records: &[&mut TargetRecord], now: Moment) -> f32 {
    let factors = records.iter();
    let mut factors: Vec<_> = factors
        .filter_map(|record| record.speed.observed_factor(now))
        .collect();
    factors.sort_by(f32::total_cmp);
    factors.get(factors.len() / 2).copied().unwrap_or(1.0)
}

/// Keeps the limits of the slowest targets of a service only, up to [`MAX_LIMITED_PERCENT`].
fn clear_excess_limits(records: &mut [&mut TargetRecord]) {
    let most = records.len() * MAX_LIMITED_PERCENT / 100;
    let mut limited: Vec<_> = records
        .iter_mut()
        .filter(|record| record.speed.is_limited())
        .collect();
    limited.sort_by(|a, b| b.speed.factor().total_cmp(&a.speed.factor()));
    for record in limited.into_iter().skip(most) {
        record.speed.clear_limit();
    }
}

fn limit_event(record: &TargetRecord, before: u32) -> Option<SteeringEvent> {
    let speed = &record.speed;
    (speed.limit() != before).then(|| SteeringEvent::LimitChanged {
        target: record.target.id.clone(),
        limit: speed.limit(),
        before,
        capacity: record.target.capacity,
        factor_percent: (100.0 * speed.factor()).round() as u32,
        responses: speed.weight().round() as u32,
        expected: speed.expected(0).unwrap_or_default(),
    })
}

/// Minimum, median and maximum of sorted values.
fn spread<T: Copy>(sorted: &[T]) -> Option<[T; 3]> {
    let median = sorted.get(sorted.len() / 2)?;
    Some([*sorted.first()?, *median, *sorted.last()?])
}
