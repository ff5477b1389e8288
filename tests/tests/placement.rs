//! Placement of new flows at the crest. Each test covers one factor of the placement decision.

use std::time::Duration;

use bambooseam_steer::{Load, Steering, Target};
use bambooseam_tests::steering::*;
use bambooseam_types::{Moment, Token};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Returns target `number` in another zone.
fn remote(number: u8) -> Target {
    Target {
        zone: "b".parse().expect("a zone"),
        ..target(number)
    }
}

/// Opens flow `number` and returns the token of its target, which answers the opening packet.
fn open(steering: &mut Steering, number: u16, now: Moment) -> Token {
    let flow = flow(number, ORDERS);
    let token = token_of(steering.decide(&opening_packet(flow, 0), now));
    steering.decide(&flow_packet(flow, token, 101, 501, 100), now);
    token
}

/// Ends flow `number` and its request.
fn end(steering: &mut Steering, number: u16, token: Token, now: Moment) {
    let flow = flow(number, ORDERS);
    steering.decide(&fin_packet(flow, token, 901), now);
}

fn load_of(steering: &Steering, token: Token) -> Load {
    let mut records = steering.targets().iter();
    let (_, record) = records
        .find(|(_, record)| record.token == token)
        .expect("a target");
    record.load
}

#[test]
fn requests_in_progress_are_spread_evenly() {
    let mut steering = steering((1..=14).map(target));
    for number in 1..=28 {
        open(&mut steering, number, at(0));
    }
    for (_, record) in steering.targets().iter() {
        assert_eq!(record.load.busy, 2, "{}", record.target.id);
    }
}

#[test]
fn busy_target_is_avoided_until_it_is_idle() {
    let mut steering = steering([target(1), target(2)]);
    let busy = open(&mut steering, 1, at(0));
    let other = open(&mut steering, 2, at(0));
    end(&mut steering, 2, other, at(5));
    for number in 3..30 {
        let token = open(&mut steering, number, at(10));
        assert_eq!(token, other);
        end(&mut steering, number, token, at(11));
    }
    end(&mut steering, 1, busy, at(20));
    let next: Vec<_> = (40..44)
        .map(|number| open(&mut steering, number, at(21)))
        .collect();
    assert!(next.contains(&busy));
}

#[test]
fn own_zone_is_preferred_until_its_targets_are_full() {
    let mut steering = steering([target(1), target(2), remote(3), remote(4)]);
    let local = [target(1).token(), target(2).token()];
    let tokens: Vec<_> = (1..=16)
        .map(|number| open(&mut steering, number, at(0)))
        .collect();
    // Each of the two targets with two slots in the zone accepts three requests before the first
    // request goes to another zone.
    assert!(
        tokens[..6].iter().all(|token| local.contains(token)),
        "{tokens:?}"
    );
    let spilled = tokens.iter().filter(|token| !local.contains(token)).count();
    assert!(
        (4..=6).contains(&spilled),
        "{spilled} of 16 flows went to another zone"
    );
}

#[test]
fn remote_targets_are_used_when_the_own_zone_has_none() {
    let mut steering = steering([remote(3), remote(4)]);
    let first = open(&mut steering, 1, at(0));
    let second = open(&mut steering, 2, at(0));
    assert_ne!(first, second);
}

#[test]
fn larger_target_takes_a_proportional_share() {
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
fn cold_target_takes_a_smaller_share_until_it_is_warm() {
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
        "while cold, requests take 1.6 times as long and count 1.6 times"
    );
    let mut warm = self::steering([target(1), cold]);
    for number in 1..=26 {
        open(&mut warm, number, at(2_100));
    }
    let loads = [1, 2].map(|number| load_of(&warm, target(number).token()).busy);
    assert_eq!(loads, [13, 13]);
}

#[test]
fn unresponsive_target_is_the_last_choice_but_never_causes_a_refusal() {
    let mut steering = steering([target(1)]);
    let token = token_of(steering.decide(&opening_packet(flow(1, ORDERS), 0), at(0)));
    let decision = steering.decide(&opening_packet(flow(2, ORDERS), 0), at(300));
    assert_eq!(
        token_of(decision),
        token,
        "the only target is used although it is unresponsive"
    );
    steering.put_target(remote(3), at(300));
    for number in 3..9 {
        let decision = steering.decide(&opening_packet(flow(number, ORDERS), 0), at(310));
        assert_eq!(token_of(decision), remote(3).token());
    }
}

#[test]
fn placement_at_the_crest_waits_less_than_random_choice() {
    // 14 targets of 2 slots at 0.75 of their capacity, with a mix of short and long requests.
    let count_waits = |is_placed: bool| {
        let mut rng = StdRng::seed_from_u64(7);
        let mut steering = steering((1..=14).map(target));
        let mut running: Vec<(u64, u16, Token)> = Vec::new();
        let mut waits = 0_u64;
        for number in 1..=4_000_u16 {
            let time = u64::from(number) * 26 / 10;
            steering.sweep(at(time));
            running.retain(|&(end_time, flow, token)| {
                if end_time <= time {
                    end(&mut steering, flow, token, at(time));
                }
                end_time > time
            });
            let token = match is_placed {
                true => open(&mut steering, number, at(time)),
                false => target(rng.random_range(1..=14)).token(),
            };
            let in_progress = running.iter().filter(|request| request.2 == token).count() as u64;
            waits += in_progress.saturating_sub(1);
            let service_time = match rng.random_bool(0.03) {
                true => 360,
                false => 44,
            };
            running.push((time + service_time, number, token));
        }
        waits
    };
    let (placed, at_random) = (count_waits(true), count_waits(false));
    assert!(
        placed * 4 < at_random,
        "{placed} waits with placement, not below a quarter of {at_random} with random targets"
    );
}

/// Simulates the crest in a zone with one target while the other zone is unreachable until
/// `recovers_at`. Returns the number of flows placed in the other zone from `from` until `to`. All
/// times are in milliseconds.
fn flows_placed_remotely(from: u64, to: u64, recovers_at: u64) -> usize {
    const WORK_TIME_MS: u64 = 200;
    let remote_targets = (2..=10).map(remote);
    let mut steering = steering(std::iter::once(target(1)).chain(remote_targets));
    let local = target(1).token();
    let mut running: Vec<(u64, u16, Token)> = Vec::new();
    let mut placed_count = 0;
    for step in 0..to / 10 {
        let (time, number) = (step * 10, step as u16);
        if time % 500 == 0 {
            steering.sweep(at(time));
        }
        running.retain(|&(end_time, flow, token)| {
            if end_time <= time {
                end(&mut steering, flow, token, at(time));
            }
            end_time > time
        });
        let flow = flow(number, ORDERS);
        let token = token_of(steering.decide(&opening_packet(flow, 0), at(time)));
        let is_remote = token != local;
        if is_remote && time >= from {
            placed_count += 1;
        }
        if !is_remote || time >= recovers_at {
            steering.decide(&flow_packet(flow, token, 101, 501, 100), at(time));
            running.push((time + WORK_TIME_MS, number, token));
        }
    }
    placed_count
}

#[test]
fn unreachable_zone_is_probed_by_one_flow_at_a_time() {
    let placed_count = flows_placed_remotely(2_000, 8_000, u64::MAX);
    // One probe every two seconds, and one more because a sweep may shorten a probe interval.
    assert!(
        (2..=4).contains(&placed_count),
        "{placed_count} flows were placed in the unreachable zone"
    );
}

#[test]
fn recovered_zone_takes_its_share_within_a_probe_interval() {
    let placed_count = flows_placed_remotely(6_600, 8_000, 4_000);
    assert!(
        placed_count >= 60,
        "{placed_count} of 140 flows were placed in the recovered zone"
    );
}

#[test]
fn two_unresponsive_targets_do_not_make_a_zone_unresponsive_while_a_third_answers() {
    let mut steering = steering([remote(2), remote(3), remote(4)]);
    let unresponsive = [remote(2).token(), remote(3).token()];
    let mut answered = 0;
    for number in 0..600_u16 {
        let time = u64::from(number) * 10;
        if time % 500 == 0 {
            steering.sweep(at(time));
        }
        let flow = flow(number, ORDERS);
        let token = token_of(steering.decide(&opening_packet(flow, 0), at(time)));
        if !unresponsive.contains(&token) {
            answered += 1;
            steering.decide(&flow_packet(flow, token, 101, 501, 0), at(time));
            end(&mut steering, number, token, at(time));
        }
    }
    assert!(
        answered > 560,
        "{answered} of 600 flows went to the responsive target"
    );
}
