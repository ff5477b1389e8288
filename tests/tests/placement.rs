//! Placement of new flows at the crest: each part of the decision against the load that it answers.

use std::time::Duration;

use bambooseam_steer::{Load, Steering, Target};
use bambooseam_tests::steering::*;
use bambooseam_types::{Moment, Token};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A target in another zone.
fn far(number: u8) -> Target {
    Target {
        zone: "b".parse().expect("a zone"),
        ..target(number)
    }
}

/// Opens flow `number` and gives its target's token; the target answers the opening.
fn open(steering: &mut Steering, number: u16, now: Moment) -> Token {
    let flow = flow(number, ORDERS);
    let token = token_of(steering.decide(&opening(flow, 0), now));
    steering.decide(&inside(flow, token, 101, 501, 100), now);
    token
}

/// Ends the request and the flow.
fn end(steering: &mut Steering, number: u16, token: Token, now: Moment) {
    let flow = flow(number, ORDERS);
    steering.decide(&ending(flow, token, 901), now);
}

fn load_of(steering: &Steering, token: Token) -> Load {
    let mut slots = steering.targets().iter();
    let (_, slot) = slots
        .find(|(_, slot)| slot.token == token)
        .expect("a target");
    slot.load
}

#[test]
fn requests_in_progress_are_spread_evenly() {
    let mut steering = steering((1..=14).map(target));
    for number in 1..=28 {
        open(&mut steering, number, at(0));
    }
    for (_, slot) in steering.targets().iter() {
        assert_eq!(slot.load.busy, 2, "{}", slot.target.id);
    }
}

#[test]
fn busy_target_is_left_out_until_it_is_done() {
    let mut steering = steering([target(1), target(2)]);
    let stuck = open(&mut steering, 1, at(0));
    let other = open(&mut steering, 2, at(0));
    end(&mut steering, 2, other, at(5));
    for number in 3..30 {
        let token = open(&mut steering, number, at(10));
        assert_eq!(token, other);
        end(&mut steering, number, token, at(11));
    }
    end(&mut steering, 1, stuck, at(20));
    let next: Vec<_> = (40..44)
        .map(|number| open(&mut steering, number, at(21)))
        .collect();
    assert!(next.contains(&stuck));
}

#[test]
fn own_zone_is_used_first_and_spills_when_it_is_full() {
    let mut steering = steering([target(1), target(2), far(3), far(4)]);
    let near = [target(1).token(), target(2).token()];
    let tokens: Vec<_> = (1..=16)
        .map(|number| open(&mut steering, number, at(0)))
        .collect();
    // Three requests more at each of two targets with two slots before the first goes elsewhere.
    assert!(
        tokens[..6].iter().all(|token| near.contains(token)),
        "{tokens:?}"
    );
    let spilled = tokens.iter().filter(|token| !near.contains(token)).count();
    assert!(
        (4..=6).contains(&spilled),
        "{spilled} of 16 flows went to another zone"
    );
}

#[test]
fn far_targets_take_all_when_the_own_zone_has_none() {
    let mut steering = steering([far(3), far(4)]);
    let first = open(&mut steering, 1, at(0));
    let second = open(&mut steering, 2, at(0));
    assert_ne!(first, second);
}

#[test]
fn larger_target_takes_its_part() {
    let large = Target {
        capacity: 6,
        ..target(2)
    };
    let mut steering = steering([target(1), large]);
    for number in 1..=40 {
        open(&mut steering, number, at(0));
    }
    let loads = [1, 2].map(|number| load_of(&steering, target(number).token()).busy);
    assert_eq!(loads, [10, 30]);
}

#[test]
fn cold_target_takes_less_until_it_is_warm() {
    let cold = Target {
        cold_time: Duration::from_secs(2),
        ..target(2)
    };
    let mut steering = steering([target(1), cold.clone()]);
    for number in 1..=26 {
        open(&mut steering, number, at(100));
    }
    let loads = [1, 2].map(|number| load_of(&steering, target(number).token()).busy);
    assert_eq!(
        loads,
        [16, 10],
        "1.6 times as long a request counts 1.6 times"
    );
    let mut warm = self::steering([target(1), cold]);
    for number in 1..=26 {
        open(&mut warm, number, at(2_100));
    }
    let loads = [1, 2].map(|number| load_of(&warm, target(number).token()).busy);
    assert_eq!(loads, [13, 13]);
}

#[test]
fn silent_target_comes_last_but_is_never_the_reason_for_a_refusal() {
    let mut steering = steering([target(1)]);
    let token = token_of(steering.decide(&opening(flow(1, ORDERS), 0), at(0)));
    let verdict = steering.decide(&opening(flow(2, ORDERS), 0), at(300));
    assert_eq!(token_of(verdict), token, "it is all there is");
    steering.put_target(far(3), at(300));
    for number in 3..9 {
        let verdict = steering.decide(&opening(flow(number, ORDERS), 0), at(310));
        assert_eq!(token_of(verdict), far(3).token());
    }
}

#[test]
fn crest_is_shared_better_than_by_chance() {
    // 14 targets of 2 slots at 0.75 of what they can do, with long work among short.
    let worst = |is_placed: bool| {
        let mut random = StdRng::seed_from_u64(7);
        let mut steering = steering((1..=14).map(target));
        let mut running: Vec<(u64, u16, Token)> = Vec::new();
        let mut waiting = 0_u64;
        for number in 1..=4_000_u16 {
            let time = u64::from(number) * 26 / 10;
            steering.sweep(at(time));
            running.retain(|&(until, flow, token)| {
                if until <= time {
                    end(&mut steering, flow, token, at(time));
                }
                until > time
            });
            let token = match is_placed {
                true => open(&mut steering, number, at(time)),
                false => target(random.random_range(1..=14)).token(),
            };
            let before = running.iter().filter(|held| held.2 == token).count() as u64;
            waiting += before.saturating_sub(1);
            let work = match random.random_bool(0.03) {
                true => 360,
                false => 44,
            };
            running.push((time + work, number, token));
        }
        waiting
    };
    let (placed, chance) = (worst(true), worst(false));
    assert!(
        placed * 4 < chance,
        "{placed} waits beside {chance} by chance"
    );
}

/// The crest in a zone with one target, of which the others fall out of reach or come back: counts
/// flows that were placed in the other zone between two times, and lets its targets answer from
/// `healed` on.
fn flows_tried_far(from: u64, to: u64, healed: u64) -> usize {
    const WORK_TIME: u64 = 200;
    let far_targets = (2..=10).map(far);
    let mut steering = steering(std::iter::once(target(1)).chain(far_targets));
    let near = target(1).token();
    let mut running: Vec<(u64, u16, Token)> = Vec::new();
    let mut tried = 0;
    for step in 0..to / 10 {
        let (time, number) = (step * 10, step as u16);
        if time % 500 == 0 {
            steering.sweep(at(time));
        }
        running.retain(|&(until, flow, token)| {
            if until <= time {
                end(&mut steering, flow, token, at(time));
            }
            until > time
        });
        let flow = flow(number, ORDERS);
        let token = token_of(steering.decide(&opening(flow, 0), at(time)));
        let is_far = token != near;
        if is_far && time >= from {
            tried += 1;
        }
        if !is_far || time >= healed {
            steering.decide(&inside(flow, token, 101, 501, 100), at(time));
            running.push((time + WORK_TIME, number, token));
        }
    }
    tried
}

#[test]
fn zone_out_of_reach_is_tried_by_one_flow_at_a_time() {
    let tried = flows_tried_far(2_000, 8_000, u64::MAX);
    // One each two seconds, and one for the part of a trial that a sweep cuts off.
    assert!((2..=4).contains(&tried), "{tried} flows were lost on it");
}

#[test]
fn zone_that_answers_again_takes_its_part_within_a_trial() {
    let tried = flows_tried_far(6_600, 8_000, 4_000);
    assert!(tried >= 60, "{tried} of 140 flows were placed there");
}

#[test]
fn two_silent_targets_make_no_silent_zone_while_a_third_answers() {
    let mut steering = steering([far(2), far(3), far(4)]);
    let dead = [far(2).token(), far(3).token()];
    let mut live = 0;
    for number in 0..600_u16 {
        let time = u64::from(number) * 10;
        if time % 500 == 0 {
            steering.sweep(at(time));
        }
        let flow = flow(number, ORDERS);
        let token = token_of(steering.decide(&opening(flow, 0), at(time)));
        if !dead.contains(&token) {
            live += 1;
            steering.decide(&inside(flow, token, 101, 501, 0), at(time));
            end(&mut steering, number, token, at(time));
        }
    }
    assert!(live > 560, "{live} of 600");
}
