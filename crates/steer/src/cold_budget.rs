//! Limit on the openings at targets that have just started and are still cold.
//!
//! Load pattern addressed: targets that start or restart while callers ask for much. A cold target
//! may be sent `rate * excess + slack` openings in any second, by all VMs together, although the
//! VMs may not know each other. A flow therefore opens at a cold target only if a hash of the flow
//! and the target falls into a share of the hash space. Each VM computes the share from the same
//! published figures, so that it does not matter through which VM, or how many VMs, the flows
//! arrive:
//!
//! ```text
//! share = mean / (MAX_OFFERED * slots / response time without load)
//! ```
//!
//! The mean is the largest at which random arrivals practically never exceed the limit in a second.
//! In the denominator is the largest number of openings that callers are assumed to send to the
//! service in a second.
//! Each input errs towards a smaller share: the slots are the most that were published recently,
//! because callers do not ask for less when targets are lost; the response time is the lowest mean
//! of warm targets, because it rises with the load. In addition, one VM alone never exceeds the
//! limit at any cold target, including retransmissions.

use std::cmp::Reverse;
use std::time::Duration;

use bambooseam_types::{Moment, ServiceName, Token};
use bambooseam_view::FlowKey;
use xxhash_rust::xxh3::xxh3_64;

use crate::target_table::{EntryStatus, TargetTable};
use crate::timing::ServiceTimings;
use crate::{Routes, SteeringEvent};

/// Largest number of openings that callers send to a service, relative to the number that it can
/// finish without queueing. If callers start twice as many flows as the service can finish, and each
/// refused flow is started again up to two times, 4.9 times as many openings arrive.
const MAX_OFFERED: f64 = 5.0;

/// Natural logarithm of the inverse probability that a second of random arrivals with the permitted
/// mean exceeds the limit: one in a million.
const LOG_ODDS: f64 = 13.8;

/// Number of halvings in the search for the permitted mean.
const SEARCH_STEPS: u32 = 40;

/// Time during which openings of this VM at a cold target are counted: one second, and the
/// difference between the delays of two packets.
const WINDOW: Duration = Duration::from_millis(1_100);

/// Time for which figures of the recent past count at least; at most twice as long. Load peaks last
/// seconds to minutes.
const MEMORY: Duration = Duration::from_secs(600);

/// Time after the first responses of a service during which all of them may have waited in full
/// queues: a VM may start while callers overload the service.
const OBSERVATION_TIME: Duration = Duration::from_secs(120);

/// Largest ratio of the response time at a target with a full queue to that without load: a target
/// queues up to four requests for each that it processes.
const QUEUE_FACTOR: u32 = 5;

/// Smallest change of a share that is logged, in percent of the share.
const LOGGED_CHANGE_PERCENT: f64 = 20.0;

/// Margins of the limit on openings at cold targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPolicy {
    /// Factor on the rate of the service.
    pub excess: f64,
    /// Openings in any second beyond the rate.
    pub slack: f64,
}

/// Share of flows that may open at one cold target, with what it is derived from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdShare {
    /// Largest hash of a flow and a target at which the flow may open there; `None` if no flow may.
    threshold: Option<u64>,
    /// Largest number of openings at one target in a second.
    pub limit: u32,
    /// Most slots of the service that were published recently.
    pub slots: u32,
    /// Response time without load; zero if it is not known.
    pub response_time: Duration,
}

/// Limits of all services that have a rate for cold targets.
#[derive(Debug, Default)]
pub struct ColdBudgets {
    /// Sorted by service.
    services: Vec<ColdBudget>,
}

/// Limit on openings at each cold target of one service.
#[derive(Debug)]
pub struct ColdBudget {
    service: ServiceName,
    /// Largest number of openings at one target in a second.
    limit: u32,
    /// Mean number of openings in a second at which the limit holds.
    mean: f64,
    share: ColdShare,
    slots: Recent<u32>,
    /// Mean response times; reversed, so that the lowest is kept.
    response_time: Recent<Reverse<Duration>>,
    /// When the response time first became known.
    observed_since: Option<Moment>,
    /// Cold targets, sorted by token.
    targets: Vec<(Token, ColdTarget)>,
}

/// A cold target.
#[derive(Debug, Default)]
struct ColdTarget {
    /// Openings that this VM sent to the target within `WINDOW`; at most the limit.
    sent: Vec<Moment>,
    /// Share that was last logged.
    logged: Option<ColdShare>,
}

/// Largest of the values of the recent past.
#[derive(Debug, Default)]
struct Recent<T> {
    /// Start of the current period.
    start: Option<Moment>,
    current: Option<T>,
    previous: Option<T>,
}

impl ColdPolicy {
    /// Largest number of openings at a cold target in any second.
    fn limit(&self, rate: f64) -> u32 {
        (rate * self.excess + self.slack).floor() as u32
    }
}

impl ColdShare {
    /// The share as a fraction of all flows.
    pub fn fraction(&self) -> f64 {
        self.threshold
            .map_or(0.0, |threshold| threshold as f64 / u64::MAX as f64)
    }

    /// The share in millionths.
    pub fn ppm(&self) -> u64 {
        (self.fraction() * 1e6).round() as u64
    }

    fn differs_from(&self, other: &Self) -> bool {
        let (a, b) = (self.fraction(), other.fraction());
        (a - b).abs() * 100.0 > a.max(b) * LOGGED_CHANGE_PERCENT
    }
}

impl ColdBudgets {
    /// Applies the rates of a configuration. A service whose rate is new or has changed admits no
    /// openings at cold targets until the next update.
    pub fn set_rates(&mut self, routes: &Routes, policy: Option<ColdPolicy>) {
        let mut services = Vec::new();
        for limits in routes.services() {
            let (Some(rate), Some(policy)) = (limits.cold_rate, policy) else {
                continue;
            };
            let limit = policy.limit(rate);
            let known = self.find(&limits.service).ok();
            let mut budget = match known {
                Some(at) => self.services.remove(at),
                None => ColdBudget::new(limits.service.clone()),
            };
            if budget.limit != limit {
                budget.limit = limit;
                budget.mean = permitted_mean(limit);
                budget.share = ColdShare::default();
            }
            services.push(budget);
        }
        self.services = services;
    }

    /// Limits of all services, sorted by service.
    pub fn iter(&self) -> std::slice::Iter<'_, ColdBudget> {
        self.services.iter()
    }

    /// Limit of a service; `None` if openings at its cold targets are not limited.
    pub fn service(&self, service: &ServiceName) -> Option<&ColdBudget> {
        let at = self.find(service).ok()?;
        Some(&self.services[at])
    }

    /// Records an opening sent to a cold target.
    pub(crate) fn record(&mut self, service: &ServiceName, token: Token, now: Moment) {
        if let Ok(at) = self.find(service) {
            self.services[at].record(token, now);
        }
    }

    /// Records a retransmission of an opening sent to a cold target. Returns false if the limit does
    /// not permit it. The share does not apply to a retransmission: the target may have accepted
    /// the first transmission, so the flow cannot open elsewhere.
    pub(crate) fn record_repeated(
        &mut self,
        service: &ServiceName,
        token: Token,
        now: Moment,
    ) -> bool {
        let Ok(at) = self.find(service) else {
            return true;
        };
        let budget = &mut self.services[at];
        let is_permitted = budget.has_room(token, now);
        if is_permitted {
            budget.record(token, now);
        }
        is_permitted
    }

    /// Updates the shares from published slots and observed response times. Returns an event for
    /// each cold target whose share has changed.
    pub(crate) fn update(
        &mut self,
        targets: &TargetTable,
        timings: &ServiceTimings,
        now: Moment,
    ) -> Vec<SteeringEvent> {
        let mut events = Vec::new();
        for budget in &mut self.services {
            budget.update_share(targets, timings, now);
            budget.update_targets(targets, now, &mut events);
        }
        events
    }

    fn find(&self, service: &ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|budget| budget.service.cmp(service))
    }
}

impl ColdBudget {
    fn new(service: ServiceName) -> Self {
        Self {
            service,
            limit: 0,
            mean: 0.0,
            share: ColdShare::default(),
            slots: Recent::default(),
            response_time: Recent::default(),
            observed_since: None,
            targets: Vec::new(),
        }
    }

    /// The service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Share of flows that may open at one cold target.
    pub fn share(&self) -> ColdShare {
        self.share
    }

    /// Whether a flow may open at a cold target.
    pub fn admits(&self, key: FlowKey, token: Token, now: Moment) -> bool {
        let threshold = self.share.threshold;
        threshold.is_some_and(|threshold| hash(key, token) <= threshold)
            && self.has_room(token, now)
    }

    /// Whether this VM may send another opening to a cold target now.
    fn has_room(&self, token: Token, now: Moment) -> bool {
        let Ok(at) = self.find(token) else {
            return self.limit > 0;
        };
        let sent = self.targets[at].1.sent.iter();
        let recent = sent.filter(|sent| now.since(**sent) < WINDOW).count();
        recent < self.limit as usize
    }

    fn record(&mut self, token: Token, now: Moment) {
        let at = self.find(token).unwrap_or_else(|at| {
            self.targets.insert(at, (token, ColdTarget::default()));
            at
        });
        let sent = &mut self.targets[at].1.sent;
        sent.retain(|sent| now.since(*sent) < WINDOW);
        sent.push(now);
    }

    fn update_share(&mut self, targets: &TargetTable, timings: &ServiceTimings, now: Moment) {
        let records = targets.of_service(&self.service);
        let published = records.filter(|(_, record)| record.status == EntryStatus::Published);
        let slots = published.map(|(_, record)| record.target.capacity);
        let slots = slots.fold(0, u32::saturating_add);
        let slots = self.slots.record(slots, now);
        if let Some(time) = timings.get(&self.service).warm_mean() {
            self.response_time.record(Reverse(time), now);
            self.observed_since.get_or_insert(now);
        }
        let lowest = self.response_time.largest();
        let mut response_time = lowest.map_or(Duration::ZERO, |lowest| lowest.0);
        let observed = self.observed_since.map(|since| now.since(since));
        if observed.is_none_or(|observed| observed < OBSERVATION_TIME) {
            response_time /= QUEUE_FACTOR;
        }
        let offered = MAX_OFFERED * f64::from(slots) / response_time.as_secs_f64();
        // Without slots or a response time, the number of openings to expect is unknown.
        let share = match offered.is_finite() && offered > 0.0 {
            true => (self.mean / offered).min(1.0),
            false => 0.0,
        };
        self.share = ColdShare {
            threshold: (share > 0.0).then_some((share * u64::MAX as f64) as u64),
            limit: self.limit,
            slots,
            response_time,
        };
    }

    /// Removes the targets that are no longer cold, and reports changes of the share to the others.
    fn update_targets(
        &mut self,
        targets: &TargetTable,
        now: Moment,
        events: &mut Vec<SteeringEvent>,
    ) {
        let mut cold = Vec::new();
        for (_, record) in targets.of_service(&self.service) {
            if !record.load.is_cold(now) {
                continue;
            }
            let known = self.find(record.token).ok();
            let mut target = match known {
                Some(at) => self.targets.remove(at).1,
                None => ColdTarget::default(),
            };
            let is_changed = |logged: ColdShare| logged.differs_from(&self.share);
            if target.logged.is_none_or(is_changed) {
                target.logged = Some(self.share);
                events.push(SteeringEvent::ColdShare {
                    target: record.target.id.clone(),
                    service: self.service.clone(),
                    share: self.share,
                });
            }
            cold.push((record.token, target));
        }
        cold.sort_by_key(|(token, _)| *token);
        self.targets = cold;
    }

    fn find(&self, token: Token) -> Result<usize, usize> {
        self.targets
            .binary_search_by_key(&token, |(other, _)| *other)
    }
}

impl<T: Ord + Copy> Recent<T> {
    /// Records a value and returns the largest recent one.
    fn record(&mut self, value: T, now: Moment) -> T {
        let start = *self.start.get_or_insert(now);
        if now.since(start) >= MEMORY {
            let is_recent = now.since(start) < 2 * MEMORY;
            self.previous = self.current.take().filter(|_| is_recent);
            self.start = Some(now);
        }
        self.current = self.current.max(Some(value));
        self.largest().unwrap_or(value)
    }

    fn largest(&self) -> Option<T> {
        self.current.max(self.previous)
    }
}

/// Hash of a flow and a target; identical on every VM.
fn hash(key: FlowKey, token: Token) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.get().to_be_bytes());
    bytes[8..].copy_from_slice(&u64::from(token.get()).to_be_bytes());
    xxh3_64(&bytes)
}

/// Largest mean of random arrivals in a second at which more than `limit` arrivals are practically
/// excluded. By the Chernoff bound, `n` or more arrivals with the mean `m` have at most the
/// probability `exp(n - m - n * ln(n / m))`.
fn permitted_mean(limit: u32) -> f64 {
    if limit == 0 {
        return 0.0;
    }
    let excess = f64::from(limit) + 1.0;
    let (mut low, mut high) = (0.0, excess);
    for _ in 0..SEARCH_STEPS {
        let mean = (low + high) / 2.0;
        let log_odds = mean - excess + excess * (excess / mean).ln();
        match log_odds >= LOG_ODDS {
            true => low = mean,
            false => high = mean,
        }
    }
    low
}
