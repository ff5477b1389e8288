//! Replica of the published documents, ordered by the era and the revision of the store.
//!
//! Within one era the store numbers every change with one counter, so changes from different
//! sources are ordered by their revision alone. When the store returns from an older copy, a new
//! era begins with a full snapshot, and the content of a document decides whether it is older than
//! what was known. A [`Replica`] never becomes older: it applies [`Changes`] from the store or from
//! peers, and returns the changes that a peer lacks.

mod changes;
mod content;
mod kept;
mod replica;

pub use changes::{Change, Changes, Gap, Held, KeptDocument, Key};
pub use content::{Content, ContentAge};
pub use replica::{ApplyOutcome, Replica};
