//! Invariants that are checked while the agent runs.

use std::panic::Location;

/// Counts and logs a broken invariant with its place; panics under `debug_assertions`.
#[track_caller]
pub(crate) fn check(is_held: bool, name: &'static str, detail: impl FnOnce() -> String) {
    if is_held {
        return;
    }
    let place = Location::caller();
    let detail = detail();
    metrics::counter!("invariants_broken", "name" => name).increment(1);
    log::error!("event=invariant_broken name={name} place={place} detail={detail:?}");
    if cfg!(debug_assertions) {
        panic!("invariant {name} is broken at {place}: {detail}");
    }
}
