//! Questions and answers between VMs about the targets of openings; see [`zone_load`].
//!
//! [`zone_load`]: crate::zone_load

use std::net::SocketAddrV4;

use bambooseam_types::{Moment, ServiceName, Token, ZoneId};
use bambooseam_view::FlowKey;

use super::opening::Selector;
use super::{Steering, forward};
use crate::target_table::{TargetIndex, TargetRecord};
use crate::zone_load::demand::{Demand, DemandChange, MAX_SERVICES};
use crate::zone_load::questions::{Answer, Question, Questions};
use crate::zone_load::remote::{LEARN_PERCENT, RemoteLoads};
use crate::zone_load::{
    Group, LoadReport, MAX_COUNTS, MAX_GROUPS, ServiceKey, ServiceLoad, ZoneLoad,
};
use crate::{Decision, DropCause, Origin, PacketHeader, Placement, Released};

/// Coordinators of this zone, and what this VM has asked them.
#[derive(Debug, Default)]
pub(super) struct Coordination {
    /// Coordinator of each group; `None` while none is known to respond.
    pub(super) coordinators: Vec<Option<Origin>>,
    pub(super) demand: Demand,
    pub(super) questions: Questions,
    /// Loads of other zones, while this VM coordinates a zone that is nearly full.
    remote_loads: RemoteLoads,
    /// Openings that have been decided and not been taken yet.
    released: Vec<Released>,
    /// Number of the latest report.
    sequence: Option<u32>,
    /// Whether a request has ended since the latest report about each group.
    has_ended: [bool; MAX_GROUPS as usize],
    /// Whether the latest report about each group contained requests.
    has_reported: [bool; MAX_GROUPS as usize],
}

impl Coordination {
    pub(super) fn take_released(&mut self) -> Vec<Released> {
        std::mem::take(&mut self.released)
    }

    fn next_sequence(&mut self, now: Moment) -> u32 {
        // The numbers of a restarted process continue above those of its predecessor.
        let last = self.sequence.unwrap_or(now.as_millis() as u32);
        let sequence = last.wrapping_add(1);
        self.sequence = Some(sequence);
        sequence
    }

    /// Records that a request of this VM has ended.
    pub(super) fn record_ended(&mut self) {
        self.has_ended = [true; MAX_GROUPS as usize];
    }

    pub(super) fn release(&mut self, header: &PacketHeader, decision: Decision) {
        self.released.push(Released {
            flow: header.flow,
            origin: Origin::Local,
            decision,
        });
    }
}

impl Steering {
    /// Number of groups of targets in this zone, each of which has a coordinator.
    pub fn group_count(&self) -> u8 {
        Group::count_for(self.local_targets().count())
    }

    /// Coordinator of each group.
    pub fn coordinators(&self) -> &[Option<Origin>] {
        &self.coordination.coordinators
    }

    /// Sets the coordinator of each group; `None` for a group whose openings are placed without
    /// asking, and [`Origin::Local`] for one that this VM coordinates.
    pub fn set_coordinators(&mut self, coordinators: Vec<Option<Origin>>, now: Moment) {
        self.expire_load(now);
        self.coordination.remote_loads.expire(now);
        self.coordination.coordinators = coordinators;
    }

    /// Whether this VM coordinates a group and has recent reports of other VMs, so that its counts
    /// cover the group.
    pub(super) fn is_coordinating(&self) -> bool {
        let coordinators = &self.coordination.coordinators;
        coordinators.contains(&Some(Origin::Local)) && self.zone_load.has_local_report()
    }

    /// Zone of this VM.
    pub fn zone(&self) -> &ZoneId {
        &self.settings.zone
    }

    /// The record of the other VMs.
    pub fn zone_load(&self) -> &ZoneLoad {
        &self.zone_load
    }

    /// Number of own requests in progress at the targets of this zone.
    pub fn own_in_progress(&self) -> u32 {
        self.local_targets().map(|record| record.load.busy).sum()
    }

    /// Whether a report is due at the usual interval: this VM has requests in progress, or the
    /// coordinator still counts some.
    pub fn has_load_to_report(&self) -> bool {
        let mut records = self.targets.iter().map(|(_, record)| record);
        self.coordination.has_reported.contains(&true) || records.any(|r| r.load.busy > 0)
    }

    /// Whether a report is due before the usual interval has passed: this VM asks, and the
    /// coordinator still counts a request that has ended.
    pub fn is_report_due(&self) -> bool {
        let groups = self.coordination.coordinators.len();
        let mut has_ended = self.coordination.has_ended.iter().take(groups);
        has_ended.any(|has_ended| *has_ended) && self.coordination.demand.is_asking_any()
    }

    /// Creates a report of this VM's requests in progress at the targets of a group, of all zones.
    pub fn create_report(&mut self, group: Group, now: Moment) -> LoadReport {
        let records = self.targets.iter().map(|(_, record)| record);
        let busy = records.filter(|record| group.contains(record.target.label));
        let counts = collect_counts(busy.map(|record| (record, record.load.busy)));
        let at = usize::from(group.index.min(MAX_GROUPS - 1));
        self.coordination.has_ended[at] = false;
        self.coordination.has_reported[at] = !counts.is_empty();
        LoadReport {
            sequence: self.coordination.next_sequence(now),
            applied: self.coordination.questions.applied(group),
            counts,
        }
    }

    /// Creates a report of the requests in progress of the VMs of this zone at the targets of a
    /// group of another zone.
    pub fn create_zone_report(&mut self, zone: &ZoneId, group: Group, now: Moment) -> LoadReport {
        self.expire_load(now);
        let records = self.targets.iter().map(|(_, record)| record);
        let remote = records
            .filter(|record| record.target.zone == *zone && group.contains(record.target.label));
        let counts = remote.map(|record| {
            let others = self.zone_load.count(record.token).total();
            (record, record.load.busy + others)
        });
        let counts = collect_counts(counts);
        LoadReport {
            sequence: self.coordination.next_sequence(now),
            applied: 0,
            counts,
        }
    }

    /// Number of groups of the targets of a zone.
    pub fn group_count_of(&self, zone: &ZoneId) -> u8 {
        let records = self.targets.iter().map(|(_, record)| record);
        Group::count_for(records.filter(|record| record.target.zone == *zone).count())
    }

    /// Whether this VM coordinates the first group of a zone that is so loaded that the loads of
    /// other zones matter.
    pub fn needs_remote_loads(&mut self, now: Moment) -> bool {
        if !self.has_zone_view() || self.coordination.coordinators[0] != Some(Origin::Local) {
            return false;
        }
        let count = self.coordination.coordinators.len() as u8;
        let loads = self.zone_loads(Group { index: 0, count }, now);
        loads.iter().any(|load| load.percent >= LEARN_PERCENT)
    }

    /// Records the loads of another zone that its coordinator has reported.
    pub fn record_remote_loads(&mut self, zone: &ZoneId, loads: &[ServiceLoad], now: Moment) {
        self.coordination.remote_loads.record(zone, loads, now);
    }

    /// Loads of other zones.
    pub fn remote_loads(&self) -> &RemoteLoads {
        &self.coordination.remote_loads
    }

    /// Records the report of the coordinator of another zone. Returns false if it is outdated.
    pub fn record_remote_report(
        &mut self,
        vm: SocketAddrV4,
        report: &LoadReport,
        now: Moment,
    ) -> bool {
        self.zone_load.record_remote_report(vm, report, now)
    }

    /// Records the report of another VM. Returns false if it is outdated.
    pub fn record_report(&mut self, vm: SocketAddrV4, report: &LoadReport, now: Moment) -> bool {
        self.zone_load.record_report(vm, report, now)
    }

    /// Load of each service with requests in progress, over the targets of a group.
    pub fn zone_loads(&mut self, group: Group, now: Moment) -> Vec<ServiceLoad> {
        self.expire_load(now);
        let mut loads = Vec::new();
        for (service, records) in self.targets.services() {
            let (mut in_progress, mut slots) = (0, 0);
            for record in records {
                if !self.is_local(record) || !group.contains(record.target.label) {
                    continue;
                }
                in_progress += record.load.busy + self.zone_load.count(record.token).total();
                if record.is_open() {
                    slots += record.target.capacity;
                }
            }
            if in_progress == 0 || loads.len() >= MAX_SERVICES {
                continue;
            }
            let percent = u64::from(in_progress) * 100 / u64::from(slots.max(1));
            loads.push(ServiceLoad {
                service: ServiceKey::of(service),
                percent: percent.min(u16::MAX.into()) as u16,
            });
        }
        loads
    }

    /// Records the load of the zone that a coordinator has reported.
    pub fn record_zone_loads(&mut self, loads: &[ServiceLoad], now: Moment) {
        self.coordination.demand.record_loads(loads, now);
    }

    /// Updates the usual number of this VM's requests in progress. Call this about every 200 ms.
    pub fn update_demand(&mut self, now: Moment) {
        for (service, records) in self.targets.services() {
            let local = records.filter(|record| record.target.zone == self.settings.zone);
            let own = local.map(|record| record.load.busy).sum();
            let demand = &mut self.coordination.demand;
            demand.update_usual(ServiceKey::of(service), own, now);
        }
    }

    /// Removes the services for which this VM has begun or ended asking, and passes each to
    /// `report` with the name of the service.
    pub fn drain_demand_changes(&mut self, mut report: impl FnMut(&ServiceName, DemandChange)) {
        for change in self.coordination.demand.take_changes() {
            let mut services = self.targets.services().map(|(service, _)| service);
            if let Some(service) = services.find(|s| ServiceKey::of(s) == change.service) {
                report(service, change);
            }
        }
    }

    /// Removes and returns the questions to be sent to coordinators.
    pub fn take_questions(&mut self) -> Vec<Question> {
        self.coordination.questions.take_unsent()
    }

    /// Whether questions wait to be sent.
    pub fn has_questions(&self) -> bool {
        self.coordination.questions.has_unsent()
    }

    /// Whether held openings have been decided and not been taken.
    pub fn has_released(&self) -> bool {
        !self.coordination.released.is_empty()
    }

    /// Number of openings that wait for an answer.
    pub fn question_count(&self) -> usize {
        self.coordination.questions.len()
    }

    /// Answers the question of another VM about an opening. The opening is not entered into the flow
    /// table of this VM; it counts as granted until a report covers it.
    pub fn answer(
        &mut self,
        vm: SocketAddrV4,
        number: u32,
        group: Group,
        header: &PacketHeader,
        now: Moment,
    ) -> Answer {
        if !header.is_opening() {
            return Answer::Decide;
        }
        self.zone_load.begin_answer(vm, number, header.flow, now);
        let group = (group.count > 1).then_some(group);
        let decision = self.place_opening(header, Origin::Vm(vm), group, now);
        Answer::from(decision)
    }

    /// Group that a flow of this VM is placed in, if this VM coordinates one of several groups and
    /// the flow belongs to it.
    pub(super) fn own_group(&self, header: &PacketHeader) -> Option<Group> {
        if self.coordination.coordinators.len() < 2 {
            return None;
        }
        let (service, key) = self.service_of(header)?;
        let group = self.group_of(service, key)?;
        let coordinator = self.coordination.coordinators.get(usize::from(group.index));
        (coordinator == Some(&Some(Origin::Local))).then_some(group)
    }

    /// Records that a flow of another VM was placed at a target. Its opening packet is no evidence
    /// that the target responds or not, because the responses pass through the other VM.
    pub(super) fn grant(
        &mut self,
        vm: SocketAddrV4,
        header: &PacketHeader,
        index: TargetIndex,
        now: Moment,
    ) -> Decision {
        let Some(record) = self.targets.get(index) else {
            return Decision::Drop(DropCause::ViewNotCurrent);
        };
        self.zone_load.grant(vm, &header.flow, record.token, now);
        forward(record, self.token_form, Some(Placement::Placed))
    }

    /// State and input of the selection of a target.
    pub(super) fn selector<'a>(
        &'a self,
        (service, key): (&'a ServiceName, FlowKey),
        group: Option<Group>,
        now: Moment,
    ) -> Selector<'a> {
        Selector {
            targets: &self.targets,
            zones: &self.zones,
            evacuations: &self.evacuations,
            uses_evacuated: self.uses_evacuated(now),
            timings: &self.timings,
            cold: self.cold_budgets.service(service),
            uses_speed: self.settings.target_speed,
            zone_load: &self.zone_load,
            remote_loads: &self.coordination.remote_loads,
            group,
            zone: &self.settings.zone,
            service,
            key,
            now,
        }
    }

    pub(super) fn service_of(&self, header: &PacketHeader) -> Option<(&ServiceName, FlowKey)> {
        let route = self.routes.as_ref()?.find(header.flow.frontend)?;
        let key = header.flow.key();
        Some((route.service_of(key)?, key))
    }

    /// Group of the flow with hash `key`. Each group gets a share of a service's flows in proportion
    /// to its targets; `None` if the zone has no target of the service.
    pub(super) fn group_of(&self, service: &ServiceName, key: FlowKey) -> Option<Group> {
        let count = self.coordination.coordinators.len() as u8;
        let records = self.targets.of_service(service);
        let mut local = records.filter(|(_, record)| self.is_local(record) && record.is_open());
        if count < 2 {
            return local.next().map(|_| Group::WHOLE);
        }
        let labels: Vec<_> = local.map(|(_, record)| record.target.label).collect();
        let at = key.get().checked_rem(labels.len() as u64)?;
        Some(Group::of(labels[at as usize], count))
    }

    fn local_targets(&self) -> impl Iterator<Item = &TargetRecord> {
        let records = self.targets.iter().map(|(_, record)| record);
        records.filter(|record| self.is_local(record))
    }

    pub(super) fn is_local(&self, record: &TargetRecord) -> bool {
        record.target.zone == self.settings.zone
    }
}

/// The counts above 0, as a report contains them.
fn collect_counts<'a>(counts: impl Iterator<Item = (&'a TargetRecord, u32)>) -> Vec<(Token, u8)> {
    let busy = counts.filter(|(_, count)| *count > 0);
    let counts = busy.map(|(record, count)| (record.token, count.min(u8::MAX.into()) as u8));
    counts.take(MAX_COUNTS).collect()
}
