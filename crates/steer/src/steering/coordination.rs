//! Questions and answers between VMs about the targets of openings; see [`zone_load`].
//!
//! [`zone_load`]: crate::zone_load

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{Moment, ServiceName, Token, ZoneId};
use bambooseam_view::FlowKey;

use super::opening::Selector;
use super::{Steering, forward};
use crate::target_table::{TargetIndex, TargetRecord};
use crate::zone_load::demand::{Demand, DemandChange, MAX_SERVICES};
use crate::zone_load::questions::{Answer, MAX_AGE, Question, Questions};
use crate::zone_load::{
    Group, LoadReport, MAX_COUNTS, MAX_GROUPS, ServiceKey, ServiceLoad, ZoneLoad,
};
use crate::{Decision, DropCause, Origin, PacketHeader, Placement, Released, ResetCause};

/// Coordinators of this zone, and what this VM has asked them.
#[derive(Debug, Default)]
pub(super) struct Coordination {
    /// Coordinator of each group; `None` while none is known to respond.
    coordinators: Vec<Option<Origin>>,
    demand: Demand,
    questions: Questions,
    /// Openings that have been decided and not been taken yet.
    released: Vec<Released>,
    /// Number of the latest report.
    sequence: Option<u32>,
    /// Whether a request has ended since the latest report about each group.
    has_ended: [bool; MAX_GROUPS as usize],
    /// Whether the latest report about each group contained requests.
    has_reported: [bool; MAX_GROUPS as usize],
}

/// What became of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// The opening goes to the target of the answer.
    Applied,
    /// The target of the answer is not acceptable to this VM, which has selected another one.
    NotAccepted,
    /// The coordinator left the decision to this VM.
    Delegated,
    /// The opening is reset.
    Rejected,
    /// The opening has waited too long and is dropped.
    Dropped,
}

impl Coordination {
    pub(super) fn take_released(&mut self) -> Vec<Released> {
        std::mem::take(&mut self.released)
    }

    /// Records that a request of this VM has ended.
    pub(super) fn record_ended(&mut self) {
        self.has_ended = [true; MAX_GROUPS as usize];
    }

    fn release(&mut self, header: &PacketHeader, decision: Decision) {
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
        self.zone_load.expire(now);
        self.coordination.coordinators = coordinators;
    }

    /// Whether this VM coordinates a group and has recent reports of other VMs, so that its counts
    /// cover the group.
    pub fn has_zone_view(&self) -> bool {
        let coordinators = &self.coordination.coordinators;
        coordinators.contains(&Some(Origin::Local)) && self.zone_load.vm_count() > 0
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
        self.coordination.has_reported.contains(&true) || self.own_in_progress() > 0
    }

    /// Whether a report is due before the usual interval has passed: this VM asks, and the
    /// coordinator still counts a request that has ended.
    pub fn is_report_due(&self) -> bool {
        let groups = self.coordination.coordinators.len();
        let mut has_ended = self.coordination.has_ended.iter().take(groups);
        has_ended.any(|has_ended| *has_ended) && self.coordination.demand.is_asking_any()
    }

    /// Creates a report of this VM's requests in progress at the targets of a group.
    pub fn create_report(&mut self, group: Group, now: Moment) -> LoadReport {
        // The numbers of a restarted process continue above those of its predecessor.
        let last = self.coordination.sequence.unwrap_or(now.as_millis() as u32);
        let sequence = last.wrapping_add(1);
        self.coordination.sequence = Some(sequence);
        let busy = self
            .local_targets()
            .filter(|record| record.load.busy > 0 && group.contains(record.target.label));
        let counts = busy.map(|record| (record.token, record.load.busy.min(255) as u8));
        let counts: Vec<_> = counts.take(MAX_COUNTS).collect();
        let at = usize::from(group.index.min(MAX_GROUPS - 1));
        self.coordination.has_ended[at] = false;
        self.coordination.has_reported[at] = !counts.is_empty();
        LoadReport {
            sequence,
            applied: self.coordination.questions.applied(group),
            counts,
        }
    }

    /// Records the report of another VM. Returns false if it is outdated.
    pub fn record_report(&mut self, vm: SocketAddrV4, report: &LoadReport, now: Moment) -> bool {
        self.zone_load.record_report(vm, report, now)
    }

    /// Load of each service with requests in progress, over the targets of a group.
    pub fn zone_loads(&mut self, group: Group, now: Moment) -> Vec<ServiceLoad> {
        self.zone_load.expire(now);
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

    /// Applies the answer of a coordinator. Returns what became of it and the time since the opening
    /// packet was received; `None` if nothing waits for the answer.
    pub fn apply_answer(
        &mut self,
        coordinator: SocketAddrV4,
        number: u32,
        answer: Answer,
        now: Moment,
    ) -> Option<(AnswerOutcome, Duration)> {
        let questions = &mut self.coordination.questions;
        let waiting = questions.answer(coordinator, number, answer, now)?;
        let header = waiting.question.header;
        let elapsed = now.since(waiting.received);
        let (outcome, decision) = match answer {
            _ if elapsed > MAX_AGE => (
                AnswerOutcome::Dropped,
                Decision::Drop(DropCause::HeldTooLong),
            ),
            Answer::Place(token) => match self.acceptable_target(&header, token, now) {
                Some(index) => (AnswerOutcome::Applied, self.open_at(&header, index, now)),
                None => (
                    AnswerOutcome::NotAccepted,
                    self.place_opening(&header, Origin::Local, None, now),
                ),
            },
            // Another VM may have sent an earlier transmission to a target, and a reset would then
            // claim wrongly that the request has not run.
            Answer::Reject if header.ack == 0 => (
                AnswerOutcome::Rejected,
                Decision::Reset(ResetCause::RejectedByZone),
            ),
            Answer::Reject | Answer::Decide | Answer::Wait(_) => (
                AnswerOutcome::Delegated,
                self.place_opening(&header, Origin::Local, None, now),
            ),
        };
        self.coordination.release(&header, decision);
        Some((outcome, elapsed))
    }

    /// Places the openings that have waited too long for an answer. Returns the coordinators that
    /// have not answered; they are not asked again until [`Self::set_coordinators`] is called.
    pub fn expire_questions(&mut self, now: Moment) -> Vec<SocketAddrV4> {
        let mut failed = Vec::new();
        let expired = self.coordination.questions.expire(now, &mut failed);
        for waiting in expired {
            let header = waiting.question.header;
            let decision = match now.since(waiting.received) > MAX_AGE {
                true => Decision::Drop(DropCause::HeldTooLong),
                false => self.place_opening(&header, Origin::Local, None, now),
            };
            self.coordination.release(&header, decision);
        }
        for coordinator in &mut self.coordination.coordinators {
            if let Some(Origin::Vm(address)) = *coordinator
                && failed.contains(&address)
            {
                *coordinator = None;
            }
        }
        failed
    }

    /// Asks the coordinator for the target of an opening if this VM is to ask. Returns whether the
    /// opening waits for an answer.
    pub(super) fn ask(&mut self, header: &PacketHeader, now: Moment) -> bool {
        if self.coordination.coordinators.is_empty() {
            return false;
        }
        if self.coordination.questions.is_waiting(&header.flow, now) {
            return true;
        }
        let Some((service, key)) = self.service_of(header) else {
            return false;
        };
        let Some(group) = self.group_of(service, key) else {
            return false;
        };
        let coordinator = self.coordination.coordinators.get(usize::from(group.index));
        let Some(&Some(Origin::Vm(coordinator))) = coordinator else {
            return false;
        };
        let records = self.targets.of_service(service);
        let local = records.filter(|(_, record)| self.is_local(record));
        let own = local.map(|(_, record)| record.load.busy).sum();
        let service = ServiceKey::of(service);
        let coordination = &mut self.coordination;
        // A retransmission that moves to another target is not asked about: the caller has waited.
        coordination.demand.is_asking(service, own, now)
            && self.flows.earlier_target(header, now).is_none()
            && coordination.questions.ask(header, coordinator, group, now)
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
        forward(record, Placement::Placed)
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
            timings: &self.timings,
            zone_load: &self.zone_load,
            group,
            zone: &self.settings.zone,
            service,
            key,
            now,
        }
    }

    /// Target of an answer if it may take the flow according to this VM's own view.
    fn acceptable_target(
        &self,
        header: &PacketHeader,
        token: Token,
        now: Moment,
    ) -> Option<TargetIndex> {
        let selector = self.selector(self.service_of(header)?, None, now);
        let mut indexes = self.targets.with_token(token);
        indexes.find(|index| {
            let record = self.targets.get(*index);
            record.is_some_and(|record| selector.accepts(record))
        })
    }

    fn service_of(&self, header: &PacketHeader) -> Option<(&ServiceName, FlowKey)> {
        let route = self.routes.as_ref()?.find(header.flow.frontend)?;
        let key = header.flow.key();
        Some((route.service_of(key)?, key))
    }

    /// Group of the flow with hash `key`. Each group gets a share of a service's flows in proportion
    /// to its targets; `None` if the zone has no target of the service.
    fn group_of(&self, service: &ServiceName, key: FlowKey) -> Option<Group> {
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

    fn is_local(&self, record: &TargetRecord) -> bool {
        record.target.zone == self.settings.zone
    }
}
