//! Zone-wide load view, without a network: a model of a zone, and the rules one by one.

#[path = "zone_load/model.rs"]
mod model;

use std::time::Duration;

use bambooseam_steer::zone_load::demand::Demand;
use bambooseam_steer::zone_load::questions::Answer;
use bambooseam_steer::zone_load::{Count, Group, LoadReport, ServiceKey, ServiceLoad};
use bambooseam_steer::{
    AnswerOutcome, Decision, DropCause, Origin, Placement, ResetCause, Route, Routes, Steering,
    Target,
};
use bambooseam_tests::steering::*;
use model::{Mode, Outcome, Plan, address, run};

/// Time for which the model holds an opening: two messages of 1 ms, and one step.
const HOLD_MS: u64 = 3;
/// Longest time that an opening may wait for an answer.
const TIMEOUT_MS: u64 = 40;

/// Requests of the busiest target relative to the mean where each VM sees the whole zone, as
/// measured before the work (docs/design/full-load.md).
const BUSIEST: f64 = 1.21;

const PLAN: Plan = Plan {
    vms: 24,
    load: 85,
    mode: Mode::Coordinated,
    loss: 0,
    coordinators: 1,
    lost_at: None,
    end_ms: 8_000,
};

fn alone(plan: Plan) -> Outcome {
    let mode = Mode::Alone;
    run(Plan { mode, ..plan })
}

fn whole(plan: Plan) -> Outcome {
    let mode = Mode::Whole;
    run(Plan { mode, ..plan })
}

/// Compares the three placements from 30 % to 100 % of the slots.
fn compare(vms: usize) {
    for load in [30, 50, 70, 85, 95, 100] {
        let plan = Plan { vms, load, ..PLAN };
        let (alone, whole, coordinated) = (alone(plan), whole(plan), run(plan));
        let seen = format!("{plan:?}\n{alone:?}\n{whole:?}\n{coordinated:?}");
        println!("{seen}");
        assert_eq!(coordinated.not_once, 0, "{seen}");
        assert!(coordinated.longest_hold <= HOLD_MS, "{seen}");
        assert!(coordinated.refused * 10 <= alone.refused, "{seen}");
        if load == 100 {
            // The wait grows without a bound, also where one VM sees everything.
            assert!(coordinated.wait_p99 <= alone.wait_p99, "{seen}");
            continue;
        }
        let gap = alone.wait - whole.wait;
        let limit = whole.wait + gap * 0.35 + HOLD_MS as f64;
        assert!(coordinated.wait <= limit, "above {limit}: {seen}");
        assert!(coordinated.busiest <= alone.busiest.max(BUSIEST), "{seen}");
    }
}

#[test]
fn four_vms_place_nearly_as_one() {
    compare(4);
}

#[test]
fn twenty_four_vms_place_nearly_as_one() {
    compare(24);
}

#[test]
fn many_vms_place_nearly_as_one() {
    compare(170);
}

#[test]
fn low_load_asks_little() {
    // Questions that gain nothing cost datagrams on every VM.
    let seen = run(Plan { load: 15, ..PLAN });
    assert!(seen.questions * 20 < seen.flows, "{seen:?}");
}

#[test]
fn lost_coordinator_delays_openings_once() {
    let lost = Plan {
        lost_at: Some(4_000),
        ..PLAN
    };
    for vms in [4, 24, 170] {
        let plan = Plan { vms, ..lost };
        let (alone, seen) = (alone(plan), run(plan));
        assert!(seen.wait < alone.wait, "{seen:?} {alone:?}");
        assert!(seen.longest_hold <= TIMEOUT_MS, "{seen:?}");
        assert_eq!(seen.not_once, 0, "{seen:?}");
    }
}

#[test]
fn lost_messages_cost_at_most_their_timeouts() {
    for (loss, lost_answers) in [(10, 0.2), (50, 0.75), (100, 0.1)] {
        for vms in [4, 24, 170] {
            let plan = Plan { vms, loss, ..PLAN };
            let (alone, seen) = (alone(plan), run(plan));
            let limit = alone.wait + lost_answers * TIMEOUT_MS as f64;
            assert!(seen.wait <= limit, "above {limit}: {seen:?} {alone:?}");
            assert!(seen.longest_hold <= TIMEOUT_MS, "{seen:?}");
            assert_eq!(seen.not_once, 0, "{seen:?}");
        }
    }
}

#[test]
fn two_coordinators_each_see_less_of_the_load() {
    for vms in [4, 24, 170] {
        let coordinators = 2;
        let plan = Plan {
            vms,
            coordinators,
            ..PLAN
        };
        let (alone, whole, seen) = (alone(plan), whole(plan), run(plan));
        let limit = whole.wait + (alone.wait - whole.wait) * 0.5 + HOLD_MS as f64;
        assert!(seen.wait <= limit, "above {limit}: {seen:?} {alone:?}");
        assert_eq!(seen.not_once, 0, "{seen:?}");
    }
}

/// A VM that asks VM 0 about every opening of `orders`.
fn asking(targets: impl IntoIterator<Item = Target>) -> Steering {
    let mut steering = steering(targets);
    steering.set_coordinators(vec![Some(Origin::Vm(address(0)))], at(0));
    steering.record_zone_loads(&[orders_load(90)], at(0));
    steering
}

fn orders_load(percent: u16) -> ServiceLoad {
    ServiceLoad {
        service: ServiceKey::of(&target(1).service),
        percent,
    }
}

/// Asks about flow `number` and returns the number of the question.
fn ask(steering: &mut Steering, number: u16, time: u64) -> u32 {
    let packet = opening_packet(flow(number, ORDERS), 0);
    assert_eq!(steering.decide(&packet, at(time)), Decision::Hold);
    let questions = steering.take_questions();
    assert_eq!(questions.len(), 1);
    assert_eq!(questions[0].header, packet);
    assert_eq!(questions[0].coordinator, address(0));
    questions[0].number
}

/// The decision about flow `number`, the only one that was released.
fn released(steering: &mut Steering, number: u16, time: u64) -> Decision {
    let released = steering.take_released(at(time));
    assert_eq!(released.len(), 1);
    assert_eq!(released[0].flow, flow(number, ORDERS));
    assert_eq!(released[0].origin, Origin::Local);
    released[0].decision
}

fn report(sequence: u32, applied: u32, counts: &[(Target, u8)]) -> LoadReport {
    LoadReport {
        sequence,
        applied,
        counts: counts
            .iter()
            .map(|(target, count)| (target.token(), *count))
            .collect(),
    }
}

fn count_of(steering: &Steering, number: u8) -> Count {
    steering.zone_load().count(target(number).token())
}

fn counted(reported: u32, granted: u32) -> Count {
    Count { reported, granted }
}

/// Lets the coordinator `steering` answer VM `vm` about flow `flow`.
fn answer(steering: &mut Steering, vm: usize, number: u32, time: u64) -> Answer {
    let packet = opening_packet(flow(number as u16, ORDERS), 0);
    steering.answer(address(vm), number, Group::WHOLE, &packet, at(time))
}

#[test]
fn reported_requests_count_for_placement_until_the_report_expires() {
    let mut coordinator = steering([target(1), target(2)]);
    coordinator.record_report(address(1), &report(1, 0, &[(target(1), 2)]), at(0));
    assert_eq!(count_of(&coordinator, 1), counted(2, 0));
    let place = |steering: &mut Steering, number, time| {
        let flow = flow(number, ORDERS);
        let token = token_of(steering.decide(&opening_packet(flow, 0), at(time)));
        steering.decide(&flow_packet(flow, token, 101, 501, 0), at(time));
        token
    };
    for number in 1..=2 {
        assert_eq!(
            place(&mut coordinator, number, 10),
            target(2).token(),
            "the other VM has two requests at target 1"
        );
    }
    for number in 3..=6 {
        place(&mut coordinator, number, 1_001);
    }
    assert_eq!(count_of(&coordinator, 1), counted(0, 0));
    let busy: Vec<_> = coordinator
        .targets()
        .iter()
        .map(|(_, record)| record.load.busy)
        .collect();
    assert_eq!(busy, [3, 3], "a VM that has ended no longer counts");
}

#[test]
fn later_report_replaces_an_earlier_one_and_never_the_reverse() {
    let mut coordinator = steering([target(1), target(2)]);
    assert!(coordinator.record_report(address(1), &report(7, 0, &[(target(1), 2)]), at(0)));
    assert!(coordinator.record_report(address(1), &report(8, 0, &[(target(2), 1)]), at(1)));
    assert!(!coordinator.record_report(address(1), &report(7, 0, &[(target(1), 2)]), at(2)));
    assert_eq!(count_of(&coordinator, 1), counted(0, 0));
    assert_eq!(count_of(&coordinator, 2), counted(1, 0));
    coordinator.record_report(address(2), &report(u32::MAX, 0, &[(target(2), 1)]), at(2));
    assert!(coordinator.record_report(address(2), &report(0, 0, &[(target(2), 3)]), at(3)));
    assert_eq!(count_of(&coordinator, 2), counted(4, 0));
    // A VM whose clock began anew is accepted once its predecessor's report has expired.
    assert!(!coordinator.record_report(address(1), &report(1, 0, &[]), at(900)));
    assert!(coordinator.record_report(address(1), &report(1, 0, &[]), at(1_002)));
}

#[test]
fn grant_counts_until_a_report_covers_it_or_it_expires() {
    let mut coordinator = steering([target(1)]);
    assert_eq!(
        answer(&mut coordinator, 1, 5, 0),
        Answer::Place(target(1).token())
    );
    answer(&mut coordinator, 1, 6, 0);
    answer(&mut coordinator, 2, 6, 0);
    assert_eq!(count_of(&coordinator, 1), counted(0, 3));
    assert_eq!(coordinator.flow_count(), 0, "the flows belong to other VMs");
    coordinator.record_report(address(1), &report(1, 5, &[(target(1), 1)]), at(10));
    assert_eq!(count_of(&coordinator, 1), counted(1, 2));
    coordinator.record_report(address(1), &report(2, 6, &[(target(1), 2)]), at(20));
    assert_eq!(count_of(&coordinator, 1), counted(2, 1));
    answer(&mut coordinator, 1, 7, 101);
    assert_eq!(
        count_of(&coordinator, 1),
        counted(2, 1),
        "one new, one expired"
    );
}

#[test]
fn answers_spread_over_the_targets_of_the_zone() {
    let mut coordinator = steering((1..=8).map(target));
    for number in 0..16 {
        answer(
            &mut coordinator,
            usize::from(number as u8) % 5 + 1,
            number,
            0,
        );
    }
    for number in 1..=8 {
        assert_eq!(count_of(&coordinator, number), counted(0, 2));
    }
}

#[test]
fn grants_are_no_evidence_against_a_target() {
    // The answers of the target pass through the asking VM.
    let mut coordinator = steering([target(1)]);
    for number in 0..20 {
        answer(&mut coordinator, 1, number, 0);
    }
    let (_, record) = coordinator.targets().iter().next().expect("a target");
    assert!(!record.load.responsiveness.is_unresponsive(at(500)));
}

#[test]
fn answer_places_the_opening_and_retransmissions_stay() {
    let mut steering = asking([target(1), target(2)]);
    let number = ask(&mut steering, 1, 0);
    let again = opening_packet(flow(1, ORDERS), 1);
    assert_eq!(steering.decide(&again, at(1)), Decision::Hold);
    assert!(
        steering.take_questions().is_empty(),
        "a flow is asked about once"
    );
    let token = target(2).token();
    let (outcome, time) = steering
        .apply_answer(address(0), number, Answer::Place(token), at(2))
        .expect("the opening waits");
    assert_eq!(
        (outcome, time),
        (AnswerOutcome::Applied, Duration::from_millis(2))
    );
    assert_eq!(token_of(released(&mut steering, 1, 2)), token);
    assert_eq!(steering.flow_count(), 1);
    let Decision::Forward {
        token: repeated,
        placement,
        ..
    } = steering.decide(&again, at(200))
    else {
        panic!("a retransmission is forwarded");
    };
    assert_eq!(
        (repeated, placement),
        (token, Some(Placement::Retransmitted))
    );
    let second = steering.apply_answer(address(0), number, Answer::Place(token), at(201));
    assert_eq!(second, None, "an answer is applied once");
    assert!(steering.take_released(at(201)).is_empty());
}

/// VMs may write different forms while a fleet is upgraded.
#[test]
fn answer_names_its_target_by_either_token() {
    for (number, token) in [(1, target(1).token()), (2, target(1).numbered_token())] {
        let mut steering = asking([target(1), target(2)]);
        let question = ask(&mut steering, number, 0);
        steering.apply_answer(address(0), question, Answer::Place(token), at(1));
        let placed = token_of(released(&mut steering, number, 1));
        assert_eq!(placed, target(1).token());
    }
}

#[test]
fn answer_of_another_vm_or_about_another_question_is_ignored() {
    let mut steering = asking([target(1), target(2)]);
    let number = ask(&mut steering, 1, 0);
    let place = Answer::Place(target(1).token());
    assert_eq!(
        steering.apply_answer(address(3), number, place, at(1)),
        None
    );
    assert_eq!(
        steering.apply_answer(address(0), number + 1, place, at(1)),
        None
    );
    assert!(steering.take_released(at(1)).is_empty());
    assert_eq!(steering.question_count(), 1);
}

#[test]
fn answer_is_checked_against_the_own_view() {
    let leaving = Target {
        is_leaving: true,
        ..target(2)
    };
    let other = Target {
        service: "charts".parse().expect("a service"),
        ..target(3)
    };
    let unknown = target(4);
    for refused in [leaving.clone(), other.clone(), unknown] {
        let mut steering = asking([target(1), leaving.clone(), other.clone()]);
        let number = ask(&mut steering, 1, 0);
        let outcome = steering
            .apply_answer(address(0), number, Answer::Place(refused.token()), at(1))
            .expect("the opening waits");
        assert_eq!(outcome.0, AnswerOutcome::NotAccepted);
        assert_eq!(token_of(released(&mut steering, 1, 1)), target(1).token());
    }
}

#[test]
fn opening_is_placed_without_an_answer_after_the_timeout() {
    let mut steering = asking([target(1)]);
    let number = ask(&mut steering, 1, 0);
    assert!(steering.expire_questions(at(39)).is_empty());
    assert_eq!(steering.expire_questions(at(40)), [address(0)]);
    assert_eq!(token_of(released(&mut steering, 1, 40)), target(1).token());
    let late = Answer::Place(target(1).token());
    assert_eq!(
        steering.apply_answer(address(0), number, late, at(41)),
        None
    );
    let next = steering.decide(&opening_packet(flow(2, ORDERS), 0), at(42));
    assert_ne!(
        next,
        Decision::Hold,
        "a failed coordinator is not asked again"
    );
}

#[test]
fn lost_datagram_does_not_exclude_a_coordinator_that_answers() {
    let mut steering = asking([target(1)]);
    ask(&mut steering, 1, 0);
    let second = ask(&mut steering, 2, 5);
    let answer = Answer::Place(target(1).token());
    steering.apply_answer(address(0), second, answer, at(6));
    assert!(steering.expire_questions(at(40)).is_empty());
    assert_eq!(steering.take_released(at(40)).len(), 2);
    ask(&mut steering, 3, 41);
}

#[test]
fn coordinator_may_let_an_opening_wait() {
    let mut steering = asking([target(1)]);
    let number = ask(&mut steering, 1, 0);
    let wait = Answer::Wait(Duration::from_millis(100));
    assert_eq!(steering.apply_answer(address(0), number, wait, at(1)), None);
    assert!(steering.expire_questions(at(120)).is_empty());
    let place = Answer::Place(target(1).token());
    steering.apply_answer(address(0), number, place, at(121));
    assert_eq!(token_of(released(&mut steering, 1, 121)), target(1).token());
    // The longest wait ends before the caller retransmits.
    let number = ask(&mut steering, 2, 130);
    let wait = Answer::Wait(Duration::from_secs(9));
    steering.apply_answer(address(0), number, wait, at(131));
    assert_eq!(steering.expire_questions(at(320)), []);
    assert_eq!(token_of(released(&mut steering, 2, 320)), target(1).token());
}

#[test]
fn rejection_resets_only_a_first_transmission() {
    // The first transmission of a retransmitted opening may have reached a target through another
    // VM. A reset would claim that the request has not run.
    let mut steering = asking([target(1)]);
    let number = ask(&mut steering, 1, 0);
    steering.apply_answer(address(0), number, Answer::Reject, at(1));
    let rejected = Decision::Reset(ResetCause::RejectedByZone);
    assert_eq!(released(&mut steering, 1, 1), rejected);
    let packet = opening_packet(flow(2, ORDERS), 1);
    assert_eq!(steering.decide(&packet, at(2)), Decision::Hold);
    let number = steering.take_questions()[0].number;
    steering.apply_answer(address(0), number, Answer::Reject, at(3));
    assert_eq!(token_of(released(&mut steering, 2, 3)), target(1).token());
}

#[test]
fn opening_that_waited_through_a_pause_is_dropped() {
    // Another VM may have placed the caller's retransmission at another target.
    for is_answered in [true, false] {
        let mut steering = asking([target(1)]);
        let number = ask(&mut steering, 1, 0);
        let place = Answer::Place(target(1).token());
        match is_answered {
            true => _ = steering.apply_answer(address(0), number, place, at(400)),
            false => _ = steering.expire_questions(at(400)),
        }
        let dropped = Decision::Drop(DropCause::HeldTooLong);
        assert_eq!(released(&mut steering, 1, 400), dropped);
        assert_eq!(steering.flow_count(), 0);
    }
}

#[test]
fn retransmission_after_a_pause_is_asked_about_anew() {
    let mut steering = asking([target(1)]);
    ask(&mut steering, 1, 0);
    steering.record_zone_loads(&[orders_load(90)], at(400));
    ask(&mut steering, 1, 400);
    assert_eq!(steering.question_count(), 1);
}

#[test]
fn asking_begins_with_load_and_ends_after_a_second_without() {
    let mut demand = Demand::default();
    let service = orders_load(0).service;
    let mut is_asking = |percent: u16, own: u32, time: u64| {
        demand.record_loads(&[orders_load(percent)], at(time));
        demand.is_asking(service, own, at(time))
    };
    assert!(!is_asking(49, 1, 0));
    assert!(is_asking(50, 1, 200));
    for step in 2..6 {
        assert!(is_asking(40, 1, step * 200), "between both thresholds");
    }
    // The average passes the lower threshold after some reports; one second later asking ends.
    let ended = (6..40).find(|step| !is_asking(10, 1, step * 200));
    let ended = ended.expect("asking ends");
    assert!((11..=18).contains(&ended), "ended at step {ended}");
    assert!(!is_asking(40, 1, 10_000));
    assert!(is_asking(90, 1, 10_200));
    assert!(
        !demand.is_asking(service, 1, at(11_300)),
        "the load is unknown"
    );
    assert_eq!(demand.take_changes().len(), 4);
}

#[test]
fn surge_of_own_requests_begins_asking_before_a_report_answer() {
    let mut demand = Demand::default();
    let service = orders_load(0).service;
    for step in 0..100 {
        demand.update_usual(service, 4, at(step * 200));
    }
    assert!(!demand.is_asking(service, 7, at(20_000)));
    assert!(demand.is_asking(service, 8, at(20_000)));
}

#[test]
fn load_is_reported_in_percent_of_the_slots() {
    let mut coordinator = steering([target(1), target(2)]);
    coordinator.record_report(address(1), &report(1, 0, &[(target(1), 2)]), at(0));
    coordinator.decide(&opening_packet(flow(1, ORDERS), 0), at(0));
    assert_eq!(
        coordinator.zone_loads(Group::WHOLE, at(0)),
        [orders_load(75)]
    );
}

#[test]
fn only_the_coordinator_has_a_zone_view_and_only_with_reports() {
    let mut steering = steering([target(1)]);
    steering.record_report(address(1), &report(1, 0, &[]), at(0));
    assert!(!steering.has_zone_view());
    steering.set_coordinators(vec![Some(Origin::Local)], at(0));
    assert!(steering.has_zone_view());
    steering.set_coordinators(vec![Some(Origin::Local)], at(1_001));
    assert!(!steering.has_zone_view());
}

#[test]
fn large_zone_is_divided_into_groups() {
    assert_eq!([0, 1, 64].map(Group::count_for), [1; 3]);
    assert_eq!([65, 128, 129, 4_600].map(Group::count_for), [2, 2, 3, 4]);
    let mut steering = steering((1..=130).map(target));
    assert_eq!(steering.group_count(), 3);
    let coordinators = (0..3).map(|vm| Some(Origin::Vm(address(vm)))).collect();
    steering.set_coordinators(coordinators, at(0));
    steering.record_zone_loads(&[orders_load(90)], at(0));
    let mut asked = [0; 3];
    for number in 1..=300 {
        let packet = opening_packet(flow(number, ORDERS), 0);
        assert_eq!(steering.decide(&packet, at(0)), Decision::Hold);
    }
    for question in steering.take_questions() {
        let index = usize::from(question.group.index);
        assert_eq!(question.coordinator, address(index));
        asked[index] += 1;
        // The coordinator of the group selects from the group only.
        let mut coordinator = self::steering((1..=130).map(target));
        let answer = coordinator.answer(address(9), 1, question.group, &question.header, at(0));
        let Answer::Place(token) = answer else {
            panic!("no target for {question:?}");
        };
        let mut targets = (1..=130).map(target);
        let selected = targets.find(|target| target.token() == token);
        let label = selected.expect("a target").label;
        assert!(question.group.contains(label));
    }
    assert!(asked.iter().all(|asked| *asked > 60), "{asked:?}");
}

#[test]
fn vm_without_coordinator_places_as_before() {
    let mut steering = steering([target(1)]);
    steering.record_zone_loads(&[orders_load(100)], at(0));
    let decision = steering.decide(&opening_packet(flow(1, ORDERS), 0), at(0));
    assert_eq!(token_of(decision), target(1).token());
    steering.set_coordinators(vec![None], at(0));
    let decision = steering.decide(&opening_packet(flow(2, ORDERS), 0), at(0));
    assert_eq!(token_of(decision), target(1).token());
}

/// A coordinator in zone `a` with two targets, and two targets in zone `b`.
fn coordinator_beside_another_zone() -> Steering {
    let remote = |number| Target {
        zone: "b".parse().expect("a zone"),
        ..target(number)
    };
    let mut steering = steering([target(1), target(2), remote(3), remote(4)]);
    steering.set_coordinators(vec![Some(Origin::Local)], at(0));
    steering
}

/// Whether the coordinator sends an opening to zone `b` when each target of zone `a` has
/// `in_progress` requests, and the other zone has the load `percent`.
fn spills(in_progress: u8, percent: Option<u16>) -> bool {
    let mut steering = coordinator_beside_another_zone();
    let counts = [(target(1), in_progress), (target(2), in_progress)];
    steering.record_report(address(1), &report(1, 0, &counts), at(0));
    if let Some(percent) = percent {
        let zone = "b".parse().expect("a zone");
        steering.record_remote_loads(&zone, &[orders_load(percent)], at(0));
    }
    let local = [target(1).token(), target(2).token()];
    match answer(&mut steering, 1, 1, 0) {
        Answer::Place(token) => !local.contains(&token),
        other => panic!("{other:?} instead of a target"),
    }
}

#[test]
fn full_zone_sends_openings_to_zones_with_free_slots_only() {
    // Without the other zone's load, all zones would send each other openings under overload.
    for in_progress in [2, 4, 6, 8] {
        assert!(!spills(in_progress, Some(u16::from(in_progress) * 50)));
    }
    assert!(!spills(2, Some(50)), "the targets have no queue yet");
    assert!(spills(3, Some(50)));
    assert!(spills(3, Some(0)));
    assert!(!spills(3, Some(100)));
    assert!(!spills(4, Some(300)));
    assert!(
        !spills(2, None) && spills(6, None),
        "as without coordination"
    );
}

/// Whether opening `number` goes to zone `b`, whose load is `percent`, while the queues of all targets
/// of zone `a` are as full as they may be. Otherwise it waits.
fn spills_from_full_queues(number: u32, percent: u16) -> bool {
    let remote = |number| Target {
        zone: "b".parse().expect("a zone"),
        ..target(number)
    };
    let mut steering = steering((1..=10).map(target).chain((11..=20).map(remote)));
    let goal = Route {
        latency_goal: Some(Duration::from_millis(300)),
        ..route(ORDERS, "orders")
    };
    steering.set_routes(Routes::new(vec![goal], None));
    steering.set_coordinators(vec![Some(Origin::Local)], at(0));
    let counts: Vec<_> = (1..=10).map(|number| (target(number), 4)).collect();
    steering.record_report(address(1), &report(1, 0, &counts), at(0));
    let zone = "b".parse().expect("a zone");
    steering.record_remote_loads(&zone, &[orders_load(percent)], at(0));
    match answer(&mut steering, 1, number, 0) {
        Answer::Place(token) => (11..=20).any(|number| remote(number).token() == token),
        Answer::Wait(_) => false,
        other => panic!("{other:?} for an opening that can be served"),
    }
}

#[test]
fn openings_use_the_queues_of_other_zones_before_they_are_rejected() {
    // Guards against a zone that rejects openings while another one has no queue at all.
    let spilled = |percent| {
        let numbers = 1..=100;
        numbers
            .filter(|number| spills_from_full_queues(*number, percent))
            .count()
    };
    for percent in [0, 55, 95, 100, 120] {
        assert_eq!(spilled(percent), 100, "at {percent} %");
    }
    // Two zones whose queues are equally full would only exchange their openings.
    for percent in [150, 200, 300] {
        assert_eq!(spilled(percent), 0, "at {percent} %");
    }
}

#[test]
fn load_of_another_zone_is_forgotten_after_a_second() {
    let mut steering = coordinator_beside_another_zone();
    let (zone, service) = ("b".parse().expect("a zone"), orders_load(0).service);
    steering.record_remote_loads(&zone, &[orders_load(84)], at(0));
    let loads = steering.remote_loads();
    assert!(loads.has_capacity(service, at(1_000)));
    assert!(!loads.has_capacity(service, at(1_001)));
    assert_eq!(loads.percent(&zone, service, at(1_001)), None);
    steering.record_remote_loads(&zone, &[orders_load(85)], at(1_001));
    assert!(!steering.remote_loads().has_capacity(service, at(1_001)));
}

#[test]
fn zone_reports_the_sum_of_its_vms_to_another_zone() {
    let mut steering = coordinator_beside_another_zone();
    steering.record_report(
        address(1),
        &report(1, 0, &[(target(3), 2), (target(1), 1)]),
        at(0),
    );
    steering.record_report(address(2), &report(1, 0, &[(target(3), 1)]), at(0));
    let zone = "b".parse().expect("a zone");
    let sum = steering.create_zone_report(&zone, Group::WHOLE, at(0));
    assert_eq!(sum.counts, [(target(3).token(), 3)]);
    let mut other = self::steering([target(3), target(4)]);
    other.set_coordinators(vec![Some(Origin::Local)], at(0));
    other.record_remote_report(address(9), &sum, at(0));
    assert_eq!(count_of(&other, 3), counted(3, 0));
    assert!(!other.has_zone_view(), "no VM of the zone has reported");
}

#[test]
fn only_a_loaded_coordinator_learns_the_loads_of_other_zones() {
    let mut steering = coordinator_beside_another_zone();
    assert!(!steering.needs_remote_loads(at(0)));
    steering.record_report(address(1), &report(1, 0, &[(target(1), 2)]), at(0));
    assert!(!steering.needs_remote_loads(at(0)), "50 %");
    steering.record_report(address(2), &report(1, 0, &[(target(2), 1)]), at(0));
    assert!(steering.needs_remote_loads(at(0)), "75 %");
    steering.set_coordinators(vec![Some(Origin::Vm(address(0)))], at(0));
    assert!(!steering.needs_remote_loads(at(0)));
}
