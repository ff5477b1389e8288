//! Table of known targets, indexed by identifier, token and service.
//!
//! Every VM resolves a token to the same target without communication between VMs. A target has two
//! tokens, that of its start and a numbered one (see [`Target`]). Two targets can have the same token; the service of the packet's route then selects one of them. Within one
//! service the target that started later takes no new flows while the earlier target exists. Another
//! writer may describe a start that is known under another identifier; the one that was known first
//! then counts as the earlier target.

mod disputes;

use std::ops::RangeInclusive;
use std::time::Duration;

use bambooseam_types::{EarlierStart, Moment, ServiceName, TargetId, Token};
use derive_more::Display;

use self::disputes::Rivals;
use crate::ended_start::{EndCause, EndedStart, EndedStarts};
use crate::load::Load;
use crate::missing_entry::status_after_retention;
use crate::target_speed::TargetSpeed;
use crate::{Freshness, Routes, SteeringEvent, Target, TokenForm};

/// Index of a target in the table. An index is reused after its target has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct TargetIndex(u32);

/// State of a target's published entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EntryStatus {
    /// The entry is published.
    #[display("published")]
    Published,
    /// The entry was removed; confirmation that the target has ended is pending.
    #[display("doubted")]
    Unconfirmed {
        /// Time at which the target is treated as ended unless its entry is published again.
        until: Moment,
    },
    /// The entry was removed because its lease lapsed; the target is probably still running.
    #[display("lapsed")]
    Lapsed {
        /// Time at which the target is treated as ended unless its entry is published again.
        until: Moment,
    },
    /// The entry was not published again at once, but packets show that the target still responds, or
    /// do not show that it has ended.
    #[display("unlisted")]
    Unlisted {
        /// Time at which the target is treated as ended unless it responds again, or its entry is
        /// published again.
        until: Moment,
    },
    /// The store returned from an older copy with an entry that had been removed, and the target
    /// has not written the entry anew.
    #[display("unrenewed")]
    Unrenewed,
    /// The entry was replaced by a document that does not describe a valid target.
    #[display("unreadable")]
    Unreadable,
    /// The entry was replaced by one that contradicts the known start of the target.
    #[display("disputed")]
    Disputed {
        /// When the entry was replaced.
        since: Moment,
    },
}

/// A target with its observed state.
#[derive(Debug, Clone)]
pub struct TargetRecord {
    /// The target as published.
    pub target: Target,
    /// Token of the target's start.
    pub token: Token,
    /// Numbered token of the target.
    pub numbered: Token,
    /// State of the published entry.
    pub status: EntryStatus,
    /// When this VM learned of this start of the target.
    added: Moment,
    /// Load observed from packets.
    pub load: Load,
    /// Speed learned from response times.
    pub speed: TargetSpeed,
    /// Whether a target of the same service that started earlier has the same token.
    is_shadowed: bool,
}

/// All known targets.
#[derive(Debug, Default)]
pub struct TargetTable {
    records: Vec<Option<TargetRecord>>,
    /// Indexes that can be reused.
    free: Vec<TargetIndex>,
    ids: Vec<(TargetId, TargetIndex)>,
    /// Sorted by the token of the start; of several targets with one token, the one that was known
    /// first is first.
    tokens: Vec<(Token, TargetIndex)>,
    /// Sorted in the same way by the numbered token.
    numbered: Vec<(Token, TargetIndex)>,
    services: Vec<(ServiceName, Vec<TargetIndex>)>,
    ended: EndedStarts,
    rivals: Rivals,
}

impl TargetIndex {
    /// Returns the index as a number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl EntryStatus {
    /// Time at which the target is treated as ended; `None` while an entry exists.
    pub fn until(self) -> Option<Moment> {
        match self {
            Self::Unconfirmed { until } | Self::Lapsed { until } | Self::Unlisted { until } => {
                Some(until)
            }
            Self::Published | Self::Unrenewed | Self::Unreadable | Self::Disputed { .. } => None,
        }
    }

    /// Whether the present entry is that of another writer.
    pub fn is_foreign(self) -> bool {
        matches!(self, Self::Unreadable | Self::Disputed { .. })
    }
}

impl TargetRecord {
    /// Whether a token names this start of the target, in either form.
    pub fn has_token(&self, token: Token) -> bool {
        self.token == token || self.numbered == token
    }

    /// Token of the target as packets carry it.
    pub fn token_in(&self, form: TokenForm) -> Token {
        match form {
            TokenForm::Start => self.token,
            TokenForm::Numbered => self.numbered,
        }
    }

    /// Whether new flows may be placed at the target.
    pub fn is_open(&self) -> bool {
        let is_usable = matches!(
            self.status,
            EntryStatus::Published | EntryStatus::Lapsed { .. }
        );
        is_usable && self.may_accept()
    }

    /// Whether new flows may be placed at the target when no target of the service is open.
    pub fn is_fallback(&self) -> bool {
        let is_kept = matches!(
            self.status,
            EntryStatus::Unconfirmed { .. } | EntryStatus::Unlisted { .. } | EntryStatus::Unrenewed
        );
        is_kept && self.may_accept()
    }

    /// Whether the retention time of the target without an entry has passed, or waiting for the entry
    /// is of no use, because the target `is_silent`.
    fn is_expired(&self, is_silent: bool, view: Freshness, now: Moment) -> bool {
        let is_past = |until| until <= now && view.would_show_return(until);
        match self.status {
            EntryStatus::Unconfirmed { until } => until <= now,
            EntryStatus::Lapsed { until } => is_past(until),
            EntryStatus::Unlisted { until } => is_past(until) || is_silent,
            EntryStatus::Published
            | EntryStatus::Unrenewed
            | EntryStatus::Unreadable
            | EntryStatus::Disputed { .. } => false,
        }
    }

    fn may_accept(&self) -> bool {
        !self.target.is_leaving && !self.is_shadowed
    }
}

impl TargetTable {
    /// Adds or updates a target from its entry. A later start with the same identifier replaces the
    /// earlier start, unless the entry contradicts that one.
    pub fn put(&mut self, target: Target, routes: Option<&Routes>, now: Moment) {
        let token = target.token();
        if let Some(index) = self.find(&target.id) {
            if self.dispute(index, &target, routes, now) {
                return;
            }
            if let Some(record) = self.get_mut(index)
                && record.token == token
            {
                record.load.set_cold_time(now, target.cold_time);
                record.status = EntryStatus::Published;
                record.target = target;
                return;
            }
            self.end(index, EndCause::Replaced, now);
        }
        self.start(target, now);
    }

    /// Sets the entry status of a target.
    pub fn set_status(&mut self, index: TargetIndex, status: EntryStatus) {
        if let Some(record) = self.get_mut(index) {
            record.status = status;
        }
    }

    /// Changes the unconfirmed targets of a service to lapsed.
    pub fn set_lapsed(&mut self, service: &ServiceName, until: Moment) {
        let indexes: Vec<_> = self.of_service(service).map(|(index, _)| index).collect();
        for index in indexes {
            if let Some(record) = self.get_mut(index)
                && matches!(record.status, EntryStatus::Unconfirmed { .. })
            {
                record.status = EntryStatus::Lapsed { until };
            }
        }
    }

    /// Keeps all targets without an entry until a time or longer, because their entries could not be
    /// published again before.
    pub fn extend_retention(&mut self, time: Moment) {
        self.for_each_mut(|record| {
            record.status = match record.status {
                EntryStatus::Unconfirmed { .. } => EntryStatus::Lapsed { until: time },
                EntryStatus::Lapsed { until } => EntryStatus::Lapsed {
                    until: until.max(time),
                },
                EntryStatus::Unlisted { until } => EntryStatus::Unlisted {
                    until: until.max(time),
                },
                kept @ (EntryStatus::Published
                | EntryStatus::Unrenewed
                | EntryStatus::Unreadable
                | EntryStatus::Disputed { .. }) => kept,
            };
        });
    }

    /// Removes a target and remembers its token as ended.
    pub fn end(&mut self, index: TargetIndex, cause: EndCause, now: Moment) {
        let Some(record) = self
            .records
            .get_mut(index.0 as usize)
            .and_then(Option::take)
        else {
            return;
        };
        self.free.push(index);
        self.ids.retain(|(_, other)| *other != index);
        self.tokens.retain(|(_, other)| *other != index);
        self.numbered.retain(|(_, other)| *other != index);
        if let Ok(at) = self.find_service(&record.target.service) {
            self.services[at].1.retain(|other| *other != index);
            if self.services[at].1.is_empty() {
                self.services.remove(at);
            }
        }
        self.update_shadowed(record.token);
        self.update_shadowed(record.numbered);
        if self.with_token(record.token).next().is_none() {
            self.ended.insert(EndedStart::new(record, cause, now));
        }
    }

    /// Index of the target with the identifier `id`.
    pub fn find(&self, id: &TargetId) -> Option<TargetIndex> {
        let at = self.ids.binary_search_by(|(other, _)| other.cmp(id)).ok()?;
        Some(self.ids[at].1)
    }

    /// The target at an index.
    pub fn get(&self, index: TargetIndex) -> Option<&TargetRecord> {
        self.records.get(index.0 as usize)?.as_ref()
    }

    /// The target at an index, mutable.
    pub fn get_mut(&mut self, index: TargetIndex) -> Option<&mut TargetRecord> {
        self.records.get_mut(index.0 as usize)?.as_mut()
    }

    /// Indexes of the targets with a token in either form, usually one; of those with the same form,
    /// the one that was known first is first.
    pub fn with_token(&self, token: Token) -> impl Iterator<Item = TargetIndex> + Clone + '_ {
        let numbered = within(&self.numbered, token..=token);
        numbered.chain(within(&self.tokens, token..=token))
    }

    /// Indexes of the targets that a numbered token names, whichever of their starts it belongs to.
    pub fn with_number(&self, token: Token) -> impl Iterator<Item = TargetIndex> + '_ {
        within(&self.numbered, token.same_target())
    }

    /// All targets of a service.
    pub fn of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (TargetIndex, &TargetRecord)> {
        let indexes = match self.find_service(service) {
            Ok(at) => self.services[at].1.as_slice(),
            Err(_) => &[],
        };
        let records = indexes.iter().copied();
        records.filter_map(|index| Some((index, self.get(index)?)))
    }

    /// All services with their targets, sorted by name.
    pub fn services(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, impl Iterator<Item = &TargetRecord>)> {
        self.services.iter().map(|(service, indexes)| {
            let records = indexes.iter().filter_map(|index| self.get(*index));
            (service, records)
        })
    }

    /// All targets, sorted by identifier.
    pub fn iter(&self) -> impl Iterator<Item = (TargetIndex, &TargetRecord)> {
        let indexes = self.ids.iter().map(|(_, index)| *index);
        indexes.filter_map(|index| Some((index, self.get(index)?)))
    }

    /// Calls `change` for each target.
    pub fn for_each_mut(&mut self, change: impl FnMut(&mut TargetRecord)) {
        self.records.iter_mut().flatten().for_each(change);
    }

    /// Calls `change` for each service with all of its targets.
    pub fn for_each_service_mut(
        &mut self,
        mut change: impl FnMut(&ServiceName, &mut [&mut TargetRecord]),
    ) {
        let mut records: Vec<_> = self.records.iter_mut().map(Option::as_mut).collect();
        for (service, indexes) in &self.services {
            let taken = indexes
                .iter()
                .filter_map(|index| records.get_mut(index.0 as usize)?.take());
            let mut taken: Vec<_> = taken.collect();
            change(service, &mut taken);
        }
    }

    /// Whether a token belongs to a start that has not ended.
    pub fn is_known(&self, token: Token) -> bool {
        self.with_token(token).next().is_some() || self.rival(token, |_| true).is_some()
    }

    /// Whether a token belongs to a start of a target that has ended.
    pub fn is_ended(&self, token: Token) -> bool {
        self.ended.get(token).is_some()
    }

    /// Whether the flows with a token have ended: the target has no start that may hold them. If
    /// another VM found the end of the token's start, a later start may have registered there, and its
    /// entry may have lapsed since.
    pub fn is_gone(&self, token: Token) -> bool {
        let ended = self.ended.get(token);
        ended.is_some_and(|start| {
            start.cause != EndCause::Received || self.find(&start.id).is_some()
        })
    }

    /// The start of a target that has ended, by the token of the start.
    pub(crate) fn ended_start(&self, token: Token) -> Option<&EndedStart> {
        self.ended.get(token)
    }

    /// Whether `token` is a token, in either form, of the start whose own token is `start`. It runs at
    /// `index`, or has ended.
    pub fn is_token_of(&self, token: Token, index: TargetIndex, start: Token) -> bool {
        if token == start {
            return true;
        }
        match self.get(index).filter(|record| record.token == start) {
            Some(record) => record.numbered == token,
            None => {
                let ended = self.ended.get(start);
                ended.is_some_and(|ended| ended.numbered == Some(token))
            }
        }
    }

    /// The present start of a target that may hold flows with the token of another start. What is known
    /// of that start decides; without it, a numbered token leads to the target if `is_match` holds for
    /// its service. Of several such targets, the one that started last is most likely to have started
    /// again.
    pub fn other_start(
        &self,
        token: Token,
        is_match: impl Fn(&ServiceName) -> bool,
    ) -> Option<TargetIndex> {
        if let Some(ended) = self.ended.get(token) {
            return self.later_than(ended);
        }
        let mut last = None;
        for index in self.with_number(token) {
            let Some(record) = self.get(index) else {
                continue;
            };
            if is_match(&record.target.service) {
                last = last.max(Some((record.target.start, index)));
            }
        }
        last.map(|(_, index)| index)
    }

    /// The earlier starts of targets that ended lately, sorted by token.
    pub fn earlier_starts(&self, now: Moment) -> Vec<EarlierStart> {
        let recent = self.ended.recent(now);
        let earlier = recent.filter(|start| self.later_than(start).is_some());
        earlier.map(|start| start.to_peer(now)).collect()
    }

    /// The same for VMs that do not read numbered tokens, with the numbered tokens of all starts. Such
    /// VMs take also those of the present starts for tokens of earlier ones.
    pub fn earlier_starts_in_both_forms(&self, now: Moment) -> Vec<EarlierStart> {
        let mut starts = self.earlier_starts(now);
        for at in 0..starts.len() {
            let ended = self.ended.get(starts[at].token);
            if let Some(numbered) = ended.and_then(|ended| ended.numbered) {
                let mut start = starts[at].clone();
                start.token = numbered;
                starts.push(start);
            }
        }
        starts.extend(self.iter().map(|(_, record)| EarlierStart {
            token: record.numbered,
            target: record.target.id.clone(),
            service: record.target.service.clone(),
            address: record.target.address,
            elapsed: Duration::ZERO,
        }));
        starts
    }

    /// Records an earlier start that another VM knows. Returns false if it is known here.
    pub fn record_earlier(&mut self, start: EarlierStart, now: Moment) -> bool {
        let is_present = self.with_token(start.token).next().is_some();
        if is_present || self.is_ended(start.token) {
            return false;
        }
        self.ended.insert(EndedStart::from_peer(start, now));
        true
    }

    fn later_than(&self, ended: &EndedStart) -> Option<TargetIndex> {
        let index = self.find(&ended.id)?;
        let record = self.get(index)?;
        ended.may_continue_at(&record.target).then_some(index)
    }

    /// Updates which targets are unresponsive and returns an event for each change.
    pub fn update_responsiveness(&mut self, now: Moment) -> Vec<SteeringEvent> {
        let mut events = Vec::new();
        for record in self.records.iter_mut().flatten() {
            let is_unresponsive = record.load.responsiveness.is_unresponsive(now);
            if std::mem::replace(&mut record.load.was_unresponsive, is_unresponsive)
                == is_unresponsive
            {
                continue;
            }
            let target = record.target.id.clone();
            let (flows, elapsed) = record.load.responsiveness.unanswered(now);
            events.push(match is_unresponsive {
                true => SteeringEvent::Unresponsive {
                    target,
                    flows,
                    elapsed,
                },
                false => SteeringEvent::Recovered(target),
            });
        }
        events
    }

    /// Whether a target without an entry has to be looked at by [`expire`](Self::expire).
    pub fn is_expired(&self, index: TargetIndex, view: Freshness, now: Moment) -> bool {
        self.get(index)
            .is_some_and(|record| record.is_expired(self.is_silent(record, now), view, now))
    }

    /// Whether retransmissions to a target without an entry show that it does not respond, rather than
    /// that packets wait at this VM: most other targets of its zone have answered since, or nothing is
    /// retransmitted to them.
    fn is_silent(&self, record: &TargetRecord, now: Moment) -> bool {
        if record.status.until().is_none() {
            return false;
        }
        let Some(repeated) = record.load.stall.stalled_since(now) else {
            return false;
        };
        let (mut answering, mut suspected) = (0, 0);
        for (_, other) in self.iter() {
            if other.target.zone != record.target.zone || other.status.until().is_some() {
                continue;
            }
            if other.load.last_answered >= Some(repeated) {
                answering += 1;
            } else if other.load.stall.is_suspected(now) {
                suspected += 1;
            }
        }
        answering >= 2 * suspected
    }

    /// Ends the targets whose retention time has passed and that do not respond. Returns the
    /// identifiers of the ended targets.
    pub fn expire(&mut self, view: Freshness, now: Moment) -> Vec<TargetId> {
        let expired = self.iter().filter_map(|(index, record)| {
            let is_silent = self.is_silent(record, now);
            let is_expired = record.is_expired(is_silent, view, now);
            is_expired.then_some((index, is_silent))
        });
        let expired: Vec<_> = expired.collect();
        let mut ended = Vec::new();
        for (index, is_silent) in expired {
            let Some(record) = self.get_mut(index) else {
                continue;
            };
            let (status, load) = (record.status, &record.load);
            if let Some(status) = status_after_retention(status, load, is_silent, view, now) {
                record.status = status;
                continue;
            }
            ended.push(record.target.id.clone());
            let cause = match record.target.is_leaving {
                true => EndCause::Left,
                false => EndCause::NotBack,
            };
            self.end(index, cause, now);
        }
        ended
    }

    /// Adds a start of a target that is not in the table.
    fn start(&mut self, target: Target, now: Moment) {
        let (token, numbered) = (target.token(), target.numbered_token());
        self.ended.remove(token);
        self.rivals.remove(&target);
        let index = self.free.pop().unwrap_or_else(|| {
            self.records.push(None);
            TargetIndex(self.records.len() as u32 - 1)
        });
        let at = self.ids.partition_point(|(other, _)| *other < target.id);
        self.ids.insert(at, (target.id.clone(), index));
        for (list, token) in [(&mut self.tokens, token), (&mut self.numbered, numbered)] {
            let at = list.partition_point(|(other, _)| *other <= token);
            list.insert(at, (token, index));
        }
        match self.find_service(&target.service) {
            Ok(at) => self.services[at].1.push(index),
            Err(at) => {
                let service = target.service.clone();
                self.services.insert(at, (service, vec![index]));
            }
        }
        let mut load = Load::default();
        load.set_cold_time(now, target.cold_time);
        self.records[index.0 as usize] = Some(TargetRecord {
            speed: TargetSpeed::new(target.capacity),
            target,
            token,
            numbered,
            status: EntryStatus::Published,
            added: now,
            load,
            is_shadowed: false,
        });
        self.update_shadowed(token);
        self.update_shadowed(numbered);
    }

    /// Updates which of the targets with a token take new flows.
    fn update_shadowed(&mut self, token: Token) {
        let indexes: Vec<_> = self.with_token(token).collect();
        for index in indexes {
            let is_shadowed = self.is_shadowed(index);
            if let Some(record) = self.get_mut(index) {
                record.is_shadowed = is_shadowed;
            }
        }
    }

    /// Whether another target with one of the tokens of a target takes its new flows.
    fn is_shadowed(&self, index: TargetIndex) -> bool {
        let Some(record) = self.get(index) else {
            return false;
        };
        [record.token, record.numbered].into_iter().any(|token| {
            let mut others = self.with_token(token);
            let mut earlier = others.clone().take_while(|other| *other != index);
            earlier.any(|other| self.is_same_start(other, index))
                || others.any(|other| self.shadows(other, index))
        })
    }

    /// Whether two entries of one service describe the same start under different identifiers, which
    /// another writer has left. Packets of its flows go to the one that was known first.
    fn is_same_start(&self, other: TargetIndex, index: TargetIndex) -> bool {
        let (Some(other), Some(record)) = (self.get(other), self.get(index)) else {
            return false;
        };
        let (other, target) = (&other.target, &record.target);
        other.service == target.service
            && other.label == target.label
            && other.start == target.start
    }

    /// Whether `other` belongs to the same service and started earlier.
    fn shadows(&self, other: TargetIndex, index: TargetIndex) -> bool {
        if self.is_same_start(other, index) {
            return false;
        }
        let (Some(other), Some(record)) = (self.get(other), self.get(index)) else {
            return false;
        };
        let (earlier, later) = (&other.target, &record.target);
        earlier.service == later.service && (earlier.start, &earlier.id) < (later.start, &later.id)
    }

    fn find_service(&self, service: &ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|(other, _)| other.cmp(service))
    }
}

/// Targets whose token is in a range, from a list that is sorted by token.
fn within(
    list: &[(Token, TargetIndex)],
    range: RangeInclusive<Token>,
) -> impl Iterator<Item = TargetIndex> + Clone + '_ {
    let start = list.partition_point(|(token, _)| token < range.start());
    let tokens = list[start..].iter();
    tokens
        .take_while(move |(token, _)| token <= range.end())
        .map(|(_, index)| *index)
}
