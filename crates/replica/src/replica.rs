//! The copy itself.

use std::collections::VecDeque;

use bambooseam_types::Revision;

use crate::{Change, Changes, Key};

/// Removals kept for peers that are behind. At the target size 420 VMs and as many targets come
/// and go a day; a thousand removals cover hours, and a whole copy serves whoever is further behind.
const REMOVED_LIMIT: usize = 1_024;

/// A copy of the published documents that only gets newer.
#[derive(Debug, Default)]
pub struct Replica {
    /// Documents by key.
    held: Vec<Change>,
    /// Removals by revision, the oldest first.
    removed: VecDeque<Change>,
    /// Revision up to which removals may be unknown.
    forgotten: Revision,
    upto: Option<Revision>,
}

/// What became of offered changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// These were newer than what was held; the list may be empty.
    Newer(Vec<Change>),
    /// Changes before the offered span are not held: a whole copy is needed.
    Gap,
}

impl Replica {
    /// Creates an empty copy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision up to which every change is held; `None` before the first whole copy.
    pub fn upto(&self) -> Option<Revision> {
        self.upto
    }

    /// The document under `key`.
    pub fn get(&self, key: &str) -> Option<&Change> {
        let at = self.find(key).ok()?;
        Some(&self.held[at])
    }

    /// All documents by key.
    pub fn iter(&self) -> std::slice::Iter<'_, Change> {
        self.held.iter()
    }

    /// Takes what is newer than what is held; gives the last change of each key.
    pub fn apply(&mut self, changes: Changes) -> ApplyOutcome {
        let mut missing = Vec::new();
        match changes.after {
            Some(after) if self.upto.is_none_or(|upto| after > upto) => return ApplyOutcome::Gap,
            Some(_) => {}
            None => {
                missing = self.missing(&changes);
                // What came and went before a whole copy is not in it.
                if self.upto.is_none_or(|upto| upto < changes.upto) {
                    self.forgotten = self.forgotten.max(changes.upto);
                }
            }
        }
        let mut newer = Vec::new();
        for change in changes.list.into_iter().chain(missing) {
            if self.is_held(&change) {
                continue;
            }
            self.apply_change(change.clone());
            newer.push(change);
        }
        // A document may go and come back within one list; what it is in the end counts.
        newer.retain(|change| self.is_latest(change));
        self.upto = self.upto.max(Some(changes.upto));
        ApplyOutcome::Newer(newer)
    }

    /// What a copy that holds every change up to `after` lacks; `None` before the first whole copy.
    pub fn changes_since(&self, after: Option<Revision>) -> Option<Changes> {
        let upto = self.upto?;
        let after = after.filter(|after| *after >= self.forgotten);
        let is_newer = |change: &&Change| after.is_none_or(|after| change.revision > after);
        let removed = match after {
            Some(_) => self.removed.iter(),
            None => Default::default(),
        };
        let list = self.held.iter().chain(removed).filter(is_newer).cloned();
        Some(Changes {
            after,
            upto,
            list: list.collect(),
        })
    }

    /// Removals of what is held and not in a whole copy that is newer.
    fn missing(&self, whole: &Changes) -> Vec<Change> {
        if self.upto.is_some_and(|upto| upto > whole.upto) {
            return Vec::new();
        }
        let mut keys: Vec<&Key> = whole.list.iter().map(|change| &change.key).collect();
        keys.sort_unstable();
        let mut missing = Vec::new();
        for held in &self.held {
            if held.revision > whole.upto || keys.binary_search(&&held.key).is_ok() {
                continue;
            }
            missing.push(Change {
                key: held.key.clone(),
                revision: whole.upto,
                value: None,
            });
        }
        missing
    }

    /// Whether a change, or a newer one of its key, is held already.
    fn is_held(&self, change: &Change) -> bool {
        if let Some(held) = self.get(&change.key) {
            return held.revision >= change.revision;
        }
        let mut removed = self.removed.iter().rev();
        match removed.find(|removed| removed.key == change.key) {
            Some(removed) => removed.revision >= change.revision,
            // What was written by then and is not here was removed since, as a newer whole copy
            // lacked it. A removal of what was never held is still news to peers that hold it.
            None => change.value.is_some() && self.upto >= Some(change.revision),
        }
    }

    /// Whether nothing newer of a change's key was taken.
    fn is_latest(&self, change: &Change) -> bool {
        match (&change.value, self.get(&change.key)) {
            (Some(_), Some(held)) => held.revision == change.revision,
            (None, None) => true,
            _ => false,
        }
    }

    fn apply_change(&mut self, change: Change) {
        let place = self.find(&change.key);
        if change.value.is_some() {
            self.removed.retain(|removed| removed.key != change.key);
            match place {
                Ok(at) => self.held[at] = change,
                Err(at) => self.held.insert(at, change),
            }
            return;
        }
        if let Ok(at) = place {
            self.held.remove(at);
        }
        self.removed.retain(|removed| removed.key != change.key);
        let revision = change.revision;
        let at = self.removed.partition_point(|r| r.revision <= revision);
        self.removed.insert(at, change);
        if self.removed.len() > REMOVED_LIMIT
            && let Some(oldest) = self.removed.pop_front()
        {
            self.forgotten = self.forgotten.max(oldest.revision);
        }
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.held
            .binary_search_by(|held| held.key.as_ref().cmp(key))
    }
}
