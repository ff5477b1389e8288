//! Documents kept from earlier eras of the store.
//!
//! When the store returns from an older copy, some of its documents are older than what this
//! replica had. Such a document is not put in force: a configuration never returns to an earlier
//! version, and a target that was leaving, or whose entry was removed, takes no new flows. The
//! knowledge is kept until the writer has written the document anew, and is passed to peers, which
//! may have started from the copy. A document that counts by its presence, and that the copy lacks,
//! stays in force until it is written or removed again.

use std::hash::Hasher;
use std::sync::Arc;

use bambooseam_types::Revision;
use xxhash_rust::xxh3::Xxh3;

use crate::content::{ContentAge, is_outdated, is_renewed};
use crate::{Change, Content, KeptDocument, Key};

/// What a replica knew about a document before the store returned.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Known<'a> {
    /// The document, with its content.
    Present(&'a [u8]),
    /// The document was removed; the content was the last before that, if known.
    Removed(Option<&'a [u8]>),
}

/// Documents kept from earlier eras.
#[derive(Debug, Default)]
pub(crate) struct KeptDocuments {
    /// Sorted by key.
    list: Vec<KeptDocument>,
    /// Whether documents without newer content are no longer kept in this era.
    is_released: bool,
}

impl From<Vec<KeptDocument>> for KeptDocuments {
    fn from(mut list: Vec<KeptDocument>) -> Self {
        list.sort_by(|a, b| a.key.cmp(&b.key));
        Self {
            list,
            is_released: false,
        }
    }
}

impl KeptDocuments {
    pub fn list(&self) -> &[KeptDocument] {
        &self.list
    }

    pub fn get(&self, key: &str) -> Option<&KeptDocument> {
        Some(&self.list[self.find(key).ok()?])
    }

    /// Digest of the kept knowledge; 0 if there is none. The revisions differ between replicas
    /// that know the same and are left out.
    pub fn digest(&self) -> u64 {
        if self.list.is_empty() {
            return 0;
        }
        let mut hasher = Xxh3::new();
        for kept in &self.list {
            hasher.write(kept.key.as_bytes());
            hasher.write(kept.content.as_deref().unwrap_or_default());
            hasher.write_u8(u8::from(kept.content.is_some()));
        }
        hasher.finish()
    }

    pub fn insert(&mut self, kept: KeptDocument) {
        match self.find(&kept.key) {
            Ok(at) => self.list[at] = kept,
            Err(at) => self.list.insert(at, kept),
        }
    }

    /// Whether a change of the store must not be put in force. Knowledge that the change replaces
    /// is dropped.
    pub fn holds_back(&mut self, change: &Change, content: &impl Content) -> bool {
        let Ok(at) = self.find(&change.key) else {
            return false;
        };
        let kept = &mut self.list[at];
        let known = age_of(content, &change.key, kept.content.as_ref());
        if change.revision <= kept.upto {
            return kept.content.is_some();
        }
        let offered = age_of(content, &change.key, change.value.as_ref());
        if let Some(ContentAge::Version(_)) = known
            && (change.value.is_none() || is_outdated(offered, known))
        {
            kept.upto = change.revision;
            return true;
        }
        self.list.remove(at);
        false
    }

    /// Whether knowledge from a peer adds to what is kept. `document` is the store's document, and
    /// `removed_at` the revision of its removal in this era, if known.
    pub fn accepts(
        &self,
        offered: &KeptDocument,
        document: Option<&Change>,
        removed_at: Option<Revision>,
        content: &impl Content,
    ) -> bool {
        let key = &offered.key;
        let offered_age = age_of(content, key, offered.content.as_ref());
        let is_config = matches!(offered_age, Some(ContentAge::Version(_)));
        let is_presence = matches!(offered_age, Some(ContentAge::Presence));
        if self.is_released && (offered.content.is_none() || is_presence) {
            return false;
        }
        match document {
            None if is_presence && removed_at > Some(offered.upto) => return false,
            None if is_presence => {}
            // The store's own document is in force.
            Some(_) if is_presence => return false,
            None if !is_config => return false,
            Some(document) if is_config => {
                let age = age_of(content, key, document.value.as_ref());
                if !is_outdated(age, offered_age) {
                    return false;
                }
            }
            Some(document) if document.revision > offered.upto => return false,
            _ => {}
        }
        let Some(kept) = self.get(key) else {
            return true;
        };
        match (&kept.content, &offered.content) {
            (Some(known), Some(_)) => {
                is_outdated(content.age(key, known), offered_age) && kept.content != offered.content
            }
            (None, Some(_)) => true,
            (_, None) => false,
        }
    }

    /// Whether there is knowledge that [`release`](Self::release) drops.
    pub fn has_releasable(&self, content: &impl Content) -> bool {
        self.list.iter().any(|kept| is_releasable(kept, content))
    }

    /// Drops the knowledge about removed documents that were not written anew, and documents that
    /// count by their presence. Returns their keys.
    pub fn release(&mut self, content: &impl Content) -> Vec<Key> {
        self.is_released = true;
        let released = self
            .list
            .extract_if(.., |kept| is_releasable(kept, content));
        released.map(|kept| kept.key).collect()
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.list
            .binary_search_by(|kept| kept.key.as_ref().cmp(key))
    }
}

/// Knowledge to keep about a document when the store returns from an older copy. `offered` is the
/// document of the copy, and `upto` the revision of the copy.
pub(crate) fn keep(
    key: &Key,
    known: Known<'_>,
    offered: Option<&Change>,
    upto: Revision,
    content: &impl Content,
) -> Option<KeptDocument> {
    let age = |value: &[u8]| content.age(key, value);
    let offered_age = offered.and_then(|change| age_of(content, key, change.value.as_ref()));
    let newer = match known {
        Known::Present(value) => {
            let known_age = age(value);
            let is_config = matches!(known_age, Some(ContentAge::Version(_)));
            let is_presence = matches!(known_age, Some(ContentAge::Presence));
            let is_kept = match offered {
                Some(_) => is_outdated(offered_age, known_age),
                None => is_config || is_presence,
            };
            is_kept.then(|| Some(value.into()))
        }
        Known::Removed(last) => {
            let last_age = last.and_then(age);
            let is_kept = offered.is_some() && !is_renewed(offered_age, last_age);
            let is_leaving = matches!(
                last_age,
                Some(ContentAge::Entry {
                    is_leaving: true,
                    ..
                })
            );
            is_kept.then(|| last.filter(|_| is_leaving).map(Arc::from))
        }
    };
    newer.map(|content| KeptDocument {
        key: Arc::clone(key),
        upto: offered.map_or(upto, |change| change.revision),
        content,
    })
}

fn is_releasable(kept: &KeptDocument, content: &impl Content) -> bool {
    let age = || age_of(content, &kept.key, kept.content.as_ref());
    kept.content.is_none() || matches!(age(), Some(ContentAge::Presence))
}

fn age_of(content: &impl Content, key: &str, value: Option<&Arc<[u8]>>) -> Option<ContentAge> {
    value.and_then(|value| content.age(key, value))
}
