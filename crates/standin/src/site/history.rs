//! Items of the metadata store and their change history, numbered by one revision counter.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// The current version of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Value in bytes.
    pub value: Vec<u8>,
    /// Revision of the last write.
    pub revision: u64,
    /// Revision of the creation.
    pub created: u64,
    /// Time at which the item expires unless it is renewed; `None` if it never expires.
    pub expiry: Option<Instant>,
}

/// A write or removal of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Key of the item.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// The written item; `None` for a removal.
    pub item: Option<Item>,
}

/// Error for a request of events that a compaction has removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Compacted;

/// Interval between two copies, from which the store may return, and the number of copies kept.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
const MAX_COPIES: usize = 40;

/// Least lifetime of the entries after the store has returned from a copy.
const RESTORED_LIFETIME: Duration = Duration::from_secs(2);

/// The items at an earlier time.
#[derive(Debug)]
struct HistoryCopy {
    time: Instant,
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// All items, and the events since the last compaction.
#[derive(Debug)]
pub struct History {
    items: BTreeMap<String, Item>,
    events: VecDeque<Event>,
    revision: u64,
    /// Revision of the last event that a compaction removed.
    compacted: u64,
    /// Number of times that the store has returned from a copy.
    era: u64,
    copies: VecDeque<HistoryCopy>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            events: VecDeque::new(),
            // The revision counter starts above 0.
            revision: 1,
            compacted: 1,
            era: 0,
            copies: VecDeque::new(),
        }
    }
}

impl History {
    /// Returns the current revision of the store.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of times that the store has returned from a copy.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Makes a copy of the items if the last one is old enough.
    pub fn copy(&mut self, now: Instant) {
        let last = self.copies.back().map(|copy| copy.time);
        if last.is_some_and(|last| now.duration_since(last) < COPY_INTERVAL) {
            return;
        }
        if self.copies.len() >= MAX_COPIES {
            self.copies.pop_front();
        }
        self.copies.push_back(HistoryCopy {
            time: now,
            items: self.items.clone(),
            revision: self.revision,
        });
    }

    /// Returns to the newest copy that is at least as old as `age`, or to the oldest one. Later
    /// changes are lost, and their revisions are given out again.
    pub fn restore(&mut self, now: Instant, age: Duration) {
        self.era += 1;
        let is_old = |copy: &HistoryCopy| now.duration_since(copy.time) >= age;
        let at = self.copies.iter().rposition(is_old).unwrap_or(0);
        let Some(copy) = self.copies.get(at) else {
            return;
        };
        self.items = copy.items.clone();
        self.revision = copy.revision;
        for item in self.items.values_mut() {
            item.expiry = item
                .expiry
                .map(|expiry| expiry.max(now + RESTORED_LIFETIME));
        }
        self.compact();
    }

    /// Returns the item under a key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Writes an item and returns its revision.
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

    /// Extends the expiry of an item; returns false if the item does not exist.
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

    /// Removes expired items; returns whether there were any.
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

    /// Removes all events; a later request for one of them returns [`Compacted`].
    pub fn compact(&mut self) {
        self.events.clear();
        self.compacted = self.revision;
    }

    /// Returns up to `limit` items whose keys start with `prefix` and sort after `after`, and
    /// whether there are more.
    pub fn range(&self, prefix: &str, after: &str, limit: usize) -> (Vec<(&String, &Item)>, bool) {
        let is_match = |key: &str| key.starts_with(prefix) && (after.is_empty() || key > after);
        let mut found = self.items.iter().filter(|(key, _)| is_match(key));
        let page: Vec<_> = found.by_ref().take(limit).collect();
        let has_more = found.next().is_some();
        (page, has_more)
    }

    /// Returns the events after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`Compacted`] if a compaction has removed some of the events, or if the store does not
    /// have the revision.
    pub fn since(&self, prefix: &str, after: u64) -> Result<Vec<&Event>, Compacted> {
        if after < self.compacted || after > self.revision {
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
