//! Admission control in the steering: openings that wait for a target with room.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bambooseam_steer::admission::RejectCause;
use bambooseam_steer::zone_load::Group;
use bambooseam_steer::zone_load::questions::Answer;
use bambooseam_steer::{
    Decision, DropCause, FlowId, Origin, PacketHeader, Placement, Released, ResetCause, Route,
    Routes, Steering, SteeringEvent, Target,
};
use bambooseam_tests::steering::{
    CHARTS, ORDERS, at, fin_packet, flow, flow_packet, opening_packet, route, steering, target,
    token_of,
};
use bambooseam_types::{Moment, Token};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const OVERLOADED: Decision = Decision::Reset(ResetCause::Overloaded);

/// Address of another VM that asks for targets.
const OTHER_VM: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 9, 1), 7_734);

/// A route to `orders` with a priority and a goal of 400 ms.
fn goal_route(frontend: SocketAddrV4, priority: u32) -> Route {
    Route {
        priority,
        latency_goal: Some(Duration::from_millis(400)),
        ..route(frontend, "orders")
    }
}

/// Steering of a VM that knows the requests of its zone. Both frontends belong to `orders`; charts
/// are more urgent.
fn limited(targets: impl IntoIterator<Item = Target>) -> Steering {
    let mut steering = steering(targets);
    let routes = vec![goal_route(ORDERS, 2), goal_route(CHARTS, 1)];
    steering.set_routes(Routes::new(routes, None));
    steering.set_zone_view(true);
    steering
}

/// Opens flows until one waits; returns the tokens of the placed ones, the first being number 1.
fn fill(steering: &mut Steering, now: Moment) -> Vec<Token> {
    let mut tokens = Vec::new();
    loop {
        let number = tokens.len() as u16 + 1;
        match steering.decide(&opening_packet(flow(number, ORDERS), 0), now) {
            Decision::Hold => return tokens,
            decision => tokens.push(token_of(decision)),
        }
    }
}

/// Ends the request of flow `number`.
fn finish(steering: &mut Steering, number: u16, token: Token, now: Moment) {
    let flow = flow(number, ORDERS);
    steering.decide(&flow_packet(flow, token, 101, 501, 30), now);
    steering.decide(&flow_packet(flow, token, 131, 900, 0), now);
    steering.decide(&fin_packet(flow, token, 900), now);
}

fn flow_numbers(released: &[Released]) -> Vec<u16> {
    let flows = released.iter().map(|released| released.flow.caller.port());
    flows.collect()
}

/// Guards against openings that are placed at full targets, and against a wait that goes on, or an
/// order that is lost, once a target has room.
#[test]
fn openings_wait_while_all_targets_are_full_and_go_by_priority() {
    let mut steering = limited([target(1), target(2)]);
    let tokens = fill(&mut steering, at(0));
    assert_eq!(
        tokens.len(),
        6,
        "two targets with two slots, and one more each"
    );
    let urgent = opening_packet(flow(50, CHARTS), 0);
    assert_eq!(steering.decide(&urgent, at(1)), Decision::Hold);
    let repeated = opening_packet(flow(7, ORDERS), 1);
    assert_eq!(steering.decide(&repeated, at(2)), Decision::Hold);
    assert_eq!(steering.waiting_count(), 2);
    assert_eq!(steering.take_released(at(10)), []);
    finish(&mut steering, 1, tokens[0], at(20));
    let released = steering.take_released(at(20));
    assert_eq!(flow_numbers(&released), [50]);
    assert_eq!(token_of(released[0].decision), tokens[0]);
    finish(&mut steering, 2, tokens[1], at(30));
    assert_eq!(flow_numbers(&steering.take_released(at(30))), [7]);
    let stats = steering.drain_admission_stats();
    let waits = [19, 30].map(Duration::from_millis);
    assert_eq!((stats.admitted, stats.waits.as_slice()), (2, &waits[..]));
}

/// Guards against a route without a goal that waits or is rejected.
#[test]
fn opening_of_a_route_without_a_goal_is_placed_at_a_full_target() {
    let mut steering = limited([target(1)]);
    let routes = vec![goal_route(ORDERS, 2), route(CHARTS, "orders")];
    steering.set_routes(Routes::new(routes, None));
    fill(&mut steering, at(0));
    for number in 100..120 {
        let opening = opening_packet(flow(number, CHARTS), 0);
        token_of(steering.decide(&opening, at(0)));
    }
}

/// Guards against an opening that waits beyond its limit, against a reset of a request that may run,
/// and against a reset while a target has room.
#[test]
fn opening_that_waits_too_long_is_reset_unless_a_target_may_have_been_sent_it() {
    let mut steering = limited([target(1)]);
    let tokens = fill(&mut steering, at(0));
    let repeated = opening_packet(flow(60, ORDERS), 1);
    assert_eq!(steering.decide(&repeated, at(0)), Decision::Hold);
    assert_eq!(steering.take_released(at(100)), []);
    let released = steering.take_released(at(101));
    assert_eq!(flow_numbers(&released), [4, 60]);
    let not_admitted = Decision::Drop(DropCause::NotAdmitted);
    let decisions = released.iter().map(|released| released.decision);
    assert_eq!(decisions.collect::<Vec<_>>(), [OVERLOADED, not_admitted]);
    let stats = steering.drain_admission_stats();
    assert_eq!(stats.rejected, [((ORDERS, RejectCause::Waited), 2)]);
    let events = steering.sweep(at(101));
    let is_logged = |event: &SteeringEvent| matches!(event, SteeringEvent::Rejected { .. });
    assert!(events.iter().any(is_logged), "{events:?}");
    // A target has room when the limit is reached: the opening is placed.
    let late = opening_packet(flow(61, ORDERS), 0);
    assert_eq!(steering.decide(&late, at(110)), Decision::Hold);
    finish(&mut steering, 1, tokens[0], at(215));
    let released = steering.take_released(at(215));
    assert_eq!(token_of(released[0].decision), tokens[0]);
    // A retransmission of a placed opening goes to its target, however full the service is.
    let repeated = opening_packet(flow(61, ORDERS), 1);
    assert_eq!(token_of(steering.decide(&repeated, at(310))), tokens[0]);
}

/// Guards against log lines without a bound under overload.
#[test]
fn rejections_are_all_counted_and_few_are_logged() {
    let mut steering = limited([target(1)]);
    fill(&mut steering, at(0));
    for number in 100..400 {
        steering.decide(&opening_packet(flow(number, ORDERS), 0), at(0));
    }
    steering.take_released(at(101));
    let is_rejection = |event: &&SteeringEvent| matches!(event, SteeringEvent::Rejected { .. });
    let events = steering.sweep(at(101));
    assert!(events.iter().filter(is_rejection).count() <= 32);
    let line = events
        .iter()
        .find(is_rejection)
        .expect("a rejection")
        .to_string();
    let inputs = [
        "cause=waited",
        "priority=2",
        "in_progress=3",
        "limit_ms=100",
    ];
    assert!(inputs.iter().all(|input| line.contains(input)), "{line}");
    let rejected = steering.drain_admission_stats().rejected;
    assert_eq!(rejected, [((ORDERS, RejectCause::Waited), 301)]);
}

/// Guards against answers that reach the wrong VM, and against a target that is given to other VMs
/// again and again before their reports show it.
#[test]
fn openings_of_other_vms_wait_and_count() {
    let mut steering = limited([target(1)]);
    for number in 1..=3 {
        let opening = opening_packet(flow(number, ORDERS), 0);
        let answer = steering.answer(OTHER_VM, number.into(), Group::WHOLE, &opening, at(0));
        assert_eq!(answer, Answer::Place(target(1).token()));
    }
    assert_eq!(steering.flow_count(), 0);
    let opening = opening_packet(flow(4, ORDERS), 0);
    let answer = steering.answer(OTHER_VM, 4, Group::WHOLE, &opening, at(0));
    assert!(matches!(answer, Answer::Wait(_)), "{answer:?}");
    assert_eq!(steering.decide(&opening, at(0)), Decision::Hold);
    // The grants count for 100 ms.
    let released = steering.take_released(at(101));
    let origins = released.iter().map(|released| released.origin);
    assert_eq!(
        origins.collect::<Vec<_>>(),
        [Origin::Vm(OTHER_VM), Origin::Local]
    );
    assert!(
        released
            .iter()
            .all(|released| released.decision.forwarded().is_some())
    );
    assert_eq!(steering.flow_count(), 1);
    let established = flow_packet(flow(4, ORDERS), target(1).token(), 101, 1, 0);
    let answer = steering.answer(OTHER_VM, 5, Group::WHOLE, &established, at(0));
    assert_eq!(answer, Answer::Decide);
}

/// Guards against openings that wait for a route that no longer exists.
#[test]
fn opening_is_decided_at_once_when_its_route_changes() {
    let mut steering = limited([target(1)]);
    fill(&mut steering, at(0));
    let urgent = opening_packet(flow(50, CHARTS), 0);
    assert_eq!(steering.decide(&urgent, at(0)), Decision::Hold);
    let charts = goal_route(CHARTS, 1);
    steering.set_routes(Routes::new(vec![charts], None));
    let released = steering.take_released(at(5));
    assert_eq!(flow_numbers(&released), [4]);
    let no_route = Decision::Reset(ResetCause::NoRoute);
    assert_eq!(released[0].decision, no_route);
    // Without a goal, the other is placed like those of today.
    let charts = route(CHARTS, "orders");
    steering.set_routes(Routes::new(vec![charts], None));
    assert!(
        steering.take_released(at(6))[0]
            .decision
            .forwarded()
            .is_some()
    );
}

/// Guards against openings that wait for targets that have gone, and against a new target that stays
/// idle while openings wait.
#[test]
fn opening_is_decided_when_targets_come_and_go() {
    let mut steering = limited([target(1)]);
    fill(&mut steering, at(0));
    steering.put_target(target(2), at(10));
    let released = steering.take_released(at(10));
    assert_eq!(token_of(released[0].decision), target(2).token());
    let mut steering = limited([target(1)]);
    steering.record_sync(at(2_500));
    fill(&mut steering, at(2_500));
    let leaving = Target {
        is_leaving: true,
        ..target(1)
    };
    steering.put_target(leaving, at(2_510));
    let released = steering.take_released(at(2_510));
    assert_eq!(released[0].decision, Decision::Reset(ResetCause::NoTarget));
}

/// Guards against a queue that holds openings when this VM no longer knows the load of its zone.
#[test]
fn openings_are_placed_as_before_once_the_zone_view_is_lost() {
    let mut steering = limited([target(1)]);
    fill(&mut steering, at(0));
    steering.set_zone_view(false);
    let released = steering.take_released(at(5));
    assert!(released[0].decision.forwarded().is_some());
    let opening = opening_packet(flow(80, ORDERS), 0);
    assert!(steering.decide(&opening, at(5)).forwarded().is_some());
}

/// Guards against openings that are placed, or reset, after a pause of the process, when their
/// callers have sent retransmissions that may have passed through another VM.
#[test]
fn opening_that_a_pause_outlasts_is_dropped() {
    let mut steering = limited([target(1), target(2)]);
    let tokens = fill(&mut steering, at(0));
    for (number, token) in (1..).zip(tokens) {
        finish(&mut steering, number, token, at(400));
    }
    let released = steering.take_released(at(400));
    assert_eq!(released[0].decision, Decision::Drop(DropCause::NotAdmitted));
    // A retransmission that waited in the socket's buffer starts anew, and is no longer reset.
    let mut steering = limited([target(1)]);
    let tokens = fill(&mut steering, at(0));
    for number in 1..=3 {
        let request = flow_packet(flow(number, ORDERS), tokens[0], 101, 501, 30);
        steering.decide(&request, at(400));
    }
    let repeated = opening_packet(flow(4, ORDERS), 1);
    assert_eq!(steering.decide(&repeated, at(400)), Decision::Hold);
    assert_eq!(steering.take_released(at(400)), []);
    let released = steering.take_released(at(501));
    assert_eq!(released[0].decision, Decision::Drop(DropCause::NotAdmitted));
}

/// Guards against a target that takes the request of a caller that has given up.
#[test]
fn opening_of_a_caller_that_gave_up_is_withdrawn() {
    let mut steering = limited([target(1)]);
    let tokens = fill(&mut steering, at(0));
    let mut packet = opening_packet(flow(4, ORDERS), 0);
    packet.flags.syn = false;
    packet.flags.rst = true;
    let ended = Decision::Drop(DropCause::AlreadyEnded);
    assert_eq!(steering.decide(&packet, at(10)), ended);
    finish(&mut steering, 1, tokens[0], at(20));
    let released = steering.take_released(at(20));
    assert_eq!(flow_numbers(&released), [4]);
    assert_eq!(released[0].decision, ended);
    assert_eq!(steering.waiting_count(), 0);
}

/// Guards against full targets that are found unresponsive, and against dead ones that are not.
#[test]
fn full_target_is_responsive_while_it_finishes_requests_and_a_dead_one_is_not() {
    for is_dead in [false, true] {
        let mut steering = limited([target(1)]);
        let tokens = fill(&mut steering, at(0));
        finish(&mut steering, 1, tokens[0], at(100));
        steering.take_released(at(100));
        // The target's queue is full: openings are answered when a request has finished, here after
        // 250 ms, when their callers have retransmitted them. The request timeout is 300 ms or more.
        let retransmit = |steering: &mut Steering, number, frontend, now| {
            let packet = opening_packet(flow(number, frontend), 1);
            steering.decide(&packet, at(now));
        };
        for number in 2..=3 {
            retransmit(&mut steering, number, ORDERS, 200);
        }
        let is_found = |steering: &Steering, now| {
            let (_, record) = steering.targets().iter().next().expect("a target");
            record.load.responsiveness.is_unresponsive(now)
        };
        if !is_dead {
            for (round, number) in (2..=3).enumerate() {
                let now = at(350 + 250 * round as u64);
                assert!(!is_found(&steering, at(now.as_millis() - 1)));
                finish(&mut steering, number, tokens[0], now);
                let opening = opening_packet(flow(100 + number, CHARTS), 0);
                steering.decide(&opening, now);
                retransmit(&mut steering, 100 + number, CHARTS, now.as_millis() + 200);
            }
            assert!(!is_found(&steering, at(800)));
            continue;
        }
        assert!(!is_found(&steering, at(399)));
        assert!(
            is_found(&steering, at(400)),
            "found 300 ms after its last response"
        );
        assert!(
            steering
                .sweep(at(400))
                .iter()
                .any(|event| { matches!(event, SteeringEvent::Unresponsive { .. }) })
        );
    }
}

/// A drawn packet, as callers, routers and attackers send them.
fn drawn_packet(rng: &mut StdRng) -> PacketHeader {
    let frontend = [ORDERS, CHARTS][rng.random_range(0..2)];
    let flow = flow(rng.random_range(1..60), frontend);
    let token = target(rng.random_range(1..=5)).token();
    let mut packet = match rng.random_bool(0.4) {
        true => opening_packet(flow, rng.random_range(0..3)),
        false => {
            let (seq, ack) = (rng.random_range(90..900), rng.random_range(90..900));
            flow_packet(flow, token, seq, ack, rng.random_range(0..300))
        }
    };
    packet.flags.fin = rng.random_bool(0.05);
    packet.flags.rst = rng.random_bool(0.05);
    packet
}

/// Applies a drawn change of targets, view and time.
fn draw_change(rng: &mut StdRng, steering: &mut [Steering], now: Moment) {
    let change = rng.random_range(0..60);
    for steering in steering {
        match change {
            0 => drop(steering.remove_targets(&[target(2).id], now)),
            1..=3 => steering.put_target(target(2), now),
            4..=7 => steering.record_sync(now),
            8..=12 => drop(steering.sweep(now)),
            _ => {}
        }
    }
}

/// Guards against a change for deployments without a zone-wide view, and for routes without a goal.
#[test]
fn nothing_waits_or_is_rejected_without_a_zone_view_or_without_a_goal() {
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let [plain, mut goals, mut view] = [(); 3].map(|()| {
            let mut steering = steering((1..=4).map(target));
            let routes = vec![route(ORDERS, "orders"), route(CHARTS, "orders")];
            steering.set_routes(Routes::new(routes, None));
            steering
        });
        let routes = vec![goal_route(ORDERS, 2), goal_route(CHARTS, 1)];
        goals.set_routes(Routes::new(routes, None));
        view.set_zone_view(true);
        let mut vms = [plain, goals, view];
        let mut time = 0;
        for _ in 0..2_000 {
            time += rng.random_range(0..20);
            let now = at(time);
            let packet = drawn_packet(&mut rng);
            let [expected, goals, view] = vms.each_mut().map(|vm| vm.decide(&packet, now));
            assert_eq!(expected, goals, "seed {seed}, {packet:?} at {time}");
            for decision in [expected, view] {
                let not_admitted = Decision::Drop(DropCause::NotAdmitted);
                assert!(![Decision::Hold, OVERLOADED, not_admitted].contains(&decision));
            }
            assert!(vms.iter_mut().all(|vm| vm.take_released(now).is_empty()));
            draw_change(&mut rng, &mut vms, now);
        }
    }
}

/// Guards against openings that are forgotten, held too long or decided twice, against a reset of
/// a request that a target was sent, and against a rejection while a target has room.
#[test]
fn each_held_opening_is_decided_once_in_time_and_truthfully() {
    let (mut held_count, mut resets) = (0, 0);
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut vms = [limited((1..=4).map(target))];
        let mut held: HashMap<FlowId, u64> = HashMap::new();
        let mut sent: HashMap<FlowId, u64> = HashMap::new();
        let mut time = 0;
        for _ in 0..2_000 {
            time += rng.random_range(0..6);
            let now = at(time);
            let packet = drawn_packet(&mut rng);
            let was_sent = |sent: &HashMap<FlowId, u64>, flow: &FlowId| {
                sent.get(flow).is_some_and(|since| time - since <= 1_400)
            };
            let has_room = |steering: &Steering| {
                steering.targets().iter().any(|(_, record)| {
                    record.is_open()
                        && !record.load.responsiveness.is_unresponsive(now)
                        && record.load.busy < 3
                })
            };
            let could_place = has_room(&vms[0]);
            if !packet.is_opening() {
                // Ends the opening of these ports, so that the next one belongs to another flow.
                sent.remove(&packet.flow);
            }
            match vms[0].decide(&packet, now) {
                Decision::Hold => {
                    held.entry(packet.flow).or_insert(time);
                    held_count += 1;
                }
                OVERLOADED => {
                    assert!(
                        !was_sent(&sent, &packet.flow) && packet.ack == 0,
                        "seed {seed}"
                    );
                    assert!(!could_place, "seed {seed}");
                    resets += 1;
                }
                Decision::Forward {
                    placement: Some(Placement::Placed | Placement::Moved),
                    ..
                } => {
                    sent.insert(packet.flow, time);
                }
                _ => {}
            }
            draw_change(&mut rng, &mut vms, now);
            for released in vms[0].take_released(now) {
                let since = held.remove(&released.flow);
                let since = since.unwrap_or_else(|| panic!("seed {seed}: {released:?} not held"));
                assert!(
                    time - since <= 150,
                    "seed {seed}: {released:?} after {}",
                    time - since
                );
                match released.decision {
                    Decision::Forward { .. } => {
                        sent.insert(released.flow, time);
                    }
                    OVERLOADED => {
                        assert!(!was_sent(&sent, &released.flow), "seed {seed}");
                        assert!(!has_room(&vms[0]), "seed {seed}");
                        resets += 1;
                    }
                    _ => {}
                }
            }
            assert_eq!(held.len(), vms[0].waiting_count(), "seed {seed}");
        }
        vms[0].take_released(at(time + 1_000));
        vms[0].sweep(at(time + 1_000));
        vms[0].sweep(at(time + 60_000));
        assert_eq!((vms[0].waiting_count(), vms[0].flow_count()), (0, 0));
        let mut loads = vms[0].targets().iter().map(|(_, record)| record.load.busy);
        assert!(loads.all(|busy| busy == 0), "seed {seed}");
    }
    assert!(
        held_count > 1_000 && resets > 1_000,
        "{held_count} held, {resets} resets"
    );
}
