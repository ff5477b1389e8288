//! Replica of the published documents, ordered by the revision of the store.
//!
//! The store numbers every change with one counter, so changes from different sources are ordered
//! by their revision alone. A [`Replica`] never becomes older: it applies [`Changes`] from the
//! store or from peers, and returns the changes that a peer lacks.

mod changes;
mod replica;

pub use changes::{Change, Changes, Key};
pub use replica::{ApplyOutcome, Replica};
