//! Selection of the target of an opening packet.

use bambooseam_types::{Moment, ServiceName, ZoneId};
use bambooseam_view::FlowKey;

use crate::placement::{Candidate, place};
use crate::target_table::{TargetIndex, TargetRecord, TargetTable};
use crate::timing::ServiceTimings;
use crate::zone::UnresponsiveZones;
use crate::zone_load::{Group, ZoneLoad};

/// State and input of a selection.
#[derive(Debug)]
pub(super) struct Selector<'a> {
    pub targets: &'a TargetTable,
    pub zones: &'a UnresponsiveZones,
    pub timings: &'a ServiceTimings,
    /// Requests in progress of other VMs.
    pub zone_load: &'a ZoneLoad,
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
        let candidates = candidates.map(|(target, record)| Candidate {
            target,
            load: &record.load,
            in_progress: record.load.busy + self.zone_load.count(record.token).total(),
            capacity: record.target.capacity,
            cold_percent,
            is_local: record.target.zone == *self.zone,
            is_unresponsive: self.is_unresponsive(record),
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
