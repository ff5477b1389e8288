//! Changes between two revisions of the published documents.

use std::sync::Arc;

use bambooseam_types::Revision;

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
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Revision after which the span begins; `None` if the list is a full snapshot with every
    /// document.
    pub after: Option<Revision>,
    /// Last revision of the span. Single changes may be newer, because the pages that the store
    /// returns are not one consistent snapshot.
    pub upto: Revision,
    /// Changes of the span.
    pub list: Vec<Change>,
}

impl Changes {
    /// Total size of all keys and documents in bytes.
    pub fn size(&self) -> usize {
        let value = |change: &Change| change.value.as_ref().map_or(0, |value| value.len());
        let sizes = self.list.iter();
        sizes.map(|change| change.key.len() + value(change)).sum()
    }
}
