//! Invariants that programs check at run time, in release builds as well.

use std::panic::Location;

/// Counts and logs a violated invariant together with the source location of the check; does
/// nothing when the invariant is satisfied.
///
/// `detail` is called only when the invariant is violated.
///
/// # Panics
///
/// Panics if the invariant is violated and debug assertions are enabled.
#[track_caller]
pub fn check_invariant(is_satisfied: bool, name: &'static str, detail: impl FnOnce() -> String) {
    if is_satisfied {
        return;
    }
    let location = Location::caller();
    let detail = detail();
    metrics::counter!("invariants_broken", "name" => name).increment(1);
    log::error!("event=invariant_broken name={name} place={location} detail={detail:?}");
    if cfg!(debug_assertions) {
        panic!("invariant {name} is violated at {location}: {detail}");
    }
}
