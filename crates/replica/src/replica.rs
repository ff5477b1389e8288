//! The replica itself: applies changes and returns the changes since a revision.

use std::collections::VecDeque;

use bambooseam_types::Revision;

use crate::{Change, Changes, Key};

/// Largest number of removals kept for peers that lag behind. At the intended fleet size, 420 VMs
/// and as many targets join and leave per day, so a thousand removals cover hours; a peer that lags
/// further behind receives a full snapshot.
const MAX_REMOVALS: usize = 1_024;

/// Replica of the published documents; never becomes older.
#[derive(Debug, Default)]
pub struct Replica {
    /// Documents, sorted by key.
    documents: Vec<Change>,
    /// Removals, sorted by revision, oldest first.
    removed: VecDeque<Change>,
    /// Revision up to which removals may be missing from `removed`.
    compacted_upto: Revision,
    upto: Option<Revision>,
}

/// Result of applying changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The changes that were newer than the replica; the list may be empty.
    Newer(Vec<Change>),
    /// Changes before the offered span are missing: a full snapshot is needed.
    Gap,
}

impl Replica {
    /// Creates an empty replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision up to which the replica is complete; `None` before the first full snapshot.
    pub fn upto(&self) -> Option<Revision> {
        self.upto
    }

    /// The document under `key`.
    pub fn get(&self, key: &str) -> Option<&Change> {
        let at = self.find(key).ok()?;
        Some(&self.documents[at])
    }

    /// All documents, sorted by key.
    pub fn iter(&self) -> std::slice::Iter<'_, Change> {
        self.documents.iter()
    }

    /// Applies the changes that are newer than the replica. Returns the last change of each key.
    pub fn apply(&mut self, changes: Changes) -> ApplyOutcome {
        let mut missing = Vec::new();
        match changes.after {
            Some(after) if self.upto.is_none_or(|upto| after > upto) => return ApplyOutcome::Gap,
            Some(_) => {}
            None => {
                missing = self.missing(&changes);
                // A snapshot does not list the documents that were removed before it was taken.
                if self.upto.is_none_or(|upto| upto < changes.upto) {
                    self.compacted_upto = self.compacted_upto.max(changes.upto);
                }
            }
        }
        let mut newer = Vec::new();
        for change in changes.list.into_iter().chain(missing) {
            if self.is_applied(&change) {
                continue;
            }
            self.apply_change(change.clone());
            newer.push(change);
        }
        // One list may remove a document and write it again; only the last state is returned.
        newer.retain(|change| self.is_latest(change));
        self.upto = self.upto.max(Some(changes.upto));
        ApplyOutcome::Newer(newer)
    }

    /// Changes that a replica complete up to `after` lacks; `None` before the first full snapshot.
    /// If removals since `after` are not kept any more, the changes are a full snapshot.
    pub fn changes_since(&self, after: Option<Revision>) -> Option<Changes> {
        let upto = self.upto?;
        let after = after.filter(|after| *after >= self.compacted_upto);
        let is_newer = |change: &&Change| after.is_none_or(|after| change.revision > after);
        let removed = match after {
            Some(_) => self.removed.iter(),
            None => Default::default(),
        };
        let list = self
            .documents
            .iter()
            .chain(removed)
            .filter(is_newer)
            .cloned();
        Some(Changes {
            after,
            upto,
            list: list.collect(),
        })
    }

    /// Removals of the documents that are in the replica but not in a newer full snapshot.
    fn missing(&self, snapshot: &Changes) -> Vec<Change> {
        if self.upto.is_some_and(|upto| upto > snapshot.upto) {
            return Vec::new();
        }
        let mut keys: Vec<&Key> = snapshot.list.iter().map(|change| &change.key).collect();
        keys.sort_unstable();
        let mut missing = Vec::new();
        for document in &self.documents {
            if document.revision > snapshot.upto || keys.binary_search(&&document.key).is_ok() {
                continue;
            }
            missing.push(Change {
                key: document.key.clone(),
                revision: snapshot.upto,
                value: None,
            });
        }
        missing
    }

    /// Whether a change, or a newer change of the same key, was already applied.
    fn is_applied(&self, change: &Change) -> bool {
        if let Some(document) = self.get(&change.key) {
            return document.revision >= change.revision;
        }
        let mut removed = self.removed.iter().rev();
        match removed.find(|removed| removed.key == change.key) {
            Some(removed) => removed.revision >= change.revision,
            // A write up to `upto` of a document that the replica does not have is outdated: a
            // newer snapshot lacked the document, so it was removed since. The removal of a
            // document that was never in this replica is still applied, for peers that have the
            // document.
            None => change.value.is_some() && self.upto >= Some(change.revision),
        }
    }

    /// Whether no newer change of the same key was applied.
    fn is_latest(&self, change: &Change) -> bool {
        match (&change.value, self.get(&change.key)) {
            (Some(_), Some(document)) => document.revision == change.revision,
            (None, None) => true,
            _ => false,
        }
    }

    fn apply_change(&mut self, change: Change) {
        let found = self.find(&change.key);
        if change.value.is_some() {
            self.removed.retain(|removed| removed.key != change.key);
            match found {
                Ok(at) => self.documents[at] = change,
                Err(at) => self.documents.insert(at, change),
            }
            return;
        }
        if let Ok(at) = found {
            self.documents.remove(at);
        }
        self.removed.retain(|removed| removed.key != change.key);
        let revision = change.revision;
        let at = self.removed.partition_point(|r| r.revision <= revision);
        self.removed.insert(at, change);
        if self.removed.len() > MAX_REMOVALS
            && let Some(oldest) = self.removed.pop_front()
        {
            self.compacted_upto = self.compacted_upto.max(oldest.revision);
        }
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.documents
            .binary_search_by(|document| document.key.as_ref().cmp(key))
    }
}
