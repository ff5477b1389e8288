//! Changes between two revisions of the published documents.

use std::sync::Arc;

use bambooseam_types::{Era, Revision};

/// Key of a published document in the store.
pub type Key = Arc<str>;

/// The write or the removal of one document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key of the document.
    pub key: Key,
    /// Revision of the store at which the document was written or removed.
    pub revision: Revision,
    /// Content of the document; `None` if the document was removed.
    pub value: Option<Arc<[u8]>>,
}

/// All changes in a span of revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Era of the revisions; `None` if the source does not know eras.
    pub era: Option<Era>,
    /// Revision after which the span begins; `None` if the list is a full snapshot with every
    /// document.
    pub after: Option<Revision>,
    /// Last revision of the span. Single changes may be newer, because the pages that the store
    /// returns are not one consistent snapshot.
    pub upto: Revision,
    /// Changes of the span.
    pub list: Vec<Change>,
    /// Documents that the source has kept from earlier eras.
    pub kept: Vec<KeptDocument>,
    /// Part of the span in which changes may be missing.
    pub gap: Option<Gap>,
}

/// Span of revisions, without its ends, that a replica skipped by reading a full snapshot.
///
/// The replica knows which of its documents were removed in the span, but it never saw a document
/// that was both written and removed there. Another replica may have it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// Revision up to which the replica was complete before.
    pub after: Revision,
    /// Revision of the snapshot.
    pub before: Revision,
}

/// Knowledge from earlier eras that is newer than the document in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptDocument {
    /// Key of the document.
    pub key: Key,
    /// Largest revision of the document in this era that is older than this knowledge.
    pub upto: Revision,
    /// Newer content; `None` if the document was removed, and its writer has not written it anew.
    pub content: Option<Arc<[u8]>>,
}

/// What a replica holds, as sent to a peer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    /// Era of the revision; `None` if the requester does not know eras.
    pub era: Option<Era>,
    /// Revision up to which the replica is complete; `None` before the first full snapshot.
    pub upto: Option<Revision>,
    /// Digest of the documents kept from earlier eras; 0 if there are none.
    pub kept_digest: u64,
    /// Whether the replica takes over the gaps of changes.
    pub knows_gaps: bool,
}

impl Gap {
    /// Whether a revision lies in the span.
    pub fn contains(&self, revision: Revision) -> bool {
        self.after < revision && revision < self.before
    }
}

impl Changes {
    /// Total size of all keys and documents in bytes.
    pub fn size(&self) -> usize {
        let value = |value: &Option<Arc<[u8]>>| value.as_ref().map_or(0, |value| value.len());
        let changes = self.list.iter().map(|c| c.key.len() + value(&c.value));
        let kept = self.kept.iter().map(|k| k.key.len() + value(&k.content));
        changes.chain(kept).sum()
    }
}
