//! The replica itself: applies changes and returns the changes since a revision.

use std::collections::VecDeque;
use std::sync::Arc;

use bambooseam_types::{Era, Revision};

use crate::kept::{KeptDocuments, Known, keep};
use crate::{Change, Changes, Content, Gap, Held, Key};

/// Largest number of removals kept for peers that lag behind. At the intended fleet size, 420 VMs
/// and as many targets join and leave per day, so a thousand removals cover hours; a peer that lags
/// further behind receives a full snapshot.
const MAX_REMOVALS: usize = 1_024;

/// Replica of the published documents; never becomes older.
#[derive(Debug)]
pub struct Replica<C> {
    /// Reads the age of documents.
    content: C,
    /// Era of the store that the revisions belong to.
    era: Era,
    /// Documents, sorted by key.
    documents: Vec<Change>,
    /// Removals, sorted by era and revision, oldest first.
    removed: VecDeque<Removal>,
    /// Revision up to which removals may be missing from `removed`.
    compacted_upto: Revision,
    /// The last span that the replica skipped.
    gap: Option<Gap>,
    /// Whether the replica holds exactly the documents of its revision. Those that were removed while
    /// a full snapshot was read may be missing.
    is_exact: bool,
    upto: Option<Revision>,
    /// Documents known from earlier eras that are newer than those in `documents`.
    kept: KeptDocuments,
}

/// Removal of a document.
#[derive(Debug)]
struct Removal {
    era: Era,
    change: Change,
    /// Content before the removal, if known.
    last: Option<Arc<[u8]>>,
}

/// Result of applying changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The changes that were newer than the replica; the list may be empty.
    Newer(Vec<Change>),
    /// Changes before the offered span are missing: a full snapshot is needed.
    Gap,
    /// The changes belong to an earlier era.
    Outdated,
}

impl<C: Content> Replica<C> {
    /// Creates an empty replica; `content` reads the age of documents.
    pub fn new(content: C) -> Self {
        Self {
            content,
            era: Era::default(),
            documents: Vec::new(),
            removed: VecDeque::new(),
            compacted_upto: Revision::default(),
            gap: None,
            is_exact: false,
            upto: None,
            kept: KeptDocuments::default(),
        }
    }

    /// Revision up to which the replica is complete; `None` before the first full snapshot.
    pub fn upto(&self) -> Option<Revision> {
        self.upto
    }

    /// Era of the store that the replica belongs to.
    pub fn era(&self) -> Era {
        self.era
    }

    /// What the replica holds, for a request to a peer.
    pub fn held(&self) -> Held {
        Held {
            era: Some(self.era),
            upto: self.upto,
            kept_digest: self.kept.digest(),
            knows_gaps: true,
        }
    }

    /// The document under `key`, as in the store.
    pub fn get(&self, key: &str) -> Option<&Change> {
        let at = self.find(key).ok()?;
        Some(&self.documents[at])
    }

    /// Content in force under `key`: that of the store, or newer content from an earlier era.
    pub fn content(&self, key: &str) -> Option<&Arc<[u8]>> {
        let kept = self.kept.get(key).and_then(|kept| kept.content.as_ref());
        kept.or_else(|| self.get(key)?.value.as_ref())
    }

    /// All documents as in the store, sorted by key.
    pub fn iter(&self) -> std::slice::Iter<'_, Change> {
        self.documents.iter()
    }

    /// Number of documents that are kept from earlier eras.
    pub fn kept_count(&self) -> usize {
        self.kept.list().len()
    }

    /// Whether the document under `key` was removed in an earlier era, and its writer has not
    /// written it anew.
    pub fn is_unrenewed(&self, key: &str) -> bool {
        self.kept
            .get(key)
            .is_some_and(|kept| kept.content.is_none())
    }

    /// Whether documents are kept that [`release_unrenewed`](Self::release_unrenewed) accepts or
    /// drops.
    pub fn has_unrenewed(&self) -> bool {
        self.kept.has_releasable(&self.content)
    }

    /// Accepts the documents that were not written anew since the era began, and drops those that
    /// count by their presence and that the store lacks. Returns their keys.
    pub fn release_unrenewed(&mut self) -> Vec<Key> {
        self.kept.release(&self.content)
    }

    /// Whether a peer lacks changes that this replica holds.
    pub fn is_ahead_of(&self, held: &Held) -> bool {
        let era = held.era.unwrap_or(self.era);
        self.upto.is_some() && (held.upto.is_none() || (self.era, self.upto) > (era, held.upto))
    }

    /// Whether changes come from a source that holds at least as much as this replica.
    pub fn is_covered_by(&self, changes: &Changes) -> bool {
        let era = changes.era.unwrap_or(self.era);
        (era, Some(changes.upto)) >= (self.era, self.upto)
    }

    /// Applies the changes that are newer than the replica. Returns the last change of each key.
    pub fn apply(&mut self, changes: Changes) -> ApplyOutcome {
        if self.upto.is_none() {
            self.era = changes.era.unwrap_or_default();
        }
        let era = changes.era.unwrap_or(self.era);
        if era < self.era {
            return ApplyOutcome::Outdated;
        }
        let (mut newer, mut missing) = (Vec::new(), Vec::new());
        match changes.after {
            Some(_) if era > self.era => return ApplyOutcome::Gap,
            Some(after) if self.upto.is_none_or(|upto| after > upto) => return ApplyOutcome::Gap,
            Some(_) => {
                missing = self.missing(&changes);
                self.adopt_gap(changes.gap);
                if self.upto < Some(changes.upto) {
                    self.is_exact = changes.gap.is_none_or(|gap| gap.before < changes.upto);
                }
            }
            None if era > self.era => newer = self.begin_era(era, &changes),
            None => {
                missing = self.missing(&changes);
                self.skip_to(changes.upto);
            }
        }
        for mut change in changes.list.into_iter().chain(missing) {
            self.shed_content(&mut change);
            if self.is_applied(&change) {
                continue;
            }
            self.apply_change(change.clone());
            if !self.kept.holds_back(&change, &self.content) {
                newer.push(change);
            }
        }
        // One list may remove a document and write it again; only the last state is returned.
        newer.retain(|change| self.is_latest(change));
        self.upto = self.upto.max(Some(changes.upto));
        for kept in changes.kept {
            let document = self.get(&kept.key).cloned();
            let removed_at = self.removal(&kept.key).map(|change| change.revision);
            let is_accepted =
                self.kept
                    .accepts(&kept, document.as_ref(), removed_at, &self.content);
            if !is_accepted {
                continue;
            }
            newer.retain(|change| change.key != kept.key);
            newer.extend(match &kept.content {
                Some(content) => Some(Change {
                    key: Arc::clone(&kept.key),
                    revision: kept.upto,
                    value: Some(Arc::clone(content)),
                }),
                None => document,
            });
            self.kept.insert(kept);
        }
        ApplyOutcome::Newer(newer)
    }

    /// Records that the store itself confirmed the replica, by a watch that was applied and ended at
    /// `upto`. A watch that ended before a snapshot from a peer confirms nothing of the snapshot.
    pub fn confirm_exact(&mut self, upto: Revision) {
        self.is_exact |= self.upto == Some(upto);
    }

    /// Changes that a peer lacks; `None` before the first full snapshot. If the peer belongs to an
    /// earlier era, or if removals since its revision are not known or not kept any more, the
    /// changes are a full snapshot.
    pub fn changes_since(&self, held: &Held) -> Option<Changes> {
        let upto = self.upto?;
        let is_same_era = held.era.is_none_or(|era| era >= self.era);
        let after = held.upto.filter(|_| is_same_era);
        let after = after.filter(|after| *after >= self.compacted_upto);
        let after = after.filter(|after| !self.gap.is_some_and(|gap| gap.contains(*after)));
        let gap = self
            .gap
            .filter(|gap| after.is_some_and(|after| after < gap.before));
        let after = after.filter(|_| gap.is_none() || held.knows_gaps);
        let is_newer = |change: &&Change| after.is_none_or(|after| change.revision > after);
        let documents = self.documents.iter().filter(is_newer);
        // A removal that a full snapshot showed has the revision of the snapshot, and may have
        // happened shortly after it. A peer of that very revision still has the document.
        let is_unknown = |removal: &&Removal| {
            let revision = removal.change.revision;
            removal.era == self.era && after.is_some_and(|after| revision >= after)
        };
        let removed = self.removed.iter().filter(is_unknown);
        let removed = removed.map(|removal| &removal.change);
        let list = documents.chain(removed).cloned();
        let kept = match held.kept_digest == self.kept.digest() {
            true => Vec::new(),
            false => self.kept.list().to_vec(),
        };
        Some(Changes {
            era: Some(self.era),
            after,
            upto,
            list: list.collect(),
            kept,
            gap: gap.filter(|_| after.is_some()),
        })
    }

    /// Begins a later era with a full snapshot of the store. Keeps what is known better, forgets
    /// the documents of the earlier era, and returns the removals of those that the snapshot lacks.
    fn begin_era(&mut self, era: Era, snapshot: &Changes) -> Vec<Change> {
        let mut offered: Vec<&Change> = snapshot.list.iter().collect();
        offered.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        let find = |key: &Key| {
            let at = offered
                .binary_search_by(|change| change.key.cmp(key))
                .ok()?;
            Some(offered[at])
        };
        let documents = std::mem::take(&mut self.documents);
        let previous = std::mem::take(&mut self.kept);
        let mut kept = Vec::new();
        let mut removals = Vec::new();
        for document in &documents {
            let key = &document.key;
            let value = document.value.as_deref().unwrap_or_default();
            let known = match previous.get(key).map(|kept| &kept.content) {
                Some(Some(content)) => Known::Present(content),
                Some(None) => Known::Removed(Some(value)),
                None => Known::Present(value),
            };
            let offered = find(key);
            let keep = keep(key, known, offered, snapshot.upto, &self.content);
            if keep.is_none() && offered.is_none() {
                removals.push(Removal {
                    era,
                    change: Change {
                        key: Arc::clone(key),
                        revision: snapshot.upto,
                        value: None,
                    },
                    last: document.value.clone(),
                });
            }
            kept.extend(keep);
        }
        // Content kept since earlier eras, of which the store had no document.
        let is_known = |key: &Key| documents.binary_search_by(|d| d.key.cmp(key)).is_ok();
        for document in previous.list().iter().filter(|kept| !is_known(&kept.key)) {
            let known = Known::Present(document.content.as_deref().unwrap_or_default());
            let key = &document.key;
            kept.extend(keep(key, known, find(key), snapshot.upto, &self.content));
        }
        for removal in &self.removed {
            let key = &removal.change.key;
            let known = Known::Removed(removal.last.as_deref());
            kept.extend(keep(key, known, find(key), snapshot.upto, &self.content));
        }
        self.kept = kept.into();
        self.era = era;
        self.upto = None;
        self.compacted_upto = snapshot.upto;
        self.gap = None;
        self.is_exact = false;
        let mut changes = Vec::new();
        for removal in removals {
            changes.push(removal.change.clone());
            self.record_removal(removal);
        }
        changes
    }

    /// Records that a full snapshot up to a later revision is applied. It does not list the documents
    /// that were removed before it was taken.
    fn skip_to(&mut self, upto: Revision) {
        if self.upto.is_some_and(|held| held >= upto) {
            return;
        }
        match (self.upto, &mut self.gap) {
            (Some(held), _) if self.is_exact => self.adopt_gap(Some(Gap {
                after: held,
                before: upto,
            })),
            (Some(_), Some(gap)) => gap.before = upto,
            _ => self.compacted_upto = self.compacted_upto.max(upto),
        }
        self.is_exact = false;
    }

    /// Takes over a gap. Only one is kept: peers that held less than the end of an earlier one need
    /// a full snapshot.
    fn adopt_gap(&mut self, gap: Option<Gap>) {
        let Some(gap) = gap.filter(|gap| self.upto < Some(gap.before)) else {
            return;
        };
        if let Some(earlier) = self.gap.replace(gap) {
            self.compacted_upto = self.compacted_upto.max(earlier.before);
        }
    }

    /// Removals of the documents that are in the replica but not in newer changes, although these
    /// cover the revision of the document.
    fn missing(&self, changes: &Changes) -> Vec<Change> {
        if self.upto.is_some_and(|upto| upto > changes.upto) {
            return Vec::new();
        }
        let listed = changes.list.iter();
        let mut listed: Vec<_> = listed.map(|c| (&c.key, c.revision)).collect();
        listed.sort_unstable();
        let is_listed = |document: &Change| {
            let at = listed.partition_point(|entry| *entry < (&document.key, document.revision));
            listed.get(at).is_some_and(|(key, _)| **key == document.key)
        };
        let mut missing = Vec::new();
        for document in &self.documents {
            let is_after = changes.after.is_none_or(|after| document.revision > after);
            let is_covered = is_after && document.revision <= changes.upto;
            if !is_covered || is_listed(document) {
                continue;
            }
            missing.push(Change {
                key: document.key.clone(),
                revision: changes.upto,
                value: None,
            });
        }
        missing
    }

    /// Empties a document that is too large to be used. It still counts as written.
    fn shed_content(&self, change: &mut Change) {
        let size = change.value.as_ref().map_or(0, |value| value.len());
        if size > self.content.max_bytes(&change.key) {
            change.value = Some(Arc::default());
        }
    }

    /// Whether a change, or a newer change of the same key, was already applied.
    fn is_applied(&self, change: &Change) -> bool {
        if let Some(document) = self.get(&change.key) {
            // A removal that a full snapshot showed may have the revision of the last write.
            let is_same = change.value.is_some() && document.revision == change.revision;
            return document.revision > change.revision || is_same;
        }
        match self.removal(&change.key) {
            Some(removal) => removal.revision >= change.revision,
            // A write up to `upto` of a document that the replica does not have is outdated: a
            // newer snapshot lacked the document, so it was removed since. The removal of a
            // document that was never in this replica is still applied, for peers that have the
            // document.
            None => change.value.is_some() && self.upto >= Some(change.revision),
        }
    }

    /// Removal of the document under `key` in this era, if it is still known.
    fn removal(&self, key: &str) -> Option<&Change> {
        let mut removed = self.removed.iter().rev();
        let is_same =
            |removal: &&Removal| removal.era == self.era && removal.change.key.as_ref() == key;
        removed.find(is_same).map(|removal| &removal.change)
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
            self.removed
                .retain(|removal| removal.change.key != change.key);
            match found {
                Ok(at) => self.documents[at] = change,
                Err(at) => self.documents.insert(at, change),
            }
            return;
        }
        let last = match found {
            Ok(at) => self.documents.remove(at).value,
            Err(_) => None,
        };
        let era = self.era;
        self.record_removal(Removal { era, change, last });
    }

    fn record_removal(&mut self, removal: Removal) {
        let key = &removal.change.key;
        self.removed.retain(|other| other.change.key != *key);
        let order = |removal: &Removal| (removal.era, removal.change.revision);
        let at = self
            .removed
            .partition_point(|other| order(other) <= order(&removal));
        self.removed.insert(at, removal);
        if self.removed.len() > MAX_REMOVALS
            && let Some(oldest) = self.removed.pop_front()
            && oldest.era == self.era
        {
            let next = Revision::from(oldest.change.revision.get() + 1);
            self.compacted_upto = self.compacted_upto.max(next);
        }
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.documents
            .binary_search_by(|document| document.key.as_ref().cmp(key))
    }
}
