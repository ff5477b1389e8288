//! Openings of a VM that is isolated.

use bambooseam_types::Moment;

use super::Steering;
use crate::SteeringEvent;
use crate::isolation::{IsolationChange, OutsideSigns};
use crate::target_table::TargetIndex;

impl Steering {
    /// Records that a VM of another zone has answered.
    pub fn record_outside_answer(&mut self, now: Moment) {
        self.isolation.record_answer(now);
    }

    /// Whether this VM is cut off from everything outside its zone.
    pub fn is_isolated(&self, now: Moment) -> bool {
        self.isolation.is_isolated(&self.outside_signs(now), now)
    }

    /// Whether the targets of this zone take new flows although the zone is evacuated.
    pub(super) fn uses_evacuated(&self, now: Moment) -> bool {
        self.settings.evacuated_last_resort
            && self.evacuations.contains(&self.settings.zone)
            && self.is_isolated(now)
            && !self.isolation.is_probe_due(now)
    }

    /// Whether an opening whose target is out of reach is rejected at once.
    pub(super) fn rejects_isolated(&self, now: Moment) -> bool {
        self.is_isolated(now) && !self.isolation.is_probe_due(now)
    }

    /// Records that a flow is opened at a target.
    pub(super) fn record_isolated(&mut self, index: TargetIndex, now: Moment) {
        let Some(record) = self.targets.get(index) else {
            return;
        };
        match self.is_local(record) {
            false => self.isolation.record_probe(now),
            true if self.evacuations.contains(&record.target.zone) => {
                self.isolation.record_last_resort(now);
            }
            true => {}
        }
    }

    /// Updates whether this VM is isolated. Returns an event if that has changed.
    pub(super) fn update_isolation(&mut self, now: Moment) -> Option<SteeringEvent> {
        let is_isolated = self.is_isolated(now);
        let synced = self.freshness.synced;
        let event = match self.isolation.update(is_isolated, now)? {
            IsolationChange::Began => SteeringEvent::IsolationBegan {
                view_age: synced.map(|synced| now.since(synced)).unwrap_or_default(),
            },
            IsolationChange::Ended { elapsed, opened } => {
                SteeringEvent::IsolationEnded { elapsed, opened }
            }
        };
        Some(event)
    }

    fn outside_signs(&self, now: Moment) -> OutsideSigns {
        let mut signs = OutsideSigns {
            synced: self.freshness.synced,
            is_store_failing: self.outage.is_recent(now),
            are_zones_unresponsive: false,
            target_response: None,
        };
        // The targets need a look only while the store fails.
        if !signs.is_store_failing {
            return signs;
        }
        signs.are_zones_unresponsive = true;
        let mut has_remote = false;
        for (_, record) in self.targets.iter() {
            if self.is_local(record) {
                continue;
            }
            has_remote = true;
            signs.target_response = signs.target_response.max(record.load.last_response);
            signs.are_zones_unresponsive &= self.zones.contains(&record.target.zone);
        }
        signs.are_zones_unresponsive &= has_remote;
        signs
    }
}
