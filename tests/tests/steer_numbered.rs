//! Numbered tokens, which lead to their target whichever start they name.

use bambooseam_steer::{Decision, DropCause, ResetCause, Steering, Target, TokenForm};
use bambooseam_tests::steering::*;
use bambooseam_types::{Incarnation, TargetLabel, Token};

/// Returns target `number`, started at `start`.
fn started(number: u8, start: u64) -> Target {
    Target {
        start: Incarnation::from(start),
        ..target(number)
    }
}

/// Returns the steering of a VM that writes numbered tokens.
fn numbered(targets: impl IntoIterator<Item = Target>) -> Steering {
    let mut steering = steering(targets);
    steering.set_token_form(TokenForm::Numbered);
    steering
}

/// Decides about a packet of flow 1 at `millis`, with data and `token`.
fn decide(steering: &mut Steering, token: Token, millis: u64) -> Decision {
    let packet = flow_packet(flow(1, ORDERS), token, 101, 501, 30);
    steering.decide(&packet, at(millis))
}

/// Records that the view of a VM is current up to `millis`.
fn sync(steering: &mut Steering, millis: u64) {
    steering.record_sync(at(millis));
    steering.sweep(at(millis));
}

/// Checks that packets with `token` wait until the view has settled, and are reset then.
fn check_unknown(steering: &mut Steering, token: Token) {
    for millis in (0..2_500).step_by(100) {
        sync(steering, millis);
        let decision = decide(steering, token, millis);
        assert_eq!(decision, Decision::Drop(DropCause::TokenNotKnownYet));
    }
    sync(steering, 2_500);
    let decision = decide(steering, token, 2_500);
    assert_eq!(decision, Decision::Reset(ResetCause::UnknownToken));
}

/// Returns two targets whose numbered tokens differ only in the bits of the start, if at all.
fn colliding() -> [Target; 2] {
    let mut seen: Vec<(Token, u64)> = Vec::new();
    for number in 1.. {
        let label = TargetLabel::new(number).expect("a label");
        let labelled = Target { label, ..target(1) };
        let first = *labelled.numbered_token().same_target().start();
        match seen.binary_search_by_key(&first, |(token, _)| *token) {
            Err(at) => seen.insert(at, (first, number)),
            Ok(at) => {
                return [(1, seen[at].1), (2, number)].map(|(id, label)| Target {
                    label: TargetLabel::new(label).expect("a label"),
                    ..target(id)
                });
            }
        }
    }
    unreachable!("some labels collide")
}

/// Review case 9: a target had accepted flows before its entry was read, and of all VMs that knew its
/// earlier start none was left. The others reset the flows once their view had settled.
#[test]
fn flows_with_the_token_of_an_earlier_start_reach_the_target_at_vms_that_never_knew_that_start() {
    let (earlier, later) = (started(1, 1_000), started(1, 5_000));
    let mut first = numbered([earlier, target(2)]);
    let token = (0..)
        .map(|number| first.decide(&opening_packet(flow(number, ORDERS), 0), at(0)))
        .find_map(|decision| match decision.forwarded() {
            Some((address, token)) if address == later.address => Some(token),
            _ => None,
        });
    let token = token.expect("a flow of target 1");
    let mut steering = numbered([later.clone(), target(2)]);
    for millis in [0, 100, 2_600, 10_000, 60_000] {
        sync(&mut steering, millis);
        let decision = decide(&mut steering, token, millis);
        let expected = (later.address, later.numbered_token());
        assert_eq!(decision.forwarded(), Some(expected), "at {millis}");
    }
}

/// A VM may still hold the entry of an earlier start, whose lease has not lapsed yet.
#[test]
fn flows_with_the_token_of_a_later_start_reach_the_target() {
    let mut steering = numbered([started(1, 1_000), target(2)]);
    let token = started(1, 5_000).numbered_token();
    let decision = decide(&mut steering, token, 100);
    let expected = (target(1).address, started(1, 1_000).numbered_token());
    assert_eq!(decision.forwarded(), Some(expected));
}

#[test]
fn both_forms_of_a_token_are_read_and_one_is_written() {
    for form in [TokenForm::Start, TokenForm::Numbered] {
        let mut steering = steering([target(1), target(2)]);
        steering.set_token_form(form);
        let written = target(1).token_in(form);
        for read in [target(1).token(), target(1).numbered_token()] {
            let decision = decide(&mut steering, read, 100);
            assert_eq!(decision.forwarded(), Some((target(1).address, written)));
        }
        // Both tokens name the same flow.
        let index = steering.targets().find(&target(1).id).expect("the target");
        let record = steering.targets().get(index).expect("the target");
        assert_eq!(record.load.flows, 1);
    }
}

/// Most flows with the token of an earlier start ended with it, and their packets say nothing about
/// the present start. Guards against a target that looks overloaded or unresponsive by them.
#[test]
fn packets_of_another_start_are_no_evidence_about_the_target() {
    let later = started(1, 5_000);
    let mut steering = numbered([later.clone(), target(2)]);
    let token = started(1, 1_000).numbered_token();
    assert_ne!(token, later.numbered_token());
    for millis in (200..6_000).step_by(200) {
        for number in 1..=20 {
            let packet = flow_packet(flow(number, ORDERS), token, 101, 501, 30);
            let decision = steering.decide(&packet, at(millis));
            assert!(decision.forwarded().is_some(), "{decision:?}");
        }
        steering.record_sync(at(millis));
        assert_eq!(steering.sweep(at(millis)), []);
    }
    let index = steering.targets().find(&later.id).expect("the target");
    let load = steering.targets().get(index).expect("the target").load;
    assert_eq!((load.flows, load.busy), (0, 0));
}

/// The other half of unknown tokens: the entry of the target is missing. It may be on its way back
/// until the view has settled.
#[test]
fn token_of_a_target_without_an_entry_is_reset_once_the_view_has_settled() {
    let mut steering = numbered([target(2)]);
    let token = target(1).numbered_token();
    check_unknown(&mut steering, token);
    // The entry comes late.
    steering.put_target(started(1, 7_000), at(2_600));
    let decision = decide(&mut steering, token, 2_700);
    assert!(decision.forwarded().is_some(), "{decision:?}");
}

/// A target that is back for another service does not receive packets of the earlier one, and one that
/// is back at another address resets flows that it does not hold itself.
#[test]
fn token_of_another_start_leads_to_no_other_service() {
    let token = started(1, 1_000).numbered_token();
    let reassigned = Target {
        service: "charts".parse().expect("a service"),
        ..started(1, 5_000)
    };
    let mut steering = numbered([reassigned, target(2)]);
    check_unknown(&mut steering, token);
    let elsewhere = Target {
        address: target(9).address,
        ..started(1, 5_000)
    };
    let mut steering = numbered([elsewhere.clone(), target(2)]);
    let decision = decide(&mut steering, token, 2_500);
    let expected = (elsewhere.address, elsewhere.numbered_token());
    assert_eq!(decision.forwarded(), Some(expected));
}

/// Opens flow `number` at the first target, and returns its token.
fn open(steering: &mut Steering, number: u16) -> Token {
    token_of(steering.decide(&opening_packet(flow(number, ORDERS), 0), at(0)))
}

/// Flows that have passed through this VM name their start, so they are reset at once when it has ended.
#[test]
fn known_flows_of_targets_that_have_ended_are_reset_at_once() {
    let mut steering = numbered([started(1, 1_000)]);
    let token = open(&mut steering, 1);
    let decision = decide(&mut steering, token, 50);
    assert!(decision.forwarded().is_some(), "{decision:?}");
    steering.remove_targets(&[target(1).id], at(100));
    for millis in (100..2_700).step_by(100) {
        sync(&mut steering, millis);
    }
    let decision = decide(&mut steering, token, 2_700);
    assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
}

/// Another VM may have read the entry of a later start with the same token and opened flows there.
#[test]
fn other_flows_of_targets_that_have_ended_are_reset_once_a_later_start_would_be_known() {
    let mut steering = numbered([started(1, 1_000), target(2)]);
    steering.remove_targets(&[target(1).id], at(100));
    for millis in (100..2_700).step_by(100) {
        sync(&mut steering, millis);
    }
    let token = started(1, 1_000).numbered_token();
    for millis in [2_700, 2_900] {
        let decision = decide(&mut steering, token, millis);
        assert_eq!(decision, Decision::Drop(DropCause::TokenNotKnownYet));
    }
    sync(&mut steering, 2_950);
    let decision = decide(&mut steering, token, 3_000);
    assert_eq!(decision, Decision::Reset(ResetCause::UnknownToken));
    // The target has started again after all.
    steering.put_target(started(1, 9_000), at(3_100));
    let decision = decide(&mut steering, token, 3_200);
    assert!(decision.forwarded().is_some(), "{decision:?}");
}

/// Guards against flows of an earlier start that count as those of the present one, because both have
/// the same bits in the token.
#[test]
fn flow_of_an_earlier_start_with_the_same_token_is_no_evidence() {
    let earlier = started(1, 1_000);
    let is_same = |start: &u64| started(1, *start).numbered_token() == earlier.numbered_token();
    let start = (1_001..).find(is_same).expect("a start");
    let mut steering = numbered([earlier]);
    let token = open(&mut steering, 1);
    steering.put_target(started(1, start), at(100));
    let decision = decide(&mut steering, token, 200);
    assert!(decision.forwarded().is_some(), "{decision:?}");
    let index = steering.targets().find(&target(1).id).expect("the target");
    let load = steering.targets().get(index).expect("the target").load;
    assert_eq!((load.flows, load.busy), (0, 0));
}

#[test]
fn targets_whose_numbers_collide_are_told_apart_by_start_and_by_service() {
    let [first, second] = colliding();
    assert_ne!(first.numbered_token(), second.numbered_token());
    let mut steering = numbered([first.clone(), second.clone()]);
    for target in [&first, &second] {
        let decision = decide(&mut steering, target.numbered_token(), 100);
        assert_eq!(
            decision.forwarded(),
            Some((target.address, target.numbered_token()))
        );
    }
    // A token that belongs to neither present start: the one that started last has started again.
    let again = Target {
        start: Incarnation::from(5_000),
        ..first.clone()
    };
    let mut steering = numbered([again.clone(), second.clone()]);
    let decision = decide(&mut steering, first.numbered_token(), 100);
    assert_eq!(
        decision.forwarded(),
        Some((again.address, again.numbered_token()))
    );
    let charts = Target {
        service: "charts".parse().expect("a service"),
        start: Incarnation::from(9_000),
        ..second
    };
    let mut steering = numbered([again.clone(), charts]);
    let decision = decide(&mut steering, first.numbered_token(), 100);
    assert_eq!(
        decision.forwarded(),
        Some((again.address, again.numbered_token()))
    );
}

/// Guards against a change of the form of tokens, which flows carry from one version to the next.
#[test]
fn tokens_do_not_change_between_versions() {
    let tokens = [target(1).token(), target(1).numbered_token()];
    assert_eq!(
        tokens.map(|token| token.to_string()),
        ["011cd4e4", "b79cc1ca"]
    );
}
