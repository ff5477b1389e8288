//! Openings of this VM that wait for the answer of a coordinator.

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{Moment, Token};

use super::{Group, MAX_GROUPS, is_after};
use crate::{Decision, FlowId, PacketHeader, ResetCause};

/// Time after which an opening is placed without an answer. A round trip within a zone takes 0.4 ms;
/// the rest is for VMs with a tenth of a core.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Age from which a waiting opening is dropped instead of placed. Only a paused process reaches
/// this age. The caller retransmits after 200 ms, and another VM may have placed the
/// retransmission at another target.
pub const MAX_AGE: Duration = Duration::from_millis(190);

/// Longest time for which a coordinator may let an opening wait: less than the 200 ms after which the
/// caller retransmits.
pub const MAX_WAIT: Duration = Duration::from_millis(150);

/// Largest number of waiting openings; beyond this, openings are placed without asking.
const MAX_QUESTIONS: usize = 512;

/// Answer of a coordinator about an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The opening is to be sent to the target with this token.
    Place(Token),
    /// Another answer follows within this time.
    Wait(Duration),
    /// The opening is to be reset, because the service can't serve it in time.
    Reject,
    /// The asking VM is to place the opening by itself.
    Decide,
}

/// A question to a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Question {
    /// Number of the question; it increases and wraps around.
    pub number: u32,
    /// Address of the coordinator.
    pub coordinator: SocketAddrV4,
    /// Group that the target is selected from.
    pub group: Group,
    /// Header of the opening packet.
    pub header: PacketHeader,
}

/// An opening that waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingOpening {
    /// The question.
    pub question: Question,
    /// When the opening packet was received.
    pub received: Moment,
    /// When the opening is placed without an answer.
    pub deadline: Moment,
}

/// Questions of this VM that have no answer yet.
#[derive(Debug, Default)]
pub struct Questions {
    waiting: Vec<WaitingOpening>,
    /// Questions that have not been sent yet.
    unsent: Vec<Question>,
    /// Number of the latest question.
    number: Option<u32>,
    /// Number of the latest question of each group whose answer was applied.
    applied: [u32; MAX_GROUPS as usize],
    /// Coordinators with the number of the latest question that they have answered.
    answered: Vec<(SocketAddrV4, u32)>,
}

impl From<Decision> for Answer {
    /// The answer for the decision of a coordinator. Where the coordinator has no target for the
    /// flow, its view may differ from that of the asking VM, which decides.
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Forward { token, .. } => Self::Place(token),
            Decision::Hold => Self::Wait(MAX_WAIT),
            Decision::Reset(ResetCause::Overloaded) => Self::Reject,
            Decision::Reset(_) | Decision::Drop(_) => Self::Decide,
        }
    }
}

impl Questions {
    /// Adds a question. Returns false if there are too many.
    pub fn ask(
        &mut self,
        header: &PacketHeader,
        coordinator: SocketAddrV4,
        group: Group,
        now: Moment,
    ) -> bool {
        if self.waiting.len() >= MAX_QUESTIONS || self.unsent.len() >= MAX_QUESTIONS {
            return false;
        }
        let last = match self.number {
            Some(last) => last,
            None => {
                // The numbers of a restarted process continue above those of its predecessor.
                let first = now.as_millis() as u32;
                self.applied = [first; MAX_GROUPS as usize];
                first
            }
        };
        let number = last.wrapping_add(1);
        self.number = Some(number);
        let question = Question {
            number,
            coordinator,
            group,
            header: *header,
        };
        self.waiting.push(WaitingOpening {
            question,
            received: now,
            deadline: now.after(ANSWER_TIMEOUT),
        });
        self.unsent.push(question);
        true
    }

    /// Whether an opening packet of a flow waits. A flow that has waited too long is forgotten, so
    /// that its retransmission is decided anew.
    pub fn is_waiting(&mut self, flow: &FlowId, now: Moment) -> bool {
        let Some(at) = self
            .waiting
            .iter()
            .position(|waiting| waiting.question.header.flow == *flow)
        else {
            return false;
        };
        if now.since(self.waiting[at].received) <= MAX_AGE {
            return true;
        }
        self.waiting.remove(at);
        false
    }

    /// Removes and returns the questions that have not been sent yet.
    pub fn take_unsent(&mut self) -> Vec<Question> {
        std::mem::take(&mut self.unsent)
    }

    /// Whether there are questions that have not been sent yet.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Removes and returns the opening that an answer belongs to. A wait keeps the opening and
    /// extends its deadline.
    pub fn answer(
        &mut self,
        coordinator: SocketAddrV4,
        number: u32,
        answer: Answer,
        now: Moment,
    ) -> Option<WaitingOpening> {
        let is_asked = |waiting: &WaitingOpening| {
            waiting.question.number == number && waiting.question.coordinator == coordinator
        };
        let at = self.waiting.iter().position(is_asked)?;
        self.record_answered(coordinator, number);
        if let Answer::Wait(time) = answer {
            let waiting = &mut self.waiting[at];
            let deadline = now.after(time.min(MAX_WAIT) + ANSWER_TIMEOUT);
            waiting.deadline = deadline.min(waiting.received.after(MAX_AGE));
            return None;
        }
        let waiting = self.waiting.remove(at);
        let applied = self
            .applied
            .get_mut(usize::from(waiting.question.group.index));
        if let Some(applied) = applied
            && is_after(number, *applied)
        {
            *applied = number;
        }
        Some(waiting)
    }

    /// Removes and returns the openings whose deadline has passed, and adds the coordinators that
    /// have failed to `failed`. A coordinator that has answered a later question has only lost one
    /// datagram. The other openings that wait for a failed coordinator are returned as well.
    pub fn expire(&mut self, now: Moment, failed: &mut Vec<SocketAddrV4>) -> Vec<WaitingOpening> {
        if self.waiting.iter().all(|waiting| waiting.deadline > now) {
            return Vec::new();
        }
        for waiting in &self.waiting {
            let Question {
                coordinator,
                number,
                ..
            } = waiting.question;
            let is_alive = self
                .answered
                .iter()
                .any(|(other, last)| *other == coordinator && !is_after(number, *last));
            if waiting.deadline <= now && !is_alive && !failed.contains(&coordinator) {
                failed.push(coordinator);
            }
        }
        let is_expired = |waiting: &WaitingOpening| {
            waiting.deadline <= now || failed.contains(&waiting.question.coordinator)
        };
        let (expired, waiting) = self.waiting.iter().partition(|waiting| is_expired(waiting));
        self.waiting = waiting;
        expired
    }

    /// Number of the latest question of a group whose answer was applied.
    pub fn applied(&self, group: Group) -> u32 {
        self.applied
            .get(usize::from(group.index))
            .copied()
            .unwrap_or_default()
    }

    /// Number of waiting openings.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no opening waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn record_answered(&mut self, coordinator: SocketAddrV4, number: u32) {
        let known = self
            .answered
            .iter_mut()
            .find(|(other, _)| *other == coordinator);
        match known {
            Some((_, last)) if is_after(number, *last) => *last = number,
            Some(_) => {}
            None => {
                // One more than the coordinators in use at a time.
                if self.answered.len() > usize::from(MAX_GROUPS) {
                    self.answered.remove(0);
                }
                self.answered.push((coordinator, number));
            }
        }
    }
}
