//! Rounds that read or watch the platform's store.

use std::rc::Rc;
use std::time::Duration;

use bambooseam_peer::Backoff;
use bambooseam_platform::{Store, StoreError};
use bambooseam_replica::{Change, Changes};
use bambooseam_types::{Clock, Moment};
use tokio::time::sleep;

use crate::BootClock;
use crate::node::{SharedNode, Source};

/// Longest wait of one watch. Peers that follow this VM notice after little more that it hears
/// nothing, and read the store themselves.
const WATCH_TIME: Duration = Duration::from_millis(800);

/// Pause after a change, so that those which follow it come in one call: a tenth of the least
/// bound for a change.
const GATHER_TIME: Duration = Duration::from_millis(300);

/// Shortest and longest pause after a failed call.
const RETRY_LEAST: Duration = Duration::from_millis(50);
const RETRY_MOST: Duration = Duration::from_millis(500);

/// Reads the store, one call a round.
#[derive(Debug)]
pub struct Reader {
    store: Store,
    node: SharedNode,
    backoff: Backoff,
    has_history: bool,
    failing: Option<StoreError>,
    failed: Option<Moment>,
}

impl Reader {
    /// Creates a reader.
    pub fn new(store: Store, node: SharedNode) -> Self {
        Self {
            store,
            node,
            backoff: Backoff::new(RETRY_LEAST, RETRY_MOST),
            has_history: true,
            failing: None,
            failed: None,
        }
    }

    /// When the last call failed; `None` when it did not.
    pub(crate) fn failed(&self) -> Option<Moment> {
        self.failed
    }

    /// One call, and the pause that follows from it.
    pub(crate) async fn round(&mut self) {
        let after = self.node.borrow().replica().upto();
        let after = after.filter(|_| self.has_history);
        let asked = BootClock.now();
        let result = match after {
            Some(after) => self.store.watch(after, WATCH_TIME).await,
            None => {
                let node = Rc::clone(&self.node);
                let early = |targets: &[Change]| {
                    node.borrow_mut().apply_early(targets, BootClock.now());
                };
                self.store.read_all(early).await
            }
        };
        let now = BootClock.now();
        note_call(&result, asked, now);
        match result {
            Ok(changes) => self.take(changes, asked, now).await,
            Err(StoreError::HistoryGone) => {
                log::info!("event=store_history_gone after={after:?} outcome=read_all");
                self.has_history = false;
            }
            Err(error) => self.fail(error, now).await,
        }
    }

    async fn take(&mut self, changes: Changes, asked: Moment, now: Moment) {
        if let Some(error) = self.failing.take() {
            self.node.borrow_mut().record_outage(now);
            log::info!("event=store_regained after={:?}", error.to_string());
        }
        self.failed = None;
        self.backoff.reset();
        let is_quiet = changes.list.is_empty();
        // A watch is answered at its end; the pages of a reading only tell what was there before.
        let synced = match changes.after {
            Some(_) => now,
            None => asked,
        };
        let taken = self
            .node
            .borrow_mut()
            .apply(changes, synced, now, Source::Store);
        self.has_history = taken;
        if !is_quiet {
            sleep(GATHER_TIME).await;
        }
    }

    async fn fail(&mut self, error: StoreError, now: Moment) {
        self.node.borrow_mut().record_outage(now);
        if self.failing.as_ref() != Some(&error) {
            log::warn!("event=store_lost cause={:?}", error.to_string());
        }
        self.failing = Some(error);
        self.failed = Some(now);
        sleep(self.backoff.pause(Duration::ZERO)).await;
    }
}

/// Counts a call and its time.
fn note_call<T>(result: &Result<T, StoreError>, asked: Moment, now: Moment) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(StoreError::Unreachable { .. }) => "unreachable",
        Err(StoreError::TimedOut) => "silent",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::HistoryGone) => "history_gone",
        Err(StoreError::InvalidResponse { .. }) => "bad_answer",
    };
    metrics::counter!("store_calls", "outcome" => outcome).increment(1);
    metrics::histogram!("store_call_seconds").record(now.since(asked).as_secs_f64());
}
