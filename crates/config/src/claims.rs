//! Things that only one holder may have, such as an address.

use std::fmt::Display;

use bambooseam_types::{Finding, Findings, Location};

/// Claims that are checked against one another.
#[derive(Debug)]
pub(crate) struct Claims<K> {
    held: Vec<Claim<K>>,
}

/// Somebody's claim.
#[derive(Debug)]
struct Claim<K> {
    key: K,
    holder: String,
    place: Location,
}

impl<K: Ord + Display> Claims<K> {
    /// Creates an empty collection.
    pub(crate) fn new() -> Self {
        Self { held: Vec::new() }
    }

    /// Adds the claim that `holder` makes at `place`.
    pub(crate) fn add(&mut self, key: K, holder: impl Display, place: Location) {
        let holder = holder.to_string();
        self.held.push(Claim { key, holder, place });
    }

    /// Reports each claim but the first on a thing.
    pub(crate) fn report(&mut self, allowed: &str, findings: &mut Findings) {
        self.held.sort_by(|a, b| a.key.cmp(&b.key));
        for claims in self.held.chunk_by(|a, b| a.key == b.key) {
            let Some((first, rest)) = claims.split_first() else {
                continue;
            };
            for claim in rest {
                let found = format!("{}, which {} has", claim.key, first.holder);
                findings.push(Finding::new(claim.place.clone(), found, allowed));
            }
        }
    }

    /// Who made the first claim on a thing; the claims must have been reported.
    pub(crate) fn holder(&self, key: &K) -> Option<&str> {
        let index = self.held.partition_point(|claim| claim.key < *key);
        let claim = self.held.get(index)?;
        (claim.key == *key).then_some(claim.holder.as_str())
    }
}
