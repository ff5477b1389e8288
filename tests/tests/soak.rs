//! The soak test program: plans of events, short runs, and reports of violated invariants.

use std::time::Duration;

use bambooseam_soak::regressions::{DEFAULT_SIZE, REGRESSIONS};
use bambooseam_soak::{Event, Outcome, Plan, PlanSize, Violation, chart, run};
use bambooseam_tests::programs::program;
use tokio::sync::Mutex;

const SHORT: PlanSize = PlanSize {
    length: Duration::from_secs(30),
    vms: 4,
    has_restores: false,
    has_restarts: false,
    has_lapses: false,
};

/// Seeds of the short runs, which run in parallel.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Held by the runs with restores, with restarts and with lapses, so that CI runs at most five sites at a time.
static EXTRA_RUN: Mutex<()> = Mutex::const_new(());

#[test]
fn same_seed_gives_the_same_plan() {
    for seed in 0..50 {
        let plan = Plan::generate(seed, DEFAULT_SIZE);
        assert_eq!(plan, Plan::generate(seed, DEFAULT_SIZE));
        assert_ne!(plan, Plan::generate(seed + 1, DEFAULT_SIZE));
        assert!(plan.events.is_sorted_by_key(|(at, _)| *at));
    }
}

#[test]
fn plans_contain_every_kind_of_event_and_end_without_faults() {
    let mut kinds = Vec::new();
    for seed in 0..200 {
        let plan = Plan::generate(seed, DEFAULT_SIZE);
        let names = plan.events.iter().map(|(_, event)| event.to_string());
        kinds.extend(names.filter_map(|name| name.split(' ').next().map(str::to_owned)));
        assert!(plan.faults_end() + Duration::from_secs(12) < DEFAULT_SIZE.length);
        let is_start = |event: &Event| matches!(event, Event::Start(_) | Event::Resume(_));
        let is_end =
            |event: &Event| matches!(event, Event::Kill(_) | Event::Stop(_) | Event::Pause(_));
        let count = |matches_kind: &dyn Fn(&Event) -> bool| {
            plan.events
                .iter()
                .filter(|(_, event)| matches_kind(event))
                .count()
        };
        assert_eq!(count(&is_start), count(&is_end), "seed {seed}");
    }
    kinds.sort();
    kinds.dedup();
    assert_eq!(kinds.len(), 20, "{kinds:?}");
}

#[test]
fn vm_is_disturbed_during_a_fault_and_the_time_after_it() {
    let plan = (0..100)
        .map(|seed| Plan::generate(seed, DEFAULT_SIZE))
        .find(|plan| matches!(plan.events.first(), Some((_, Event::Kill(_)))))
        .expect("a plan that begins with a kill");
    let (at, Event::Kill(vm)) = plan.events[0] else {
        unreachable!("the plan was selected by its first event");
    };
    let second = Duration::from_secs(1);
    assert!(plan.is_undisturbed(vm, Duration::ZERO, at - Duration::from_millis(1)));
    assert!(!plan.is_undisturbed(vm, Duration::ZERO, at));
    assert!(!plan.is_undisturbed(vm, at + second, at + 2 * second));
    assert!(!plan.are_all_undisturbed(at, at + second));
    let after = plan.faults_end() + Duration::from_millis(4_001);
    assert!(plan.are_all_undisturbed(after, after + second));
}

#[test]
fn violation_is_reported_with_the_surrounding_log_lines_and_drawn() {
    let plan = Plan::generate(1, SHORT);
    let at = Duration::from_secs(5);
    let line = |millis: u64, text: &str| (Duration::from_millis(millis), text.to_owned());
    let outcome = Outcome {
        violations: vec![Violation {
            at,
            invariant: "broken_flows",
            detail: "count=1".into(),
        }],
        lines: vec![line(3_000, "long before"), line(4_900, "just before")],
        ..Outcome::default()
    };
    let text = outcome.to_string();
    assert!(
        text.contains("broken=broken_flows at_ms=5000 count=1"),
        "{text}"
    );
    assert!(
        text.contains("just before") && !text.contains("long before"),
        "{text}"
    );
    assert!(text.ends_with("result=broken"), "{text}");
    let svg = chart::draw(&plan, &outcome);
    assert!(
        svg.starts_with("<svg") && svg.contains("broken_flows"),
        "{svg}"
    );
    for (_, event) in &plan.events {
        assert!(svg.contains(&event.to_string()), "{event}");
    }
}

#[test]
fn restores_are_added_to_the_plan_of_a_seed() {
    let size = PlanSize {
        has_restores: true,
        ..DEFAULT_SIZE
    };
    for seed in 0..50 {
        let plan = Plan::generate(seed, DEFAULT_SIZE);
        let with_restores = Plan::generate(seed, size);
        let is_restore = |event: &Event| matches!(event, Event::StoreReturns(_));
        let restores = with_restores
            .events
            .iter()
            .filter(|(_, event)| is_restore(event));
        assert!(restores.count() > 0, "seed {seed}");
        let is_kept = |event: &(Duration, Event)| with_restores.events.contains(event);
        assert!(plan.events.iter().all(is_kept), "seed {seed}");
        assert!(with_restores.faults_end() + Duration::from_secs(12) < size.length);
    }
}

#[test]
fn restarts_are_added_to_the_plan_of_a_seed() {
    let size = PlanSize {
        has_restarts: true,
        ..DEFAULT_SIZE
    };
    for seed in 0..50 {
        let plan = Plan::generate(seed, DEFAULT_SIZE);
        let with_restarts = Plan::generate(seed, size);
        let count = |is_kind: fn(&Event) -> bool| {
            let events = with_restarts.events.iter();
            events.filter(|(_, event)| is_kind(event)).count()
        };
        let restarts = count(|event| matches!(event, Event::Restart(_)));
        let ends = count(|event| matches!(event, Event::Reconnect));
        assert!(restarts > 0, "seed {seed}");
        assert_eq!(restarts, ends, "seed {seed}");
        let is_kept = |event: &(Duration, Event)| with_restarts.events.contains(event);
        assert!(plan.events.iter().all(is_kept), "seed {seed}");
    }
}

#[test]
fn lapses_are_added_to_the_plan_of_a_seed() {
    let size = PlanSize {
        has_lapses: true,
        ..DEFAULT_SIZE
    };
    let mut restarts = 0;
    for seed in 0..50 {
        let plan = Plan::generate(seed, DEFAULT_SIZE);
        let with_lapses = Plan::generate(seed, size);
        let count = |plan: &Plan, is_kind: fn(&Event) -> bool| {
            let events = plan.events.iter();
            events.filter(|(_, event)| is_kind(event)).count()
        };
        let added = |is_kind| count(&with_lapses, is_kind) - count(&plan, is_kind);
        let outages = added(|event| {
            matches!(
                event,
                Event::StoreUnavailable(true) | Event::WritersUnavailable(true)
            )
        });
        let ends = added(|event| {
            matches!(
                event,
                Event::StoreUnavailable(false) | Event::WritersUnavailable(false)
            )
        });
        assert!(outages > 0, "seed {seed}");
        assert_eq!(outages, ends, "seed {seed}");
        let drains = added(|event| matches!(event, Event::Drain(_)));
        assert_eq!(drains, 2 * outages, "seed {seed}");
        assert_eq!(drains, added(|event| matches!(event, Event::Leave)));
        let stops = added(|event| matches!(event, Event::Stop(_)));
        assert_eq!(stops, added(|event| matches!(event, Event::Start(_))));
        restarts += stops;
        let is_kept = |event: &(Duration, Event)| with_lapses.events.contains(event);
        assert!(plan.events.iter().all(is_kept), "seed {seed}");
        assert!(with_lapses.faults_end() + Duration::from_secs(12) < size.length);
    }
    assert!(restarts > 50, "{restarts}");
}

/// Runs a short plan with further events, of which one runs at a time.
async fn check_extra_run(size: PlanSize) {
    let _permit = EXTRA_RUN.lock().await;
    let plan = Plan::generate(SEEDS[0], size);
    let outcome = run(&plan, program("bambooseam-entry"))
        .await
        .expect("a run");
    assert!(outcome.violations.is_empty(), "{outcome}");
    assert!(outcome.served > 500, "{outcome}");
}

#[tokio::test(flavor = "multi_thread")]
async fn short_run_with_restarts_violates_no_invariant() {
    let size = PlanSize {
        has_restarts: true,
        ..SHORT
    };
    check_extra_run(size).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn short_run_with_lapses_violates_no_invariant() {
    let size = PlanSize {
        has_lapses: true,
        ..SHORT
    };
    check_extra_run(size).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn short_run_with_restores_violates_no_invariant() {
    let size = PlanSize {
        has_restores: true,
        ..SHORT
    };
    check_extra_run(size).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn short_runs_violate_no_invariant() {
    let program = program("bambooseam-entry");
    let mut runs = Vec::new();
    for seed in SEEDS {
        let program = program.clone();
        runs.push(tokio::spawn(async move {
            run(&Plan::generate(seed, SHORT), program).await
        }));
    }
    for (seed, handle) in SEEDS.into_iter().zip(runs) {
        let outcome = handle.await.expect("no panic").expect("a run");
        assert!(outcome.violations.is_empty(), "seed {seed}\n{outcome}");
        assert!(outcome.served > 500, "seed {seed} {outcome}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn regression_seeds_violate_no_invariant() {
    for regression in REGRESSIONS {
        let plan = Plan::generate(regression.seed, regression.size);
        let outcome = run(&plan, program("bambooseam-entry")).await;
        let outcome = outcome.expect("a run");
        assert!(
            outcome.violations.is_empty(),
            "{}\n{outcome}",
            regression.cause
        );
    }
}
