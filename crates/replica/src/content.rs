//! The age of documents by their own content.
//!
//! After the store has returned from an older copy, revisions are given out again, and only the
//! content tells which of two documents is newer: a configuration has a version, and a target's
//! entry has the start of the target and a sequence number. An evacuation has no age: the document
//! counts while it exists.

use bambooseam_types::Incarnation;

/// Age of a document by its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentAge {
    /// Version of a configuration.
    Version(u64),
    /// State of a target's entry.
    Entry {
        /// Start of the target.
        start: Incarnation,
        /// Number of times that the target has written since its start.
        sequence: u64,
        /// Whether the target has announced that it is leaving.
        is_leaving: bool,
    },
    /// A document that counts by its presence alone, whatever its content. Nothing tells which of
    /// two is newer, so a document that a copy contains is accepted, and one that a copy lacks is
    /// kept for a limited time.
    Presence,
}

/// Reads documents as far as a replica needs to.
pub trait Content {
    /// Size in bytes of the largest document under `key` that can be used. The replica keeps larger
    /// ones without their content.
    fn max_bytes(&self, _key: &str) -> usize {
        usize::MAX
    }

    /// Age of the document under `key`; `None` if the document cannot be read.
    fn age(&self, key: &str, value: &[u8]) -> Option<ContentAge>;
}

/// Whether the offered content of a document is older than the known content, so that applying it
/// would undo a change.
pub(crate) fn is_outdated(offered: Option<ContentAge>, known: Option<ContentAge>) -> bool {
    use ContentAge::{Entry, Version};
    match (offered, known) {
        (Some(Version(offered)), Some(Version(known))) => offered < known,
        (None, Some(Version(_))) => true,
        (
            Some(Entry {
                start,
                sequence,
                is_leaving,
            }),
            Some(Entry {
                start: known_start,
                sequence: known_sequence,
                is_leaving: was_leaving,
            }),
        ) => {
            let is_undone = was_leaving && !is_leaving && sequence <= known_sequence;
            start < known_start || (start == known_start && is_undone)
        }
        _ => false,
    }
}

/// Whether a document was written anew after the removal of content with the age `last`.
pub(crate) fn is_renewed(offered: Option<ContentAge>, last: Option<ContentAge>) -> bool {
    use ContentAge::Entry;
    match (offered, last) {
        (
            Some(Entry {
                start, sequence, ..
            }),
            Some(Entry {
                start: last_start,
                sequence: last_sequence,
                ..
            }),
        ) => (start, sequence) > (last_start, last_sequence),
        // Content that is not known, or cannot be read, proves nothing about its writer.
        _ => true,
    }
}
