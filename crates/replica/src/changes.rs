//! What a copy lacks.

use std::sync::Arc;

use bambooseam_types::Revision;

/// Key of a published document.
pub type Key = Arc<str>;

/// A document as it was written, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key of the document.
    pub key: Key,
    /// Revision of the store at which it was written or removed.
    pub revision: Revision,
    /// The document; `None` when it was removed.
    pub value: Option<Arc<[u8]>>,
}

/// All changes in a span of revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Where the span begins; `None` when the list holds every document there is.
    pub after: Option<Revision>,
    /// Where it ends. Single changes may be newer: a store's pages are no snapshot.
    pub upto: Revision,
    /// The changes.
    pub list: Vec<Change>,
}

impl Changes {
    /// Bytes of all keys and documents.
    pub fn size(&self) -> usize {
        let value = |change: &Change| change.value.as_ref().map_or(0, |value| value.len());
        let sizes = self.list.iter();
        sizes.map(|change| change.key.len() + value(change)).sum()
    }
}
