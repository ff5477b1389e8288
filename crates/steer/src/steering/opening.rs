//! Selection of the target of an opening packet.

use bambooseam_types::{Moment, ServiceName, ZoneId};
use bambooseam_view::FlowKey;

use crate::cold_budget::ColdBudget;
use crate::evacuation::Evacuations;
use crate::placement::{Candidate, place};
use crate::target_table::{TargetIndex, TargetRecord, TargetTable};
use crate::timing::ServiceTimings;
use crate::zone::UnresponsiveZones;

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
            records.filter(|(_, record)| is_eligible(record) && self.is_admitted(record));
        let candidates = candidates.map(|(target, record)| Candidate {
            target,
            load: &record.load,
            in_progress: record.load.busy,
            expected_percent: self.expected_percent(record),
            capacity: record.target.capacity,
            cold_percent,
            is_local: record.target.zone == *self.zone,
            is_unresponsive: self.is_unresponsive(record),
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

    fn expected_percent(&self, record: &TargetRecord) -> u32 {
        match self.uses_speed {
            true => record.speed.percent(record.load.busy, self.now),
            false => 100,
        }
    }

    fn is_unresponsive(&self, record: &TargetRecord) -> bool {
        let zone = &record.target.zone;
        record.load.responsiveness.is_unresponsive(self.now)
            || self.zones.is_unresponsive(zone, self.now)
    }
}
