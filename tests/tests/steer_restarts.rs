//! Packets of flows that carry the token of an earlier start of their target.

use bambooseam_steer::{Decision, DropCause, ResetCause, Steering, SteeringEvent, Target};
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
    steering.sweep(at(500));
    steering.record_sync(at(2_600));
    steering.sweep(at(2_600));
    let decision = decide(&mut steering, token, 2_600);
    assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
    let later = target_started(5_000);
    steering.put_target(later.clone(), at(2_700));
    let decision = decide(&mut steering, token, 2_800);
    assert_eq!(decision.forwarded(), Some((later.address, later.token())));
    // Without an entry for the later start, the target has ended again.
    steering.remove_targets(&[later.id], at(3_000));
    steering.sweep(at(3_400));
    steering.record_sync(at(9_000));
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

/// Returns starts under the identifier of target 1 that can't hold its flows.
fn contradicting_starts() -> [Target; 2] {
    let elsewhere = Target {
        address: target(9).address,
        ..target_started(5_000)
    };
    let reassigned = Target {
        service: "charts".parse().expect("a service"),
        ..target_started(5_000)
    };
    [elsewhere, reassigned]
}

/// A start at another address never took the flows of the earlier address, and a start for another
/// service must not receive them. Whether the target has started again, or another writer has used
/// its key, shows within 2.5 s; until then its flows stay with the known start.
#[test]
fn start_at_another_address_or_for_another_service_takes_no_earlier_flows() {
    for later in contradicting_starts() {
        for written in [100, 20_000] {
            let token = target(1).token();
            let mut steering = steering([target(1), target(2)]);
            steering.put_target(later.clone(), at(written));
            for elapsed in (0..2_500).step_by(100) {
                let now = written + elapsed;
                steering.record_sync(at(now));
                steering.sweep(at(now));
                let decision = decide(&mut steering, token, now);
                assert_eq!(decision.forwarded(), Some((target(1).address, token)));
            }
            let now = written + 2_500;
            steering.record_sync(at(now));
            steering.sweep(at(now));
            let decision = decide(&mut steering, token, now);
            assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
        }
    }
}

/// A target that has started again elsewhere takes flows once its earlier start has not written for
/// 2.5 s, and until then no new flow reaches either of them.
#[test]
fn start_at_another_address_or_for_another_service_comes_into_force() {
    for later in contradicting_starts() {
        let mut steering = steering([target(1)]);
        let frontend = match later.service == target(1).service {
            true => ORDERS,
            false => CHARTS,
        };
        steering.record_sync(at(20_000));
        steering.put_target(later.clone(), at(20_000));
        for now in (20_000..22_500).step_by(100) {
            steering.record_sync(at(now));
            steering.sweep(at(now));
            for frontend in [ORDERS, CHARTS] {
                let packet = opening_packet(flow(now as u16, frontend), 0);
                let decision = steering.decide(&packet, at(now));
                assert_eq!(decision, Decision::Reset(ResetCause::NoTarget));
            }
        }
        steering.record_sync(at(22_500));
        let settled = SteeringEvent::DisputeSettled(later.id.clone(), later.token());
        assert_eq!(steering.sweep(at(22_500)), [settled]);
        let packet = opening_packet(flow(1, frontend), 0);
        let decision = steering.decide(&packet, at(22_500));
        assert_eq!(decision.forwarded(), Some((later.address, later.token())));
    }
}

/// The address of a target that has ended may belong to a target of another service, which would
/// accept an opening packet.
#[test]
fn retransmitted_opening_reaches_no_target_whose_entry_is_disputed() {
    for later in contradicting_starts() {
        let mut steering = steering([target(1)]);
        steering.record_sync(at(20_000));
        let decision = steering.decide(&opening_packet(flow(1, ORDERS), 0), at(20_000));
        assert_eq!(token_of(decision), target(1).token());
        steering.put_target(later, at(20_100));
        let decision = steering.decide(&opening_packet(flow(1, ORDERS), 1), at(20_200));
        assert_eq!(decision, Decision::Drop(DropCause::EntryDisputed));
        // The target has answered, and writes its own entry again.
        let decision = decide(&mut steering, target(1).token(), 20_300);
        assert!(decision.forwarded().is_some());
        steering.put_target(target(1), at(20_800));
        let decision = steering.decide(&opening_packet(flow(2, ORDERS), 0), at(20_900));
        assert_eq!(token_of(decision), target(1).token());
    }
}

/// A target that is cut off from the store can't write its entry again while it serves.
#[test]
fn disputed_target_keeps_its_flows_while_it_responds() {
    for later in contradicting_starts() {
        let token = target(1).token();
        let mut steering = steering([target(1)]);
        steering.record_sync(at(20_000));
        steering.decide(&opening_packet(flow(1, ORDERS), 0), at(20_000));
        steering.put_target(later.clone(), at(20_050));
        let mut ack = 501;
        for now in (20_100..30_000).step_by(500) {
            steering.record_sync(at(now));
            steering.sweep(at(now));
            ack += 10;
            let seq = 101 + (now - 20_100) as u32;
            let packet = flow_packet(flow(1, ORDERS), token, seq, ack, 30);
            let decision = steering.decide(&packet, at(now));
            assert_eq!(decision.forwarded(), Some((target(1).address, token)));
        }
        steering.record_sync(at(40_000));
        steering.sweep(at(40_000));
        let decision = decide(&mut steering, token, 40_000);
        assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
    }
}

/// An entry for a service without a route lies under the key before the target starts.
#[test]
fn target_replaces_an_entry_for_a_service_without_a_route() {
    let unrouted = Target {
        service: "stocktake".parse().expect("a service"),
        ..target_started(5_000)
    };
    let mut steering = steering([unrouted.clone()]);
    steering.record_sync(at(20_000));
    steering.put_target(target(1), at(20_000));
    let decision = steering.decide(&opening_packet(flow(1, ORDERS), 0), at(20_000));
    assert_eq!(token_of(decision), target(1).token());
    // The entry of a service without a route never replaces that of a target.
    steering.put_target(unrouted, at(30_000));
    for now in (30_000..60_000).step_by(100) {
        steering.record_sync(at(now));
        steering.sweep(at(now));
    }
    let decision = decide(&mut steering, target(1).token(), 60_000);
    assert!(decision.forwarded().is_some(), "{decision:?}");
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

/// Returns the steering of a VM that has started after the restart of target 1 and has settled.
fn started_later() -> Steering {
    let mut steering = steering([target_started(5_000), target(2)]);
    steering.record_sync(at(10_000));
    steering
}

/// A VM that starts after the target has registered reads only the later entry, so the earlier token
/// is unknown to it.
#[test]
fn vm_that_starts_later_learns_the_earlier_starts_from_others() {
    let later = target_started(5_000);
    let (first, token) = restarted(target(1), later.clone());
    let mut unaided = started_later();
    decide(&mut unaided, token, 9_000);
    let decision = decide(&mut unaided, token, 10_000);
    assert_eq!(decision, Decision::Reset(ResetCause::UnknownToken));
    let mut steering = started_later();
    let count = steering.record_earlier_starts(first.earlier_starts(at(9_000)), at(9_000));
    assert_eq!(count, 1);
    let decision = decide(&mut steering, token, 10_000);
    assert_eq!(decision.forwarded(), Some((later.address, later.token())));
    // Nothing is new in what the VM would be told again.
    let count = steering.record_earlier_starts(first.earlier_starts(at(11_000)), at(11_000));
    assert_eq!(count, 0);
}

#[test]
fn only_starts_of_targets_that_have_started_again_are_passed_on() {
    let (mut steering, token) = restarted(target(1), target_started(5_000));
    steering.remove_targets(&[target(2).id], at(200));
    steering.sweep(at(600));
    steering.record_sync(at(2_700));
    steering.sweep(at(2_700));
    let packet = flow_packet(flow(2, ORDERS), target(2).token(), 101, 501, 30);
    let decision = steering.decide(&packet, at(2_700));
    assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
    let starts = steering.earlier_starts(at(2_700));
    let starts: Vec<_> = starts.iter().map(|start| start.token).collect();
    assert_eq!(starts, [token]);
}

/// The age of an earlier start is passed on with it, so that two VMs do not keep it alive.
#[test]
fn earlier_starts_are_passed_on_for_a_minute() {
    let (first, _) = restarted(target(1), target_started(5_000));
    assert_eq!(first.earlier_starts(at(60_101)), []);
    let mut other = started_later();
    other.record_earlier_starts(first.earlier_starts(at(50_000)), at(50_000));
    assert_eq!(other.earlier_starts(at(60_100)).len(), 1);
    assert_eq!(other.earlier_starts(at(60_101)), []);
}

/// A peer whose view is older names the present start as an earlier one.
#[test]
fn present_start_is_no_earlier_start() {
    let (first, token) = restarted(target_started(5_000), target(1));
    let mut steering = started_later();
    let count = steering.record_earlier_starts(first.earlier_starts(at(9_000)), at(9_000));
    assert_eq!(count, 0);
    let decision = decide(&mut steering, token, 10_000);
    assert_eq!(decision.forwarded(), Some((target(1).address, token)));
}

/// A VM that has just started reads the target's entry and then another writer's, with the same start at
/// another address.
#[test]
fn entry_with_another_address_moves_no_flow_at_a_vm_that_has_just_started() {
    let mut steering = steering([target(1), target(2)]);
    let other = Target {
        address: target(9).address,
        ..target(1)
    };
    steering.put_target(other, at(500));
    let decision = decide(&mut steering, target(1).token(), 600);
    let (address, _) = decision.forwarded().expect("a forwarded packet");
    assert_eq!(address, target(1).address);
}
