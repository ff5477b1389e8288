//! Detection of duplicate keys, such as an address that two services use.

use std::fmt::Display;

use bambooseam_types::{Finding, Findings, Location};

/// Keys that must be unique among their owners.
#[derive(Debug)]
pub(crate) struct UniqueKeys<K> {
    uses: Vec<KeyUse<K>>,
}

/// Use of a key by one owner.
#[derive(Debug)]
struct KeyUse<K> {
    key: K,
    owner: String,
    location: Location,
}

impl<K: Ord + Display> UniqueKeys<K> {
    /// Creates an empty collection.
    pub(crate) fn new() -> Self {
        Self { uses: Vec::new() }
    }

    /// Adds the use of `key` by `owner` at `location`.
    pub(crate) fn add(&mut self, key: K, owner: impl Display, location: Location) {
        let owner = owner.to_string();
        self.uses.push(KeyUse {
            key,
            owner,
            location,
        });
    }

    /// Reports every use of a key except the first.
    pub(crate) fn report(&mut self, allowed: &str, findings: &mut Findings) {
        self.uses.sort_by(|a, b| a.key.cmp(&b.key));
        for group in self.uses.chunk_by(|a, b| a.key == b.key) {
            let Some((first, rest)) = group.split_first() else {
                continue;
            };
            for key_use in rest {
                let found = format!("{}, which {} has", key_use.key, first.owner);
                findings.push(Finding::new(key_use.location.clone(), found, allowed));
            }
        }
    }

    /// Owner of the first use of a key; [`report`](Self::report) must have been called before,
    /// since it sorts the uses.
    pub(crate) fn owner(&self, key: &K) -> Option<&str> {
        let index = self.uses.partition_point(|key_use| key_use.key < *key);
        let key_use = self.uses.get(index)?;
        (key_use.key == *key).then_some(key_use.owner.as_str())
    }
}
