//! Survival of flows during changes and failures, with simulated components in virtual time.
//!
//! Most scenarios run twice: under a baseline policy that must break flows, which shows that the
//! test detects broken flows, and under the policy of the program.

use std::time::Duration;

use bambooseam_forwarder::Tracking;
use bambooseam_forwarder::pick::{BoundedPick, HashPick, Pick};
use bambooseam_measure::flows::balance;
use bambooseam_measure::flows::caller::{FlowState, Profile};
use bambooseam_measure::flows::fleet::Fleet;
use bambooseam_measure::flows::scenario::{Outcome, Scenario, any_scenario, start};
use bambooseam_standin::{DeploymentKind, Plan};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Seed of the scenario runs, and the first new seed of the random series.
const SEED: u64 = 20_261_203;
/// Seeds of random series that have found a fault.
const FOUND_SEEDS: [u64; 7] = [
    20_261_205, 20_261_214, 20_261_229, 20_261_231, 20_261_332, 20_261_371, 20_261_592,
];
/// Number of flows of a run.
const FLOWS: usize = 1_000;
/// Maximum ratio of a target's flows to the mean, by weight.
const MAX_IMBALANCE: f64 = 1.05;

fn run(scenario: Scenario) -> Outcome {
    scenario.run(FLOWS, SEED, Tracking::OwnerShadow, BoundedPick::default())
}

fn run_stateless(scenario: Scenario) -> Outcome {
    scenario.run(FLOWS, SEED, Tracking::Stateless, HashPick)
}

fn run_without_shadow(scenario: Scenario) -> Outcome {
    scenario.run(FLOWS, SEED, Tracking::Owner, BoundedPick::default())
}

/// Asserts the guarantees that hold in every run, regardless of failures.
fn assert_safe(outcome: &Outcome) {
    assert_eq!(
        outcome.wrong_service, 0,
        "packets delivered to a wrong service"
    );
    assert_eq!(outcome.violations, 0, "violated invariants");
}

/// Asserts that `scenario` breaks no flow.
fn assert_unbroken(scenario: Scenario) {
    let outcome = run(scenario);
    assert_safe(&outcome);
    assert_eq!(outcome.broken, 0, "flows broken by {scenario}");
}

/// Asserts that the stateless policy breaks flows and the policy of the program breaks none.
fn assert_better_than_stateless(scenario: Scenario) {
    assert!(
        run_stateless(scenario).broken > 0,
        "the baseline must break flows"
    );
    assert_unbroken(scenario);
}

#[test]
fn forwarder_joins() {
    assert_unbroken(Scenario::ForwarderJoins);
}

#[test]
fn forwarder_leaves() {
    assert_unbroken(Scenario::ForwarderLeaves);
}

#[test]
fn all_forwarders_are_replaced() {
    assert_unbroken(Scenario::ForwardersReplaced);
}

#[test]
fn target_joins() {
    assert_better_than_stateless(Scenario::TargetJoins);
}

#[test]
fn target_drains() {
    assert_better_than_stateless(Scenario::TargetDrains);
    assert_eq!(run(Scenario::TargetDrains).new_to_leaving, 0);
}

#[test]
fn zone_is_evacuated() {
    // Without the section of the zone in the list, its targets would get new flows.
    assert_better_than_stateless(Scenario::ZoneEvacuated);
    assert_eq!(run(Scenario::ZoneEvacuated).new_to_leaving, 0);
}

#[test]
fn preset_switches() {
    assert_unbroken(Scenario::PresetSwitches);
}

#[test]
fn changes_at_once() {
    assert_better_than_stateless(Scenario::ChangesAtOnce);
}

#[test]
fn views_are_uneven() {
    assert_better_than_stateless(Scenario::UnevenViews);
}

#[test]
fn flows_are_silent_for_an_hour() {
    assert_better_than_stateless(Scenario::SilentHour);
}

#[test]
fn address_goes_to_another_service() {
    assert_better_than_stateless(Scenario::AddressReused);
}

#[test]
fn one_forwarder_dies() {
    let scenario = Scenario::ForwarderKilled;
    assert!(
        run_without_shadow(scenario).broken > 0,
        "the baseline must break flows"
    );
    assert_unbroken(scenario);
}

#[test]
fn forwarder_is_frozen_and_wakes_with_its_old_view() {
    assert_better_than_stateless(Scenario::ForwarderFrozen);
    assert!(run_without_shadow(Scenario::ForwarderFrozen).broken > 0);
}

#[test]
fn target_dies() {
    assert_unbroken(Scenario::TargetDies);
}

#[test]
fn two_forwarders_die() {
    let scenario = Scenario::TwoKilled;
    let without_shadow = run_without_shadow(scenario);
    let outcome = run(scenario);
    assert_safe(&outcome);
    assert!(outcome.broken < without_shadow.broken);
    // Two killed forwarders are the owner and the shadow of a flow in one of ten pairs.
    assert!(outcome.broken <= outcome.flows / 10);
}

#[test]
fn zone_is_cut_off() {
    let outcome = run(Scenario::Partition);
    assert_safe(&outcome);
    assert!(outcome.broken < run_without_shadow(Scenario::Partition).broken);
}

#[test]
fn data_of_a_syn_is_not_forwarded() {
    let mut fleet = start(SEED, Tracking::OwnerShadow, BoundedPick::default());
    let profile = Profile::feeds(&Plan::of(DeploymentKind::Cascade)).with_fast_open();
    fleet.open_flows(300, Duration::from_secs(5), profile);
    fleet.run_for(Duration::from_secs(20));
    assert!(fleet.sum(|counters| counters.syn_stripped) >= 300);
    assert_eq!(fleet.tally.syn_data, 0);
    assert!(fleet.flows().iter().all(|flow| flow.bound.is_some()));
}

#[test]
fn records_of_ended_flows_are_removed() {
    let mut fleet = start(SEED, Tracking::OwnerShadow, BoundedPick::default());
    let profile = Profile::feeds(&Plan::of(DeploymentKind::Cascade));
    let short = profile.clone().with_lifetime(Duration::from_secs(30));
    fleet.open_flows(500, Duration::from_secs(5), short);
    fleet.open_flows(100, Duration::from_secs(5), profile);
    fleet.run_for(Duration::from_secs(400));
    let records: usize = fleet
        .running()
        .iter()
        .map(|n| fleet.forwarder(*n).table().len())
        .sum();
    // Only the owner and the shadow of each open flow keep a record.
    assert_eq!(records, 200);
    let open = fleet
        .flows()
        .iter()
        .filter(|flow| flow.state == FlowState::Open)
        .count();
    assert_eq!(open, 100);
}

#[test]
fn targets_are_balanced() {
    let tracking = Tracking::OwnerShadow;
    let hash = balance::measure(3_000, SEED, tracking, HashPick);
    assert!(
        hash.steady > MAX_IMBALANCE,
        "the baseline must exceed the limit"
    );
    let bounded = balance::measure(3_000, SEED, tracking, BoundedPick::default());
    assert!(bounded.steady <= MAX_IMBALANCE, "{bounded:?}");
}

/// Runs a random series of changes and failures, and returns the fleet with the tally of broken
/// flows.
fn run_series(
    seed: u64,
    steps: usize,
    is_included: fn(Scenario) -> bool,
) -> Fleet<impl Pick + Clone> {
    let mut fleet = start(seed, Tracking::OwnerShadow, BoundedPick::default());
    let plan = Plan::of(DeploymentKind::Cascade);
    let mut rng = StdRng::seed_from_u64(seed);
    for step in 0..steps {
        let scenario = any_scenario(&mut rng);
        if !is_included(scenario) || fleet.running().len() < 4 {
            Scenario::ForwarderJoins.apply(&mut fleet);
            continue;
        }
        let gap = Duration::from_secs(rng.random_range(1..60));
        let feeds = Profile::feeds(&plan).with_interval(gap);
        fleet.open_flows(150, Duration::from_secs(20), feeds.clone());
        fleet.open_flows(20, Duration::from_secs(20), feeds.over_udp());
        fleet.run_for(Duration::from_secs(rng.random_range(0..30)));
        println!("seed={seed} step={step} scenario={scenario}");
        scenario.apply(&mut fleet);
        assert_eq!(
            fleet.tally.wrong_service, 0,
            "seed {seed}, after {scenario}"
        );
        assert_eq!(fleet.sum(|counters| counters.violations), 0, "seed {seed}");
    }
    fleet.run_for(Duration::from_secs(120));
    fleet
}

/// Returns the seeds that have found a fault, followed by as many new seeds as
/// `BAMBOOSEAM_FLOW_RUNS` specifies, by default 2.
fn seeds() -> Vec<u64> {
    let requested = std::env::var("BAMBOOSEAM_FLOW_RUNS").ok();
    let count = requested.and_then(|text| text.parse().ok()).unwrap_or(2);
    FOUND_SEEDS.into_iter().chain(SEED..SEED + count).collect()
}

#[test]
fn planned_changes_by_chance_break_nothing() {
    for seed in seeds() {
        let fleet = run_series(seed, 8, |scenario| Scenario::PLANNED.contains(&scenario));
        assert_eq!(fleet.tally.broken, [], "seed {seed}");
    }
}

#[test]
fn planned_changes_of_seed_20261247_break_nothing() {
    let seed = 20_261_247;
    let fleet = run_series(seed, 8, |scenario| Scenario::PLANNED.contains(&scenario));
    assert_eq!(fleet.tally.broken, [], "seed {seed}");
}

#[test]
fn changes_and_failures_by_chance_keep_the_invariants() {
    for seed in seeds() {
        let fleet = run_series(seed, 8, |_| true);
        let broken = fleet.tally.broken.len();
        println!("seed={seed} flows={} broken={broken}", fleet.flows().len());
        assert_eq!(fleet.tally.wrong_service, 0, "seed {seed}");
    }
}
