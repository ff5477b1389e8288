//! Tasks that read and watch the platform, one per key.
//!
//! A watching agent holds a long poll at the platform. The other agents poll slowly and receive
//! changes from peers. A long poll continues from the index that the platform itself returned last,
//! so that it also returns when the platform was rebuilt or serves an older copy, whose indexes are
//! lower.

use std::sync::Arc;
use std::time::Duration;

use bambooseam_types::{ByteRate, Finding, Findings, Location, PresetName};
use tokio::time::sleep;

use crate::event::EventKind;
use crate::platform::{KeyValue, LongPoll, Platform, PlatformError};
use crate::shared::{Provider, Shared};
use crate::store::{OfferResult, parse_pointer};
use crate::version::{ConfigVersion, ListKind, Origin};
use bambooseam_peer::{Backoff, jitter};

/// Shortest and longest pause after a failed read.
const MIN_RETRY: Duration = Duration::from_millis(200);
const MAX_RETRY: Duration = Duration::from_secs(10);

/// Shortest pause after a rate-limited read without a `Retry-After` header.
const RATE_LIMIT_PAUSE: Duration = Duration::from_secs(2);

/// Pause between two long polls of one key.
const WATCH_PAUSE: Duration = Duration::from_millis(50);

/// How often a polling agent checks whether it should watch, or whether a peer holds a newer
/// document.
const ROLE_INTERVAL: Duration = Duration::from_millis(300);

/// Rate at which long polls that end without a change may consume received bytes: each such poll
/// returns the whole document.
const WATCH_RATE: ByteRate = ByteRate::new(1_000);

/// Longest wait that a platform accepts for a long poll.
const WATCH_LIMIT: Duration = Duration::from_secs(600);

/// Rate at which polls may consume received bytes.
const POLL_RATE: ByteRate = ByteRate::new(100);

/// Key of the pointer.
const POINTER_KEY: &str = "preset-in-force";

/// The document that a task reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DocumentKind {
    /// The pointer, and the preset that the pointer names.
    Config,
    /// A list.
    List(ListKind),
}

/// Task that keeps one document up to date from the platform.
#[derive(Debug)]
pub(crate) struct Reader<P> {
    platform: P,
    shared: Arc<Shared>,
    document: DocumentKind,
    last_index: Option<u64>,
    size: usize,
    has_refetched: bool,
    backoff: Backoff,
}

impl<P: Platform> Reader<P> {
    /// Creates the task for one document.
    pub(crate) fn new(platform: P, shared: Arc<Shared>, document: DocumentKind) -> Self {
        Self {
            platform,
            shared,
            document,
            last_index: None,
            size: 0,
            has_refetched: false,
            backoff: Backoff::new(MIN_RETRY, MAX_RETRY),
        }
    }

    /// Reads until the agent stops.
    pub(crate) async fn run(mut self) {
        let mut resumes = self.shared.resumes();
        loop {
            let result = tokio::select! {
                result = self.platform.get(self.key(), self.long_poll()) => result,
                _ = resumes.changed() => {
                    // The index may be out of date after a pause: continue with a plain read.
                    self.last_index = None;
                    continue;
                }
            };
            let result = match result {
                Ok(value) => self.apply(value).await,
                Err(error) => Err(error),
            };
            self.shared.record_platform(result.as_ref().map(drop));
            match result {
                Ok(true) => {
                    self.backoff.reset();
                    self.wait_until_due().await;
                }
                Ok(false) => {
                    self.last_index = None;
                    sleep(self.backoff.pause(Duration::ZERO)).await;
                }
                Err(error) => {
                    let floor = match error {
                        PlatformError::RateLimited { after } => after.unwrap_or(RATE_LIMIT_PAUSE),
                        _ => Duration::ZERO,
                    };
                    sleep(self.backoff.pause(floor)).await;
                }
            }
        }
    }

    /// Key of the document, without the prefix.
    fn key(&self) -> &'static str {
        match self.document {
            DocumentKind::Config => POINTER_KEY,
            DocumentKind::List(kind) => kind.key(),
        }
    }

    /// The long poll to make; `None` for a plain read.
    fn long_poll(&self) -> Option<LongPoll> {
        if !self.shared.is_watcher(self.key()) {
            return None;
        }
        let minimum = self.shared.settings().platform.watch_time;
        let max_wait = transfer_time(self.size, WATCH_RATE)
            .min(WATCH_LIMIT)
            .max(minimum);
        self.last_index.map(|index| LongPoll { index, max_wait })
    }

    /// Waits until the next read is due.
    ///
    /// A polling agent that knows of a newer document which no peer has sent reads immediately, but
    /// only once until that document is accepted, so that a false version announced by a peer costs
    /// the platform little.
    async fn wait_until_due(&mut self) {
        if self.shared.is_watcher(self.key()) {
            return sleep(jitter(WATCH_PAUSE)).await;
        }
        let minimum = transfer_time(self.size, POLL_RATE);
        let mut remaining = jitter(self.shared.poll_time().max(minimum));
        let mut was_behind = false;
        while !remaining.is_zero() && !self.shared.is_watcher(self.key()) {
            let slice = remaining.min(jitter(ROLE_INTERVAL));
            sleep(slice).await;
            remaining -= slice;
            let is_behind = self.is_behind();
            if !self.has_refetched && is_behind && was_behind {
                self.has_refetched = true;
                return;
            }
            self.has_refetched &= is_behind;
            was_behind = is_behind;
        }
    }

    /// Whether a peer holds a newer version of the document that this task reads.
    fn is_behind(&self) -> bool {
        let state = self.shared.lock();
        match self.document {
            DocumentKind::Config => state.is_behind(),
            DocumentKind::List(kind) => state.is_list_behind(kind),
        }
    }

    /// Applies a value that was read; returns false when the document should be read again soon.
    async fn apply(&mut self, value: KeyValue) -> Result<bool, PlatformError> {
        self.last_index = Some(value.index);
        self.size = value.text.len();
        match self.document {
            DocumentKind::Config => self.apply_pointer(value).await,
            DocumentKind::List(kind) => {
                let era = self.shared.lock().store.era();
                let index = value.index;
                let origin = Origin { era, index };
                self.shared
                    .apply_list(kind, &value.text, origin, &Provider::Platform);
                Ok(true)
            }
        }
    }

    /// Applies a pointer, with its preset from the cache or from the platform.
    async fn apply_pointer(&self, value: KeyValue) -> Result<bool, PlatformError> {
        let pointer = match parse_pointer(&value.text) {
            Ok(pointer) => pointer,
            Err(findings) => {
                self.reject(POINTER_KEY, &value.text, findings);
                return Ok(true);
            }
        };
        let version = ConfigVersion {
            revision: pointer.revision,
            digest: pointer.digest,
        };
        let (origin, cached) = {
            let mut state = self.shared.lock();
            state.record_conflict(version, &Provider::Platform);
            let era = state.store.era_of(pointer.revision, value.index);
            if era > state.store.era() {
                let cause = format!(
                    "revision {} was read at index {}, below the index of revision {}",
                    pointer.revision,
                    value.index,
                    state.store.revision()
                );
                state.record(EventKind::PlatformRebuilt, cause);
            }
            let index = value.index;
            let cached = state.store.text_by_digest(pointer.digest);
            (Origin { era, index }, cached)
        };
        if Some(version) <= self.shared.lock().store.version() {
            self.shared.record_stale(version);
            return Ok(true);
        }
        let preset = match cached {
            Some(text) => text,
            None => match self.read_preset(&pointer.name).await? {
                Some(text) => text,
                None => return Ok(false),
            },
        };
        let result = self
            .shared
            .apply_config(&value.text, &preset, origin, &Provider::Platform);
        Ok(!matches!(result, OfferResult::Rejected(_)))
    }

    /// Reads a preset document; `None` when the platform has no such key.
    async fn read_preset(&self, name: &PresetName) -> Result<Option<Arc<str>>, PlatformError> {
        let key = format!("presets/{name}");
        match self.platform.get(&key, None).await {
            Ok(value) => Ok(Some(value.text)),
            Err(error @ PlatformError::NoKey { .. }) => {
                let mut findings = Findings::new();
                let location = Location::new(&key, 0, "");
                let finding = Finding::new(location, error.to_string(), "a preset document");
                findings.push(finding.with_hint("publish the preset before the pointer"));
                self.reject(&key, "", findings);
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    /// Records the findings of a document that was rejected before it could be offered to the
    /// store.
    fn reject(&self, key: &str, text: &str, findings: Findings) {
        let mut state = self.shared.lock();
        if state.store.is_rejected(key, text) {
            return;
        }
        let cause = format!("{key} from platform: {findings}");
        state.store.reject(key, text, findings);
        state.record(EventKind::DocumentRejected, cause);
    }
}

/// Time in which `size` bytes are transferred at `rate`.
fn transfer_time(size: usize, rate: ByteRate) -> Duration {
    Duration::from_secs_f64(size as f64 / rate.get() as f64)
}
