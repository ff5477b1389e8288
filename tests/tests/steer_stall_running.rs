//! Flows of a target that is running are not reset, although it does not seem to acknowledge data.

use bambooseam_steer::{Steering, Target};
use bambooseam_tests::stall::*;
use bambooseam_tests::steering::*;

/// Sends an acknowledgement of the response to the request in the flow of caller `number`.
fn respond(steering: &mut Steering, number: u8, target: &Target, time: u64) {
    let packet = flow_packet(flow_of(number), target.token(), 141, 900, 0);
    steering.decide(&packet, at(time));
}

/// Sends the request in the flow of caller `number`, and returns whether it was reset.
fn is_reset(steering: &mut Steering, number: u8, target: &Target, time: u64) -> bool {
    is_stall_reset(steering.decide(&request(number, target), at(time)))
}

// The answers on one flow are lost for good (review/3): the other flows go on.
#[test]
fn silent_flow_resets_no_other_flow() {
    let (target_1, running) = (target(1), target(2));
    let mut steering = steering([target_1.clone(), running.clone()]);
    transmit(&mut steering, &[(1, &target_1, 0)], &[&running]);
    for number in 2..=20 {
        let time = 1_400 + 100 * u64::from(number);
        assert!(!is_reset(&mut steering, number, &target_1, time), "{time}");
    }
}

// What one silent flow shows is the same for a target that has stopped and for one that runs.
#[test]
fn silent_flow_is_not_reset_itself() {
    let (target_1, running) = (target(1), target(2));
    let mut steering = steering([target_1.clone(), running.clone()]);
    let resets = transmit(&mut steering, &[(1, &target_1, 0)], &[&running]);
    assert_eq!(resets, []);
}

// New data of another flow may be answered, whatever two other flows show.
#[test]
fn new_data_is_forwarded_and_its_response_ends_the_suspicion() {
    let (target_1, running) = (target(1), target(2));
    let mut steering = steering([target_1.clone(), running.clone()]);
    let requests = [(1, &target_1, 0), (2, &target_1, 10)];
    transmit(&mut steering, &requests, &[&running]);
    assert!(!is_reset(&mut steering, 3, &target_1, 1_420));
    assert!(!is_reset(&mut steering, 4, &target_1, 1_430));
    respond(&mut steering, 3, &target_1, 1_450);
    for time in [1_630, 2_030] {
        assert!(!is_reset(&mut steering, 4, &target_1, time), "{time}");
    }
}

// Two flows are silent while the target answers a third one: a retransmission must not restore the
// evidence from before a response.
#[test]
fn retransmissions_before_a_response_are_not_evidence() {
    let (target_1, running) = (target(1), target(2));
    let mut steering = steering([target_1.clone(), running.clone()]);
    let requests = [
        (1, &target_1, 0),
        (2, &target_1, 10),
        // Of a flow that is answered at 430 ms and 1,230 ms.
        (3, &target_1, 420),
        (4, &target_1, 1_220),
    ];
    let mut packets: Vec<(u64, u8, bool)> = Vec::new();
    for &(number, _, first) in &requests[..2] {
        packets.extend(TRANSMISSIONS.map(|delay| (first + delay, number, true)));
    }
    for &(number, _, first) in &requests[2..] {
        packets.extend([(first, number, true), (first + 10, number, false)]);
    }
    for time in (50..1_500).step_by(100) {
        packets.push((time, 0, false));
    }
    packets.sort_unstable();
    for (time, number, is_request) in packets {
        match (number, is_request) {
            (0, _) => exchange(&mut steering, &running, at(time)),
            (_, true) => assert!(
                !is_reset(&mut steering, number, &target_1, time),
                "{number} at {time}"
            ),
            (_, false) => respond(&mut steering, number, &target_1, time),
        }
    }
}

// Request and copy have waited in the queue of this VM, with the acknowledgement behind them: another
// target's answers to packets before the request do not show that it would have been read by now.
#[test]
fn copy_read_before_the_acknowledgement_is_not_evidence() {
    let (target_1, running) = (target(1), target(2));
    let mut steering = steering([target_1.clone(), running.clone()]);
    for time in [0, 200] {
        is_reset(&mut steering, 1, &target_1, time);
    }
    for time in [50, 150, 250, 350, 450, 550] {
        exchange(&mut steering, &running, at(time));
    }
    is_reset(&mut steering, 1, &target_1, 600);
    assert!(!is_reset(&mut steering, 2, &target_1, 700));
    assert!(!is_reset(&mut steering, 2, &target_1, 820));
    respond(&mut steering, 2, &target_1, 830);
    assert!(!is_reset(&mut steering, 3, &target_1, 840));
}

// A VM whose queue holds 0.8 s of packets reads two copies of each request before its
// acknowledgement.
#[test]
fn retransmissions_that_waited_in_a_steady_queue_are_not_evidence() {
    let targets = [target(1), target(2)];
    let mut steering = steering(targets.clone());
    let mut packets = Vec::new();
    for number in 0..60 {
        let first = 800 + 40 * u64::from(number);
        packets.extend([0, 200, 600].map(|delay| (first + delay, number, true)));
        packets.push((first + 820, number, false));
    }
    packets.sort_unstable();
    for (time, number, is_request) in packets {
        let target = &targets[usize::from(number % 2)];
        match is_request {
            true => assert!(!is_reset(&mut steering, number, target, time), "{time}"),
            false => respond(&mut steering, number, target, time),
        }
    }
}

// The VM reads in short spells between pauses, and the acknowledgements wait behind the copies.
#[test]
fn retransmissions_between_pauses_of_the_vm_are_not_evidence() {
    let targets = [target(1), target(2)];
    let mut steering = steering(targets.clone());
    for number in 1..=8 {
        let target = &targets[usize::from(number % 2)];
        assert!(!is_reset(&mut steering, number, target, 1_000));
    }
    for time in [1_150, 1_300] {
        for number in 1..=8 {
            let target = &targets[usize::from(number % 2)];
            assert!(!is_reset(&mut steering, number, target, time), "{time}");
        }
    }
    for number in 1..=8 {
        respond(
            &mut steering,
            number,
            &targets[usize::from(number % 2)],
            1_310,
        );
    }
}

// Two flows move to another VM, where their responses show, and return with their next requests.
#[test]
fn flows_that_were_answered_through_another_vm_are_not_evidence() {
    let (target_1, running) = (target(1), target(2));
    let mut steering = steering([target_1.clone(), running.clone()]);
    for number in [1, 2] {
        assert!(!is_reset(&mut steering, number, &target_1, number.into()));
        assert!(!is_reset(
            &mut steering,
            number,
            &target_1,
            200 + u64::from(number)
        ));
    }
    for time in (250..1_050).step_by(100) {
        exchange(&mut steering, &running, at(time));
    }
    for number in [1, 2, 3] {
        let next = flow_packet(flow_of(number), target_1.token(), 141, 900, 40);
        for time in [1_000, 1_200] {
            let decision = steering.decide(&next, at(time + u64::from(number)));
            assert!(!is_stall_reset(decision), "{number} at {time}");
        }
    }
}

// Of two uploads each packet was lost once: the target acknowledges each retransmission, and the
// callers go on to the next packet.
#[test]
fn retransmissions_of_different_data_are_not_evidence() {
    let (target_1, running) = (target(1), target(2));
    let mut steering = steering([target_1.clone(), running.clone()]);
    let part = |number, part: u32| {
        let seq = 101 + 1_200 * part;
        flow_packet(flow_of(number), target_1.token(), seq, 501, 1_200)
    };
    for index in 0..4 {
        for number in [1, 2] {
            steering.decide(&part(number, index), at(number.into()));
        }
    }
    for index in 0..4 {
        let time = 200 * (1 + u64::from(index));
        for delay in (10..170).step_by(10) {
            exchange(&mut steering, &running, at(time - 200 + delay));
        }
        for number in [1, 2] {
            let decision = steering.decide(&part(number, index), at(time + u64::from(number)));
            assert!(!is_stall_reset(decision), "part {index} of {number}");
        }
    }
}

// A target that has stopped acknowledges no part of an upload: all are sent again and again.
#[test]
fn retransmissions_of_all_parts_of_an_upload_are_evidence() {
    let (stalled, running) = (target(1), target(2));
    let mut steering = steering([stalled.clone(), running.clone()]);
    let mut resets = Vec::new();
    let mut next_exchange = 30;
    for delay in TRANSMISSIONS {
        while next_exchange + 30 < delay {
            exchange(&mut steering, &running, at(next_exchange));
            next_exchange += 10;
        }
        for number in [1, 2] {
            for part in 0..4 {
                let seq = 101 + 1_200 * part;
                let packet = flow_packet(flow_of(number), stalled.token(), seq, 501, 1_200);
                let time = delay + 10 * u64::from(number) + u64::from(part);
                if !resets.contains(&number) && is_stall_reset(steering.decide(&packet, at(time))) {
                    resets.push(number);
                }
            }
        }
        if delay == 600 {
            assert_eq!(resets, [1, 2]);
        }
    }
}
