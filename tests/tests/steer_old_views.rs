//! Flows of running targets at a VM whose view is old, incomplete or has not been looked at for a
//! while.

use std::time::Duration;

use bambooseam_steer::{Decision, DropCause, ResetCause, Routes, Steering, Target};
use bambooseam_tests::steering::*;
use bambooseam_types::{EarlierStart, Incarnation, Token};

const GONE: Decision = Decision::Reset(ResetCause::TargetGone);
const NOT_KNOWN: Decision = Decision::Drop(DropCause::TokenNotKnownYet);

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

/// Returns the first start of target 3, as another VM passes it on, and its second start.
fn two_starts() -> (EarlierStart, Target) {
    let later = Target {
        start: Incarnation::from(5_000),
        ..target(3)
    };
    let earlier = EarlierStart {
        token: target(3).token(),
        target: target(3).id,
        service: target(3).service,
        address: target(3).address,
        elapsed: Duration::from_secs(1),
    };
    (earlier, later)
}

/// A VM starts while the entry of a target that has started again has lapsed. That the earlier start
/// has ended says nothing about the present one, which may hold its flows.
#[test]
fn earlier_start_of_another_vm_resets_nothing_before_the_present_start_is_known() {
    let (earlier, later) = two_starts();
    let token = earlier.token;
    let mut steering = steering([target(1)]);
    steering.record_earlier_starts(vec![earlier], at(0));
    for time in (0..2_000).step_by(200) {
        steering.record_sync(at(time));
        assert_eq!(send(&mut steering, 1, token, time), NOT_KNOWN, "at {time}");
    }
    steering.put_target(later.clone(), at(2_000));
    let decision = send(&mut steering, 1, token, 2_010);
    assert_eq!(decision.forwarded(), Some((later.address, later.token())));
}

/// If the present start does not write its entry either, the flows are reset as soon as those of any
/// unknown token.
#[test]
fn earlier_start_of_another_vm_ends_with_the_time_for_entries_to_return() {
    let (earlier, _) = two_starts();
    let token = earlier.token;
    let mut steering = steering([target(1)]);
    steering.record_earlier_starts(vec![earlier], at(0));
    assert_eq!(send(&mut steering, 1, token, 2_000), NOT_KNOWN);
    steering.record_sync(at(2_500));
    let decision = send(&mut steering, 1, token, 2_500);
    assert!(matches!(decision, Decision::Reset(_)), "{decision:?}");
}

/// A route that was removed may have been added again since, and other VMs have opened flows on it.
#[test]
fn removal_of_a_route_resets_nothing_once_the_view_is_old() {
    let mut steering = steering([target(1)]);
    steering.set_routes(Routes::new(vec![route(CHARTS, "charts")], None));
    let removed = Decision::Reset(ResetCause::RouteRemoved);
    assert_eq!(send(&mut steering, 1, target(1).token(), 2_500), removed);
    let decision = send(&mut steering, 2, target(1).token(), 2_501);
    assert!(decision.forwarded().is_some(), "{decision:?}");
    steering.record_sync(at(2_600));
    assert_eq!(send(&mut steering, 2, target(1).token(), 2_700), removed);
}
