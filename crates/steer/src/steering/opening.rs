//! Selection of the target of an opening packet.

use bambooseam_types::{Moment, ServiceName, ZoneId};
use bambooseam_view::FlowKey;

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
    pub timings: &'a ServiceTimings,
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
        let candidates =
            records.filter(|(_, record)| is_eligible(record) && self.is_in_group(record));
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
            Candidate {
                target,
                load: &record.load,
                in_progress: counted.max(mean.div_ceil(100)),
                capacity,
                cold_percent,
                is_local,
                remote_percent,
                is_unresponsive: self.is_unresponsive(record),
            }
        });
        place(candidates, self.key.get(), self.now)
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
        record.target.service == *self.service && record.is_open() && !self.is_unresponsive(record)
    }

    fn is_unresponsive(&self, record: &TargetRecord) -> bool {
        let zone = &record.target.zone;
        record.load.responsiveness.is_unresponsive(self.now)
            || self.zones.is_unresponsive(zone, self.now)
    }
}
