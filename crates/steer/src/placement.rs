//! Placement: selects the target of a new flow.
//!
//! Placement is designed for the crest of a load swing, when targets with two slots and a short
//! queue shed the requests that do not fit. A flow placed at a busy target waits or is shed while
//! another slot is free, and a long flow cannot be moved later. The requests in progress are those
//! that pass through this VM and, at a coordinator, those that the other VMs of the zone report
//! ([`zone_load`](crate::zone_load)).
//!
//! The target with the fewest requests in progress per slot is selected; among equal targets, the
//! target with the fewest flows. At a target that is known to be slower or faster than usual, the
//! difference between its expected response time and that of a usual target with as many requests
//! in progress is added ([`target_speed`](crate::target_speed)). Targets in the zone of this VM are
//! preferred until their cost exceeds that of a remote target: a zone that is cut off then keeps its
//! flows, and the load that other VMs place on a remote target may not be visible to this VM.
//! Unresponsive targets are selected last, so that a service with at least one target always has a
//! candidate.

use bambooseam_types::Moment;

use crate::load::Load;
use crate::target_table::TargetIndex;
use crate::zone_load::remote::SPILL_PERCENT;

/// Cost of one request in progress at a target with one slot.
const REQUEST_COST: u64 = 1_000;

/// Additional cost of a target in another zone: three requests in progress at a target with two
/// slots. This is about the part of the remote zone's own work at the crest that is not visible to
/// this VM.
const REMOTE_COST: u64 = 1_500;

/// Additional cost of a target in another zone whose load is known and below [`SPILL_PERCENT`]: a
/// zone with half of its slots in use takes openings once the targets of this zone, with two slots,
/// have three requests each.
const KNOWN_REMOTE_COST: u64 = 600;

/// A target that may take a new flow.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Index of the target.
    pub target: TargetIndex,
    /// Load as observed by this VM.
    pub load: &'a Load,
    /// Requests in progress, as far as this VM knows.
    pub in_progress: u32,
    /// Number of requests that the target processes at a time.
    pub capacity: u32,
    /// Expected response time of the next request, in percent of that of a usual target of the
    /// service with as many requests in progress.
    pub expected_percent: u32,
    /// Cost of a request while the target is slow after its start, in percent of the usual cost.
    pub cold_percent: u64,
    /// Whether the target is in the zone of this VM.
    pub is_local: bool,
    /// Load of the service in the target's zone in percent, if it is another zone and known.
    pub remote_percent: Option<u16>,
    /// Whether the target or its zone is unresponsive.
    pub is_unresponsive: bool,
}

/// Sort key of a candidate: unresponsiveness, cost, flows, and a hash that differs between flows.
type Rank = (bool, i64, u64, u64);

/// Selects the target of a new flow. The hash `tie` spreads flows over targets that are otherwise
/// equal. Returns `None` only if there are no candidates.
pub fn place<'a>(
    candidates: impl IntoIterator<Item = Candidate<'a>>,
    tie: u64,
    now: Moment,
) -> Option<TargetIndex> {
    let mut best: Option<(Rank, TargetIndex)> = None;
    for candidate in candidates {
        let rank = rank(&candidate, tie, now);
        if best.is_some_and(|(best_rank, _)| best_rank <= rank) {
            continue;
        }
        best = Some((rank, candidate.target));
    }
    best.map(|(_, target)| target)
}

fn rank(candidate: &Candidate<'_>, tie: u64, now: Moment) -> Rank {
    let load = candidate.load;
    let capacity = u64::from(candidate.capacity.max(1));
    let percent = match load.is_cold(now) {
        true => candidate.cold_percent,
        false => 100,
    };
    // Includes the request to be placed, so that an idle cold target costs more than an idle warm
    // target.
    let busy = u64::from(candidate.in_progress) + 1;
    let remote = match (candidate.is_local, candidate.remote_percent) {
        (true, _) => 0,
        (false, Some(percent)) if percent < SPILL_PERCENT => KNOWN_REMOTE_COST,
        (false, _) => REMOTE_COST,
    };
    let usual_cost = busy * REQUEST_COST * percent / 100 / capacity + remote;
    // A request waits while more requests than slots are in progress, and never takes less time
    // than the target needs for it.
    let response_cost = (busy * REQUEST_COST / capacity).max(REQUEST_COST) as i64;
    let difference = i64::from(candidate.expected_percent) - 100;
    let cost = usual_cost as i64 + response_cost * difference / 100;
    let flows = u64::from(load.flows) * REQUEST_COST / capacity;
    let spread = (tie ^ u64::from(candidate.target.get())).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (candidate.is_unresponsive, cost, flows, spread)
}
