//! Unit tests of the membership table, the serving gate, the byte budget and patches, with instants
//! that the tests set.

use std::time::{Duration, Instant};

use bambooseam_agent::{Budget, Health, HealthChange, HeartbeatStatus, Members, ServingGate};
use bambooseam_config::VmList;
use bambooseam_peer::agent::{Heartbeat, Observation, Patch};
use bambooseam_standin::{DeploymentKind, Plan};
use bambooseam_tests::inputs::for_each_input;
use bambooseam_types::{ByteCount, ByteRate, Incarnation, VmId};
use bolero::generator::produce;

/// Twelve VMs in three zones; `vm-001`, `vm-004`, `vm-007` and `vm-010` are in the first zone.
fn list() -> VmList {
    let plan = Plan::of(DeploymentKind::Cascade).with_vms(12);
    plan.build().vms
}

fn vm(number: usize) -> VmId {
    format!("vm-{number:03}").parse().expect("valid name")
}

fn heartbeat(incarnation: u64, uptime_s: u64) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation::from(incarnation),
        uptime_s,
    }
}

fn unresponsive(number: usize, observer: usize, since: Heartbeat) -> Observation {
    Observation {
        vm: vm(number),
        heartbeat: since,
        observer: Some(vm(observer)),
    }
}

/// Membership table of `vm-001`.
fn members() -> Members {
    Members::new(vm(1), list().0[0].zone.clone())
}

fn after(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

#[test]
fn suspicion_needs_two_observers() {
    let (list, start) = (list(), Instant::now());
    let mut members = members();
    members.record_heartbeat(&vm(4), heartbeat(100, 5), &list, start);
    members.apply_observation(
        &unresponsive(4, 7, heartbeat(100, 5)),
        &list,
        after(start, 10),
    );
    assert_eq!(members.evaluate(&list, after(start, 10)), []);
    // A repeated observation of the same observer does not count as a second observer.
    members.apply_observation(
        &unresponsive(4, 7, heartbeat(100, 5)),
        &list,
        after(start, 11),
    );
    assert_eq!(members.evaluate(&list, after(start, 11)), []);
    members.apply_observation(
        &unresponsive(4, 10, heartbeat(100, 5)),
        &list,
        after(start, 12),
    );
    let changes = members.evaluate(&list, after(start, 12));
    assert_eq!(
        changes,
        [HealthChange::Suspected(vm(4), vec![vm(7), vm(10)])]
    );
    assert_eq!(members.suspects(), [vm(4)]);
    assert_eq!(
        members.evaluate(&list, after(start, 43)),
        [HealthChange::Dead(vm(4))]
    );
    assert_eq!(members.health(&list.0[3]).0, Health::Dead);
}

#[test]
fn suspect_removed_from_the_list_is_not_reported_as_recovered() {
    let (mut list, start) = (list(), Instant::now());
    let mut members = members();
    members.record_heartbeat(&vm(4), heartbeat(100, 5), &list, start);
    for observer in [7, 10] {
        let observation = unresponsive(4, observer, heartbeat(100, 5));
        members.apply_observation(&observation, &list, after(start, 10));
    }
    let changes = members.evaluate(&list, after(start, 10));
    assert_eq!(
        changes,
        [HealthChange::Suspected(vm(4), vec![vm(7), vm(10)])]
    );
    list.0.retain(|entry| entry.id != vm(4));
    assert_eq!(members.evaluate(&list, after(start, 11)), []);
    assert!(members.suspects().is_empty());
}

#[test]
fn agent_that_restarts_within_seconds_is_not_reported() {
    let (list, start) = (list(), Instant::now());
    let mut members = members();
    members.record_heartbeat(&vm(4), heartbeat(100, 5), &list, start);
    for second in 0..4 {
        members.record_failure(&vm(4), &list, after(start, second));
    }
    assert!(members.is_unresponsive(&vm(4)));
    assert!(members.next_observations(12).is_empty());
    members.record_failure(&vm(4), &list, after(start, 5));
    assert_eq!(members.next_observations(12).len(), 1);
    // Further failures of a reported VM give no new observation.
    while !members.next_observations(12).is_empty() {}
    members.record_failure(&vm(4), &list, after(start, 6));
    assert!(members.next_observations(12).is_empty());
}

#[test]
fn observers_of_other_zones_alone_cause_no_suspicion() {
    let (list, start) = (list(), Instant::now());
    let mut members = members();
    for dead in [2, 5, 8, 11] {
        members.record_heartbeat(&vm(dead), heartbeat(100, 5), &list, start);
        for observer in [3, 6, 4] {
            members.apply_observation(
                &unresponsive(dead, observer, heartbeat(100, 5)),
                &list,
                after(start, 20),
            );
        }
        members.record_failure(&vm(dead), &list, after(start, 20));
        members.record_failure(&vm(dead), &list, after(start, 21));
    }
    let changes = members.evaluate(&list, after(start, 22));
    assert_eq!(
        changes,
        [HealthChange::ZoneUnresponsive(list.0[1].zone.clone())]
    );
    assert!(members.suspects().is_empty());
    // A VM of the zone sends a heartbeat: the zone is no longer unresponsive, and observers in the
    // zone count.
    members.record_heartbeat(&vm(5), heartbeat(100, 40), &list, after(start, 40));
    let changes = members.evaluate(&list, after(start, 40));
    assert_eq!(
        changes,
        [HealthChange::ZoneRecovered(list.0[1].zone.clone())]
    );
    members.apply_observation(
        &unresponsive(2, 5, heartbeat(100, 5)),
        &list,
        after(start, 41),
    );
    members.apply_observation(
        &unresponsive(2, 8, heartbeat(100, 5)),
        &list,
        after(start, 41),
    );
    members.evaluate(&list, after(start, 41));
    assert_eq!(members.suspects(), [vm(2)]);
}

#[test]
fn late_and_replayed_messages_change_nothing() {
    let (list, start) = (list(), Instant::now());
    let mut members = members();
    assert_eq!(
        members.record_heartbeat(&vm(4), heartbeat(200, 50), &list, start),
        HeartbeatStatus::New
    );
    // A message of the previous incarnation, and a message that was received before.
    assert_eq!(
        members.record_heartbeat(&vm(4), heartbeat(100, 900), &list, start),
        HeartbeatStatus::Stale
    );
    assert_eq!(
        members.record_heartbeat(&vm(4), heartbeat(200, 50), &list, after(start, 9)),
        HeartbeatStatus::Unchanged
    );
    // Stale observations of the VM, from before its restart and from before its last heartbeat.
    for observer in [7, 10] {
        members.apply_observation(
            &unresponsive(4, observer, heartbeat(100, 900)),
            &list,
            after(start, 20),
        );
        members.apply_observation(
            &unresponsive(4, observer, heartbeat(200, 30)),
            &list,
            after(start, 20),
        );
    }
    assert_eq!(members.evaluate(&list, after(start, 20)), []);
    // A replayed heartbeat does not refute the suspicion of an unresponsive VM either.
    for observer in [7, 10] {
        members.apply_observation(
            &unresponsive(4, observer, heartbeat(200, 50)),
            &list,
            after(start, 20),
        );
    }
    members.record_heartbeat(&vm(4), heartbeat(200, 50), &list, after(start, 21));
    members.evaluate(&list, after(start, 21));
    assert_eq!(members.suspects(), [vm(4)]);
}

#[test]
fn restart_and_later_heartbeat_refute_a_suspicion() {
    let (list, start) = (list(), Instant::now());
    for refuting in [heartbeat(300, 0), heartbeat(200, 100)] {
        let mut members = members();
        members.record_heartbeat(&vm(4), heartbeat(200, 50), &list, start);
        for observer in [7, 10] {
            members.apply_observation(
                &unresponsive(4, observer, heartbeat(200, 48)),
                &list,
                after(start, 20),
            );
        }
        members.evaluate(&list, after(start, 20));
        assert_eq!(members.suspects(), [vm(4)]);
        let observation = Observation {
            vm: vm(4),
            heartbeat: refuting,
            observer: None,
        };
        members.apply_observation(&observation, &list, after(start, 30));
        let changes = members.evaluate(&list, after(start, 30));
        assert_eq!(changes, [HealthChange::Recovered(vm(4))]);
    }
}

#[test]
fn observers_that_are_not_listed_are_ignored() {
    let (list, start) = (list(), Instant::now());
    let mut members = members();
    members.record_heartbeat(&vm(4), heartbeat(200, 50), &list, start);
    for observer in [7, 98, 99, 4] {
        members.apply_observation(
            &unresponsive(4, observer, heartbeat(200, 50)),
            &list,
            after(start, 20),
        );
    }
    assert_eq!(members.evaluate(&list, after(start, 20)), []);
    for number in 100..400 {
        members.record_heartbeat(&vm(number), heartbeat(1, 1), &list, start);
    }
    assert!(members.unlisted(&list).len() <= 64);
}

#[test]
fn observation_is_gossiped_a_bounded_number_of_times() {
    let (list, start) = (list(), Instant::now());
    let mut members = members();
    members.record_heartbeat(&vm(4), heartbeat(200, 50), &list, start);
    members.apply_observation(&unresponsive(4, 7, heartbeat(200, 50)), &list, start);
    let sends = (0..100)
        .filter(|_| !members.next_observations(850).is_empty())
        .count();
    // The binary logarithm of 850 is 9, rounded down; up to twice as many messages are allowed.
    assert!(
        (9..=18).contains(&sends),
        "{sends} messages contained the observation, 9 to 18 expected"
    );
}

#[test]
fn gate_waits_for_peers_for_a_limited_time() {
    let start = Instant::now();
    let mut gate = ServingGate::new(start, 5);
    gate.count_platform_read();
    for _ in 0..2 {
        gate.count_response();
    }
    assert!(gate.try_open(start, false).is_none());
    gate.count_response();
    assert!(
        gate.try_open(start, true).is_none(),
        "a peer has a newer document, so the gate must stay closed"
    );
    assert!(gate.try_open(start, false).is_some());
    let mut gate = ServingGate::new(start, 5);
    assert!(gate.try_open(after(start, 2), true).is_none());
    assert!(gate.try_open(after(start, 5), true).is_some());
    gate.close_after_pause(after(start, 60));
    assert!(gate.try_open(after(start, 60), false).is_none());
    gate.count_platform_read();
    let opening = gate.try_open(after(start, 60), false).expect("gate open");
    assert!(opening.after_pause);
}

#[test]
fn budget_keeps_the_rate_over_an_hour() {
    let start = Instant::now();
    let mut budget = Budget::new(ByteRate::new(3_000), start);
    let mut sent = 0;
    for second in 0..3_600 {
        budget.settle(after(start, second), ByteCount::new(sent));
        for size in [40_000, 9_000, 1_500] {
            if budget.allows(size) {
                sent += size as u64;
                budget.settle(after(start, second), ByteCount::new(sent));
            }
        }
    }
    // The bucket allows the rate over an hour and one burst of a minute.
    assert!(
        sent <= 3_000 * (3_600 + 60),
        "{sent} bytes sent, at most 3,000 B/s for 3,660 s allowed"
    );
    assert!(
        sent >= 3_000 * 3_400,
        "{sent} bytes sent, at least 3,000 B/s for 3,400 s expected"
    );
    // An update larger than the capacity is admitted whenever the bucket is half full.
    let mut budget = Budget::new(ByteRate::new(3_000), start);
    assert!(budget.allows(700_000));
    budget.settle(start, ByteCount::new(700_000));
    assert!(!budget.allows(2_000));
    // An update as small as a preset pointer is admitted even when the bucket is in debt.
    assert!(budget.allows(200));
    assert!(budget.is_overdrawn());
}

#[test]
fn patch_restores_the_text() {
    let texts = produce::<(Vec<(u8, u8)>, Vec<(u8, u8)>)>();
    for_each_input(&texts, |(base, text)| {
        let write = |sections: &[(u8, u8)]| -> String {
            let line = |(name, value): &(u8, u8)| format!("[s {name}]\nv = {value}\n");
            sections.iter().map(line).collect()
        };
        let (base, text) = (write(base), write(text));
        let patch = Patch::between(7, &base, &text);
        assert_eq!(patch.apply(&base).as_deref(), Ok(text.as_str()));
        assert_eq!(Patch::full(&text).apply("").as_deref(), Ok(text.as_str()));
    });
}

#[test]
fn patch_of_one_target_is_small() {
    let plan = Plan::of(DeploymentKind::Cascade).with_targets(1_000, 10);
    let base = plan.build().targets.to_text();
    let text = base.replacen("state = live", "state = leaving", 1);
    let patch = Patch::between(1, &base, &text);
    assert!(
        patch.size() < 400,
        "the patch has {} bytes, less than 400 allowed",
        patch.size()
    );
    assert!(patch.apply(&text[..100]).is_err());
}
