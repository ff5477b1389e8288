//! When a VM asks the coordinator for the target of an opening.
//!
//! A question costs two datagrams and a delay of one round trip, and gains nothing while most slots
//! are free. A VM therefore asks only for services that are loaded, according to the coordinator's
//! last report answer, or if its own requests have doubled since: the report answer may be 0.2 s
//! old when a surge begins.

use std::time::Duration;

use bambooseam_types::Moment;

use super::{ServiceKey, ServiceLoad};

/// Load of a service from which a VM asks, in percent of its slots. With half of the slots in use
/// and random placement, one opening in four would meet a target with two requests in progress.
const BEGIN_PERCENT: u16 = 50;

/// Load below which a VM stops asking once it has lasted for [`END_TIME`]. It is compared with a
/// moving average, because the load of a moment varies by chance.
const END_PERCENT: u16 = 35;
const END_TIME: Duration = Duration::from_secs(1);

/// Weight of a report answer in the moving average, as a divisor.
const AVERAGE_WEIGHT: u32 = 4;

/// Own requests in progress, in percent of the usual number, from which a VM asks.
const SURGE_PERCENT: u32 = 200;

/// Least number of own requests in progress that counts as a surge: a VM that usually has one or
/// two has twice as many by chance.
const MIN_SURGE: u32 = 6;

/// Time in which the usual number of own requests in progress follows half of a change.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(10);

/// Time after which a load that was not reported again is unknown.
const LOAD_LIFETIME: Duration = Duration::from_secs(1);

/// Largest number of services whose load is kept.
pub const MAX_SERVICES: usize = 128;

/// Loads of the services, and whether this VM asks for them.
#[derive(Debug, Default)]
pub struct Demand {
    /// Sorted by service.
    services: Vec<(ServiceKey, ServiceDemand)>,
    /// Services for which asking has begun or ended since they were last taken.
    changes: Vec<DemandChange>,
}

/// A service for which this VM has begun or ended asking.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DemandChange {
    /// The service.
    pub service: ServiceKey,
    /// Whether asking has begun.
    pub is_asking: bool,
    /// Last reported load of the zone in percent.
    pub percent: u16,
    /// Own requests in progress.
    pub own: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct ServiceDemand {
    percent: u16,
    /// Moving average of the reported loads; `None` before the first one.
    average: Option<u32>,
    received: Moment,
    is_asking: bool,
    /// Since when the load has been below [`END_PERCENT`].
    low_since: Option<Moment>,
    /// Usual number of own requests in progress, and when it was last updated.
    usual: Option<(f64, Moment)>,
}

impl Demand {
    /// Records the load of the zone that the coordinator has reported.
    pub fn record_loads(&mut self, loads: &[ServiceLoad], now: Moment) {
        for load in loads {
            let Some(demand) = self.entry(load.service, now) else {
                continue;
            };
            demand.percent = load.percent;
            demand.received = now;
            let percent = u32::from(load.percent);
            let average = demand.average.unwrap_or(percent);
            let average = (average * (AVERAGE_WEIGHT - 1) + percent) / AVERAGE_WEIGHT;
            demand.average = Some(average);
            match average < u32::from(END_PERCENT) {
                true => _ = demand.low_since.get_or_insert(now),
                false => demand.low_since = None,
            }
        }
    }

    /// Updates the usual number of requests in progress of a service with the present number.
    pub fn update_usual(&mut self, service: ServiceKey, own: u32, now: Moment) {
        let Some(demand) = self.entry(service, now) else {
            return;
        };
        let own = f64::from(own);
        let usual = match demand.usual {
            Some((usual, updated)) => {
                let half_lives = now.since(updated).as_secs_f64() / USUAL_HALF_LIFE.as_secs_f64();
                let kept = 0.5_f64.powf(half_lives);
                usual * kept + own * (1.0 - kept)
            }
            None => own,
        };
        demand.usual = Some((usual, now));
    }

    /// Whether this VM asks for an opening of a service; `own` is the number of its requests in
    /// progress at the service's targets.
    pub fn is_asking(&mut self, service: ServiceKey, own: u32, now: Moment) -> bool {
        let Some(demand) = self.entry(service, now) else {
            return false;
        };
        let is_surge = demand.is_surge(own);
        let is_known = now.since(demand.received) <= LOAD_LIFETIME;
        let is_loaded = is_known && demand.percent >= BEGIN_PERCENT;
        let has_ended = !is_known
            || demand
                .low_since
                .is_some_and(|since| now.since(since) >= END_TIME);
        let is_asking = is_loaded || is_surge || (demand.is_asking && !has_ended);
        if std::mem::replace(&mut demand.is_asking, is_asking) != is_asking {
            let percent = demand.percent;
            let change = DemandChange {
                service,
                is_asking,
                percent,
                own,
            };
            if self.changes.len() < MAX_SERVICES {
                self.changes.push(change);
            }
        }
        is_asking
    }

    /// Whether this VM asks for openings of any service.
    pub fn is_asking_any(&self) -> bool {
        self.services.iter().any(|(_, demand)| demand.is_asking)
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<DemandChange> {
        std::mem::take(&mut self.changes)
    }

    /// The entry of a service, which is created if there is room.
    fn entry(&mut self, service: ServiceKey, now: Moment) -> Option<&mut ServiceDemand> {
        let at = self
            .services
            .binary_search_by_key(&service, |(other, _)| *other);
        let at = match at {
            Ok(at) => at,
            Err(_) if self.services.len() >= MAX_SERVICES => return None,
            Err(at) => {
                let demand = ServiceDemand {
                    percent: 0,
                    average: None,
                    received: now,
                    is_asking: false,
                    low_since: None,
                    usual: None,
                };
                self.services.insert(at, (service, demand));
                at
            }
        };
        Some(&mut self.services[at].1)
    }
}

impl ServiceDemand {
    fn is_surge(&self, own: u32) -> bool {
        let usual = self.usual.map_or(0.0, |(usual, _)| usual);
        own >= MIN_SURGE && f64::from(own) >= usual * f64::from(SURGE_PERCENT) / 100.0
    }
}
