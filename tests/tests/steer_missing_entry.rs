//! Retransmissions as evidence that a target without an entry has ended.

use bambooseam_steer::{Decision, ResetCause, Steering, Target};
use bambooseam_tests::stall::*;
use bambooseam_tests::steering::*;

/// Sends the request in the flow of caller `number`, and returns the decision.
fn send(steering: &mut Steering, number: u8, target: &Target, time: u64) -> Decision {
    steering.decide(&request(number, target), at(time))
}

/// Sends an acknowledgement of the response to the request in the flow of caller `number`.
fn respond(steering: &mut Steering, number: u8, target: &Target, time: u64) -> Decision {
    let packet = flow_packet(flow_of(number), target.token(), 141, 900, 0);
    steering.decide(&packet, at(time))
}

// The VM reads its packets 0.8 s late, so that two copies of each request come before its
// acknowledgement, at all targets.
#[test]
fn queue_of_the_vm_ends_no_target_without_an_entry() {
    let mut steering = steering((1..=9).map(target));
    let lapsed = target(3);
    steering.remove_targets(std::slice::from_ref(&lapsed.id), at(1_000));
    let mut packets = Vec::new();
    for number in 1..=9 {
        let first = 1_400 + u64::from(number);
        packets.extend([0, 200, 600].map(|delay| (first + delay, number, true)));
        packets.push((first + 820, number, false));
    }
    packets.sort_unstable();
    for (time, number, is_request) in packets {
        steering.record_sync(at(time));
        let decision = match is_request {
            true => send(&mut steering, number, &target(number), time),
            false => respond(&mut steering, number, &target(number), time),
        };
        assert!(
            decision.forwarded().is_some(),
            "{number} at {time}: {decision:?}"
        );
    }
}

// Two targets have stopped, and the entry of one was removed: the others show that this VM reads its
// packets in time.
#[test]
fn target_without_an_entry_ends_although_another_one_is_silent() {
    let mut steering = steering((1..=9).map(target));
    let [removed, listed] = [3, 5].map(target);
    steering.remove_targets(std::slice::from_ref(&removed.id), at(1_000));
    for time in [1_500, 1_700, 2_100] {
        for number in [6, 7] {
            exchange(&mut steering, &target(number), at(time - 50));
        }
        send(&mut steering, 2, &listed, time);
        let decision = send(&mut steering, 1, &removed, time);
        let gone = Decision::Reset(ResetCause::TargetGone);
        assert_eq!(decision == gone, time == 2_100, "{decision:?} at {time}");
    }
}

// The answers on one flow are lost for good, and the entry of the target lapses unnoticed: another flow
// of the target, which was quiet, goes on.
#[test]
fn silent_flow_ends_no_target_without_an_entry() {
    let mut steering = steering((1..=9).map(target));
    let lapsed = target(3);
    steering.remove_targets(std::slice::from_ref(&lapsed.id), at(1_000));
    for time in [1_100, 1_300, 1_700, 2_500] {
        steering.record_sync(at(time));
        send(&mut steering, 1, &lapsed, time);
        exchange(&mut steering, &target(4), at(time + 50));
    }
    let decision = send(&mut steering, 2, &lapsed, 2_600);
    assert!(decision.forwarded().is_some(), "{decision:?}");
}
