//! A copy of the published documents, ordered by the store's revision.
//!
//! One counter of the store numbers every change, so two copies compare by number alone, whoever
//! brought them. A [`Replica`] only gets newer: it takes [`Changes`] from the store or from peers,
//! and gives the changes that a peer lacks.

mod changes;
mod replica;

pub use changes::{Change, Changes, Key};
pub use replica::{ApplyOutcome, Replica};
