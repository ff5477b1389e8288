//! Task that keeps the copy up to date from the platform's store.

use std::time::Duration;

use bambooseam_peer::Backoff;
use bambooseam_platform::{Store, StoreError};
use bambooseam_types::Clock;
use tokio::time::sleep;

use crate::BootClock;
use crate::node::{SharedNode, Source};

/// Longest wait of one watch. With the time limit of the call it stays below the least bound that
/// the users set for a change (3 s), also when the connection has gone silent.
const WATCH_TIME: Duration = Duration::from_millis(1_000);

/// Pause after a change, so that those which follow it come in one call: a tenth of the least
/// bound for a change.
const GATHER_TIME: Duration = Duration::from_millis(300);

/// Shortest and longest pause after a failed call.
const RETRY_LEAST: Duration = Duration::from_millis(50);
const RETRY_MOST: Duration = Duration::from_millis(500);

/// Reads and watches until dropped.
pub async fn run(mut store: Store, node: SharedNode) {
    let mut backoff = Backoff::new(RETRY_LEAST, RETRY_MOST);
    let mut has_history = true;
    let mut failing: Option<StoreError> = None;
    loop {
        let after = node.borrow().replica().upto().filter(|_| has_history);
        let asked = BootClock.now();
        let result = match after {
            Some(after) => store.watch(after, WATCH_TIME).await,
            None => store.read_all().await,
        };
        let now = BootClock.now();
        note_call(&result, asked, now);
        let changes = match result {
            Ok(changes) => changes,
            Err(StoreError::HistoryGone) => {
                log::info!("event=store_history_gone after={after:?} outcome=read_all");
                has_history = false;
                continue;
            }
            Err(error) => {
                node.borrow_mut().note_outage(now);
                if failing.as_ref() != Some(&error) {
                    log::warn!("event=store_lost cause={:?}", error.to_string());
                }
                failing = Some(error);
                sleep(backoff.pause(Duration::ZERO)).await;
                continue;
            }
        };
        if let Some(error) = failing.take() {
            node.borrow_mut().note_outage(now);
            log::info!("event=store_regained after={:?}", error.to_string());
        }
        backoff.reset();
        let is_quiet = changes.list.is_empty();
        // A watch is answered at its end; the pages of a reading only tell what was there before.
        let synced = match changes.after {
            Some(_) => now,
            None => asked,
        };
        has_history = node.borrow_mut().take(changes, synced, now, Source::Store);
        if !is_quiet {
            sleep(GATHER_TIME).await;
        }
    }
}

/// Counts a call and its time.
fn note_call<T>(
    result: &Result<T, StoreError>,
    asked: bambooseam_types::Moment,
    now: bambooseam_types::Moment,
) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(StoreError::Unreachable { .. }) => "unreachable",
        Err(StoreError::Silent) => "silent",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::HistoryGone) => "history_gone",
        Err(StoreError::BadAnswer { .. }) => "bad_answer",
    };
    metrics::counter!("store_calls", "outcome" => outcome).increment(1);
    metrics::histogram!("store_call_seconds").record(now.since(asked).as_secs_f64());
}
