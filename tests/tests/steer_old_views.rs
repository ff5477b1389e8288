//! Flows of running targets at a VM whose view is old, incomplete or has not been looked at for a
//! while.

use bambooseam_steer::{Decision, ResetCause, Steering};
use bambooseam_tests::steering::*;
use bambooseam_types::Token;

const GONE: Decision = Decision::Reset(ResetCause::TargetGone);

/// Sends the data of flow `number` with `token`, and returns the decision.
fn send(steering: &mut Steering, number: u16, token: Token, millis: u64) -> Decision {
    let packet = flow_packet(flow(number, ORDERS), token, 101, 501, 30);
    steering.decide(&packet, at(millis))
}

/// A VM that was paused after it had read a removal decided about the packets in its buffer before it
/// read that the entry was back.
#[test]
fn paused_vm_ends_no_target_before_it_has_read_the_store() {
    let mut steering = steering((1..=9).map(target));
    steering.record_sync(at(1_000));
    steering.remove_targets(&[target(3).id], at(1_000));
    for is_swept in [false, true] {
        if is_swept {
            steering.sweep(at(4_000));
        }
        let decision = send(&mut steering, 1, target(3).token(), 4_000);
        assert!(decision.forwarded().is_some(), "{decision:?}");
    }
    // The view shows that the entry is not back.
    steering.record_sync(at(4_010));
    assert_eq!(send(&mut steering, 2, target(3).token(), 4_010), GONE);
}

/// The end of a removed target does not wait for a second look at it.
#[test]
fn target_ends_at_the_first_look_after_its_entry_would_be_back() {
    let mut steering = steering((1..=9).map(target));
    steering.remove_targets(&[target(3).id], at(1_000));
    steering.record_sync(at(3_500));
    assert_eq!(send(&mut steering, 1, target(3).token(), 3_500), GONE);
}
