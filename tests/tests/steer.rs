//! What becomes of each packet, whichever VM it comes to.

use std::time::Duration;

use bambooseam_steer::{
    Decision, DropCause, EntryStatus, Placement, ResetCause, Route, Routes, Share, Steering,
    SteeringEvent, Target,
};
use bambooseam_tests::steering::*;
use bambooseam_types::{Incarnation, TargetId, TargetLabel};

fn opening_of(verdict: Decision) -> Option<Placement> {
    match verdict {
        Decision::Forward { placement, .. } => placement,
        _ => None,
    }
}

/// Opens flow `number` at 0 and gives its target's token.
fn open(steering: &mut Steering, number: u16) -> bambooseam_types::Token {
    token_of(steering.decide(&opening(flow(number, ORDERS), 0), at(0)))
}

/// Targets that have ended, of all notices.
fn ended(notices: Vec<SteeringEvent>) -> Vec<TargetId> {
    let ended = notices.into_iter().filter_map(|notice| match notice {
        SteeringEvent::Ended(id) => Some(id),
        _ => None,
    });
    ended.collect()
}

fn is_closed(steering: &Steering) -> bool {
    let mut loads = steering.targets().iter().map(|(_, slot)| slot.load);
    loads.all(|load| load.flows == 0 && load.busy == 0)
}

#[test]
fn every_vm_sends_a_flow_to_the_target_that_it_names() {
    let targets: Vec<_> = (1..=9).map(target).collect();
    let mut first = steering(targets.clone());
    let mut other = steering(targets.into_iter().rev());
    for number in 1..100 {
        let verdict = first.decide(&opening(flow(number, ORDERS), 0), at(0));
        let token = token_of(verdict);
        let packet = inside(flow(number, ORDERS), token, 101, 501, 30);
        let elsewhere = other.decide(&packet, at(9));
        assert_eq!(elsewhere.forwarded(), verdict.forwarded());
    }
}

#[test]
fn later_start_under_the_same_id_is_another_target() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    let again = Target {
        start: Incarnation::from(5_000),
        ..target(1)
    };
    steering.put_target(again, at(100));
    let packet = inside(flow(1, ORDERS), token, 101, 501, 30);
    let verdict = steering.decide(&packet, at(101));
    assert_eq!(verdict, Decision::Reset(ResetCause::TargetGone));
    assert_ne!(open(&mut steering, 2), token);
}

#[test]
fn address_of_an_ended_target_belongs_to_another_service() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    steering.remove_targets(&[target(1).id], at(10));
    steering.sweep(at(500));
    let other = Target {
        id: "i-77".parse().expect("an id"),
        label: TargetLabel::new(0x77).expect("a label"),
        service: "charts".parse().expect("a service"),
        ..target(1)
    };
    steering.put_target(other, at(2_500));
    steering.record_sync(at(2_500));
    let packet = inside(flow(1, ORDERS), token, 101, 501, 30);
    let verdict = steering.decide(&packet, at(2_600));
    assert_eq!(verdict, Decision::Reset(ResetCause::TargetGone));
    let verdict = steering.decide(&opening(flow(2, ORDERS), 0), at(2_600));
    assert_eq!(verdict, Decision::Reset(ResetCause::NoTarget));
}

#[test]
fn target_whose_entry_lapsed_with_the_store_away_keeps_its_flows() {
    let targets: Vec<_> = (1..=9).map(target).collect();
    let mut steering = steering(targets);
    let token = open(&mut steering, 1);
    let (_, slot) = steering
        .targets()
        .iter()
        .find(|(_, s)| s.token == token)
        .expect("held");
    let id = slot.target.id.clone();
    steering.record_outage(at(1_000));
    let kept = steering.remove_targets(std::slice::from_ref(&id), at(1_100));
    assert_eq!(
        kept,
        [(id.clone(), EntryStatus::Lapsed { until: at(3_500) })]
    );
    steering.record_sync(at(1_100));
    let packet = inside(flow(1, ORDERS), token, 101, 501, 30);
    assert!(steering.decide(&packet, at(1_200)).forwarded().is_some());
    // It is not back in time.
    assert_eq!(ended(steering.sweep(at(3_499))), []);
    assert_eq!(ended(steering.sweep(at(3_500))), [id]);
    let verdict = steering.decide(&packet, at(3_501));
    assert_eq!(verdict, Decision::Reset(ResetCause::TargetGone));
}

#[test]
fn target_whose_entry_is_back_is_kept_for_good() {
    let mut steering = steering((1..=9).map(target));
    steering.record_outage(at(1_000));
    steering.remove_targets(&[target(3).id], at(1_100));
    steering.put_target(target(3), at(2_000));
    assert_eq!(ended(steering.sweep(at(9_000))), []);
}

#[test]
fn entry_back_after_its_target_was_given_up_revives_its_flows() {
    let mut steering = steering((1..=9).map(target));
    let token = target(3).token();
    steering.remove_targets(&[target(3).id], at(1_000));
    steering.sweep(at(1_500));
    let packet = inside(flow(1, ORDERS), token, 101, 501, 30);
    assert!(steering.decide(&packet, at(1_501)).forwarded().is_none());
    steering.put_target(target(3), at(2_000));
    assert!(steering.decide(&packet, at(2_001)).forwarded().is_some());
}

#[test]
fn target_whose_entry_goes_in_quiet_times_keeps_its_flows_for_a_moment() {
    let mut steering = steering((1..=9).map(target));
    let token = target(3).token();
    let id = target(3).id;
    let outcome = steering.remove_targets(std::slice::from_ref(&id), at(1_000));
    assert_eq!(
        outcome,
        [(id.clone(), EntryStatus::Unconfirmed { until: at(1_400) })]
    );
    let packet = inside(flow(1, ORDERS), token, 101, 501, 30);
    assert!(steering.decide(&packet, at(1_399)).forwarded().is_some());
    assert_eq!(ended(steering.sweep(at(1_400))), [id]);
    let verdict = steering.decide(&packet, at(1_401));
    assert_eq!(verdict, Decision::Reset(ResetCause::TargetGone));
}

#[test]
fn doubt_ends_with_the_packet_that_finds_it_over() {
    let mut steering = steering((1..=9).map(target));
    steering.remove_targets(&[target(3).id], at(1_000));
    let packet = inside(flow(1, ORDERS), target(3).token(), 101, 501, 30);
    let verdict = steering.decide(&packet, at(1_400));
    assert_eq!(verdict, Decision::Reset(ResetCause::TargetGone));
    assert_eq!(
        ended(steering.sweep(at(1_401))),
        [target(3).id],
        "it is told once"
    );
    assert_eq!(ended(steering.sweep(at(1_402))), []);
}

#[test]
fn target_without_an_entry_keeps_its_flows_while_it_answers() {
    let mut steering = steering((1..=3).map(target));
    let token = target(3).token();
    let mut packet = inside(flow(1, ORDERS), token, 101, 501, 30);
    steering.decide(&packet, at(900));
    steering.remove_targets(&[target(3).id], at(1_000));
    for time in (1_000..9_000).step_by(500) {
        // Each answer is acknowledged, and asks for the next.
        packet.ack += 100;
        packet.seq += 30;
        assert!(
            steering.decide(&packet, at(time)).forwarded().is_some(),
            "at {time} ms"
        );
        assert_eq!(ended(steering.sweep(at(time))), []);
    }
    for number in 10..50 {
        let verdict = steering.decide(&opening(flow(number, ORDERS), 0), at(8_500));
        assert_ne!(token_of(verdict), token);
    }
    // Requests without an answer show no life.
    packet.seq += 30;
    steering.decide(&packet, at(9_000));
    assert_eq!(ended(steering.sweep(at(11_000))), [target(3).id]);
}

#[test]
fn doubted_target_gets_new_flows_only_where_no_other_is_open() {
    let mut two = steering([target(1), target(2), target(3), target(4)]);
    two.remove_targets(&[target(2).id], at(0));
    for number in 1..50 {
        assert_ne!(open(&mut two, number), target(2).token());
    }
    let mut one = steering([target(1)]);
    one.remove_targets(&[target(1).id], at(0));
    assert_eq!(open(&mut one, 1), target(1).token());
}

#[test]
fn leaving_target_whose_entry_goes_has_ended() {
    let mut steering = steering((1..=9).map(target));
    let leaving = Target {
        is_leaving: true,
        ..target(3)
    };
    steering.put_target(leaving, at(100));
    assert_eq!(steering.remove_targets(&[target(3).id], at(5_000)), []);
    let packet = inside(flow(1, ORDERS), target(3).token(), 101, 501, 30);
    let verdict = steering.decide(&packet, at(5_001));
    assert_eq!(verdict, Decision::Reset(ResetCause::TargetGone));
}

#[test]
fn many_entries_gone_look_like_a_lapse() {
    let is_lapsed = |gone: u8| {
        let mut steering = steering((1..=9).map(target));
        let ids: Vec<_> = (1..=gone).map(|number| target(number).id).collect();
        steering.remove_targets(&ids, at(10));
        let slots: Vec<_> = steering
            .targets()
            .iter()
            .map(|(_, slot)| slot.status)
            .collect();
        slots.contains(&EntryStatus::Lapsed { until: at(2_510) })
    };
    assert!(!is_lapsed(3));
    assert!(is_lapsed(4));
}

#[test]
fn entries_that_lapse_one_by_one_over_a_beat_break_no_flow() {
    // 14 targets beat every 770 ms, the store is read every 300 ms, and no target reaches it.
    let mut steering = steering((1..=14).map(target));
    let mut gone = Vec::new();
    for batch in 0..4_u64 {
        let now = at(1_000 + 300 * batch);
        let due = |number: &u8| u64::from(*number) * 55 / 300 == batch;
        let ids: Vec<_> = (1..=14)
            .filter(due)
            .map(|number| target(number).id)
            .collect();
        gone.extend(ended(steering.sweep(now)));
        steering.remove_targets(&ids, now);
    }
    gone.extend(ended(steering.sweep(at(2_400))));
    assert_eq!(gone, []);
}

#[test]
fn unknown_token_is_reset_once_the_view_must_know_it() {
    let mut steering = steering([target(1)]);
    let packet = inside(flow(1, ORDERS), target(2).token(), 101, 501, 30);
    let wait = Decision::Drop(DropCause::TokenNotKnownYet);
    assert_eq!(steering.decide(&packet, at(9_100)), wait);
    // What was read before the packet came, or just then, may lack the target.
    steering.record_sync(at(9_300));
    assert_eq!(steering.decide(&packet, at(9_310)), wait);
    steering.record_sync(at(9_350));
    let verdict = steering.decide(&packet, at(9_360));
    assert_eq!(verdict, Decision::Reset(ResetCause::UnknownToken));
}

#[test]
fn vm_that_starts_while_entries_come_back_resets_and_refuses_nothing() {
    // The store was away before the start, and nobody here knows: entries that lapsed meanwhile are
    // back within 2 s, and half a second later they are known.
    let mut steering = steering([]);
    let packet = inside(flow(1, ORDERS), target(2).token(), 101, 501, 30);
    for time in 1..=24 {
        let now = at(100 * time);
        steering.record_sync(now);
        let verdict = steering.decide(&packet, now);
        assert_eq!(verdict, Decision::Drop(DropCause::TokenNotKnownYet));
        let verdict = steering.decide(&opening(flow(2, ORDERS), 0), now);
        assert_eq!(verdict, Decision::Drop(DropCause::ViewNotCurrent));
        let verdict = steering.decide(&opening(flow(3, NOWHERE), 0), now);
        assert_eq!(verdict, Decision::Reset(ResetCause::NoRoute), "routes stay");
    }
    steering.put_target(target(2), at(2_450));
    assert!(steering.decide(&packet, at(2_460)).forwarded().is_some());
    let gone = inside(flow(4, ORDERS), target(3).token(), 101, 501, 30);
    steering.decide(&gone, at(2_460));
    steering.record_sync(at(2_800));
    let verdict = steering.decide(&gone, at(2_810));
    assert_eq!(verdict, Decision::Reset(ResetCause::UnknownToken));
}

#[test]
fn unknown_token_is_never_reset_while_the_view_is_old() {
    let mut steering = steering([target(1)]);
    let packet = inside(flow(1, ORDERS), target(2).token(), 101, 501, 30);
    for time in 1..200 {
        let verdict = steering.decide(&packet, at(100 * time));
        assert_eq!(verdict, Decision::Drop(DropCause::TokenNotKnownYet));
    }
}

#[test]
fn unservable_opening_is_refused_at_once_by_a_current_view_only() {
    let mut steering = steering([target(1)]);
    let nowhere = opening(flow(1, NOWHERE), 0);
    let empty = opening(flow(1, CHARTS), 0);
    steering.record_sync(at(5_000));
    let no_route = Decision::Reset(ResetCause::NoRoute);
    assert_eq!(steering.decide(&nowhere, at(5_100)), no_route);
    let no_target = Decision::Reset(ResetCause::NoTarget);
    assert_eq!(steering.decide(&empty, at(5_100)), no_target);
    let not_current = Decision::Drop(DropCause::ViewNotCurrent);
    assert_eq!(steering.decide(&nowhere, at(9_000)), not_current);
    assert_eq!(steering.decide(&empty, at(9_000)), not_current);
}

#[test]
fn old_view_still_places_flows() {
    let mut steering = steering([target(1)]);
    let verdict = steering.decide(&opening(flow(1, ORDERS), 0), at(60_000));
    assert!(verdict.forwarded().is_some());
}

#[test]
fn removed_route_ends_its_flows_and_an_unseen_one_does_not() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    // Another VM has a newer configuration with a route that is not known here yet.
    let packet = inside(flow(1, NOWHERE), token, 101, 501, 30);
    assert!(steering.decide(&packet, at(10)).forwarded().is_some());
    let removed = steering.set_routes(Routes::new(vec![route(CHARTS, "charts")], None));
    assert_eq!(removed, [ORDERS]);
    let packet = inside(flow(1, ORDERS), token, 101, 501, 30);
    let gone = Decision::Reset(ResetCause::RouteRemoved);
    assert_eq!(steering.decide(&packet, at(20)), gone);
    steering.set_routes(routes());
    assert!(steering.decide(&packet, at(30)).forwarded().is_some());
}

#[test]
fn moved_route_leaves_open_flows_where_they_are() {
    let charts = Target {
        service: "charts".parse().expect("a service"),
        ..target(2)
    };
    let mut steering = steering([target(1), charts]);
    let token = open(&mut steering, 1);
    steering.set_routes(Routes::new(vec![route(ORDERS, "charts")], None));
    let packet = inside(flow(1, ORDERS), token, 101, 501, 30);
    assert_eq!(token_of(steering.decide(&packet, at(10))), token);
    assert_eq!(open(&mut steering, 2), target(2).token());
}

#[test]
fn leaving_target_keeps_its_flows_and_gets_no_new_one() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    let leaving = Target {
        is_leaving: true,
        ..target(1)
    };
    steering.put_target(leaving, at(10));
    let packet = inside(flow(1, ORDERS), token, 101, 501, 30);
    assert!(steering.decide(&packet, at(20)).forwarded().is_some());
    let early = steering.decide(&opening(flow(2, ORDERS), 0), at(20));
    assert_eq!(early, Decision::Drop(DropCause::ViewNotCurrent));
    steering.record_sync(at(2_500));
    let verdict = steering.decide(&opening(flow(2, ORDERS), 0), at(2_500));
    assert_eq!(verdict, Decision::Reset(ResetCause::NoTarget));
    // Copies of an opening packet that it may have answered still go there.
    let verdict = steering.decide(&opening(flow(1, ORDERS), 1), at(20));
    assert!(verdict.forwarded().is_some());
}

#[test]
fn ports_used_again_open_no_flow_at_a_leaving_target() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    steering.decide(&inside(flow(1, ORDERS), token, 101, 501, 300), at(10));
    let leaving = Target {
        is_leaving: true,
        ..target(1)
    };
    steering.put_target(leaving, at(100));
    steering.put_target(target(2), at(100));
    // Its end went through another VM; the caller's next flow has the same ports and a number that
    // is as near as that of a copy.
    let verdict = steering.decide(&opening(flow(1, ORDERS), 0), at(4_000));
    assert_eq!(opening_of(verdict), Some(Placement::Placed));
    assert_eq!(token_of(verdict), target(2).token());
}

#[test]
fn overwritten_entry_leaves_flows_and_gets_no_new_one() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    steering.invalidate_target(&target(1).id);
    let packet = inside(flow(1, ORDERS), token, 101, 501, 30);
    assert!(steering.decide(&packet, at(20)).forwarded().is_some());
    let early = steering.decide(&opening(flow(2, ORDERS), 0), at(20));
    assert_eq!(early, Decision::Drop(DropCause::ViewNotCurrent));
    steering.record_sync(at(2_500));
    let verdict = steering.decide(&opening(flow(2, ORDERS), 0), at(2_500));
    assert_eq!(verdict, Decision::Reset(ResetCause::NoTarget));
}

#[test]
fn copies_of_an_opening_go_to_the_same_target() {
    let mut steering = steering((1..=9).map(target));
    for number in 1..50 {
        let token = open(&mut steering, number);
        for (copy, time) in [(1, 200), (2, 600)] {
            let verdict = steering.decide(&opening(flow(number, ORDERS), copy), at(time));
            // One unanswered flow may be a lost answer; its target may still open it.
            if opening_of(verdict) == Some(Placement::Retransmitted) {
                assert_eq!(token_of(verdict), token);
            }
        }
    }
    let mut single = self::steering((1..=9).map(target));
    let token = open(&mut single, 1);
    for (copy, time) in [(1, 200), (2, 600)] {
        let verdict = single.decide(&opening(flow(1, ORDERS), copy), at(time));
        assert_eq!(opening_of(verdict), Some(Placement::Retransmitted));
        assert_eq!(token_of(verdict), token);
    }
}

#[test]
fn copies_leave_a_target_that_two_flows_found_silent() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    open(&mut steering, 2);
    steering.put_target(target(2), at(100));
    let verdict = steering.decide(&opening(flow(1, ORDERS), 1), at(200));
    assert_eq!(opening_of(verdict), Some(Placement::Moved));
    assert_ne!(token_of(verdict), token);
    // Its load moved with it.
    let loads: Vec<_> = steering
        .targets()
        .iter()
        .map(|(_, slot)| slot.load.busy)
        .collect();
    assert_eq!(loads, [1, 1]);
}

#[test]
fn silent_target_is_tried_by_one_flow_at_a_time() {
    // The other target answers everything; this one nothing.
    let mut steering = steering([target(1), target(2)]);
    let dead = target(1).token();
    let mut tried = Vec::new();
    for number in 1..1_000 {
        let now = at(10 * u64::from(number));
        steering.sweep(now);
        let token = token_of(steering.decide(&opening(flow(number, ORDERS), 0), now));
        if token == dead {
            tried.push((number, now));
            continue;
        }
        let packet = inside(flow(number, ORDERS), token, 101, 501, 0);
        steering.decide(&packet, now);
        // Ten flows are at work there at a time.
        let over = number.saturating_sub(10);
        steering.decide(&ending(flow(over, ORDERS), token, 501), now);
    }
    // The first flows find it silent within 150 ms; from then on one every two seconds does.
    let later = tried.iter().filter(|(_, now)| *now > at(200)).count();
    assert!((3..=5).contains(&later), "{tried:?}");
    // The copy of the one that tries leaves it at once.
    let (number, now) = *tried.last().expect("a flow that tried");
    let copy = opening(flow(number, ORDERS), 1);
    let verdict = steering.decide(&copy, now.after(Duration::from_millis(200)));
    assert_eq!(opening_of(verdict), Some(Placement::Moved));
    // Once it answers it gets its part again.
    let packet = inside(flow(number, ORDERS), dead, 101, 501, 0);
    steering.decide(&packet, now.after(Duration::from_millis(300)));
    let now = now.after(Duration::from_millis(400));
    let again = (2_000..2_020).filter(|&number| {
        token_of(steering.decide(&opening(flow(number, ORDERS), 0), now)) == dead
    });
    assert!(again.count() >= 8);
}

#[test]
fn silence_and_its_end_are_told() {
    let mut steering = steering([target(1), target(2)]);
    let token = open(&mut steering, 1);
    let other = open(&mut steering, 2);
    steering.decide(&inside(flow(2, ORDERS), other, 101, 501, 0), at(20));
    let silent = steering
        .targets()
        .iter()
        .find(|(_, slot)| slot.token == token);
    let id = silent.expect("held").1.target.id.clone();
    let told = SteeringEvent::Unresponsive {
        target: id.clone(),
        flows: 1,
        elapsed: Duration::from_millis(500),
    };
    assert_eq!(steering.sweep(at(500)), [told]);
    assert_eq!(steering.sweep(at(600)), []);
    steering.decide(&inside(flow(1, ORDERS), token, 101, 501, 0), at(700));
    assert_eq!(steering.sweep(at(1_000)), [SteeringEvent::Recovered(id)]);
}

#[test]
fn time_to_an_answer_is_told_once() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    steering.decide(&inside(flow(1, ORDERS), token, 101, 501, 0), at(10));
    steering.decide(&inside(flow(1, ORDERS), token, 101, 501, 30), at(20));
    steering.decide(&inside(flow(1, ORDERS), token, 131, 1_701, 0), at(65));
    let mut told = Vec::new();
    for _ in 0..2 {
        steering.drain_response_times(|service, time| told.push((service.to_string(), time)));
    }
    // Callers send their request right behind the opening, so that its time counts.
    assert_eq!(told, [("orders".to_owned(), Duration::from_millis(65))]);
}

#[test]
fn request_without_an_answer_is_told() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    steering.decide(&inside(flow(1, ORDERS), token, 101, 501, 0), at(10));
    steering.decide(&inside(flow(1, ORDERS), token, 101, 501, 30), at(20));
    let told = SteeringEvent::TimedOut {
        flow: flow(1, ORDERS),
        token,
        waited: Duration::from_millis(2_100),
    };
    assert!(steering.sweep(at(2_100)).contains(&told));
}

#[test]
fn copies_stay_at_a_target_that_showed_life() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    open(&mut steering, 2);
    steering.put_target(target(2), at(100));
    steering.decide(&inside(flow(2, ORDERS), token, 101, 501, 0), at(150));
    let verdict = steering.decide(&opening(flow(1, ORDERS), 1), at(200));
    assert_eq!(opening_of(verdict), Some(Placement::Retransmitted));
}

#[test]
fn packets_that_no_caller_sends_go_nowhere() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    let mut forged = opening(flow(2, ORDERS), 0);
    forged.flags.ack = true;
    let verdict = steering.decide(&forged, at(1));
    assert_eq!(verdict, Decision::Drop(DropCause::Forged));
    let mut nameless = inside(flow(1, ORDERS), token, 101, 501, 30);
    nameless.token = None;
    let verdict = steering.decide(&nameless, at(1));
    assert_eq!(verdict, Decision::Reset(ResetCause::NoToken));
    // A reset is never answered by a reset.
    nameless.flags.rst = true;
    let verdict = steering.decide(&nameless, at(1));
    assert_eq!(verdict, Decision::Drop(DropCause::AlreadyEnded));
}

#[test]
fn load_ends_with_its_flow() {
    let mut steering = steering([target(1)]);
    for number in 1..20 {
        let token = open(&mut steering, number);
        let flow = flow(number, ORDERS);
        steering.decide(&inside(flow, token, 101, 501, 0), at(10));
        steering.decide(&inside(flow, token, 101, 501, 300), at(11));
        steering.decide(&inside(flow, token, 401, 1_900, 0), at(30));
        steering.decide(&ending(flow, token, 1_900), at(31));
        // The caller acknowledges the target's end, too.
        steering.decide(&inside(flow, token, 402, 1_901, 0), at(32));
    }
    assert!(is_closed(&steering));
    steering.sweep(at(5_000));
    assert_eq!(steering.flow_count(), 0);
}

#[test]
fn load_of_silent_flows_is_forgotten() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    open(&mut steering, 2);
    let packet = inside(flow(1, ORDERS), token, 101, 501, 300);
    steering.decide(&packet, at(10));
    // The second flow never opened; the first one's request outlasts its route's time.
    steering.sweep(at(2_100));
    let load = steering.targets().iter().next().expect("a target").1.load;
    assert_eq!((load.flows, load.busy), (1, 0));
    steering.sweep(at(16_000));
    assert!(is_closed(&steering));
}

#[test]
fn flow_that_came_from_another_vm_counts() {
    let mut steering = steering([target(1)]);
    let token = target(1).token();
    steering.decide(&inside(flow(1, ORDERS), token, 900, 7_000, 300), at(10));
    let load = |steering: &Steering| {
        let (_, slot) = steering.targets().iter().next().expect("a target");
        (slot.load.flows, slot.load.busy)
    };
    assert_eq!(load(&steering), (1, 1));
    steering.decide(&inside(flow(1, ORDERS), token, 1_200, 8_000, 0), at(40));
    assert_eq!(load(&steering), (1, 0));
}

#[test]
fn weights_share_new_flows_alike_on_every_vm() {
    let charts = Target {
        service: "charts".parse().expect("a service"),
        ..target(2)
    };
    let share = |service: &str, weight| Share {
        service: service.parse().expect("a service"),
        weight,
    };
    let split = Route {
        shares: vec![share("orders", 90), share("nobody", 0), share("charts", 10)],
        ..route(ORDERS, "orders")
    };
    let mut vms = [
        steering([target(1), charts.clone()]),
        steering([charts, target(1)]),
    ];
    let mut charted = 0;
    for number in 1..=5_000 {
        let packet = opening(flow(number, ORDERS), 0);
        let tokens = vms.each_mut().map(|vm| {
            vm.set_routes(Routes::new(vec![split.clone()], None));
            token_of(vm.decide(&packet, at(0)))
        });
        assert_eq!(tokens[0], tokens[1]);
        charted += u32::from(tokens[0] == target(2).token());
    }
    assert!(
        (400..600).contains(&charted),
        "{charted} of 5,000 at weight 10 of 100"
    );
}

#[test]
fn colliding_tokens_open_no_flow_at_the_later_start() {
    let (earlier, later) = colliding("orders");
    for targets in [[&earlier, &later], [&later, &earlier]] {
        let mut steering = steering(targets.map(Target::clone));
        for number in 1..20 {
            let verdict = steering.decide(&opening(flow(number, ORDERS), 0), at(0));
            assert_eq!(
                verdict.forwarded(),
                Some((earlier.address, earlier.token()))
            );
        }
        // Once the earlier one has ended the later one is open.
        steering.remove_targets(std::slice::from_ref(&earlier.id), at(10));
        steering.sweep(at(9_000));
        let verdict = steering.decide(&opening(flow(30, ORDERS), 0), at(9_000));
        assert_eq!(verdict.forwarded(), Some((later.address, later.token())));
    }
}

#[test]
fn route_tells_colliding_tokens_of_two_services_apart() {
    let (orders, charts) = colliding("charts");
    let mut steering = steering([orders.clone(), charts.clone()]);
    for (entrance, target) in [(ORDERS, &orders), (CHARTS, &charts)] {
        let verdict = steering.decide(&opening(flow(1, entrance), 0), at(0));
        assert_eq!(verdict.forwarded(), Some((target.address, target.token())));
        let packet = inside(flow(1, entrance), target.token(), 101, 501, 30);
        let verdict = steering.decide(&packet, at(1));
        assert_eq!(verdict.forwarded(), Some((target.address, target.token())));
    }
}

/// Two targets with one token, the second later and of `service`.
fn colliding(service: &str) -> (Target, Target) {
    let mut seen = std::collections::HashMap::new();
    for start in 0.. {
        let candidate = Target {
            start: Incarnation::from(start),
            ..target(1)
        };
        let Some(earlier) = seen.insert(candidate.token(), start) else {
            continue;
        };
        let first = Target {
            start: Incarnation::from(earlier),
            ..target(1)
        };
        let second = Target {
            id: "i-0b".parse().expect("an id"),
            address: target(2).address,
            service: service.parse().expect("a service"),
            ..candidate
        };
        return (first, second);
    }
    unreachable!("tokens have 32 bits")
}

#[test]
fn full_table_still_serves() {
    let mut steering = steering([target(1), target(2)]);
    for number in 1..=1_200 {
        let token = open(&mut steering, number);
        let packet = inside(flow(number, ORDERS), token, 101, 501, 30);
        assert_eq!(token_of(steering.decide(&packet, at(5))), token);
    }
    assert_eq!(steering.flow_count(), 1_000);
    steering.sweep(at(60_000));
    assert!(is_closed(&steering));
}

#[test]
fn chance_packets_leave_no_load_behind() {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut steering = steering((1..=4).map(target));
        let mut time = 0;
        for _ in 0..2_000 {
            time += random.random_range(0..40);
            let flow = flow(random.random_range(1..30), ORDERS);
            let token = target(random.random_range(1..=5)).token();
            let mut head = match random.random_bool(0.2) {
                true => opening(flow, random.random_range(0..3)),
                false => {
                    let (seq, ack) = (random.random_range(90..900), random.random_range(90..900));
                    inside(flow, token, seq, ack, random.random_range(0..300))
                }
            };
            head.flags.fin = random.random_bool(0.1);
            head.flags.rst = random.random_bool(0.05);
            steering.decide(&head, at(time));
            match random.random_range(0..40) {
                0 => drop(steering.remove_targets(&[target(2).id], at(time))),
                1 => steering.put_target(target(2), at(time)),
                2 => steering.record_sync(at(time)),
                3 => drop(steering.sweep(at(time))),
                _ => {}
            }
        }
        steering.sweep(at(time + 1));
        steering.sweep(at(time + Duration::from_secs(60).as_millis() as u64));
        assert!(is_closed(&steering), "seed {seed}");
        assert_eq!(steering.flow_count(), 0, "seed {seed}");
    }
}
