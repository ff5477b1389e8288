//! Key-value store of the platform, with the history of each key, the read limit and the fault
//! modes.

use std::str::FromStr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::sync::watch;
use tokio::time::Instant;

/// Number of values kept for each key, for readers that receive changes with a delay.
const MAX_HISTORY: usize = 256;

/// How requests are answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Mode {
    /// Immediately, with the newest value.
    #[default]
    #[display("ok")]
    Ok,
    /// Connections are closed without a response.
    #[display("down")]
    Down,
    /// Each response is delayed by this time.
    #[display("slow {}", humantime::format_duration(*_0))]
    Slow(Duration),
    /// Reads return the values that were visible when the mode was set.
    #[display("stale")]
    Stale,
    /// Each read is refused as over the rate limit.
    #[display("refusing")]
    Refusing,
}

/// Error for a text that is not a mode.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("unknown mode {found:?}; expected ok, down, slow TIME, stale or refusing")]
pub struct ParseModeError {
    /// Text that was found.
    pub found: String,
}

/// Value of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// Text of the value.
    pub text: String,
    /// Index of the change that wrote the value.
    pub index: u64,
    /// Time of the write.
    pub since: Instant,
}

/// Request counters of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
#[display("reads={reads} watches={watches} refused={refused} writes={writes}")]
pub struct Stats {
    /// Reads, including refused ones; a long poll counts as one read.
    pub reads: u64,
    /// Long polls among the reads.
    pub watches: u64,
    /// Reads refused by the rate limit.
    pub refused: u64,
    /// Accepted writes.
    pub writes: u64,
}

/// Result of a long poll.
#[derive(Debug)]
pub(super) enum WatchResult {
    /// Response with the value that is visible now.
    Visible(Option<Value>),
    /// The connection is closed without a response.
    Down,
}

/// State of the platform, shared by all connections.
#[derive(Debug)]
pub(super) struct Store {
    inner: Mutex<Inner>,
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    keys: Vec<Key>,
    index: u64,
    mode: Mode,
    stale_since: Option<Instant>,
    stats: Stats,
    limit: ReadLimit,
}

/// A key with its history and the delay with which readers receive changes.
#[derive(Debug)]
struct Key {
    name: String,
    history: Vec<Value>,
    lag: Duration,
}

/// Token bucket with the capacity of one second of reads.
#[derive(Debug)]
struct ReadLimit {
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl FromStr for Mode {
    type Err = ParseModeError;

    fn from_str(text: &str) -> Result<Self, ParseModeError> {
        let error = || ParseModeError { found: text.into() };
        if let Some(time) = text.strip_prefix("slow ") {
            let time = humantime::parse_duration(time).map_err(|_| error())?;
            return Ok(Self::Slow(time));
        }
        match text {
            "ok" => Ok(Self::Ok),
            "down" => Ok(Self::Down),
            "stale" => Ok(Self::Stale),
            "refusing" => Ok(Self::Refusing),
            _ => Err(error()),
        }
    }
}

impl Store {
    /// Creates an empty store with a limit of reads per second.
    pub(super) fn new(reads: u32) -> Self {
        let inner = Inner {
            keys: Vec::new(),
            index: 0,
            mode: Mode::Ok,
            stale_since: None,
            stats: Stats::default(),
            limit: ReadLimit {
                rate: f64::from(reads),
                tokens: f64::from(reads),
                refilled: Instant::now(),
            },
        };
        Self {
            inner: Mutex::new(inner),
            changes: watch::Sender::new(0),
        }
    }

    pub(super) fn mode(&self) -> Mode {
        self.lock().mode
    }

    pub(super) fn stats(&self) -> Stats {
        self.lock().stats
    }

    pub(super) fn set_mode(&self, mode: Mode) {
        let mut inner = self.lock();
        inner.mode = mode;
        inner.stale_since = (mode == Mode::Stale).then(Instant::now);
        drop(inner);
        self.notify_watches();
    }

    pub(super) fn set_lag(&self, name: &str, lag: Duration) {
        self.lock().key_mut(name).lag = lag;
        self.notify_watches();
    }

    pub(super) fn put(&self, name: &str, text: String) -> u64 {
        let index = self.lock().set(name, text);
        self.notify_watches();
        index
    }

    pub(super) fn cas(&self, name: &str, text: String, index: u64) -> bool {
        let mut inner = self.lock();
        let current = inner.newest(name).map_or(0, |value| value.index);
        if current != index {
            return false;
        }
        inner.set(name, text);
        drop(inner);
        self.notify_watches();
        true
    }

    pub(super) fn newest(&self, name: &str) -> Option<Value> {
        self.lock().newest(name).cloned()
    }

    /// Counts a read and returns whether the read is within the limit.
    pub(super) fn admit_read(&self, is_watch: bool) -> bool {
        let mut inner = self.lock();
        inner.stats.reads += 1;
        inner.stats.watches += u64::from(is_watch);
        let is_admitted = inner.mode != Mode::Refusing && inner.limit.try_acquire(Instant::now());
        inner.stats.refused += u64::from(!is_admitted);
        is_admitted
    }

    /// Returns the value that is visible to readers now.
    pub(super) fn visible(&self, name: &str) -> Option<Value> {
        let inner = self.lock();
        let key = inner.key(name)?;
        key.value_at(inner.stale_since, Instant::now()).cloned()
    }

    /// Waits until an index above `index` is visible to readers or `until` has passed.
    pub(super) async fn watch(&self, name: &str, index: u64, until: Instant) -> WatchResult {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if self.mode() == Mode::Down {
                return WatchResult::Down;
            }
            let found = self.visible(name);
            let is_newer = found.as_ref().is_some_and(|value| value.index > index);
            if is_newer || Instant::now() >= until {
                return WatchResult::Visible(found);
            }
            let next = self.next_visible(name).unwrap_or(until).min(until);
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep_until(next) => {}
            }
        }
    }

    /// Returns when the next value of a delayed key becomes visible to readers.
    fn next_visible(&self, name: &str) -> Option<Instant> {
        let inner = self.lock();
        if inner.stale_since.is_some() {
            return None;
        }
        let key = inner.key(name)?;
        let now = Instant::now();
        let visible_times = key.history.iter().map(|value| value.since + key.lag);
        visible_times.filter(|time| *time > now).min()
    }

    fn notify_watches(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn key(&self, name: &str) -> Option<&Key> {
        let found = self
            .keys
            .binary_search_by(|key| key.name.as_str().cmp(name));
        found.ok().map(|at| &self.keys[at])
    }

    fn key_mut(&mut self, name: &str) -> &mut Key {
        let found = self
            .keys
            .binary_search_by(|key| key.name.as_str().cmp(name));
        let at = found.unwrap_or_else(|at| {
            let key = Key {
                name: name.into(),
                history: Vec::new(),
                lag: Duration::ZERO,
            };
            self.keys.insert(at, key);
            at
        });
        &mut self.keys[at]
    }

    fn newest(&self, name: &str) -> Option<&Value> {
        self.key(name)?.history.last()
    }

    fn set(&mut self, name: &str, text: String) -> u64 {
        self.index += 1;
        self.stats.writes += 1;
        let value = Value {
            text,
            index: self.index,
            since: Instant::now(),
        };
        let key = self.key_mut(name);
        key.history.push(value);
        if key.history.len() > MAX_HISTORY {
            key.history.remove(0);
        }
        self.index
    }
}

impl Key {
    /// Returns the value that was visible at `stale_since`, or at `now` outside the stale mode.
    fn value_at(&self, stale_since: Option<Instant>, now: Instant) -> Option<&Value> {
        let read_time = stale_since.unwrap_or(now);
        let mut values = self.history.iter().rev();
        values.find(|value| value.since + self.lag <= read_time)
    }
}

impl ReadLimit {
    fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = now - self.refilled;
        self.refilled = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
