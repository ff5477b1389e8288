//! Things that only one holder may have, such as an address.

use std::fmt::Display;

use bambooseam_types::{Finding, Findings, Place};

/// Claims that are checked against one another.
#[derive(Debug)]
pub(crate) struct UniqueKeys<K> {
    uses: Vec<KeyUse<K>>,
}

/// Somebody's claim.
#[derive(Debug)]
struct KeyUse<K> {
    key: K,
    owner: String,
    place: Place,
}

impl<K: Ord + Display> UniqueKeys<K> {
    /// Creates an empty collection.
    pub(crate) fn new() -> Self {
        Self { uses: Vec::new() }
    }

    /// Adds the claim that `holder` makes at `place`.
    pub(crate) fn add(&mut self, key: K, owner: impl Display, place: Place) {
        let owner = owner.to_string();
        self.uses.push(KeyUse { key, owner, place });
    }

    /// Reports each claim but the first on a thing.
    pub(crate) fn report(&mut self, allowed: &str, findings: &mut Findings) {
        self.uses.sort_by(|a, b| a.key.cmp(&b.key));
        for keys in self.uses.chunk_by(|a, b| a.key == b.key) {
            let Some((first, rest)) = keys.split_first() else {
                continue;
            };
            for key_use in rest {
                let found = format!("{}, which {} has", key_use.key, first.owner);
                findings.push(Finding::new(key_use.place.clone(), found, allowed));
            }
        }
    }

    /// Who made the first claim on a thing; the claims must have been reported.
    pub(crate) fn owner(&self, key: &K) -> Option<&str> {
        let index = self.uses.partition_point(|key_use| key_use.key < *key);
        let key_use = self.uses.get(index)?;
        (key_use.key == *key).then_some(key_use.owner.as_str())
    }
}
