//! Client that reads and watches the platform's store, one call per round.

use std::time::Duration;

use bambooseam_peer::Backoff;
use bambooseam_platform::{Store, StoreError};
use bambooseam_replica::{Change, Changes};
use bambooseam_types::{Clock, Moment};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::BootClock;
use crate::node::{SharedNode, Source};
use crate::pause::answered_at;
use crate::starter::ReadPermit;

/// Maximum wait of one watch. When this VM receives no answer, its followers detect this shortly
/// after that time, and read the store themselves.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(800);

/// Timeout of a watch: the store's client waits for its end, and 600 ms for the answer.
const MAX_CALL_TIME: Duration = Duration::from_millis(1_400);

/// Pause after a change, so that one call returns all changes that follow shortly after. The value
/// is a tenth of the shortest time limit for a change (3 s).
const BATCH_PAUSE: Duration = Duration::from_millis(300);

/// Minimum and maximum backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Reads the store and applies its changes to the node.
#[derive(Debug)]
pub struct Reader {
    store: Store,
    node: SharedNode,
    /// How much of a full read may be done.
    permit: watch::Receiver<ReadPermit>,
    backoff: Backoff,
    /// Whether the store can return the changes since the replica's revision; otherwise everything
    /// is read.
    has_history: bool,
    /// Error of the last call, if it failed.
    last_error: Option<StoreError>,
    /// Time of the last call, if it failed.
    failed_at: Option<Moment>,
}

impl Reader {
    /// Creates a reader that applies changes to `node`, and reads everything only as `permit` allows.
    pub fn new(store: Store, node: SharedNode, permit: watch::Receiver<ReadPermit>) -> Self {
        Self {
            store,
            node,
            permit,
            backoff: Backoff::new(MIN_BACKOFF, MAX_BACKOFF),
            has_history: true,
            last_error: None,
            failed_at: None,
        }
    }

    /// Returns the time at which the last call failed; `None` when it succeeded.
    pub(crate) fn failed_at(&self) -> Option<Moment> {
        self.failed_at
    }

    /// Makes one call and applies its result, then pauses as the result requires.
    pub(crate) async fn round(&mut self) {
        let (era, after, awaits_view) = {
            let node = self.node.borrow();
            let awaits_view = node.steering().awaits_view(BootClock.now());
            (node.replica().era(), node.replica().upto(), awaits_view)
        };
        // After a pause, the answer must not wait for a change.
        let wait = match awaits_view {
            true => Duration::ZERO,
            false => MAX_WATCH_WAIT,
        };
        let after = after.filter(|_| self.has_history);
        if after.is_none() {
            self.wait_for_permit().await;
        }
        let started = BootClock.now();
        let result = match after {
            Some(after) => self.store.watch(after, wait).await,
            None => self.read_all().await,
        };
        let now = BootClock.now();
        record_call(&result, started, now);
        if after.is_some() && self.store.era() > era {
            // The store returned from an older copy: the revisions of this VM mean nothing to it.
            self.has_history = false;
        }
        match result {
            Ok(changes) if after.is_some() && !self.has_history => {
                log::info!(
                    "event=store_returned era={era} store_era={} after={after:?} upto={} \
                     outcome=read_all",
                    self.store.era(),
                    changes.upto
                );
            }
            Ok(changes) => self.apply(changes, started, now).await,
            Err(StoreError::HistoryGone) => {
                log::info!("event=store_history_gone after={after:?} outcome=read_all");
                self.has_history = false;
            }
            Err(error) => self.record_failure(error, now).await,
        }
    }

    /// Waits until a full read may begin.
    async fn wait_for_permit(&mut self) {
        let first_page = |permit: &ReadPermit| *permit >= ReadPermit::FirstPage;
        // An error means that nothing changes the permit any more.
        let _ = self.permit.wait_for(first_page).await;
    }

    /// Reads everything, page by page as the permit allows.
    async fn read_all(&mut self) -> Result<Changes, StoreError> {
        let on_targets = |targets: &[Change]| {
            let mut node = self.node.borrow_mut();
            node.apply_early(targets, BootClock.now());
        };
        let permit = &mut self.permit;
        let turn = async || {
            let _ = permit.wait_for(|permit| *permit == ReadPermit::All).await;
        };
        self.store.read_all(on_targets, turn).await
    }

    async fn apply(&mut self, changes: Changes, started: Moment, now: Moment) {
        if let Some(error) = self.last_error.take() {
            self.node.borrow_mut().record_outage(now);
            log::info!("event=store_regained after={:?}", error.to_string());
        }
        self.failed_at = None;
        self.backoff.reset();
        let is_unchanged = changes.list.is_empty();
        // A watch confirms the state at its end, unless its answer waited while this process was
        // paused. The pages of a full read only contain what had been published when the read
        // started.
        let synced = match changes.after {
            Some(_) => answered_at(started, now, MAX_CALL_TIME),
            None => started,
        };
        let received = self.store.take_received();
        let is_applied = {
            let mut node = self.node.borrow_mut();
            node.record_transfer(received, now);
            node.apply(changes, synced, now, Source::Store)
        };
        self.has_history = is_applied;
        if !is_unchanged || !is_applied {
            sleep(BATCH_PAUSE).await;
        }
    }

    async fn record_failure(&mut self, error: StoreError, now: Moment) {
        self.node.borrow_mut().record_outage(now);
        if self.last_error.as_ref() != Some(&error) {
            log::warn!("event=store_lost cause={:?}", error.to_string());
        }
        self.last_error = Some(error);
        self.failed_at = Some(now);
        sleep(self.backoff.pause(Duration::ZERO)).await;
    }
}

/// Updates the metrics of store calls: number by outcome, and duration.
fn record_call<T>(result: &Result<T, StoreError>, started: Moment, now: Moment) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(StoreError::Unreachable { .. }) => "unreachable",
        Err(StoreError::TimedOut) => "silent",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::HistoryGone) => "history_gone",
        Err(StoreError::InvalidResponse { .. }) => "bad_answer",
    };
    metrics::counter!("store_calls", "outcome" => outcome).increment(1);
    metrics::histogram!("store_call_seconds").record(now.since(started).as_secs_f64());
}
