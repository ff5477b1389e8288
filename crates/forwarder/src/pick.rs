//! Policies that pick the target of a new flow.
//!
//! Only the owner of a flow picks; the other forwarders learn the target from it. All policies use
//! weighted rendezvous hashing and differ in how far the load of the targets counts.

use std::time::Duration;

use bambooseam_view::{FlowKey, pick_weighted};

use crate::Moment;
use crate::target::{TargetNumber, TargetRegistry};
use crate::topology::{Candidate, Group};

/// Smallest share of its weight that a target has just after it joined.
const MIN_RAMP_SHARE: f64 = 0.1;

/// Fraction by which a target may exceed its fair share of flows.
const SLACK: f64 = 0.01;

/// Salt that makes the second of two choices independent of the first.
const SECOND_CHOICE_SALT: u64 = 0x9E37_79B9_7F4A_7C15;

/// A policy that picks the target of a new flow.
pub trait Pick {
    /// Returns the target of a new flow, or `None` when no candidate is open.
    fn pick(&self, key: FlowKey, group: &Group, loads: &Loads<'_>) -> Option<TargetNumber>;
}

/// Load of the targets as this forwarder knows it.
#[derive(Debug)]
pub struct Loads<'a> {
    /// Registry with the number of flows of each target.
    pub targets: &'a TargetRegistry,
    /// Current time.
    pub now: Moment,
}

/// Weighted rendezvous hashing without regard to load.
#[derive(Debug, Clone, Copy, Default)]
pub struct HashPick;

/// Weighted rendezvous hashing with bounded load: a target above its fair share is replaced by the
/// least loaded one.
///
/// Most flows get the target that the hash alone picks, so that few flows have to be handed over.
#[derive(Debug, Clone, Copy)]
pub struct BoundedPick {
    /// Fraction by which a target may exceed its fair share of flows.
    pub slack: f64,
}

impl Default for BoundedPick {
    fn default() -> Self {
        Self { slack: SLACK }
    }
}

/// The less loaded of two weighted rendezvous picks.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoicesPick;

impl Loads<'_> {
    fn flows(&self, candidate: &Candidate) -> f64 {
        f64::from(self.targets.get(candidate.number).flows)
    }

    /// Returns the weight of a candidate, reduced during its ramp after it joined.
    fn weight(&self, candidate: &Candidate, ramp: Duration) -> f64 {
        let weight = f64::from(candidate.weight.get());
        let Some(joined) = self.targets.get(candidate.number).joined else {
            return weight;
        };
        let age = self.now.since(joined).as_secs_f64();
        let fraction = age / ramp.as_secs_f64().max(f64::MIN_POSITIVE);
        weight * fraction.clamp(MIN_RAMP_SHARE, 1.0)
    }
}

impl Pick for HashPick {
    fn pick(&self, key: FlowKey, group: &Group, _loads: &Loads<'_>) -> Option<TargetNumber> {
        pick_among(key, group, |_| true)
    }
}

impl Pick for BoundedPick {
    fn pick(&self, key: FlowKey, group: &Group, loads: &Loads<'_>) -> Option<TargetNumber> {
        let mut flows = 1.0;
        let mut weights = 0.0;
        for candidate in &group.candidates {
            if !candidate.is_open {
                continue;
            }
            flows += loads.flows(candidate);
            weights += loads.weight(candidate, group.ramp);
        }
        let share = |candidate: &Candidate| flows * loads.weight(candidate, group.ramp) / weights;
        let first = pick_among(key, group, |_| true)?;
        let mut least_loaded = None;
        let mut lowest_load = f64::INFINITY;
        for candidate in &group.candidates {
            if !candidate.is_open {
                continue;
            }
            let load = loads.flows(candidate) / share(candidate);
            if candidate.number == first && load < 1.0 + self.slack {
                return Some(first);
            }
            if load < lowest_load {
                lowest_load = load;
                least_loaded = Some(candidate.number);
            }
        }
        least_loaded
    }
}

impl Pick for TwoChoicesPick {
    fn pick(&self, key: FlowKey, group: &Group, loads: &Loads<'_>) -> Option<TargetNumber> {
        let first = pick_among(key, group, |_| true)?;
        let second_key = FlowKey::from(key.get() ^ SECOND_CHOICE_SALT);
        let Some(second) = pick_among(second_key, group, |candidate| candidate.number != first)
        else {
            return Some(first);
        };
        let load = |number| {
            let candidate = group.candidates.iter().find(|c| c.number == number);
            candidate.map_or(f64::INFINITY, |candidate| {
                (loads.flows(candidate) + 1.0) / loads.weight(candidate, group.ramp)
            })
        };
        match load(second) < load(first) {
            true => Some(second),
            false => Some(first),
        }
    }
}

/// Returns the weighted rendezvous pick among the open candidates for which `is_included` holds.
fn pick_among(
    key: FlowKey,
    group: &Group,
    is_included: impl Fn(&Candidate) -> bool,
) -> Option<TargetNumber> {
    let included = group
        .candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.is_open && is_included(candidate));
    let picked = pick_weighted(key, included.map(|(at, c)| (at, c.hash, c.weight)))?;
    Some(group.candidates[picked].number)
}
