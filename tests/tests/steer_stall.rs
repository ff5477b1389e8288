//! Resets of flows whose target does not acknowledge data: from the callers' retransmissions alone.

use bambooseam_steer::SteeringEvent;
use bambooseam_tests::stall::*;
use bambooseam_tests::steering::*;
use bambooseam_types::Token;

#[test]
fn two_callers_without_acknowledgement_find_a_target_stalled() {
    let (stalled, running) = (target(1), target(2));
    let mut steering = steering([stalled.clone(), running.clone()]);
    steering.decide(&request(1, &stalled), at(0));
    steering.decide(&request(2, &stalled), at(50));
    assert!(!is_stall_reset(
        steering.decide(&request(1, &stalled), at(200))
    ));
    assert!(!is_stall_reset(
        steering.decide(&request(2, &stalled), at(250))
    ));
    for time in [260, 300, 340] {
        exchange(&mut steering, &running, at(time));
    }
    assert!(is_stall_reset(
        steering.decide(&request(1, &stalled), at(600))
    ));
    // A later request may be answered, but its first retransmission shows that it is not.
    assert!(!is_stall_reset(
        steering.decide(&request(4, &stalled), at(610))
    ));
    for time in [620, 720] {
        exchange(&mut steering, &running, at(time));
    }
    assert!(is_stall_reset(
        steering.decide(&request(4, &stalled), at(810))
    ));
    // Once the evidence is old, a single caller's retransmissions reach the target again.
    for time in [2_900, 3_100, 3_500] {
        exchange(&mut steering, &running, at(time - 50));
        assert!(!is_stall_reset(
            steering.decide(&request(5, &stalled), at(time))
        ));
    }
}

#[test]
fn lone_caller_is_reset_once_another_one_retransmits() {
    let (stalled, running) = (target(1), target(2));
    let mut steering = steering([stalled.clone(), running.clone()]);
    let requests = [(1, &stalled, 0), (2, &stalled, 1_150)];
    let resets = transmit(&mut steering, &requests, &[&running]);
    assert_eq!(resets, [(1_350, 2), (1_400, 1)]);
}

#[test]
fn lone_callers_of_several_targets_are_not_evidence() {
    // One caller at each of three targets, since the same instant: the callers' side has failed.
    let targets = [target(1), target(2), target(3)];
    let running = target(4);
    let mut steering = steering(targets.iter().cloned().chain([running.clone()]));
    let requests = [
        (1, &targets[0], 0),
        (2, &targets[1], 0),
        (3, &targets[2], 0),
    ];
    let resets = transmit(&mut steering, &requests, &[&running]);
    assert_eq!(resets, []);
}

#[test]
fn one_callers_flows_count_once() {
    let (stalled, running) = (target(1), target(2));
    let mut steering = steering([stalled.clone(), running.clone()]);
    exchange(&mut steering, &running, at(100));
    for port in 1..=3 {
        let mut flow = flow_of(1);
        flow.caller.set_port(port);
        for delay in &TRANSMISSIONS[..3] {
            let packet = flow_packet(flow, stalled.token(), 101, 501, 40);
            assert!(!is_stall_reset(
                steering.decide(&packet, at(*delay + u64::from(port)))
            ));
        }
    }
}

#[test]
fn slow_response_is_not_evidence() {
    // A target that works for a long time acknowledges the first retransmission, so no caller sends
    // a second one.
    let (slow, running) = (target(1), target(2));
    let mut steering = steering([slow.clone(), running.clone()]);
    for number in 1..=8 {
        steering.decide(&request(number, &slow), at(0));
        steering.decide(&request(number, &slow), at(200));
    }
    exchange(&mut steering, &running, at(300));
    for number in 11..=18 {
        assert!(!is_stall_reset(
            steering.decide(&request(number, &slow), at(900))
        ));
    }
}

#[test]
fn response_takes_the_suspicion_back() {
    let (stalled, running) = (target(1), target(2));
    let mut steering = steering([stalled.clone(), running.clone()]);
    let requests = [(1, &stalled, 0), (2, &stalled, 10)];
    let resets = transmit(&mut steering, &requests, &[&running]);
    assert_eq!(resets, [(600, 1), (610, 2)]);
    let events = steering.sweep(at(700));
    let id = stalled.id.clone();
    assert!(
        events
            .iter()
            .any(|event| matches!(event, SteeringEvent::Stalled { target, .. } if *target == id)),
        "{events:?}"
    );
    steering.decide(&request(3, &stalled), at(2_700));
    let acknowledgement = flow_packet(flow_of(3), stalled.token(), 141, 900, 0);
    steering.decide(&acknowledgement, at(2_730));
    let ended = SteeringEvent::StallEnded {
        target: id,
        resets: 2,
    };
    assert!(steering.sweep(at(2_800)).contains(&ended));
    assert!(!is_stall_reset(
        steering.decide(&request(4, &stalled), at(2_810))
    ));
}

#[test]
fn packets_delayed_by_a_pause_of_the_vm_are_not_evidence() {
    let (target_1, running) = (target(1), target(2));
    let mut steering = steering([target_1.clone(), running.clone()]);
    // The VM resumes at 2 s and handles everything that was sent meanwhile.
    for delay in 0..3 {
        for number in 1..=4 {
            let now = at(2_000 + delay);
            assert!(!is_stall_reset(
                steering.decide(&request(number, &target_1), now)
            ));
        }
    }
    exchange(&mut steering, &running, at(2_010));
    assert!(!is_stall_reset(
        steering.decide(&request(5, &target_1), at(2_020))
    ));
}

#[test]
fn vm_without_any_response_resets_nothing() {
    // All targets have stalled at once, so this VM may be cut off.
    let targets = [target(1), target(2), remote_target(3)];
    let mut steering = steering(targets.clone());
    let mut requests = Vec::new();
    for (index, target) in (0..).zip(&targets) {
        requests.extend((1..=4).map(|number| (10 * index + number, target, 0)));
    }
    assert_eq!(transmit(&mut steering, &requests, &[]), []);
}

#[test]
fn vm_with_a_full_link_resets_nothing() {
    // Packets of this VM are late by more than the callers' intervals. Answers still arrive, but to
    // packets that were sent before the retransmissions.
    let targets: Vec<_> = (1..=8).map(target).collect();
    let mut steering = steering(targets.clone());
    let opened = |number| flow_packet(flow(number, ORDERS), targets[0].token(), 101, 501, 40);
    for number in 1..=8 {
        steering.decide(&opened(number), at(0));
    }
    let stalled = &targets[7];
    for time in [10, 210] {
        for number in [1, 2] {
            assert!(!is_stall_reset(
                steering.decide(&request(number, stalled), at(time))
            ));
        }
    }
    for number in 1..=8 {
        let mut answered = opened(number);
        (answered.seq, answered.ack, answered.len) = (141, 900, 0);
        steering.decide(&answered, at(500));
    }
    for number in [1, 2, 3] {
        assert!(!is_stall_reset(
            steering.decide(&request(number, stalled), at(610))
        ));
    }
}

#[test]
fn data_sent_during_a_large_transfer_is_not_evidence() {
    let (stalled, running) = (target(1), target(2));
    let mut steering = steering([stalled.clone(), running.clone()]);
    // 2 s of half a link of 10 Mbit/s.
    steering.record_transfer(1_250_000, at(0));
    let requests = [(1, &stalled, 0), (2, &stalled, 10), (3, &stalled, 900)];
    assert_eq!(transmit(&mut steering, &requests, &[&running]), []);
    let requests = [(4, &stalled, 2_000), (5, &stalled, 2_010)];
    let resets = transmit(&mut steering, &requests, &[&running]);
    assert_eq!(resets, [(2_600, 4), (2_610, 5)]);
}

#[test]
fn data_sent_after_a_smaller_transfer_is_evidence() {
    let (stalled, running) = (target(1), target(2));
    let mut steering = steering([stalled.clone(), running.clone()]);
    // 0.1 s of half a link of 10 Mbit/s, twice.
    steering.record_transfer(62_500, at(0));
    steering.record_transfer(62_500, at(10));
    let requests = [(1, &stalled, 50), (2, &stalled, 210), (3, &stalled, 220)];
    let resets = transmit(&mut steering, &requests, &[&running]);
    assert_eq!(resets, [(810, 2), (820, 3), (1_450, 1)]);
}

#[test]
fn vm_whose_link_was_full_until_now_resets_nothing() {
    // From 0 to 500 ms all packets are lost. Then callers' retransmissions are answered at once,
    // but those of one target's flows were lost again.
    let targets: Vec<_> = (1..=6).map(target).collect();
    let mut steering = steering(targets.clone());
    let stalled = &targets[5];
    let others = || (10..).zip(&targets[..5]);
    for delay in &TRANSMISSIONS[..2] {
        for (number, target) in others() {
            steering.decide(&request(number, target), at(*delay + u64::from(number)));
        }
        for number in [1, 2] {
            let decision = steering.decide(&request(number, stalled), at(50 + delay));
            assert!(!is_stall_reset(decision));
        }
    }
    for (number, target) in others() {
        steering.decide(&request(number, target), at(600 + u64::from(number)));
        let answered = flow_packet(flow_of(number), target.token(), 141, 900, 0);
        steering.decide(&answered, at(620));
    }
    for time in [530, 560, 590, 620] {
        exchange(&mut steering, &targets[0], at(time));
    }
    for number in [1, 2] {
        assert!(!is_stall_reset(
            steering.decide(&request(number, stalled), at(650))
        ));
    }
}

#[test]
fn vm_that_loses_packets_resets_nothing() {
    // Of seven other targets two answer; the flows of the others were retransmitted as well.
    let targets: Vec<_> = (1..=8).map(target).collect();
    let mut steering = steering(targets.clone());
    let mut requests = Vec::new();
    for (number, target) in (1..).zip(&targets[..6]) {
        requests.extend([(2 * number, target, 0), (2 * number + 1, target, 5)]);
    }
    let running = [&targets[6], &targets[7]];
    assert_eq!(transmit(&mut steering, &requests, &running), []);
}

#[test]
fn flows_to_a_zone_that_is_cut_off_are_reset() {
    let (local, first, second) = (target(1), remote_target(2), remote_target(3));
    let mut steering = steering([local.clone(), first.clone(), second.clone()]);
    let requests = [
        (1, &first, 0),
        (2, &first, 5),
        (3, &second, 10),
        (4, &second, 15),
    ];
    let resets = transmit(&mut steering, &requests, &[&local]);
    let mut callers: Vec<u8> = resets.iter().map(|(_, caller)| *caller).collect();
    callers.sort_unstable();
    assert_eq!(callers, [1, 2, 3, 4], "{resets:?}");
}

#[test]
fn single_remote_target_may_be_behind_a_failed_path() {
    let (local, remote) = (target(1), remote_target(2));
    let mut steering = steering([local.clone(), remote.clone()]);
    let requests = [(1, &remote, 0), (2, &remote, 5)];
    assert_eq!(transmit(&mut steering, &requests, &[&local]), []);
}

#[test]
fn reset_flows_leave_no_load() {
    let (stalled, running) = (target(1), target(2));
    let mut steering = steering([stalled.clone(), running.clone()]);
    let requests = [(1, &stalled, 0), (2, &stalled, 10)];
    transmit(&mut steering, &requests, &[&running]);
    let token: Token = stalled.token();
    let mut records = steering.targets().iter().map(|(_, record)| record);
    let record = records
        .find(|record| record.token == token)
        .expect("a target");
    assert_eq!((record.load.flows, record.load.busy), (0, 0));
}
