//! Targets that serve while their entry is removed, and targets that have ended.

use bambooseam_steer::{Decision, DropCause, EntryStatus, ResetCause, Steering, Target};
use bambooseam_tests::steering::*;

/// Returns target `number` after it has announced that it leaves.
fn leaving(number: u8) -> Target {
    Target {
        is_leaving: true,
        ..target(number)
    }
}

/// Returns the steering of a VM that knows nine targets, of which target 3 leaves.
fn with_leaving() -> Steering {
    steering((1..=9).map(|number| match number {
        3 => leaving(3),
        _ => target(number),
    }))
}

/// Sends the data of flow `number` at target 3 from `seq`, and returns the decision.
fn send(steering: &mut Steering, number: u16, seq: u32, millis: u64) -> Decision {
    let packet = flow_packet(flow(number, ORDERS), target(3).token(), seq, 501, 30);
    steering.decide(&packet, at(millis))
}

fn status(steering: &Steering, number: u8) -> Option<EntryStatus> {
    let targets = steering.targets();
    let index = targets.find(&target(number).id)?;
    Some(targets.get(index)?.status)
}

/// Whether a quiet flow at target 3, whose entry is removed at 1,000, can go on at `millis`.
fn goes_on_at(mut steering: Steering, millis: u64) -> bool {
    steering.remove_targets(&[target(3).id], at(1_000));
    for time in (1_000..=millis).step_by(50) {
        steering.sweep(at(time));
        steering.record_sync(at(time));
    }
    send(&mut steering, 1, 101, millis).forwarded().is_some()
}

const GONE: Decision = Decision::Reset(ResetCause::TargetGone);

/// The flows of a leaving target whose entry lapsed were reset at once by a VM that had not noticed the
/// outage.
#[test]
fn leaving_target_whose_entry_lapses_unnoticed_keeps_its_flows() {
    for millis in [1_000, 1_200, 2_000, 3_499] {
        assert!(goes_on_at(with_leaving(), millis), "at {millis}");
    }
    assert!(!goes_on_at(with_leaving(), 3_500));
}

/// A target that announces that it leaves may have had its flow quiet for longer than it takes to
/// confirm a removal.
#[test]
fn quiet_target_whose_entry_alone_lapses_keeps_its_flows() {
    for millis in [1_000, 1_400, 2_000, 3_499] {
        assert!(
            goes_on_at(steering((1..=9).map(target)), millis),
            "at {millis}"
        );
    }
    assert!(!goes_on_at(steering((1..=9).map(target)), 3_500));
}

/// The entry of a leaving target that lapsed with most others is back within two seconds.
#[test]
fn leaving_target_that_lapses_with_the_others_keeps_its_flows() {
    let mut steering = with_leaving();
    let ids: Vec<_> = (1..=9).map(|number| target(number).id).collect();
    // In either order: the leaving target's entry is the first or the last to lapse.
    for batch in [&ids[2..3], &ids[3..], &ids[..2]] {
        steering.remove_targets(batch, at(1_000));
    }
    steering.sweep(at(2_900));
    assert!(send(&mut steering, 1, 101, 2_900).forwarded().is_some());
    steering.put_target(leaving(3), at(3_000));
    steering.sweep(at(9_000));
    assert!(send(&mut steering, 2, 101, 9_000).forwarded().is_some());
}

/// A VM that noticed only the beginning of an outage ended targets before they could publish their
/// entries again: the time counts from the removal.
#[test]
fn time_to_publish_an_entry_again_counts_from_its_removal() {
    let mut steering = with_leaving();
    steering.record_outage(at(1_000));
    let ids = [target(1).id, target(3).id];
    let kept = steering.remove_targets(&ids, at(3_400));
    let lapsed = EntryStatus::Lapsed { until: at(5_900) };
    assert_eq!(kept, ids.map(|id| (id, lapsed)));
    steering.sweep(at(5_400));
    assert!(send(&mut steering, 1, 101, 5_400).forwarded().is_some());
}

/// Entries that are back can't be read in an outage that begins after their removal was read: a VM
/// reset flows of running targets while its view was 2.8 s old (found by the soak).
#[test]
fn targets_do_not_end_while_the_view_is_not_renewed() {
    for is_noticed in [false, true] {
        let mut steering = with_leaving();
        steering.record_sync(at(1_000));
        steering.remove_targets(&[target(1).id, target(3).id], at(1_000));
        for time in (1_000..4_000).step_by(50) {
            steering.sweep(at(time));
        }
        assert!(send(&mut steering, 1, 101, 4_000).forwarded().is_some());
        if is_noticed {
            // The store has answered again: entries are back two seconds later.
            steering.record_outage(at(4_000));
            steering.record_sync(at(6_400));
            steering.sweep(at(6_400));
            assert!(send(&mut steering, 2, 101, 6_400).forwarded().is_some());
        }
        steering.record_sync(at(6_500));
        assert_eq!(send(&mut steering, 2, 101, 6_500), GONE);
    }
}

/// A VM whose first view lacks lapsed entries must wait for these anew after a further outage.
#[test]
fn outage_after_the_first_view_postpones_the_reset_of_unknown_tokens() {
    let mut steering = steering([target(1)]);
    steering.record_outage(at(1_500));
    for time in (1_500..4_000).step_by(100) {
        steering.record_sync(at(time));
        let decision = send(&mut steering, 1, 101, time);
        assert_eq!(decision, Decision::Drop(DropCause::TokenNotKnownYet));
    }
    steering.put_target(leaving(3), at(3_950));
    assert!(send(&mut steering, 1, 101, 3_990).forwarded().is_some());
    let unknown = flow_packet(flow(2, ORDERS), target(4).token(), 101, 501, 30);
    steering.decide(&unknown, at(4_000));
    steering.record_sync(at(4_300));
    let decision = steering.decide(&unknown, at(4_300));
    assert_eq!(decision, Decision::Reset(ResetCause::UnknownToken));
}

/// A target without an entry takes new flows only as a last resort, and none if it leaves.
#[test]
fn target_without_an_entry_takes_no_new_flows() {
    let mut steering = with_leaving();
    steering.remove_targets(&[target(3).id, target(4).id], at(1_000));
    for number in 1..200 {
        let decision = steering.decide(&opening_packet(flow(number, ORDERS), 0), at(2_000));
        let token = token_of(decision);
        assert!(token != target(3).token() && token != target(4).token());
    }
    let mut alone = self::steering([leaving(3)]);
    alone.remove_targets(&[target(3).id], at(1_000));
    let decision = alone.decide(&opening_packet(flow(1, ORDERS), 0), at(2_000));
    assert_eq!(decision, Decision::Drop(DropCause::ViewNotCurrent));
}

/// The flows of a target that has left must not wait until its entry can't return any more.
#[test]
fn retransmissions_end_a_target_without_an_entry() {
    for mut steering in [with_leaving(), steering((1..=9).map(target))] {
        steering.remove_targets(&[target(3).id], at(1_000));
        for (millis, is_forwarded) in [(1_500, true), (1_700, true), (2_100, false)] {
            let decision = send(&mut steering, 1, 101, millis);
            assert_eq!(decision.forwarded().is_some(), is_forwarded, "at {millis}");
        }
        assert_eq!(send(&mut steering, 2, 101, 2_101), GONE);
        assert_eq!(status(&steering, 3), None);
        // The entry of a target that serves after all restores its flows.
        steering.put_target(target(3), at(2_200));
        assert!(send(&mut steering, 2, 101, 2_300).forwarded().is_some());
    }
}

/// Requests that wait since before the removal are evidence as well.
#[test]
fn target_that_was_not_responding_ends_once_its_removal_is_confirmed() {
    let mut steering = steering((1..=9).map(target));
    for millis in [100, 300, 700] {
        send(&mut steering, 1, 101, millis);
    }
    steering.remove_targets(&[target(3).id], at(1_000));
    assert!(send(&mut steering, 2, 101, 1_399).forwarded().is_some());
    assert_eq!(send(&mut steering, 2, 101, 1_400), GONE);
}

/// One flow whose answers are lost does not end a target that responds to another flow.
#[test]
fn responses_to_other_flows_outweigh_retransmissions() {
    for mut steering in [with_leaving(), steering((1..=9).map(target))] {
        steering.remove_targets(&[target(3).id], at(1_000));
        send(&mut steering, 2, 101, 1_100);
        let mut packet = flow_packet(flow(2, ORDERS), target(3).token(), 131, 601, 30);
        assert!(steering.decide(&packet, at(1_800)).forwarded().is_some());
        for millis in [1_500, 1_700, 2_100, 2_900] {
            let decision = send(&mut steering, 1, 101, millis);
            assert!(decision.forwarded().is_some(), "at {millis}");
        }
        packet.ack += 100;
        packet.seq += 30;
        assert!(steering.decide(&packet, at(3_000)).forwarded().is_some());
        steering.sweep(at(4_400));
        assert!(send(&mut steering, 3, 101, 4_400).forwarded().is_some());
    }
}
