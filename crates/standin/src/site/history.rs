//! Items of the store, numbered by one counter of revisions.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// An item as it was last written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its bytes.
    pub value: Vec<u8>,
    /// Revision of the last write.
    pub revision: u64,
    /// Revision of its creation.
    pub created: u64,
    /// When it lapses unless it is written again.
    pub expiry: Option<Instant>,
}

/// A write or removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Key of the item.
    pub key: String,
    /// Its revision.
    pub revision: u64,
    /// The item; `None` when it was removed.
    pub item: Option<Item>,
}

/// The history that was asked for is no longer there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Compacted;

/// All items and the last events.
#[derive(Debug)]
pub struct History {
    items: BTreeMap<String, Item>,
    events: VecDeque<Event>,
    revision: u64,
    /// Revision of the last event that was dropped.
    compacted: u64,
}

impl Default for History {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            events: VecDeque::new(),
            // The counter starts above 0.
            revision: 1,
            compacted: 1,
        }
    }
}

impl History {
    /// The store's revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The item under a key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Writes an item; gives its revision.
    pub fn put(&mut self, key: &str, value: Vec<u8>, expiry: Option<Instant>) -> u64 {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            expiry,
        };
        self.items.insert(key.into(), item.clone());
        self.record_event(key, Some(item));
        self.revision
    }

    /// Prolongs an item that is there; false when it is not.
    pub fn renew(&mut self, key: &str, expiry: Instant) -> bool {
        let item = self.items.get_mut(key);
        item.map(|item| item.expiry = Some(expiry)).is_some()
    }

    /// Removes an item.
    pub fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.record_event(key, None);
        }
    }

    /// Removes items that lapsed; true when there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_expired = |item: &Item| item.expiry.is_some_and(|expiry| expiry <= now);
        let expired: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| is_expired(item))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &expired {
            self.remove(key);
        }
        !expired.is_empty()
    }

    /// Drops all events, as a store does that forgets its history.
    pub fn compact(&mut self) {
        self.events.clear();
        self.compacted = self.revision;
    }

    /// Items whose keys begin with `prefix` and come behind `after`; whether there are more.
    pub fn range(&self, prefix: &str, after: &str, limit: usize) -> (Vec<(&String, &Item)>, bool) {
        let is_match = |key: &str| key.starts_with(prefix) && (after.is_empty() || key > after);
        let mut found = self.items.iter().filter(|(key, _)| is_match(key));
        let page: Vec<_> = found.by_ref().take(limit).collect();
        let has_more = found.next().is_some();
        (page, has_more)
    }

    /// Events after a revision.
    ///
    /// # Errors
    ///
    /// [`Gone`] when some of them were dropped.
    pub fn since(&self, prefix: &str, after: u64) -> Result<Vec<&Event>, Compacted> {
        if after < self.compacted {
            return Err(Compacted);
        }
        let events = self.events.iter();
        let is_match = |event: &&Event| event.revision > after && event.key.starts_with(prefix);
        Ok(events.filter(is_match).collect())
    }

    fn record_event(&mut self, key: &str, item: Option<Item>) {
        self.events.push_back(Event {
            key: key.into(),
            revision: self.revision,
            item,
        });
    }
}
