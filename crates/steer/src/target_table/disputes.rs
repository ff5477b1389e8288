//! Entries that contradict the known start of their target.
//!
//! Any user of the store may write an entry under the key of a running target. Neither the service
//! nor the address of a target can change while it runs, and a start that had a time of birth keeps
//! it. An entry that contradicts the known start in one of these is therefore no proof that the start
//! has ended: either another writer made a mistake, and the target writes its own entry again with
//! its next heartbeat, or the target has started again elsewhere, and the known start never writes
//! again. Until this is clear, the entry is disputed: the known start keeps its flows and takes no
//! new ones, and the start that the entry describes, its rival, takes none either.
//!
//! The rival comes into force once the known start has had the time to write again and has shown no
//! response lately. A VM that has known a start only for a short time can't tell which of two entries
//! is the mistake, as it may have read that one first. It uses the later one, unless only the
//! other's service has a route, and resolves the tokens of both for a while.

use std::time::Duration;

use bambooseam_types::{Incarnation, Moment, ServiceName, Token};

use super::{EntryStatus, TargetIndex, TargetRecord, TargetTable};
use crate::ended_start::EndCause;
use crate::missing_entry::{LIVENESS_TIMEOUT, REREGISTRATION_TIME};
use crate::{Routes, Target};

/// Time in which a running target writes its entry again after another writer has replaced it: that
/// of several heartbeats. A rival is forgotten after this time unless its entry is the present one.
const DISPUTE_TIME: Duration = REREGISTRATION_TIME;

/// Largest number of rivals; beyond this the one that was written first is evicted.
const MAX_RIVALS: usize = 1_024;

/// Starts that contradict the known start under their identifier, ordered by `written`.
#[derive(Debug, Default)]
pub(super) struct Rivals {
    list: Vec<Rival>,
}

/// A start that contradicts the known start under its identifier.
#[derive(Debug)]
struct Rival {
    target: Target,
    /// Token of its start.
    token: Token,
    numbered: Token,
    /// When its entry was last read, or when it was last the known start.
    written: Moment,
}

impl TargetRecord {
    /// Whether `target` can't be the same start with a newer entry, nor a later start that holds the
    /// flows of this one.
    fn is_contradicted_by(&self, target: &Target) -> bool {
        let unborn = Incarnation::default();
        let known = &self.target;
        target.service != known.service
            || target.address != known.address
            || (target.start == unborn && known.start != unborn)
    }

    /// Whether the entry of another writer would have been replaced by now, or the target has
    /// responded.
    fn is_established(&self, now: Moment) -> bool {
        self.has_responded() || now.since(self.added) >= DISPUTE_TIME
    }

    fn has_responded(&self) -> bool {
        self.load.last_response.is_some()
    }

    /// Whether the start has neither written again nor responded since its entry was disputed.
    fn is_silent(&self, synced: Option<Moment>, now: Moment) -> bool {
        let EntryStatus::Disputed { since } = self.status else {
            return false;
        };
        let last_response = self.load.last_response;
        synced.is_some_and(|synced| synced >= since.after(DISPUTE_TIME))
            && last_response.is_none_or(|last| now.since(last) > LIVENESS_TIMEOUT)
    }
}

impl Rivals {
    /// Adds a start, or moves it to the end of the list.
    fn insert(&mut self, target: Target, written: Moment) {
        let (token, numbered) = (target.token(), target.numbered_token());
        self.remove(&target);
        if self.list.len() >= MAX_RIVALS {
            self.list.remove(0);
        }
        self.list.push(Rival {
            target,
            token,
            numbered,
            written,
        });
    }

    /// Removes a start.
    pub fn remove(&mut self, target: &Target) {
        let is_same = |rival: &Rival| {
            let other = &rival.target;
            other.id == target.id
                && other.start == target.start
                && other.service == target.service
                && other.address == target.address
        };
        self.list.retain(|rival| !is_same(rival));
    }
}

impl TargetTable {
    /// Handles an entry of a known target. Returns false if it does not contradict the known start.
    /// Without `routes`, any service may have a route.
    pub(super) fn dispute(
        &mut self,
        index: TargetIndex,
        target: &Target,
        routes: Option<&Routes>,
        now: Moment,
    ) -> bool {
        let Some(record) = self.get(index) else {
            return false;
        };
        if !record.is_contradicted_by(target) {
            return false;
        }
        let is_routed = |service| routes.is_none_or(|routes| routes.has_service(service));
        let is_later_used = match (
            is_routed(&record.target.service),
            is_routed(&target.service),
        ) {
            (true, true) | (false, false) => !record.is_established(now),
            (true, false) => false,
            (false, true) => !record.has_responded(),
        };
        if is_later_used {
            let known = record.target.clone();
            self.replace(index, target.clone(), now);
            self.rivals.insert(known, now);
            return true;
        }
        let since = match record.status {
            EntryStatus::Disputed { since } => since,
            _ => now,
        };
        self.set_status(index, EntryStatus::Disputed { since });
        self.rivals.insert(target.clone(), now);
        true
    }

    /// Puts rivals into force whose known start has had the time to write again, and forgets the
    /// others after a while. `synced` is the time up to which targets were able to write and this VM
    /// has read what they wrote. Returns the starts that are in force now.
    pub(crate) fn settle_disputes(
        &mut self,
        routes: &Routes,
        synced: Option<Moment>,
        now: Moment,
    ) -> Vec<Target> {
        let mut settled = Vec::new();
        let mut open = Vec::new();
        for (index, rival) in self.disputed() {
            let Some(record) = self.get(index) else {
                continue;
            };
            if routes.has_service(&rival.service) {
                if record.is_silent(synced, now) {
                    self.replace(index, rival.clone(), now);
                    settled.push(rival);
                    continue;
                }
                if !routes.has_service(&record.target.service) && !record.has_responded() {
                    let known = record.target.clone();
                    self.replace(index, rival.clone(), now);
                    self.rivals.insert(known, now);
                    settled.push(rival);
                    continue;
                }
            }
            open.push(rival);
        }
        let is_kept =
            |rival: &Rival| now.since(rival.written) < DISPUTE_TIME || open.contains(&rival.target);
        self.rivals.list.retain(is_kept);
        settled
    }

    /// The targets whose entry is disputed, each with the start that the entry describes.
    fn disputed(&self) -> Vec<(TargetIndex, Target)> {
        let mut list: Vec<(TargetIndex, Target)> = Vec::new();
        for rival in self.rivals.list.iter().rev() {
            let Some(index) = self.find(&rival.target.id) else {
                continue;
            };
            let status = self.get(index).map(|record| record.status);
            let is_listed = list.iter().any(|(listed, _)| *listed == index);
            if !is_listed && matches!(status, Some(EntryStatus::Disputed { .. })) {
                list.push((index, rival.target.clone()));
            }
        }
        list
    }

    /// The rival with a token; of several, the one written last.
    pub(crate) fn rival(
        &self,
        token: Token,
        is_match: impl Fn(&ServiceName) -> bool,
    ) -> Option<&Target> {
        let rivals = self.rivals.list.iter().rev();
        let mut rivals = rivals.filter(|rival| rival.token == token || rival.numbered == token);
        let rival = rivals.find(|rival| is_match(&rival.target.service))?;
        Some(&rival.target)
    }

    fn replace(&mut self, index: TargetIndex, target: Target, now: Moment) {
        self.end(index, EndCause::Replaced, now);
        self.start(target, now);
    }
}
