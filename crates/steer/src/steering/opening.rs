//! Selection of the target of an opening packet.

use bambooseam_types::{Moment, ServiceName, ZoneId};
use bambooseam_view::FlowKey;

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
    let usual = selector.place(TargetRecord::is_open);
    usual.or_else(|| selector.place(TargetRecord::is_fallback))
}

impl Selector<'_> {
    /// Places the flow at one of the eligible targets.
    fn place(&self, is_eligible: fn(&TargetRecord) -> bool) -> Option<TargetIndex> {
        let cold_percent = self.timings.get(self.service).cold_percent();
        let records = self.targets.of_service(self.service);
        let candidates = records.filter(|(_, record)| {
            is_eligible(record) && self.is_in_group(record) && self.is_admitted(record)
        });
        let key = (!self.remote_loads.is_empty()).then(|| ServiceKey::of(self.service));
        let candidates = candidates.map(|(target, record)| {
            let capacity = record.target.capacity;
            let is_local = record.target.zone == *self.zone;
            let remote_percent = key.filter(|_| !is_local).and_then(|key| {
                self.remote_loads
                    .percent(&record.target.zone, key, self.now)
            });
            // The part of the load of another zone that this VM does not see is taken as the mean.
            let mean = u32::from(remote_percent.unwrap_or_default()) * capacity;
            let counted = record.load.busy + self.zone_load.count(record.token).total();
            let in_progress = counted.max(mean.div_ceil(100));
            Candidate {
                target,
                load: &record.load,
                in_progress,
                expected_percent: self.expected_percent(record, in_progress),
                capacity,
                cold_percent,
                is_local,
                remote_percent,
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

    /// Whether evacuations and the limit on openings at cold targets admit the flow at a target.
    fn is_admitted(&self, record: &TargetRecord) -> bool {
        if self.evacuations.contains(&record.target.zone) {
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
        let is_local = record.target.zone == *self.zone;
        self.group
            .is_none_or(|group| !is_local || group.contains(record.target.label))
    }

    /// Whether a target that another VM has selected may take the flow according to this VM's own
    /// view.
    pub fn accepts(&self, record: &TargetRecord) -> bool {
        record.target.service == *self.service
            && record.is_open()
            && self.is_admitted(record)
            && !self.is_unresponsive(record)
    }

    fn is_unresponsive(&self, record: &TargetRecord) -> bool {
        let zone = &record.target.zone;
        record.load.responsiveness.is_unresponsive(self.now)
            || self.zones.is_unresponsive(zone, self.now)
    }
}
