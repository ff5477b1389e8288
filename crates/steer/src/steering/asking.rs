//! Openings of this VM about which it asks a coordinator.

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{Moment, Token};

use super::Steering;
use crate::target_table::TargetIndex;
use crate::zone_load::ServiceKey;
use crate::zone_load::questions::{Answer, MAX_AGE};
use crate::{Decision, DropCause, Origin, PacketHeader, ResetCause};

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

impl Steering {
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
            Answer::Reject if header.is_first_opening() => (
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
}
