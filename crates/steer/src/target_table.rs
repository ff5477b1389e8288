//! Targets that are known, by identifier, token and service.
//!
//! Every VM gives the same answer for a token without talking to others. Two starts with one token
//! are told apart by the service of the packet's route; within one service the later start takes no
//! new flows while the earlier one is there.

use bambooseam_types::{Moment, ServiceName, TargetId, Token};
use derive_more::Display;

use crate::absence::judge_unlisted;
use crate::load::Load;
use crate::{SteeringEvent, Target};

/// Tokens of ended targets that are remembered, so that their flows are reset at once.
const ENDED_LIMIT: usize = 4_096;

/// Place of a target in the roster; taken again after the target has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct TargetIndex(u32);

/// What the published entries say of a target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EntryStatus {
    /// Its entry stands.
    #[display("published")]
    Published,
    /// Its entry has gone; it may have ended.
    #[display("doubted")]
    Unconfirmed {
        /// When it counts as ended unless the entry is back.
        until: Moment,
    },
    /// Its entry has gone as entries go that lapse; it probably lives.
    #[display("lapsed")]
    Lapsed {
        /// When it counts as ended unless the entry is back.
        until: Moment,
    },
    /// Its entry has gone for good, but packets show that it lives.
    #[display("unlisted")]
    Unlisted {
        /// When it counts as ended unless it shows life again.
        until: Moment,
    },
    /// Its entry was replaced by one that names no target.
    #[display("unreadable")]
    Unreadable,
}

/// A target with what is known of it.
#[derive(Debug, Clone)]
pub struct TargetRecord {
    /// The target.
    pub target: Target,
    /// Its token.
    pub token: Token,
    /// What the entries say.
    pub status: EntryStatus,
    /// What packets show.
    pub load: Load,
    /// Whether an earlier start of the same service has this token.
    is_eclipsed: bool,
}

/// All known targets.
#[derive(Debug, Default)]
pub struct TargetTable {
    slots: Vec<Option<TargetRecord>>,
    free: Vec<TargetIndex>,
    ids: Vec<(TargetId, TargetIndex)>,
    tokens: Vec<(Token, TargetIndex)>,
    services: Vec<(ServiceName, Vec<TargetIndex>)>,
    ended: Vec<(Token, Moment)>,
}

impl TargetIndex {
    /// The number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl EntryStatus {
    /// When the target counts as ended; `None` while its entry stands.
    pub fn until(self) -> Option<Moment> {
        match self {
            Self::Unconfirmed { until } | Self::Lapsed { until } | Self::Unlisted { until } => {
                Some(until)
            }
            Self::Published | Self::Unreadable => None,
        }
    }
}

impl TargetRecord {
    /// Whether new flows may be placed here.
    pub fn is_open(&self) -> bool {
        let is_usable = matches!(
            self.status,
            EntryStatus::Published | EntryStatus::Lapsed { .. }
        );
        is_usable && self.is_willing()
    }

    /// Whether new flows may be placed here when no target of the service is open.
    pub fn is_last_resort(&self) -> bool {
        let is_kept = matches!(
            self.status,
            EntryStatus::Unconfirmed { .. } | EntryStatus::Unlisted { .. }
        );
        is_kept && self.is_willing()
    }

    fn is_willing(&self) -> bool {
        !self.target.is_leaving && !self.is_eclipsed
    }
}

impl TargetTable {
    /// Adds a target or takes what is new of it; a later start replaces an earlier one.
    pub fn put(&mut self, target: Target, now: Moment) {
        let token = target.token();
        if let Some(number) = self.find(&target.id) {
            if let Some(slot) = self.get_mut(number)
                && slot.token == token
                && slot.target.service == target.service
            {
                slot.load.note_cold(now, target.cold_time);
                slot.status = EntryStatus::Published;
                slot.target = target;
                return;
            }
            self.end(number, now);
        }
        self.ended.retain(|(ended, _)| *ended != token);
        self.add(target, token, now);
    }

    /// Changes what the entries say of a target.
    pub fn set_standing(&mut self, number: TargetIndex, status: EntryStatus) {
        if let Some(slot) = self.get_mut(number) {
            slot.status = status;
        }
    }

    /// Takes the doubted targets of a service for lapsed ones.
    pub fn trust_doubted(&mut self, service: &ServiceName, until: Moment) {
        let numbers: Vec<_> = self.of_service(service).map(|(number, _)| number).collect();
        for number in numbers {
            if let Some(slot) = self.get_mut(number)
                && matches!(slot.status, EntryStatus::Unconfirmed { .. })
            {
                slot.status = EntryStatus::Lapsed { until };
            }
        }
    }

    /// Removes a target and remembers its token.
    pub fn end(&mut self, number: TargetIndex, now: Moment) {
        let Some(slot) = self.slots.get_mut(number.0 as usize).and_then(Option::take) else {
            return;
        };
        self.free.push(number);
        self.ids.retain(|(_, held)| *held != number);
        self.tokens.retain(|(_, held)| *held != number);
        if let Ok(at) = self.find_service(&slot.target.service) {
            self.services[at].1.retain(|held| *held != number);
            if self.services[at].1.is_empty() {
                self.services.remove(at);
            }
        }
        self.settle(slot.token);
        self.note_ended(slot.token, now);
    }

    /// Place of the target with this identifier.
    pub fn find(&self, id: &TargetId) -> Option<TargetIndex> {
        let at = self.ids.binary_search_by(|(held, _)| held.cmp(id)).ok()?;
        Some(self.ids[at].1)
    }

    /// The target at a place.
    pub fn get(&self, number: TargetIndex) -> Option<&TargetRecord> {
        self.slots.get(number.0 as usize)?.as_ref()
    }

    /// The target at a place.
    pub fn get_mut(&mut self, number: TargetIndex) -> Option<&mut TargetRecord> {
        self.slots.get_mut(number.0 as usize)?.as_mut()
    }

    /// Places of the targets with a token: nearly always one.
    pub fn with_token(&self, token: Token) -> impl Iterator<Item = TargetIndex> + '_ {
        let start = self.tokens.partition_point(|(held, _)| *held < token);
        let same = self.tokens[start..].iter();
        same.take_while(move |(held, _)| *held == token)
            .map(|(_, number)| *number)
    }

    /// Targets of a service.
    pub fn of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (TargetIndex, &TargetRecord)> {
        let numbers = match self.find_service(service) {
            Ok(at) => self.services[at].1.as_slice(),
            Err(_) => &[],
        };
        let slots = numbers.iter().copied();
        slots.filter_map(|number| Some((number, self.get(number)?)))
    }

    /// All targets, by identifier.
    pub fn iter(&self) -> impl Iterator<Item = (TargetIndex, &TargetRecord)> {
        let numbers = self.ids.iter().map(|(_, number)| *number);
        numbers.filter_map(|number| Some((number, self.get(number)?)))
    }

    /// Whether a token belonged to a target that has ended.
    pub fn is_ended(&self, token: Token) -> bool {
        self.ended
            .binary_search_by_key(&token, |(held, _)| *held)
            .is_ok()
    }

    /// Looks which targets have become silent, or are silent no longer.
    pub fn note_silence(&mut self, now: Moment) -> Vec<SteeringEvent> {
        let mut notices = Vec::new();
        for slot in self.slots.iter_mut().flatten() {
            let is_silent = slot.load.silence.is_silent(now);
            if std::mem::replace(&mut slot.load.was_silent, is_silent) == is_silent {
                continue;
            }
            let target = slot.target.id.clone();
            let (flows, silence) = slot.load.silence.unanswered(now);
            notices.push(match is_silent {
                true => SteeringEvent::Unresponsive {
                    target,
                    flows,
                    silence,
                },
                false => SteeringEvent::Recovered(target),
            });
        }
        notices
    }

    /// Whether the time is over for which a target without an entry is kept.
    pub fn is_over(&self, number: TargetIndex, now: Moment) -> bool {
        let until = self.get(number).and_then(|slot| slot.status.until());
        until.is_some_and(|until| until <= now)
    }

    /// Ends targets that were kept long enough and show no life; gives their identifiers.
    pub fn expire(&mut self, now: Moment) -> Vec<TargetId> {
        let is_over = |slot: &TargetRecord| slot.status.until().is_some_and(|until| until <= now);
        let over = self.iter().filter(|(_, slot)| is_over(slot));
        let over: Vec<_> = over
            .map(|(number, slot)| (number, slot.load.heard))
            .collect();
        let mut ended = Vec::new();
        for (number, heard) in over {
            if let Some(status) = judge_unlisted(now, heard) {
                self.set_standing(number, status);
                continue;
            }
            if let Some(slot) = self.get(number) {
                ended.push(slot.target.id.clone());
            }
            self.end(number, now);
        }
        ended
    }

    fn add(&mut self, target: Target, token: Token, now: Moment) {
        let number = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            TargetIndex(self.slots.len() as u32 - 1)
        });
        let at = self.ids.partition_point(|(held, _)| *held < target.id);
        self.ids.insert(at, (target.id.clone(), number));
        let at = self.tokens.partition_point(|(held, _)| *held < token);
        self.tokens.insert(at, (token, number));
        match self.find_service(&target.service) {
            Ok(at) => self.services[at].1.push(number),
            Err(at) => {
                let service = target.service.clone();
                self.services.insert(at, (service, vec![number]));
            }
        }
        let mut load = Load::default();
        load.note_cold(now, target.cold_time);
        self.slots[number.0 as usize] = Some(TargetRecord {
            target,
            token,
            status: EntryStatus::Published,
            load,
            is_eclipsed: false,
        });
        self.settle(token);
    }

    /// Decides which of the targets with one token takes new flows.
    fn settle(&mut self, token: Token) {
        let numbers: Vec<_> = self.with_token(token).collect();
        for &number in &numbers {
            let is_eclipsed = numbers.iter().any(|&other| self.eclipses(other, number));
            if let Some(slot) = self.get_mut(number) {
                slot.is_eclipsed = is_eclipsed;
            }
        }
    }

    /// Whether `other` is an earlier start of the same service.
    fn eclipses(&self, other: TargetIndex, number: TargetIndex) -> bool {
        let (Some(other), Some(slot)) = (self.get(other), self.get(number)) else {
            return false;
        };
        let (earlier, later) = (&other.target, &slot.target);
        earlier.service == later.service && (earlier.start, &earlier.id) < (later.start, &later.id)
    }

    fn note_ended(&mut self, token: Token, now: Moment) {
        if self.with_token(token).next().is_some() {
            return;
        }
        if self.ended.len() >= ENDED_LIMIT {
            let oldest = self.ended.iter().enumerate().min_by_key(|(_, held)| held.1);
            if let Some((at, _)) = oldest {
                self.ended.remove(at);
            }
        }
        let at = self.ended.partition_point(|(held, _)| *held < token);
        self.ended.insert(at, (token, now));
    }

    fn find_service(&self, service: &ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|(held, _)| held.cmp(service))
    }
}
