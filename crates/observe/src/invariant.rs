//! Invariants that programs check while they run.

use std::panic::Location;

/// Counts and logs a broken invariant with its place.
///
/// # Panics
///
/// When the invariant is broken, in builds with debug assertions.
#[track_caller]
pub fn check_invariant(is_held: bool, name: &'static str, detail: impl FnOnce() -> String) {
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
