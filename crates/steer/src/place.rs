//! Placement: the target of a new flow.
//!
//! Load pattern: the crest of a swing, with targets of two slots and a short queue that shed what
//! does not fit. A flow placed behind a busy target waits or is shed while another slot is free,
//! and a long flow stays where it was placed. Each VM sees the requests that pass through it; the
//! fabric keeps a flow at one VM, so a VM sees most of its zone's work without asking anybody.
//!
//! The target with the fewest requests in progress for each slot is taken, then the one with the
//! fewest flows. Targets of the own zone come first until they have [`FAR_COST`] more in progress:
//! a zone that is cut off then keeps its flows whole, and what other VMs sent to a far target is
//! not visible here. Silent targets come last, so that a service always has one.

use bambooseam_types::Moment;

use crate::load::Load;
use crate::target_table::TargetIndex;

/// Cost of one request in progress at a target with one slot.
const REQUEST_COST: u64 = 1_000;

/// Cost of a target in another zone: three requests in progress at a target with two slots, about
/// the share of its own zone's work at the crest that is not visible here.
const FAR_COST: u64 = 1_500;

/// Cost of a request at a target that is slow after its start, in percent; the users' targets take
/// 1.6 times as long then.
const COLD_PERCENT: u64 = 160;

/// A target that may take a new flow.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its place in the roster.
    pub slot: TargetIndex,
    /// What this VM sees of its load.
    pub load: &'a Load,
    /// Requests that it works on at a time.
    pub capacity: u32,
    /// Whether it is in this VM's zone.
    pub is_near: bool,
    /// Whether it, or its zone, does not answer.
    pub is_silent: bool,
}

/// Order of candidates: silence, cost, flows, and a hash that differs from flow to flow.
type Rank = (bool, u64, u64, u64);

/// The target of a new flow; `tie` spreads flows over targets that are equal otherwise.
pub fn place<'a>(
    candidates: impl IntoIterator<Item = Candidate<'a>>,
    tie: u64,
    now: Moment,
) -> Option<TargetIndex> {
    let mut best: Option<(Rank, TargetIndex)> = None;
    for candidate in candidates {
        let rank = rank(&candidate, tie, now);
        if best.is_some_and(|(held, _)| held <= rank) {
            continue;
        }
        best = Some((rank, candidate.slot));
    }
    best.map(|(_, slot)| slot)
}

fn rank(candidate: &Candidate<'_>, tie: u64, now: Moment) -> Rank {
    let load = candidate.load;
    let capacity = u64::from(candidate.capacity.max(1));
    let percent = match load.is_cold(now) {
        true => COLD_PERCENT,
        false => 100,
    };
    // The request to be placed counts, so that a cold target differs from a warm one when idle.
    let busy = u64::from(load.busy) + 1;
    let far = match candidate.is_near {
        true => 0,
        false => FAR_COST,
    };
    let cost = busy * REQUEST_COST * percent / 100 / capacity + far;
    let flows = u64::from(load.flows) * REQUEST_COST / capacity;
    let spread = (tie ^ u64::from(candidate.slot.get())).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (candidate.is_silent, cost, flows, spread)
}
