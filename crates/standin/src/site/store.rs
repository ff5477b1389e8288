//! The metadata store: one history, written by operators and targets, read through doors.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::sync::Notify;

use super::History;

/// The store as those see it who write to it.
#[derive(Debug, Clone, Default)]
pub struct Store {
    history: Arc<Mutex<History>>,
    changed: Arc<Notify>,
    is_unavailable: Arc<Mutex<bool>>,
}

impl Store {
    /// Writes a document; gives its revision, or `None` while the store is away.
    pub fn put(&self, key: &str, value: &Value, lifetime: Option<Duration>) -> Option<u64> {
        self.put_bytes(key, value.to_string().into_bytes(), lifetime)
    }

    /// Writes any bytes.
    pub fn put_bytes(&self, key: &str, bytes: Vec<u8>, lifetime: Option<Duration>) -> Option<u64> {
        if self.is_unavailable() {
            return None;
        }
        let expiry = lifetime.map(|time| Instant::now() + time);
        let revision = self.lock().put(key, bytes, expiry);
        self.changed.notify_waiters();
        Some(revision)
    }

    /// Prolongs a document; false when it is gone or the store is away.
    pub fn renew(&self, key: &str, lifetime: Duration) -> bool {
        !self.is_unavailable() && self.lock().renew(key, Instant::now() + lifetime)
    }

    /// Removes a document unless the store is away.
    pub fn remove(&self, key: &str) {
        if self.is_unavailable() {
            return;
        }
        self.lock().remove(key);
        self.changed.notify_waiters();
    }

    /// Forgets the history.
    pub fn compact(&self) {
        self.lock().compact();
        self.changed.notify_waiters();
    }

    /// Sets whether writers reach the store; documents lapse meanwhile.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        *self
            .is_unavailable
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = is_unavailable;
    }

    /// Whether writers do not reach the store.
    pub fn is_unavailable(&self) -> bool {
        *self
            .is_unavailable
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The history.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the next change, at most for `limit`.
    pub async fn changed(&self, limit: Duration) {
        let _ = tokio::time::timeout(limit, self.changed.notified()).await;
    }

    /// Removes documents that lapse, until dropped.
    pub async fn expire(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let has_expired = self.lock().expire(Instant::now());
            if has_expired {
                self.changed.notify_waiters();
            }
        }
    }
}
