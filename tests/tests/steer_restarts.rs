//! Packets of flows that carry the token of an earlier start of their target.

use bambooseam_steer::{Decision, DropCause, ResetCause, Steering, Target};
use bambooseam_tests::steering::*;
use bambooseam_types::{Incarnation, Token};

/// Returns target 1, started at `start`.
fn target_started(start: u64) -> Target {
    Target {
        start: Incarnation::from(start),
        ..target(1)
    }
}

/// Returns the steering of a VM that has read the entries of `first` and then of `second`, and the
/// token of the first one.
fn restarted(first: Target, second: Target) -> (Steering, Token) {
    let token = first.token();
    let mut steering = steering([first, target(2)]);
    steering.put_target(second, at(100));
    steering.record_sync(at(100));
    (steering, token)
}

/// Decides about a packet of flow 1 at `millis`, with data and `token`.
fn decide(steering: &mut Steering, token: Token, millis: u64) -> Decision {
    steering.decide(
        &flow_packet(flow(1, ORDERS), token, 101, 501, 30),
        at(millis),
    )
}

/// Review case 4: a target accepts flows between its start and the reading of its entry, so their
/// packets must reach it afterwards, although they carry the token of its earlier start.
#[test]
fn flows_with_the_token_of_an_earlier_start_reach_the_target() {
    let later = target_started(5_000);
    let (mut steering, token) = restarted(target(1), later.clone());
    let decision = decide(&mut steering, token, 7_000);
    assert_eq!(decision.forwarded(), Some((later.address, later.token())));
    // The target has written the later token into its response.
    let decision = decide(&mut steering, later.token(), 7_100);
    assert_eq!(decision.forwarded(), Some((later.address, later.token())));
}

#[test]
fn new_flows_carry_the_token_of_the_later_start() {
    let later = target_started(5_000);
    let (mut steering, token) = restarted(target(1), later.clone());
    let mut tokens = Vec::new();
    for number in 1..100 {
        let packet = opening_packet(flow(number, ORDERS), 0);
        tokens.push(token_of(steering.decide(&packet, at(101))));
    }
    assert!(tokens.contains(&later.token()));
    assert!(!tokens.contains(&token));
}

/// The write of an earlier start may be delayed, or clocks may have been set back, so that the start
/// that is read last need not be the later one.
#[test]
fn starts_may_be_published_in_either_order() {
    let (mut steering, token) = restarted(target_started(5_000), target_started(1_000));
    let present = target_started(1_000).token();
    let decision = decide(&mut steering, token, 200);
    assert_eq!(decision.forwarded(), Some((target(1).address, present)));
    steering.put_target(target_started(5_000), at(300));
    let decision = decide(&mut steering, present, 400);
    assert_eq!(decision.forwarded(), Some((target(1).address, token)));
}

#[test]
fn flows_of_all_earlier_starts_reach_the_target() {
    let (mut steering, token) = restarted(target(1), target_started(5_000));
    let last = target_started(9_000);
    steering.put_target(last.clone(), at(200));
    for earlier in [token, target_started(5_000).token()] {
        let decision = decide(&mut steering, earlier, 300);
        assert_eq!(decision.forwarded(), Some((last.address, last.token())));
    }
}

/// The entry expires while the target can't reach the store, and the target starts again meanwhile.
#[test]
fn flows_reach_a_target_that_registers_after_its_entry_has_expired() {
    let mut steering = steering([target(1), target(2), target(3), target(4)]);
    let token = target(1).token();
    steering.remove_targets(&[target(1).id], at(100));
    steering.sweep(at(2_000));
    let decision = decide(&mut steering, token, 2_000);
    assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
    let later = target_started(5_000);
    steering.put_target(later.clone(), at(2_100));
    let decision = decide(&mut steering, token, 2_200);
    assert_eq!(decision.forwarded(), Some((later.address, later.token())));
    // Without an entry for the later start, the target has ended again.
    steering.remove_targets(&[later.id], at(3_000));
    steering.sweep(at(9_000));
    for token in [token, target_started(5_000).token()] {
        let decision = decide(&mut steering, token, 9_000);
        assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
    }
}

#[test]
fn end_of_a_flow_with_an_earlier_token_reaches_the_target() {
    let later = target_started(5_000);
    let (mut steering, token) = restarted(target(1), later.clone());
    let mut packet = flow_packet(flow(1, ORDERS), token, 101, 501, 0);
    packet.flags.rst = true;
    let decision = steering.decide(&packet, at(200));
    assert_eq!(decision.forwarded(), Some((later.address, later.token())));
    packet.flow = flow(2, ORDERS);
    packet.token = Some(target(9).token());
    let decision = steering.decide(&packet, at(200));
    assert_eq!(decision, Decision::Drop(DropCause::AlreadyEnded));
}

/// A start at another address never took the flows of the earlier address, and a start for another
/// service must not receive them.
#[test]
fn start_at_another_address_or_for_another_service_takes_no_earlier_flows() {
    let elsewhere = Target {
        address: target(9).address,
        ..target_started(5_000)
    };
    let reassigned = Target {
        service: "charts".parse().expect("a service"),
        ..target_started(5_000)
    };
    for later in [elsewhere, reassigned] {
        let (mut steering, token) = restarted(target(1), later);
        let decision = decide(&mut steering, token, 200);
        assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
    }
}

/// Most flows with the earlier token ended with the earlier start. The target answers them with
/// resets of its own, which no VM sees, and that must not make it look overloaded or unresponsive.
#[test]
fn packets_with_an_earlier_token_are_no_evidence_about_the_target() {
    let later = target_started(5_000);
    let (mut steering, token) = restarted(target(1), later.clone());
    for millis in (200..6_000).step_by(200) {
        for number in 1..=20 {
            let packet = flow_packet(flow(number, ORDERS), token, 101, 501, 30);
            let decision = steering.decide(&packet, at(millis));
            assert_eq!(decision.forwarded(), Some((later.address, later.token())));
        }
        steering.record_sync(at(millis));
        assert_eq!(steering.sweep(at(millis)), []);
    }
    let index = steering.targets().find(&later.id).expect("the target");
    let load = steering.targets().get(index).expect("the target").load;
    assert_eq!((load.flows, load.busy), (0, 0));
}
