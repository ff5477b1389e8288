//! Loads of other zones, as their coordinators report them.
//!
//! A coordinator whose zone is nearly full learns the loads of the other zones, so that it sends
//! openings to a zone that has free slots, and none to one that is as full as its own.

use std::time::Duration;

use bambooseam_types::{Moment, ZoneId};

use super::{ServiceKey, ServiceLoad};

/// Load of a service in its own zone, in percent of the slots, from which a coordinator learns the
/// loads of other zones. Below it, openings rarely meet a full zone.
pub const LEARN_PERCENT: u16 = 75;

/// Load of a service in another zone below which the zone takes openings at the lower cost. The
/// rest is for the zone's own callers until the next report answer.
pub const SPILL_PERCENT: u16 = 85;

/// Time after which a load that was not reported again is unknown: five intervals of 200 ms.
const LOAD_LIFETIME: Duration = Duration::from_secs(1);

/// Largest number of zones.
const MAX_ZONES: usize = 16;

/// Loads of other zones.
#[derive(Debug, Default)]
pub struct RemoteLoads {
    /// Sorted by zone.
    zones: Vec<(ZoneId, ReceivedLoads)>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct ReceivedLoads {
    received: Moment,
    /// Sorted by service.
    loads: Vec<ServiceLoad>,
}

impl RemoteLoads {
    /// Records the loads of a zone.
    pub fn record(&mut self, zone: &ZoneId, loads: &[ServiceLoad], now: Moment) {
        let mut loads = loads.to_vec();
        loads.sort_unstable_by_key(|load| load.service);
        let received = ReceivedLoads {
            received: now,
            loads,
        };
        match self.zones.binary_search_by(|(other, _)| other.cmp(zone)) {
            Ok(at) => self.zones[at].1 = received,
            Err(_) if self.zones.len() >= MAX_ZONES => {}
            Err(at) => self.zones.insert(at, (zone.clone(), received)),
        }
    }

    /// Load of a service in a zone; `None` if it is not known. A service without requests in
    /// progress is not reported and has the load 0.
    pub fn percent(&self, zone: &ZoneId, service: ServiceKey, now: Moment) -> Option<u16> {
        let at = self.zones.binary_search_by(|(other, _)| other.cmp(zone));
        let (_, received) = &self.zones[at.ok()?];
        if now.since(received.received) > LOAD_LIFETIME {
            return None;
        }
        let loads = &received.loads;
        let at = loads.binary_search_by_key(&service, |load| load.service);
        Some(at.map_or(0, |at| loads[at].percent))
    }

    /// Whether a zone is known in which a service has a load below [`SPILL_PERCENT`].
    pub fn has_capacity(&self, service: ServiceKey, now: Moment) -> bool {
        let mut zones = self.zones.iter();
        zones.any(|(zone, _)| {
            self.percent(zone, service, now)
                .is_some_and(|percent| percent < SPILL_PERCENT)
        })
    }

    /// Forgets the loads that are no longer known.
    pub fn expire(&mut self, now: Moment) {
        self.zones
            .retain(|(_, received)| now.since(received.received) <= LOAD_LIFETIME);
    }

    /// Whether no load is known.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Zones with known loads.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.iter().map(|(zone, _)| zone)
    }
}
