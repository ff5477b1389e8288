//! Registry of idempotency keys, which keeps keyed work from running twice.
//!
//! The owner of a key records the state of earlier attempts. An attempt that is marked as a resend
//! runs only if the owner confirms that no earlier attempt ran. A change of owner can therefore
//! turn the outcome of a request into `unknown`, but can't make work run twice.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bambooseam_view::FlowKey;

/// Number of shards of the table, each with its own lock.
const SHARDS: usize = 64;

/// Maximum number of keys per shard.
const SHARD_LIMIT: usize = 2_048;

/// State of the attempts with one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyState {
    /// An attempt may be running.
    Running,
    /// No attempt ran.
    NotRun,
    /// An attempt ran or may have run.
    MayHaveRun,
}

/// Registry of the keys that one proxy owns.
#[derive(Debug)]
pub struct KeyRegistry {
    shards: Vec<Mutex<Shard>>,
}

#[derive(Debug, Default)]
struct Shard {
    /// Entries, sorted by key.
    entries: Vec<KeyEntry>,
    clock: u64,
}

#[derive(Debug)]
struct KeyEntry {
    key: FlowKey,
    state: KeyState,
    last_used: u64,
}

/// Right to run one attempt. If dropped without being settled, the attempt counts as run.
#[derive(Debug)]
pub struct Claim {
    registry: Arc<KeyRegistry>,
    key: FlowKey,
    state: KeyState,
}

impl KeyRegistry {
    /// Creates an empty registry.
    pub fn new() -> Arc<Self> {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Arc::new(Self { shards })
    }

    /// Claims a key for attempt number `attempt`. Returns `None` if an earlier attempt may have
    /// run.
    pub fn claim(self: &Arc<Self>, key: FlowKey, attempt: u32) -> Option<Claim> {
        let mut shard = self.shard(key);
        let state = shard.state(key);
        let may_run = match state {
            Some(KeyState::NotRun) => true,
            Some(KeyState::Running | KeyState::MayHaveRun) => false,
            None => attempt <= 1,
        };
        if !may_run {
            return None;
        }
        shard.set(key, KeyState::Running);
        Some(Claim {
            registry: Arc::clone(self),
            key,
            state: KeyState::MayHaveRun,
        })
    }

    fn shard(&self, key: FlowKey) -> MutexGuard<'_, Shard> {
        let index = key.get() as usize % SHARDS;
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Claim {
    /// Records that the attempt did not run, so that the key may be claimed again.
    pub fn settle_not_run(mut self) {
        self.state = KeyState::NotRun;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.registry.shard(self.key).set(self.key, self.state);
    }
}

impl Shard {
    fn find(&self, key: FlowKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |entry| entry.key)
    }

    fn state(&self, key: FlowKey) -> Option<KeyState> {
        self.find(key).ok().map(|index| self.entries[index].state)
    }

    fn set(&mut self, key: FlowKey, state: KeyState) {
        self.clock += 1;
        let last_used = self.clock;
        if let Ok(index) = self.find(key) {
            let entry = &mut self.entries[index];
            entry.state = state;
            entry.last_used = last_used;
            return;
        }
        if self.entries.len() >= SHARD_LIMIT {
            self.evict_oldest();
        }
        let index = self.find(key).unwrap_or_else(|index| index);
        let entry = KeyEntry {
            key,
            state,
            last_used,
        };
        self.entries.insert(index, entry);
    }

    /// Evicts the least recently used key. Resends with the evicted key get the outcome `unknown`.
    fn evict_oldest(&mut self) {
        let oldest = self
            .entries
            .iter()
            .enumerate()
            .min_by_key(|(_, e)| e.last_used);
        let Some(index) = oldest.map(|(index, _)| index) else {
            return;
        };
        self.entries.remove(index);
    }
}
