//! The metadata store: operators and targets write to it, and VMs read it through a
//! [`StoreServer`](super::StoreServer).

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::sync::Notify;

use super::History;

/// Write access to the store; clones share one history.
#[derive(Debug, Clone, Default)]
pub struct Store {
    history: Arc<Mutex<History>>,
    changed: Arc<Notify>,
    is_unavailable: Arc<Mutex<bool>>,
    link: Arc<Mutex<Link>>,
    /// Largest size of the values of a page in bytes; 0 if it is not limited.
    page_bytes: Arc<AtomicUsize>,
}

/// Link between the store and all VMs.
#[derive(Debug, Default)]
struct Link {
    /// Bytes that the link carries in a second; `None` if it is not limited.
    rate: Option<u64>,
    /// When the link has carried all responses so far.
    free_at: Option<Instant>,
}

impl Store {
    /// Writes a document and returns its revision; returns `None` while the store is unavailable.
    pub fn put(&self, key: &str, value: &Value, lifetime: Option<Duration>) -> Option<u64> {
        self.put_bytes(key, value.to_string().into_bytes(), lifetime)
    }

    /// Writes a value in bytes and returns its revision; returns `None` while the store is
    /// unavailable.
    pub fn put_bytes(&self, key: &str, bytes: Vec<u8>, lifetime: Option<Duration>) -> Option<u64> {
        if self.is_unavailable() {
            return None;
        }
        let expiry = lifetime.map(|time| Instant::now() + time);
        let revision = self.lock().put(key, bytes, expiry);
        self.changed.notify_waiters();
        Some(revision)
    }

    /// Renews a document; returns false if the document does not exist or the store is unavailable.
    pub fn renew(&self, key: &str, lifetime: Duration) -> bool {
        !self.is_unavailable() && self.lock().renew(key, Instant::now() + lifetime)
    }

    /// Removes a document unless the store is unavailable.
    pub fn remove(&self, key: &str) {
        if self.is_unavailable() {
            return;
        }
        self.lock().remove(key);
        self.changed.notify_waiters();
    }

    /// Limits the link between the store and all VMs to `rate` bytes a second.
    pub fn limit_link(&self, rate: u64) {
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        link.rate = Some(rate);
    }

    /// Limits the values of a page to `bytes` in all; a page has at least one item.
    pub fn limit_pages(&self, bytes: usize) {
        self.page_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Largest size of the values of a page in bytes, if it is limited.
    pub(super) fn page_bytes(&self) -> Option<usize> {
        let bytes = self.page_bytes.load(Ordering::Relaxed);
        (bytes > 0).then_some(bytes)
    }

    /// Waits until the link has carried a response of `size` bytes, after those before it.
    pub(super) async fn carry(&self, size: usize) {
        let until = {
            let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(rate) = link.rate else { return };
            let now = Instant::now();
            let begun = link.free_at.map_or(now, |free_at| free_at.max(now));
            let until = begun + Duration::from_secs_f64(size as f64 / rate as f64);
            link.free_at = Some(until);
            until
        };
        tokio::time::sleep_until(until.into()).await;
    }

    /// Removes the change history.
    pub fn compact(&self) {
        self.lock().compact();
        self.changed.notify_waiters();
    }

    /// Sets whether the store is unavailable to writers; documents still expire meanwhile.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        *self
            .is_unavailable
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = is_unavailable;
    }

    /// Returns whether the store is unavailable to writers.
    pub fn is_unavailable(&self) -> bool {
        *self
            .is_unavailable
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the store to a copy that is `age` old or older.
    pub fn restore(&self, age: Duration) {
        self.lock().restore(Instant::now(), age);
        self.changed.notify_waiters();
    }

    /// Returns the number of times that the store has returned from a copy.
    pub fn era(&self) -> u64 {
        self.lock().era()
    }

    /// Locks the history.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the next change, at most for `limit`.
    pub async fn changed(&self, limit: Duration) {
        let _ = tokio::time::timeout(limit, self.changed.notified()).await;
    }

    /// Makes copies and removes expired documents until the future is dropped.
    pub async fn expire(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let has_expired = {
                let (mut history, now) = (self.lock(), Instant::now());
                history.copy(now);
                history.expire(now)
            };
            if has_expired {
                self.changed.notify_waiters();
            }
        }
    }
}
