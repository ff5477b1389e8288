//! Flow table: maps the key of a flow to its target, state and last packet.
//!
//! An entry takes 8 bytes next to a 64-bit key. The table is split into shards, so that it grows
//! and is swept in small steps. Each shard is a hash table rather than a sorted vector: with a
//! million flows each insertion into a vector would move megabytes.
//!
//! Two flows of one service with the same 64-bit key would share an entry, and so a target. A
//! lookup checks the service, so flows of different services never share an entry.

use std::collections::HashMap;
use std::collections::hash_map;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use bambooseam_types::ByteCount;
use bambooseam_view::FlowKey;

use crate::Moment;
use crate::target::TargetNumber;

/// Number of shards.
pub const SHARDS: usize = 256;

/// Bit of an entry that is set for TCP.
const TCP_BIT: u32 = 1 << 31;

/// Bytes of one slot: key, entry and one control byte of the hash table.
const SLOT_BYTES: usize = size_of::<(u64, Entry)>() + 1;

/// Milliseconds in a tick, the unit of time in entries.
const TICK_MS: u64 = 100;

/// Target, state and last packet of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    seen: u32,
    /// Bits 0 to 23: the target; bits 24 to 30: the state; bit 31: whether the flow is TCP.
    packed: u32,
}

/// State of a flow; decides whether its binding is confirmed and when the entry expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum EntryState {
    /// The flow is open.
    Open = 0,
    /// The caller has closed its side.
    Closing = 1,
    /// No forwarder knew the flow, so the default pick decided; the target has not confirmed it.
    Unconfirmed = 2,
    /// Only the first packet of the flow has been seen.
    Opening = 3,
    /// The caller has retransmitted its first packet.
    Retried = 4,
}

/// Time in ticks since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tick(u32);

/// All flows that this forwarder has recorded.
#[derive(Debug)]
pub struct FlowTable {
    shards: Vec<Shard>,
    len: usize,
    limit: usize,
}

/// One shard of the table.
type Shard = HashMap<u64, Entry, BuildHasherDefault<KeyHasher>>;

/// Hasher that returns the key unchanged, as the key is a hash already.
#[derive(Debug, Default)]
pub struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, key: u64) {
        self.0 = key;
    }
}

impl EntryState {
    /// Whether only first packets have been seen.
    pub fn is_opening(self) -> bool {
        matches!(self, Self::Opening | Self::Retried)
    }

    /// Whether the binding is confirmed and the flow is not closing.
    pub fn is_active(self) -> bool {
        self == Self::Open || self.is_opening()
    }
}

impl Tick {
    /// Returns the ticks between an earlier tick and this one.
    #[inline]
    pub fn since(self, earlier: Self) -> u32 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the tick that is `ticks` before this one.
    pub fn before(self, ticks: u32) -> Self {
        Self(self.0.saturating_sub(ticks))
    }

    /// Returns the number of ticks in `time`.
    pub fn count(time: Duration) -> u32 {
        u32::try_from(time.as_millis() / u128::from(TICK_MS)).unwrap_or(u32::MAX)
    }
}

impl From<Moment> for Tick {
    fn from(moment: Moment) -> Self {
        Self(u32::try_from(moment.as_millis() / TICK_MS).unwrap_or(u32::MAX))
    }
}

impl Entry {
    /// Creates an entry of a UDP flow.
    pub fn new(target: TargetNumber, state: EntryState, seen: Tick) -> Self {
        Self {
            seen: seen.0,
            packed: target.get() | (state as u32) << 24,
        }
    }

    /// Sets whether the flow is TCP.
    pub fn with_tcp(mut self, is_tcp: bool) -> Self {
        self.packed &= !TCP_BIT;
        if is_tcp {
            self.packed |= TCP_BIT;
        }
        self
    }

    /// Whether the flow is TCP.
    pub fn is_tcp(&self) -> bool {
        self.packed & TCP_BIT != 0
    }

    /// Returns the target of the flow.
    #[inline]
    pub fn target(&self) -> TargetNumber {
        TargetNumber::from(self.packed)
    }

    /// Returns the state of the flow.
    #[inline]
    pub fn state(&self) -> EntryState {
        match (self.packed & !TCP_BIT) >> 24 {
            0 => EntryState::Open,
            1 => EntryState::Closing,
            2 => EntryState::Unconfirmed,
            3 => EntryState::Opening,
            _ => EntryState::Retried,
        }
    }

    /// Sets when a packet of the flow was last seen.
    #[inline]
    pub fn set_seen(&mut self, seen: Tick) {
        self.seen = seen.0;
    }

    /// Returns when a packet of the flow was last seen.
    #[inline]
    pub fn seen(&self) -> Tick {
        Tick(self.seen)
    }
}

impl FlowTable {
    /// Creates a table of at most `limit` flows.
    pub fn new(limit: usize) -> Self {
        let shards = (0..SHARDS).map(|_| Shard::default()).collect();
        Self {
            shards,
            len: 0,
            limit,
        }
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the table has no flow.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the memory that the shards hold, free slots included.
    pub fn memory(&self) -> ByteCount {
        let slots: usize = self.shards.iter().map(|s| slots_of(s.capacity())).sum();
        ByteCount::new((slots * SLOT_BYTES) as u64)
    }

    /// Whether no further flow fits.
    pub fn is_full(&self) -> bool {
        self.len >= self.limit
    }

    /// Returns the entry of a flow.
    #[inline]
    pub fn get(&self, key: FlowKey) -> Option<Entry> {
        self.shards[shard_of(key)].get(&key.get()).copied()
    }

    /// Returns a mutable reference to the entry of a flow.
    #[inline]
    pub fn get_mut(&mut self, key: FlowKey) -> Option<&mut Entry> {
        self.shards[shard_of(key)].get_mut(&key.get())
    }

    /// Inserts a flow and returns its previous entry.
    ///
    /// # Errors
    ///
    /// [`TableFull`] when a further flow does not fit.
    pub fn insert(&mut self, key: FlowKey, entry: Entry) -> Result<Option<Entry>, TableFull> {
        let is_full = self.is_full();
        match self.shards[shard_of(key)].entry(key.get()) {
            hash_map::Entry::Occupied(mut slot) => Ok(Some(slot.insert(entry))),
            hash_map::Entry::Vacant(_) if is_full => Err(TableFull),
            hash_map::Entry::Vacant(slot) => {
                slot.insert(entry);
                self.len += 1;
                Ok(None)
            }
        }
    }

    /// Removes a flow and returns its entry.
    pub fn remove(&mut self, key: FlowKey) -> Option<Entry> {
        let removed = self.shards[shard_of(key)].remove(&key.get());
        self.len -= usize::from(removed.is_some());
        removed
    }

    /// Keeps the entries of one shard for which `keep` holds.
    pub fn retain(&mut self, shard: usize, mut keep: impl FnMut(FlowKey, Entry) -> bool) {
        let shard = &mut self.shards[shard];
        let before = shard.len();
        shard.retain(|key, entry| keep(FlowKey::from(*key), *entry));
        self.len -= before - shard.len();
    }

    /// Returns the entries of one shard.
    pub fn shard(&self, shard: usize) -> impl Iterator<Item = (FlowKey, Entry)> + '_ {
        self.shards[shard]
            .iter()
            .map(|(key, entry)| (FlowKey::from(*key), *entry))
    }

    /// Returns the entries of all shards.
    pub fn iter(&self) -> impl Iterator<Item = (FlowKey, Entry)> + '_ {
        (0..SHARDS).flat_map(|shard| self.shard(shard))
    }
}

/// The table has no room for a further flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableFull;

/// Returns the slots of a hash table with this capacity: a power of two, at most seven eighths
/// full.
fn slots_of(capacity: usize) -> usize {
    match capacity {
        0 => 0,
        _ => (capacity * 8 / 7).next_power_of_two(),
    }
}

/// Returns the shard of a key; its bits are neither those that the hash table uses nor those that
/// select the ranks.
#[inline]
fn shard_of(key: FlowKey) -> usize {
    (key.get() >> 36) as usize % SHARDS
}
