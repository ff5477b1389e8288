//! Selection of the target of an opening packet.

use std::time::Duration;

use bambooseam_types::{Moment, ServiceName, ZoneId};
use bambooseam_view::FlowKey;

use super::admitting::Grants;
use crate::admission::ServiceLoad;
use crate::placement::{Candidate, place};
use crate::target_table::{TargetIndex, TargetRecord, TargetTable};
use crate::timing::ServiceTimings;
use crate::zone::UnresponsiveZones;

/// State and input of a selection.
#[derive(Debug)]
pub(super) struct Selector<'a> {
    pub targets: &'a TargetTable,
    pub zones: &'a UnresponsiveZones,
    pub timings: &'a ServiceTimings,
    /// Targets given to other VMs.
    pub grants: &'a Grants,
    /// Zone of this VM.
    pub zone: &'a ZoneId,
    /// Service of the flow.
    pub service: &'a ServiceName,
    /// Hash of the flow.
    pub key: FlowKey,
    pub now: Moment,
}

/// Selects the target of an opening packet; `None` if the service has no target that takes new
/// flows.
pub(super) fn select(selector: &Selector<'_>) -> Option<TargetIndex> {
    let usual = selector.place(|_, record| record.is_open());
    usual.or_else(|| selector.place(|_, record| record.is_fallback()))
}

/// Selects among the responsive targets that are below their limit of requests in progress; `None` if
/// there is none.
pub(super) fn select_below_limit(selector: &Selector<'_>) -> Option<TargetIndex> {
    selector.place(|index, record| selector.is_usable(record) && selector.room(index, record) > 0)
}

impl Selector<'_> {
    /// Load of the responsive targets that take new flows; `None` if there is none, so that openings
    /// are placed as a last resort or rejected without regard to load.
    pub(super) fn load(&self) -> Option<ServiceLoad> {
        let mut load = ServiceLoad {
            response_time: self.timings.get(self.service).mean(),
            ..ServiceLoad::default()
        };
        let mut is_served = false;
        for (index, record) in self.targets.of_service(self.service) {
            if !self.is_usable(record) {
                continue;
            }
            is_served = true;
            load.room += self.room(index, record);
            // What a remote target finishes for other zones is not available to this one.
            load.in_progress += self.in_progress(index, record);
        }
        is_served.then_some(load)
    }

    /// Request timeout of the service if the target already has as many requests in progress as it
    /// processes at a time, so that further ones wait in its queue.
    pub(super) fn queue_timeout(&self, index: TargetIndex) -> Option<Duration> {
        let record = self.targets.get(index)?;
        let is_full = self.in_progress(index, record) >= record.target.capacity.max(1);
        is_full.then(|| self.timings.get(self.service).request_timeout())
    }

    /// Places the flow at one of the eligible targets.
    fn place(
        &self,
        is_eligible: impl Fn(TargetIndex, &TargetRecord) -> bool,
    ) -> Option<TargetIndex> {
        let cold_percent = self.timings.get(self.service).cold_percent();
        let records = self.targets.of_service(self.service);
        let candidates = records.filter(|(index, record)| is_eligible(*index, record));
        let candidates = candidates.map(|(target, record)| Candidate {
            target,
            load: &record.load,
            in_progress: self.in_progress(target, record),
            capacity: record.target.capacity,
            cold_percent,
            is_local: record.target.zone == *self.zone,
            is_unresponsive: self.is_unresponsive(record),
        });
        place(candidates, self.key.get(), self.now)
    }

    /// Requests in progress at a target, as far as this VM knows.
    fn in_progress(&self, index: TargetIndex, record: &TargetRecord) -> u32 {
        record.load.busy + self.grants.count(index, self.now)
    }

    /// Whether a target takes new flows and is responsive.
    fn is_usable(&self, record: &TargetRecord) -> bool {
        record.is_open() && !self.is_unresponsive(record)
    }

    /// Number of requests that a target can take before it is at its limit.
    ///
    /// The limit of a target of this zone is its capacity and one more, so that its next request is at
    /// hand. What other zones send to a remote target is not known; half of its capacity leaves room
    /// in its queue for three zones that do the same.
    fn room(&self, index: TargetIndex, record: &TargetRecord) -> u32 {
        let capacity = record.target.capacity.max(1);
        let limit = match record.target.zone == *self.zone {
            true => capacity.saturating_add(1),
            false => capacity.div_ceil(2),
        };
        limit.saturating_sub(self.in_progress(index, record))
    }

    fn is_unresponsive(&self, record: &TargetRecord) -> bool {
        let zone = &record.target.zone;
        record.load.responsiveness.is_unresponsive(self.now)
            || self.zones.is_unresponsive(zone, self.now)
    }
}
