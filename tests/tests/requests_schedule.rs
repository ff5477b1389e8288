//! Slot scheduling, queues and the crest of a load swing, in virtual time.

use std::thread;
use std::time::Duration;

use bambooseam_config::WorkClass;
use bambooseam_measure::requests::comparison::Comparison;
use bambooseam_measure::requests::crest::{Failure, run, run_naive};
use bambooseam_proxy::RetryBudget;
use bambooseam_proxy::slots::{
    ClassEstimator, DrainMeter, Health, Policy, Refusal, SlotOwner, SlotRequest, TargetSlots,
    WorkOutcome,
};
use tokio::time::{advance, timeout};

fn slot_request(class: WorkClass) -> SlotRequest {
    SlotRequest {
        class,
        waited: Duration::ZERO,
        may_wait: false,
        owners: 1,
        is_remote: false,
        avoid: Vec::new(),
        service_time: Duration::ZERO,
        short_fraction: None,
    }
}

fn targets(count: usize) -> Vec<TargetSlots> {
    let target = |n| TargetSlots {
        id: format!("t{n}").parse().expect("a name"),
        limit: 2,
        is_open: true,
    };
    (0..count).map(target).collect()
}

#[test]
fn long_work_hardly_delays_short_work() {
    for (targets, limit) in [(15, 1.5), (4, 2.0)] {
        let comparison = Comparison::run(2, targets, 30_000);
        assert!(
            comparison.short_ratio() <= limit,
            "p99 ratio of short requests with {targets} targets is {}, at most {limit} allowed",
            comparison.short_ratio()
        );
        assert!(
            comparison.over_ideal() <= 1.25,
            "p99 ratio to the ideal queue with {targets} targets is {}, at most 1.25 allowed",
            comparison.over_ideal()
        );
        assert!(
            comparison.long_ratio() <= 1.3,
            "p99 ratio of long requests with {targets} targets is {}, at most 1.3 allowed",
            comparison.long_ratio()
        );
        // The baseline policies exceed the limit.
        for policy in ["central_fifo", "least_outstanding", "two_choices"] {
            let ratio = comparison.of(policy).short_p99 / comparison.base.short_p99;
            assert!(
                ratio > limit,
                "ratio of {policy} is {ratio}, above {limit} expected"
            );
        }
    }
}

/// Simulates the crest once for each seed, in parallel, and asserts the bounds of each run.
fn assert_bounds(seeds: &[u64], failure: Failure) {
    let start = |seed: &u64| {
        let seed = *seed;
        (seed, thread::spawn(move || run(seed, failure)))
    };
    let runs: Vec<_> = seeds.iter().map(start).collect();
    for (seed, handle) in runs {
        let crest = handle.join().expect("no panic");
        assert!(crest.goodput >= 0.95, "seed {seed} {failure:?} {crest:?}");
        assert!(
            crest.refusal_p99_ms <= 50.0,
            "seed {seed} {failure:?} {crest:?}"
        );
        assert!(crest.recovery_s <= 5.0, "seed {seed} {failure:?} {crest:?}");
        assert!(crest.retries <= 0.1, "seed {seed} {failure:?} {crest:?}");
    }
}

#[test]
fn load_swing_keeps_goodput_and_recovery_within_bounds() {
    assert!(run_naive(1).goodput < 0.95);
    assert_bounds(&[1], Failure::None);
    assert_bounds(&[1], Failure::ColdTargets);
}

#[test]
fn swing_is_ridden_though_a_vm_is_lost() {
    assert_bounds(&[1, 2, 3, 4, 5], Failure::LostVm);
}

#[tokio::test(start_paused = true)]
async fn dropped_waiter_and_dropped_grant_free_their_slots() {
    let owner = SlotOwner::new(Policy::DEFAULT);
    owner.update(Policy::DEFAULT, targets(1), Health::warm);
    let first = owner
        .acquire(slot_request(WorkClass::Short))
        .await
        .expect("a slot");
    let second = owner
        .acquire(slot_request(WorkClass::Short))
        .await
        .expect("a slot");
    assert!(owner.acquire(slot_request(WorkClass::Short)).await.is_err());
    let waiting = SlotRequest {
        may_wait: true,
        ..slot_request(WorkClass::Short)
    };
    let cancelled = timeout(Duration::from_secs(1), owner.acquire(waiting)).await;
    assert!(cancelled.is_err());
    drop(first);
    assert_eq!(owner.status().busy, 1);
    drop(second);
    assert_eq!(owner.status().busy, 0);
}

#[tokio::test(start_paused = true)]
async fn one_slow_response_of_a_new_owner_refuses_nobody() {
    let owner = SlotOwner::new(Policy::DEFAULT);
    owner.update(Policy::DEFAULT, targets(1), Health::warm);
    let acquire = |may_wait| {
        owner.acquire(SlotRequest {
            may_wait,
            ..slot_request(WorkClass::Short)
        })
    };
    let first = acquire(false).await.expect("a slot");
    let _second = acquire(false).await.expect("a slot");
    let mut queue = tokio::task::JoinSet::new();
    for _ in 0..28 {
        let owner = std::sync::Arc::clone(&owner);
        queue.spawn(async move {
            let request = SlotRequest {
                may_wait: true,
                ..slot_request(WorkClass::Short)
            };
            let grant = owner.acquire(request).await?;
            tokio::time::sleep(Duration::from_millis(10)).await;
            grant.finish(WorkOutcome::Served);
            Ok::<(), Refusal>(())
        });
    }
    advance(Duration::from_millis(200)).await;
    first.finish(WorkOutcome::Served);
    let refusal = acquire(false).await.expect_err("all slots are busy");
    // The proxy refuses a request whose expected wait exceeds 40% of its limit of 2 s.
    assert!(refusal.wait <= Duration::from_millis(800), "{refusal:?}");
}

/// Guards against requests that are admitted while long work has left its slots for a moment, and
/// then wait for their whole limit.
#[tokio::test(start_paused = true)]
async fn expected_wait_of_short_work_covers_long_work_that_pauses() {
    let owner = SlotOwner::new(Policy::DEFAULT);
    owner.update(Policy::DEFAULT, targets(5), Health::warm);
    let short = SlotRequest {
        service_time: Duration::from_millis(20),
        ..slot_request(WorkClass::Short)
    };
    let mut long = Vec::new();
    for _ in 0..7 {
        let request = slot_request(WorkClass::Long);
        long.push(owner.acquire(request).await.expect("a slot"));
    }
    let mut running = Vec::new();
    for _ in 0..3 {
        running.push(owner.acquire(short.clone()).await.expect("a slot"));
    }
    advance(Duration::from_secs(5)).await;
    owner.tick();
    let mut queue = tokio::task::JoinSet::new();
    for _ in 0..60 {
        let owner = std::sync::Arc::clone(&owner);
        let request = SlotRequest {
            may_wait: true,
            ..short.clone()
        };
        queue.spawn(async move { owner.acquire(request).await });
    }
    advance(Duration::from_millis(1)).await;
    for grant in long.drain(..6) {
        grant.finish(WorkOutcome::Cancelled);
    }
    let refusal = owner.acquire(short).await.expect_err("all slots are busy");
    // 54 requests of 20 ms wait for the three slots that long work usually leaves: 360 ms.
    assert!(refusal.wait >= Duration::from_millis(300), "{refusal:?}");
}

#[tokio::test(start_paused = true)]
async fn failing_target_is_ejected_within_the_limit_and_returns_with_one_slot() {
    let owner = SlotOwner::new(Policy::DEFAULT);
    owner.update(Policy::DEFAULT, targets(4), Health::warm);
    // All four targets fail; at most 30 percent of them, that is one, may be ejected.
    let waiting = SlotRequest {
        may_wait: true,
        ..slot_request(WorkClass::Short)
    };
    for _ in 0..40 {
        let grant = owner.acquire(waiting.clone()).await.expect("a slot");
        grant.finish(WorkOutcome::Failed);
    }
    assert_eq!(owner.status().ejected, 1);
    advance(Duration::from_secs(3)).await;
    let status = owner.status();
    assert_eq!(status.ejected, 0);
    assert_eq!(
        status.slots, 4,
        "each returning target is limited to one slot"
    );
}

#[tokio::test(start_paused = true)]
async fn cold_target_ramps_up() {
    let owner = SlotOwner::new(Policy::DEFAULT);
    let ramp = Duration::from_secs(10);
    owner.update(Policy::DEFAULT, targets(1), || Health::cold(ramp));
    assert_eq!(owner.status().slots, 1);
    advance(ramp).await;
    assert_eq!(owner.status().slots, 2);
}

#[tokio::test(start_paused = true)]
async fn refused_callers_get_increasing_retry_times() {
    let mut meter = DrainMeter::new();
    for _ in 0..100 {
        meter.record_served(Duration::from_millis(100));
    }
    let service_time = Duration::from_millis(100);
    let first = meter.record_refusal(Duration::ZERO, service_time);
    let mut last = first;
    for _ in 0..100 {
        last = meter.record_refusal(Duration::ZERO, service_time);
    }
    assert!(last > first + Duration::from_secs(5), "{first:?} {last:?}");
}

#[test]
fn retries_stay_within_their_share() {
    let budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit(10);
        retries += u32::from(budget.withdraw());
    }
    assert!(
        (99..=100).contains(&retries),
        "{retries} of 1,000 retries were admitted, 99 or 100 expected"
    );
}

#[test]
fn paths_of_long_requests_are_learned() {
    let mut estimator = ClassEstimator::new();
    for n in 0..200 {
        estimator.record(&format!("/thumb/{n}"), Duration::from_millis(10));
        if n % 20 == 0 {
            estimator.record(&format!("/full/{n}"), Duration::from_millis(500));
        }
    }
    assert_eq!(estimator.class_of("/thumb/new"), WorkClass::Short);
    assert_eq!(estimator.class_of("/full/new"), WorkClass::Long);
}
