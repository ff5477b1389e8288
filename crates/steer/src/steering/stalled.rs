//! Resets of flows whose target is stalled.

use bambooseam_types::Moment;

use super::Steering;
use super::signals::release;
use crate::flows::Signals;
use crate::stall::{Paths, Retransmissions, StallEvidence, TargetHealth, is_confirmed};
use crate::target_speed::Outcome;
use crate::target_table::{TargetIndex, TargetRecord};
use crate::{PacketHeader, SteeringEvent};

impl Steering {
    /// Earliest time from which data without an acknowledgement is evidence against a target: its last
    /// response, or the end of a large transfer.
    pub(super) fn evidence_since(&self, index: TargetIndex) -> Moment {
        let response = self.targets.get(index).and_then(|r| r.load.last_response);
        self.quiet_since.max(response.unwrap_or_default())
    }

    /// Records a retransmission, and returns whether its flow must be reset because the target is
    /// stalled. New data is always forwarded: its answer shows that the target is running.
    pub(super) fn is_stalled(
        &mut self,
        header: &PacketHeader,
        index: TargetIndex,
        signals: Signals,
        now: Moment,
    ) -> bool {
        let Some(own) = signals.retransmissions else {
            return false;
        };
        if let Some(record) = self.targets.get_mut(index) {
            record.load.stall.record(*header.flow.caller.ip(), own);
        }
        if !own.is_evidence() {
            return false;
        }
        let Some(evidence) = self.stall_evidence(index, own, now) else {
            return false;
        };
        self.report_stall(index, evidence, now);
        true
    }

    /// Forgets a flow that is reset.
    pub(super) fn reset_stalled(&mut self, header: &PacketHeader, now: Moment) {
        if let Some(released) = self.flows.remove(&header.flow) {
            release(&mut self.targets, (released, Outcome::Abandoned), now);
        }
    }

    /// Reports a target that responds after flows were reset because it was stalled.
    pub(super) fn report_stall_end(&mut self, index: TargetIndex, signals: Signals) {
        if let Some(record) = self.targets.get(index)
            && record.load.stall.resets > 0
            && signals.has_response()
        {
            self.events.push(SteeringEvent::StallEnded {
                target: record.target.id.clone(),
                resets: record.load.stall.resets,
            });
        }
    }

    /// Evidence that the flows of a target have stalled, among them the flow with these
    /// `retransmissions`, and that a retry would reach another target.
    fn stall_evidence(
        &self,
        index: TargetIndex,
        retransmissions: Retransmissions,
        now: Moment,
    ) -> Option<StallEvidence> {
        let record = self.targets.get(index)?;
        let evidence = record.load.stall.evidence(now, self.quiet_since)?;
        let (own, zone) = (&self.settings.zone, &record.target.zone);
        // An acknowledgement of the flow's data would have arrived before answers to later packets.
        let repeated = evidence.repeated.max(retransmissions.first_sent()?);
        let mut paths = Paths::default();
        paths.local.is_prompt = self.paths.is_working(own, evidence.since, now);
        paths.same_zone.is_prompt = self.paths.is_working(zone, evidence.since, now);
        let others = self.targets.iter().filter(|(other, _)| *other != index);
        for (_, TargetRecord { target, load, .. }) in others {
            let health = TargetHealth {
                is_answering: load.last_answered >= Some(repeated),
                is_suspected: load.stall.is_suspected(now)
                    || load.responsiveness.is_unresponsive(now),
                has_stalled: load.stall.has_stalled_beside(evidence.caller, now),
            };
            if target.zone == *own {
                paths.local.add(health);
            }
            if target.zone == *zone {
                paths.same_zone.add(health);
            }
        }
        is_confirmed(&evidence, &paths, zone == own).then_some(evidence)
    }

    /// Counts a reset at a stalled target, and reports the target at the first one.
    fn report_stall(&mut self, index: TargetIndex, evidence: StallEvidence, now: Moment) {
        let Some(record) = self.targets.get_mut(index) else {
            return;
        };
        record.load.stall.resets += 1;
        if record.load.stall.resets == 1 {
            self.events.push(SteeringEvent::Stalled {
                target: record.target.id.clone(),
                evidence,
                elapsed: now.since(evidence.since),
            });
        }
    }
}
