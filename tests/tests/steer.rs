//! Decisions of the steering about packets, which must be the same on every VM.

use std::time::Duration;

use bambooseam_steer::{
    Decision, DropCause, EntryStatus, Placement, ResetCause, Route, Routes, Share, Steering,
    SteeringEvent, Target,
};
use bambooseam_tests::steering::*;
use bambooseam_types::{Incarnation, TargetId, TargetLabel};

fn placement_of(decision: Decision) -> Option<Placement> {
    match decision {
        Decision::Forward { placement, .. } => placement,
        _ => None,
    }
}

/// Opens flow `number` at 0 and returns the token of its target.
fn open(steering: &mut Steering, number: u16) -> bambooseam_types::Token {
    token_of(steering.decide(&opening_packet(flow(number, ORDERS), 0), at(0)))
}

/// Returns the targets that `events` report as ended.
fn ended(events: Vec<SteeringEvent>) -> Vec<TargetId> {
    let ended = events.into_iter().filter_map(|event| match event {
        SteeringEvent::Ended(id) => Some(id),
        _ => None,
    });
    ended.collect()
}

fn has_no_load(steering: &Steering) -> bool {
    let mut loads = steering.targets().iter().map(|(_, record)| record.load);
    loads.all(|load| load.flows == 0 && load.busy == 0)
}

#[test]
fn every_vm_sends_a_flow_to_the_target_that_it_names() {
    let targets: Vec<_> = (1..=9).map(target).collect();
    let mut first = steering(targets.clone());
    let mut other = steering(targets.into_iter().rev());
    for number in 1..100 {
        let decision = first.decide(&opening_packet(flow(number, ORDERS), 0), at(0));
        let token = token_of(decision);
        let packet = flow_packet(flow(number, ORDERS), token, 101, 501, 30);
        let other_decision = other.decide(&packet, at(9));
        assert_eq!(other_decision.forwarded(), decision.forwarded());
    }
}

#[test]
fn address_of_an_ended_target_belongs_to_another_service() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    steering.remove_targets(&[target(1).id], at(10));
    steering.sweep(at(500));
    let successor = Target {
        id: "i-77".parse().expect("an id"),
        label: TargetLabel::new(0x77).expect("a label"),
        service: "charts".parse().expect("a service"),
        ..target(1)
    };
    steering.put_target(successor, at(2_500));
    steering.record_sync(at(2_500));
    let packet = flow_packet(flow(1, ORDERS), token, 101, 501, 30);
    let decision = steering.decide(&packet, at(2_600));
    assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
    let decision = steering.decide(&opening_packet(flow(2, ORDERS), 0), at(2_600));
    assert_eq!(decision, Decision::Reset(ResetCause::NoTarget));
}

#[test]
fn target_whose_entry_lapsed_during_an_outage_keeps_its_flows() {
    let targets: Vec<_> = (1..=9).map(target).collect();
    let mut steering = steering(targets);
    let token = open(&mut steering, 1);
    let (_, record) = steering
        .targets()
        .iter()
        .find(|(_, record)| record.token == token)
        .expect("a known target");
    let id = record.target.id.clone();
    steering.record_outage(at(1_000));
    let outcome = steering.remove_targets(std::slice::from_ref(&id), at(1_100));
    assert_eq!(
        outcome,
        [(id.clone(), EntryStatus::Lapsed { until: at(3_600) })]
    );
    steering.record_sync(at(3_100));
    let packet = flow_packet(flow(1, ORDERS), token, 101, 501, 30);
    assert!(steering.decide(&packet, at(1_200)).forwarded().is_some());
    // The entry is not published again before the time limit.
    assert_eq!(ended(steering.sweep(at(3_599))), []);
    assert_eq!(ended(steering.sweep(at(3_600))), [id]);
    let decision = steering.decide(&packet, at(3_601));
    assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
}

#[test]
fn target_whose_entry_is_published_again_is_kept() {
    let mut steering = steering((1..=9).map(target));
    steering.record_outage(at(1_000));
    steering.remove_targets(&[target(3).id], at(1_100));
    steering.put_target(target(3), at(2_000));
    assert_eq!(ended(steering.sweep(at(9_000))), []);
}

#[test]
fn entry_published_again_after_its_target_ended_restores_its_flows() {
    let mut steering = steering((1..=9).map(target));
    let token = target(3).token();
    steering.remove_targets(&[target(3).id], at(1_000));
    steering.record_sync(at(3_500));
    steering.sweep(at(1_500));
    steering.sweep(at(3_500));
    let packet = flow_packet(flow(1, ORDERS), token, 101, 501, 30);
    assert!(steering.decide(&packet, at(3_501)).forwarded().is_none());
    steering.put_target(target(3), at(4_000));
    assert!(steering.decide(&packet, at(4_001)).forwarded().is_some());
}

#[test]
fn target_whose_entry_is_removed_without_an_outage_keeps_its_flows_until_the_entry_would_be_back() {
    let mut steering = steering((1..=9).map(target));
    let token = target(3).token();
    let id = target(3).id;
    let outcome = steering.remove_targets(std::slice::from_ref(&id), at(1_000));
    assert_eq!(
        outcome,
        [(id.clone(), EntryStatus::Unconfirmed { until: at(1_400) })]
    );
    let packet = flow_packet(flow(1, ORDERS), token, 101, 501, 30);
    assert!(steering.decide(&packet, at(1_399)).forwarded().is_some());
    assert_eq!(ended(steering.sweep(at(1_400))), []);
    steering.record_sync(at(3_000));
    assert!(steering.decide(&packet, at(3_499)).forwarded().is_some());
    assert_eq!(ended(steering.sweep(at(3_499))), []);
    assert_eq!(ended(steering.sweep(at(3_500))), [id]);
    let decision = steering.decide(&packet, at(3_501));
    assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
}

#[test]
fn doubt_ends_with_the_packet_that_finds_it_over() {
    let mut steering = steering((1..=9).map(target));
    steering.remove_targets(&[target(3).id], at(1_000));
    steering.sweep(at(1_400));
    steering.record_sync(at(3_000));
    let packet = flow_packet(flow(1, ORDERS), target(3).token(), 101, 501, 30);
    let decision = steering.decide(&packet, at(3_500));
    assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
    assert_eq!(
        ended(steering.sweep(at(3_501))),
        [target(3).id],
        "the end of the target must be reported exactly once"
    );
    assert_eq!(ended(steering.sweep(at(3_502))), []);
}

#[test]
fn target_without_an_entry_keeps_its_flows_while_it_responds() {
    let mut steering = steering((1..=3).map(target));
    let token = target(3).token();
    let mut packet = flow_packet(flow(1, ORDERS), token, 101, 501, 30);
    steering.decide(&packet, at(900));
    steering.remove_targets(&[target(3).id], at(1_000));
    for time in (1_000..9_000).step_by(500) {
        // Each packet acknowledges a response and carries the next request.
        packet.ack += 100;
        packet.seq += 30;
        assert!(
            steering.decide(&packet, at(time)).forwarded().is_some(),
            "packet not forwarded at {time} ms"
        );
        assert_eq!(ended(steering.sweep(at(time))), []);
    }
    for number in 10..50 {
        let decision = steering.decide(&opening_packet(flow(number, ORDERS), 0), at(8_500));
        assert_ne!(token_of(decision), token);
    }
    // A request without a response does not count as activity of the target.
    packet.seq += 30;
    steering.decide(&packet, at(9_000));
    steering.record_sync(at(10_500));
    assert_eq!(ended(steering.sweep(at(11_000))), [target(3).id]);
}

#[test]
fn unconfirmed_target_gets_new_flows_only_without_an_alternative() {
    let mut several = steering([target(1), target(2), target(3), target(4)]);
    several.remove_targets(&[target(2).id], at(0));
    for number in 1..50 {
        assert_ne!(open(&mut several, number), target(2).token());
    }
    let mut single = steering([target(1)]);
    single.remove_targets(&[target(1).id], at(0));
    assert_eq!(open(&mut single, 1), target(1).token());
}

#[test]
fn leaving_target_whose_entry_is_not_back_in_time_has_ended() {
    let mut steering = steering((1..=9).map(target));
    let leaving = Target {
        is_leaving: true,
        ..target(3)
    };
    steering.put_target(leaving, at(100));
    let unconfirmed = EntryStatus::Unconfirmed { until: at(5_400) };
    let outcome = steering.remove_targets(&[target(3).id], at(5_000));
    assert_eq!(outcome, [(target(3).id, unconfirmed)]);
    assert_eq!(ended(steering.sweep(at(5_400))), []);
    steering.record_sync(at(7_000));
    assert_eq!(ended(steering.sweep(at(7_499))), []);
    let packet = flow_packet(flow(1, ORDERS), target(3).token(), 101, 501, 30);
    let decision = steering.decide(&packet, at(7_500));
    assert_eq!(decision, Decision::Reset(ResetCause::TargetGone));
}

#[test]
fn many_removed_entries_count_as_a_lapse() {
    let is_lapsed = |removed: u8| {
        let mut steering = steering((1..=9).map(target));
        let ids: Vec<_> = (1..=removed).map(|number| target(number).id).collect();
        steering.remove_targets(&ids, at(10));
        let records: Vec<_> = steering
            .targets()
            .iter()
            .map(|(_, record)| record.status)
            .collect();
        records.contains(&EntryStatus::Lapsed { until: at(2_510) })
    };
    assert!(!is_lapsed(3));
    assert!(is_lapsed(4));
}

#[test]
fn entries_that_lapse_one_by_one_within_a_heartbeat_interval_break_no_flow() {
    // 14 targets renew their entries every 770 ms, the VM reads the store every 300 ms, and no
    // target can reach the store, so that the entries lapse one after another.
    let mut steering = steering((1..=14).map(target));
    let mut ended_targets = Vec::new();
    for batch in 0..4_u64 {
        let now = at(1_000 + 300 * batch);
        let due = |number: &u8| u64::from(*number) * 55 / 300 == batch;
        let ids: Vec<_> = (1..=14)
            .filter(due)
            .map(|number| target(number).id)
            .collect();
        ended_targets.extend(ended(steering.sweep(now)));
        steering.remove_targets(&ids, now);
    }
    ended_targets.extend(ended(steering.sweep(at(2_400))));
    assert_eq!(ended_targets, []);
}

#[test]
fn unknown_token_is_reset_once_a_later_view_lacks_its_target() {
    let mut steering = steering([target(1)]);
    let packet = flow_packet(flow(1, ORDERS), target(2).token(), 101, 501, 30);
    let not_known_yet = Decision::Drop(DropCause::TokenNotKnownYet);
    assert_eq!(steering.decide(&packet, at(9_100)), not_known_yet);
    // A view read before or while the packet arrived may not contain the target yet.
    steering.record_sync(at(9_300));
    assert_eq!(steering.decide(&packet, at(9_310)), not_known_yet);
    steering.record_sync(at(9_350));
    let decision = steering.decide(&packet, at(9_360));
    assert_eq!(decision, Decision::Reset(ResetCause::UnknownToken));
}

#[test]
fn vm_that_starts_while_entries_come_back_resets_and_refuses_nothing() {
    // The store was unavailable before the VM started, which the VM cannot know. Targets publish
    // lapsed entries again within 2 s, and the entries reach the VM half a second later.
    let mut steering = steering([]);
    let packet = flow_packet(flow(1, ORDERS), target(2).token(), 101, 501, 30);
    for time in 1..=24 {
        let now = at(100 * time);
        steering.record_sync(now);
        let decision = steering.decide(&packet, now);
        assert_eq!(decision, Decision::Drop(DropCause::TokenNotKnownYet));
        let decision = steering.decide(&opening_packet(flow(2, ORDERS), 0), now);
        assert_eq!(decision, Decision::Drop(DropCause::ViewNotCurrent));
        let decision = steering.decide(&opening_packet(flow(3, UNROUTED), 0), now);
        assert_eq!(
            decision,
            Decision::Reset(ResetCause::NoRoute),
            "routes must stay in force"
        );
    }
    steering.put_target(target(2), at(2_450));
    assert!(steering.decide(&packet, at(2_460)).forwarded().is_some());
    let unknown = flow_packet(flow(4, ORDERS), target(3).token(), 101, 501, 30);
    steering.decide(&unknown, at(2_460));
    steering.record_sync(at(2_800));
    let decision = steering.decide(&unknown, at(2_810));
    assert_eq!(decision, Decision::Reset(ResetCause::UnknownToken));
}

#[test]
fn unknown_token_is_never_reset_while_the_view_is_stale() {
    let mut steering = steering([target(1)]);
    let packet = flow_packet(flow(1, ORDERS), target(2).token(), 101, 501, 30);
    for time in 1..200 {
        let decision = steering.decide(&packet, at(100 * time));
        assert_eq!(decision, Decision::Drop(DropCause::TokenNotKnownYet));
    }
}

#[test]
fn unservable_opening_is_refused_at_once_by_a_current_view_only() {
    let mut steering = steering([target(1)]);
    let unrouted = opening_packet(flow(1, UNROUTED), 0);
    let without_target = opening_packet(flow(1, CHARTS), 0);
    steering.record_sync(at(5_000));
    let no_route = Decision::Reset(ResetCause::NoRoute);
    assert_eq!(steering.decide(&unrouted, at(5_100)), no_route);
    let no_target = Decision::Reset(ResetCause::NoTarget);
    assert_eq!(steering.decide(&without_target, at(5_100)), no_target);
    let not_current = Decision::Drop(DropCause::ViewNotCurrent);
    assert_eq!(steering.decide(&unrouted, at(9_000)), not_current);
    assert_eq!(steering.decide(&without_target, at(9_000)), not_current);
}

#[test]
fn stale_view_still_places_flows() {
    let mut steering = steering([target(1)]);
    let decision = steering.decide(&opening_packet(flow(1, ORDERS), 0), at(60_000));
    assert!(decision.forwarded().is_some());
}

#[test]
fn removed_route_ends_its_flows_and_an_unknown_one_does_not() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    // Another VM has a newer configuration, with a route that this VM does not know yet.
    let packet = flow_packet(flow(1, UNROUTED), token, 101, 501, 30);
    assert!(steering.decide(&packet, at(10)).forwarded().is_some());
    let removed = steering.set_routes(Routes::new(vec![route(CHARTS, "charts")], None));
    assert_eq!(removed, [ORDERS]);
    let packet = flow_packet(flow(1, ORDERS), token, 101, 501, 30);
    let route_removed = Decision::Reset(ResetCause::RouteRemoved);
    assert_eq!(steering.decide(&packet, at(20)), route_removed);
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
    let packet = flow_packet(flow(1, ORDERS), token, 101, 501, 30);
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
    let packet = flow_packet(flow(1, ORDERS), token, 101, 501, 30);
    assert!(steering.decide(&packet, at(20)).forwarded().is_some());
    let early = steering.decide(&opening_packet(flow(2, ORDERS), 0), at(20));
    assert_eq!(early, Decision::Drop(DropCause::ViewNotCurrent));
    steering.record_sync(at(2_500));
    let decision = steering.decide(&opening_packet(flow(2, ORDERS), 0), at(2_500));
    assert_eq!(decision, Decision::Reset(ResetCause::NoTarget));
    // Retransmitted opening packets still go to the leaving target, which may have answered an
    // earlier transmission.
    let decision = steering.decide(&opening_packet(flow(1, ORDERS), 1), at(20));
    assert!(decision.forwarded().is_some());
}

#[test]
fn reused_ports_open_no_flow_at_a_leaving_target() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    steering.decide(&flow_packet(flow(1, ORDERS), token, 101, 501, 300), at(10));
    let leaving = Target {
        is_leaving: true,
        ..target(1)
    };
    steering.put_target(leaving, at(100));
    steering.put_target(target(2), at(100));
    // The end of the flow went through another VM. The caller's next flow has the same ports, and
    // its sequence number is as close to the earlier flow as that of a retransmission.
    let decision = steering.decide(&opening_packet(flow(1, ORDERS), 0), at(4_000));
    assert_eq!(placement_of(decision), Some(Placement::Placed));
    assert_eq!(token_of(decision), target(2).token());
}

#[test]
fn overwritten_entry_keeps_its_flows_and_gets_no_new_one() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    steering.invalidate_target(&target(1).id);
    let packet = flow_packet(flow(1, ORDERS), token, 101, 501, 30);
    assert!(steering.decide(&packet, at(20)).forwarded().is_some());
    let early = steering.decide(&opening_packet(flow(2, ORDERS), 0), at(20));
    assert_eq!(early, Decision::Drop(DropCause::ViewNotCurrent));
    steering.record_sync(at(2_500));
    let decision = steering.decide(&opening_packet(flow(2, ORDERS), 0), at(2_500));
    assert_eq!(decision, Decision::Reset(ResetCause::NoTarget));
}

#[test]
fn retransmitted_opening_packets_go_to_the_same_target() {
    let mut steering = steering((1..=9).map(target));
    for number in 1..50 {
        let token = open(&mut steering, number);
        for (retransmission, time) in [(1, 200), (2, 600)] {
            let decision = steering.decide(
                &opening_packet(flow(number, ORDERS), retransmission),
                at(time),
            );
            // If only one flow is unanswered, the answer may have been lost, and the target may
            // still open the flow.
            if placement_of(decision) == Some(Placement::Retransmitted) {
                assert_eq!(token_of(decision), token);
            }
        }
    }
    let mut single = self::steering((1..=9).map(target));
    let token = open(&mut single, 1);
    for (retransmission, time) in [(1, 200), (2, 600)] {
        let decision = single.decide(&opening_packet(flow(1, ORDERS), retransmission), at(time));
        assert_eq!(placement_of(decision), Some(Placement::Retransmitted));
        assert_eq!(token_of(decision), token);
    }
}

#[test]
fn retransmissions_leave_a_target_that_two_flows_found_unresponsive() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    open(&mut steering, 2);
    steering.put_target(target(2), at(100));
    let decision = steering.decide(&opening_packet(flow(1, ORDERS), 1), at(200));
    assert_eq!(placement_of(decision), Some(Placement::Moved));
    assert_ne!(token_of(decision), token);
    // The load of the flow moved to the new target.
    let loads: Vec<_> = steering
        .targets()
        .iter()
        .map(|(_, record)| record.load.busy)
        .collect();
    assert_eq!(loads, [1, 1]);
}

#[test]
fn unresponsive_target_is_probed_by_one_flow_at_a_time() {
    // Target 2 answers every flow, target 1 none.
    let mut steering = steering([target(1), target(2)]);
    let unresponsive_token = target(1).token();
    let mut probes = Vec::new();
    for number in 1..1_000 {
        let now = at(10 * u64::from(number));
        steering.sweep(now);
        let token = token_of(steering.decide(&opening_packet(flow(number, ORDERS), 0), now));
        if token == unresponsive_token {
            probes.push((number, now));
            continue;
        }
        let packet = flow_packet(flow(number, ORDERS), token, 101, 501, 0);
        steering.decide(&packet, now);
        // Target 2 serves ten flows at a time.
        let finished = number.saturating_sub(10);
        steering.decide(&fin_packet(flow(finished, ORDERS), token, 501), now);
    }
    // The first flows find target 1 unresponsive within 150 ms. From then on, one flow probes the
    // target every two seconds.
    let later = probes.iter().filter(|(_, now)| *now > at(200)).count();
    assert!((3..=5).contains(&later), "{probes:?}");
    // The first retransmission of the probing flow moves to another target.
    let (number, now) = *probes.last().expect("a probing flow");
    let retransmission = opening_packet(flow(number, ORDERS), 1);
    let decision = steering.decide(&retransmission, now.after(Duration::from_millis(200)));
    assert_eq!(placement_of(decision), Some(Placement::Moved));
    // Once target 1 answers, the target receives its share of new flows again.
    let packet = flow_packet(flow(number, ORDERS), unresponsive_token, 101, 501, 0);
    steering.decide(&packet, now.after(Duration::from_millis(300)));
    let now = now.after(Duration::from_millis(400));
    let placed_after_recovery = (2_000..2_020).filter(|&number| {
        token_of(steering.decide(&opening_packet(flow(number, ORDERS), 0), now))
            == unresponsive_token
    });
    assert!(placed_after_recovery.count() >= 8);
}

#[test]
fn unresponsive_target_and_its_recovery_are_reported() {
    let mut steering = steering([target(1), target(2)]);
    let token = open(&mut steering, 1);
    let other = open(&mut steering, 2);
    steering.decide(&flow_packet(flow(2, ORDERS), other, 101, 501, 0), at(20));
    let unresponsive = steering
        .targets()
        .iter()
        .find(|(_, record)| record.token == token);
    let id = unresponsive.expect("a known target").1.target.id.clone();
    let reported = SteeringEvent::Unresponsive {
        target: id.clone(),
        flows: 1,
        elapsed: Duration::from_millis(500),
    };
    assert_eq!(steering.sweep(at(500)), [reported]);
    assert_eq!(steering.sweep(at(600)), []);
    steering.decide(&flow_packet(flow(1, ORDERS), token, 101, 501, 0), at(700));
    assert_eq!(steering.sweep(at(1_000)), [SteeringEvent::Recovered(id)]);
}

#[test]
fn response_time_is_reported_once() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    steering.decide(&flow_packet(flow(1, ORDERS), token, 101, 501, 0), at(10));
    steering.decide(&flow_packet(flow(1, ORDERS), token, 101, 501, 30), at(20));
    steering.decide(&flow_packet(flow(1, ORDERS), token, 131, 1_701, 0), at(65));
    let mut reported = Vec::new();
    for _ in 0..2 {
        steering.drain_response_times(|service, time| reported.push((service.to_string(), time)));
    }
    // Callers send the request directly after the opening packet, so the response time counts from
    // the opening packet.
    assert_eq!(reported, [("orders".to_owned(), Duration::from_millis(65))]);
}

#[test]
fn request_without_a_response_is_reported() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    steering.decide(&flow_packet(flow(1, ORDERS), token, 101, 501, 0), at(10));
    steering.decide(&flow_packet(flow(1, ORDERS), token, 101, 501, 30), at(20));
    let reported = SteeringEvent::TimedOut {
        flow: flow(1, ORDERS),
        token,
        waited: Duration::from_millis(2_100),
    };
    assert!(steering.sweep(at(2_100)).contains(&reported));
}

#[test]
fn retransmissions_stay_at_a_target_that_responded() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    open(&mut steering, 2);
    steering.put_target(target(2), at(100));
    steering.decide(&flow_packet(flow(2, ORDERS), token, 101, 501, 0), at(150));
    let decision = steering.decide(&opening_packet(flow(1, ORDERS), 1), at(200));
    assert_eq!(placement_of(decision), Some(Placement::Retransmitted));
}

#[test]
fn invalid_packets_are_not_forwarded() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    let mut forged = opening_packet(flow(2, ORDERS), 0);
    forged.flags.ack = true;
    let decision = steering.decide(&forged, at(1));
    assert_eq!(decision, Decision::Drop(DropCause::Forged));
    let mut without_token = flow_packet(flow(1, ORDERS), token, 101, 501, 30);
    without_token.token = None;
    let decision = steering.decide(&without_token, at(1));
    assert_eq!(decision, Decision::Reset(ResetCause::NoToken));
    // A reset must not be answered with a reset.
    without_token.flags.rst = true;
    let decision = steering.decide(&without_token, at(1));
    assert_eq!(decision, Decision::Drop(DropCause::AlreadyEnded));
}

#[test]
fn load_ends_with_its_flow() {
    let mut steering = steering([target(1)]);
    for number in 1..20 {
        let token = open(&mut steering, number);
        let flow = flow(number, ORDERS);
        steering.decide(&flow_packet(flow, token, 101, 501, 0), at(10));
        steering.decide(&flow_packet(flow, token, 101, 501, 300), at(11));
        steering.decide(&flow_packet(flow, token, 401, 1_900, 0), at(30));
        steering.decide(&fin_packet(flow, token, 1_900), at(31));
        // The caller also acknowledges the FIN of the target.
        steering.decide(&flow_packet(flow, token, 402, 1_901, 0), at(32));
    }
    assert!(has_no_load(&steering));
    steering.sweep(at(5_000));
    assert_eq!(steering.flow_count(), 0);
}

#[test]
fn load_of_idle_flows_is_removed() {
    let mut steering = steering([target(1)]);
    let token = open(&mut steering, 1);
    open(&mut steering, 2);
    let packet = flow_packet(flow(1, ORDERS), token, 101, 501, 300);
    steering.decide(&packet, at(10));
    // The second flow was never opened, and the request of the first flow exceeds the timeout of
    // its route.
    steering.sweep(at(2_100));
    let load = steering.targets().iter().next().expect("a target").1.load;
    assert_eq!((load.flows, load.busy), (1, 0));
    steering.sweep(at(16_000));
    assert!(has_no_load(&steering));
}

#[test]
fn flow_opened_through_another_vm_counts_as_load() {
    let mut steering = steering([target(1)]);
    let token = target(1).token();
    steering.decide(
        &flow_packet(flow(1, ORDERS), token, 900, 7_000, 300),
        at(10),
    );
    let load = |steering: &Steering| {
        let (_, record) = steering.targets().iter().next().expect("a target");
        (record.load.flows, record.load.busy)
    };
    assert_eq!(load(&steering), (1, 1));
    steering.decide(
        &flow_packet(flow(1, ORDERS), token, 1_200, 8_000, 0),
        at(40),
    );
    assert_eq!(load(&steering), (1, 0));
}

#[test]
fn weights_split_new_flows_identically_on_every_vm() {
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
    let mut to_charts = 0;
    for number in 1..=5_000 {
        let packet = opening_packet(flow(number, ORDERS), 0);
        let tokens = vms.each_mut().map(|vm| {
            vm.set_routes(Routes::new(vec![split.clone()], None));
            token_of(vm.decide(&packet, at(0)))
        });
        assert_eq!(tokens[0], tokens[1]);
        to_charts += u32::from(tokens[0] == target(2).token());
    }
    assert!(
        (400..600).contains(&to_charts),
        "{to_charts} of 5,000 flows went to charts, whose weight is 10 of 100"
    );
}

#[test]
fn colliding_tokens_open_no_flow_at_the_later_start() {
    let (earlier, later) = colliding("orders");
    for targets in [[&earlier, &later], [&later, &earlier]] {
        let mut steering = steering(targets.map(Target::clone));
        for number in 1..20 {
            let decision = steering.decide(&opening_packet(flow(number, ORDERS), 0), at(0));
            assert_eq!(
                decision.forwarded(),
                Some((earlier.address, earlier.token()))
            );
        }
        // Once the earlier target has ended, the later target receives flows.
        steering.remove_targets(std::slice::from_ref(&earlier.id), at(10));
        steering.record_sync(at(9_000));
        steering.sweep(at(9_000));
        let decision = steering.decide(&opening_packet(flow(30, ORDERS), 0), at(9_000));
        assert_eq!(decision.forwarded(), Some((later.address, later.token())));
    }
}

#[test]
fn route_tells_colliding_tokens_of_two_services_apart() {
    let (orders, charts) = colliding("charts");
    let mut steering = steering([orders.clone(), charts.clone()]);
    for (frontend, target) in [(ORDERS, &orders), (CHARTS, &charts)] {
        let decision = steering.decide(&opening_packet(flow(1, frontend), 0), at(0));
        assert_eq!(decision.forwarded(), Some((target.address, target.token())));
        let packet = flow_packet(flow(1, frontend), target.token(), 101, 501, 30);
        let decision = steering.decide(&packet, at(1));
        assert_eq!(decision.forwarded(), Some((target.address, target.token())));
    }
}

/// Returns two targets with the same token; the second has a later start and belongs to `service`.
fn colliding(service: &str) -> (Target, Target) {
    let mut starts = std::collections::HashMap::new();
    for start in 0.. {
        let candidate = Target {
            start: Incarnation::from(start),
            ..target(1)
        };
        let Some(earlier) = starts.insert(candidate.token(), start) else {
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
    unreachable!("some two starts share a token, because tokens have only 32 bits")
}

#[test]
fn full_table_still_serves() {
    let mut steering = steering([target(1), target(2)]);
    for number in 1..=1_200 {
        let token = open(&mut steering, number);
        let packet = flow_packet(flow(number, ORDERS), token, 101, 501, 30);
        assert_eq!(token_of(steering.decide(&packet, at(5))), token);
    }
    assert_eq!(steering.flow_count(), 1_000);
    steering.sweep(at(60_000));
    assert!(has_no_load(&steering));
}

#[test]
fn random_packets_leave_no_load() {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steering = steering((1..=4).map(target));
        let mut time = 0;
        for _ in 0..2_000 {
            time += rng.random_range(0..40);
            let flow = flow(rng.random_range(1..30), ORDERS);
            let token = target(rng.random_range(1..=5)).token();
            let mut packet = match rng.random_bool(0.2) {
                true => opening_packet(flow, rng.random_range(0..3)),
                false => {
                    let (seq, ack) = (rng.random_range(90..900), rng.random_range(90..900));
                    flow_packet(flow, token, seq, ack, rng.random_range(0..300))
                }
            };
            packet.flags.fin = rng.random_bool(0.1);
            packet.flags.rst = rng.random_bool(0.05);
            steering.decide(&packet, at(time));
            match rng.random_range(0..40) {
                0 => drop(steering.remove_targets(&[target(2).id], at(time))),
                1 => steering.put_target(target(2), at(time)),
                2 => steering.record_sync(at(time)),
                3 => drop(steering.sweep(at(time))),
                _ => {}
            }
        }
        steering.sweep(at(time + 1));
        steering.sweep(at(time + Duration::from_secs(60).as_millis() as u64));
        assert!(has_no_load(&steering), "seed {seed}");
        assert_eq!(steering.flow_count(), 0, "seed {seed}");
    }
}
