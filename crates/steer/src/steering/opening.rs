//! Selection of the target of an opening packet.

use std::time::Duration;

use bambooseam_types::{Moment, ServiceName, ZoneId};
use bambooseam_view::FlowKey;

use crate::admission::ServiceLoad;
use crate::cold_budget::ColdBudget;
use crate::evacuation::Evacuations;
use crate::placement::{Candidate, place};
use crate::target_table::{TargetIndex, TargetRecord, TargetTable};
use crate::timing::ServiceTimings;
use crate::zone::UnresponsiveZones;
use crate::zone_load::remote::RemoteLoads;
use crate::zone_load::{Group, ServiceKey, ZoneLoad};

/// State and input of a selection.
#[derive(Debug)]
pub(super) struct Selector<'a> {
    pub targets: &'a TargetTable,
    pub zones: &'a UnresponsiveZones,
    pub evacuations: &'a Evacuations,
    /// Whether the targets of this zone take new flows although the zone is evacuated.
    pub uses_evacuated: bool,
    pub timings: &'a ServiceTimings,
    /// Limit on openings at cold targets of the service.
    pub cold: Option<&'a ColdBudget>,
    /// Whether learned speeds count.
    pub uses_speed: bool,
    /// Requests in progress of other VMs.
    pub zone_load: &'a ZoneLoad,
    /// Loads of other zones.
    pub remote_loads: &'a RemoteLoads,
    /// Group of the targets of this zone that are candidates; `None` for all.
    pub group: Option<Group>,
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
    selector.place(|_, record| selector.is_usable(record) && selector.room(record) > 0)
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
        for (_, record) in self.targets.of_service(self.service) {
            if !self.is_usable(record) || !self.is_in_group(record) {
                continue;
            }
            is_served = true;
            load.room += self.room(record);
            // What a remote target finishes for other zones is not available to this one.
            load.in_progress += record.load.busy + self.zone_load.count(record.token).total();
        }
        is_served.then_some(load)
    }

    /// Request timeout of the service if the target already has as many requests in progress as it
    /// processes at a time, so that further ones wait in its queue.
    pub(super) fn queue_timeout(&self, index: TargetIndex) -> Option<Duration> {
        let record = self.targets.get(index)?;
        let is_full = self.in_progress(record) >= record.target.capacity.max(1);
        is_full.then(|| self.timings.get(self.service).request_timeout())
    }

    /// Places the flow at one of the eligible targets.
    fn place(
        &self,
        is_eligible: impl Fn(TargetIndex, &TargetRecord) -> bool,
    ) -> Option<TargetIndex> {
        let cold_percent = self.timings.get(self.service).cold_percent();
        let records = self.targets.of_service(self.service);
        let candidates = records.filter(|(index, record)| {
            is_eligible(*index, record) && self.is_in_group(record) && self.is_admitted(record)
        });
        let candidates = candidates.map(|(target, record)| {
            let in_progress = self.in_progress(record);
            Candidate {
                target,
                load: &record.load,
                in_progress,
                expected_percent: self.expected_percent(record, in_progress),
                capacity: record.target.capacity,
                cold_percent,
                is_local: self.is_local(record),
                remote_percent: self.remote_percent(record),
                is_unresponsive: self.is_unresponsive(record),
            }
        });
        place(candidates, self.key.get(), self.now)
    }

    /// Whether the service has another target that takes this flow and is responsive.
    pub(super) fn has_alternative(&self, index: TargetIndex) -> bool {
        let mut records = self.targets.of_service(self.service);
        records.any(|(other, record)| {
            other != index
                && record.is_open()
                && self.is_admitted(record)
                && !record.load.responsiveness.is_unresponsive(self.now)
        })
    }

    /// Whether a target is unresponsive and in another zone.
    pub(super) fn is_out_of_reach(&self, index: TargetIndex) -> bool {
        let record = self.targets.get(index);
        record.is_some_and(|record| !self.is_local(record) && self.is_unresponsive(record))
    }

    /// Whether evacuations and the limit on openings at cold targets admit the flow at a target.
    fn is_admitted(&self, record: &TargetRecord) -> bool {
        let is_last_resort = self.uses_evacuated && self.is_local(record);
        if self.evacuations.contains(&record.target.zone) && !is_last_resort {
            return false;
        }
        let cold = self.cold.filter(|_| record.load.is_cold(self.now));
        cold.is_none_or(|cold| cold.admits(self.key, record.token, self.now))
    }

    fn expected_percent(&self, record: &TargetRecord, in_progress: u32) -> u32 {
        match self.uses_speed {
            true => record.speed.percent(in_progress, self.now),
            false => 100,
        }
    }

    /// Whether a target is outside this zone, or in the group that the flow is placed in.
    fn is_in_group(&self, record: &TargetRecord) -> bool {
        let is_remote = !self.is_local(record);
        self.group
            .is_none_or(|group| is_remote || group.contains(record.target.label))
    }

    /// Whether a target that another VM has selected may take the flow according to this VM's own
    /// view.
    pub fn accepts(&self, record: &TargetRecord) -> bool {
        record.target.service == *self.service && self.is_usable(record)
    }

    /// Requests in progress at a target, as far as this VM knows. The part of the load of another
    /// zone that this VM does not see is taken as the mean.
    fn in_progress(&self, record: &TargetRecord) -> u32 {
        let counted = record.load.busy + self.zone_load.count(record.token).total();
        let percent = self.remote_percent(record).unwrap_or_default();
        counted.max(self.mean_in_progress(record, u32::from(percent)))
    }

    /// Requests in progress at a target of a zone with the load `percent`. The fraction of a request
    /// counts as one at that fraction of the targets, which differ from flow to flow. Rounded up at each
    /// target, a load of half of the slots would look like a full zone.
    fn mean_in_progress(&self, record: &TargetRecord, percent: u32) -> u32 {
        let hundredths = percent * record.target.capacity;
        let label = record.target.label.get();
        let draw = (self.key.get() ^ label).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let is_rounded_up = (draw % 100) as u32 > 99 - hundredths % 100;
        hundredths / 100 + u32::from(is_rounded_up)
    }

    /// Load of the service in the zone of a target, if that is another zone whose load is known.
    fn remote_percent(&self, record: &TargetRecord) -> Option<u16> {
        if self.remote_loads.is_empty() || self.is_local(record) {
            return None;
        }
        let service = ServiceKey::of(self.service);
        self.remote_loads
            .percent(&record.target.zone, service, self.now)
    }

    fn is_local(&self, record: &TargetRecord) -> bool {
        record.target.zone == *self.zone
    }

    /// Whether a target takes this flow and is responsive.
    fn is_usable(&self, record: &TargetRecord) -> bool {
        record.is_open() && self.is_admitted(record) && !self.is_unresponsive(record)
    }

    /// Number of requests that a target can take before it is at its limit.
    ///
    /// The limit of a target of this zone is learned; at first it is the capacity and one more, so
    /// that the next request is at hand. If the load of another zone is known, a target there takes
    /// half of what the queues of this zone take beyond its capacity, so that openings wait in the
    /// queues of all zones before any is rejected, and zones that are equally full exchange none.
    /// Otherwise half of its capacity leaves room in its queue for three zones that do the same.
    fn room(&self, record: &TargetRecord) -> u32 {
        let capacity = record.target.capacity.max(1);
        let limit = match (self.is_local(record), self.remote_percent(record)) {
            (true, _) if self.uses_speed && record.speed.is_limited() => record.speed.limit(),
            (true, _) => self.usual_limit(capacity),
            (false, Some(_)) => self.usual_limit(capacity).midpoint(capacity),
            (false, None) => capacity.div_ceil(2),
        };
        limit.saturating_sub(self.in_progress(record))
    }

    /// Limit of a target that is not slow.
    ///
    /// The counts of a coordinator contain requests that have ended at the target: callers
    /// acknowledge a response after their round trip, and the other VMs report it up to 20 ms later.
    /// The smaller limit would leave slots idle meanwhile.
    fn usual_limit(&self, capacity: u32) -> u32 {
        match self.zone_load.has_local_report() {
            true => capacity.saturating_mul(2),
            false => capacity.saturating_add(1),
        }
    }

    fn is_unresponsive(&self, record: &TargetRecord) -> bool {
        let zone = &record.target.zone;
        record.load.responsiveness.is_unresponsive(self.now)
            || self.zones.is_unresponsive(zone, self.now)
    }
}
