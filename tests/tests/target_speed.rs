//! Response times and limits of targets, learned from responses.

use std::ops::Range;
use std::time::Duration;

use bambooseam_steer::placement::{Candidate, place};
use bambooseam_steer::target_speed::usual::{Level, Plausibility, UsualTimes};
use bambooseam_steer::target_speed::{Outcome, TargetSpeed};
use bambooseam_steer::{Load, Steering, SteeringSettings, Target, TargetIndex};
use bambooseam_tests::steering::*;
use bambooseam_types::{Incarnation, Moment, Token};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Mean time of a request in the estimator's tests.
const WORK_MS: f64 = 40.0;

/// Returns usual times of a service whose requests take [`WORK_MS`].
fn usual() -> UsualTimes {
    let mut usual = UsualTimes::default();
    for _ in 0..64 {
        for level in Level::ALL {
            usual.record(Duration::from_millis(WORK_MS as u64), 500, level);
        }
    }
    usual
}

/// Replays 10 requests per second at one target until `until`; a request takes [`WORK_MS`] times
/// noise times the slowness at its start. Calls `check` before each request.
fn replay(
    speed: &mut TargetSpeed,
    seed: u64,
    until: u64,
    slowness: impl Fn(u64) -> f64,
    mut check: impl FnMut(u64, u32),
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let usual = usual();
    let mut running: Vec<(u64, u64)> = Vec::new();
    for time in 0..until {
        running.retain(|&(started, ends)| {
            if ends == time {
                speed.end(at(started), Outcome::Answered, at(time));
            }
            ends != time
        });
        if time % 500 == 0 {
            speed.refresh(2, Some(&usual), (10.0, 1.0), at(time));
        }
        if time % 100 == 0 {
            check(time, speed.percent(0, at(time)));
            speed.begin(0, Some(&usual), at(time));
            let duration = WORK_MS * noise(&mut rng) * slowness(time);
            running.push((time, time + (duration as u64).max(1)));
        }
    }
}

/// Guards against noise that moves load between equal targets.
#[test]
fn noise_of_an_average_target_leaves_it_average() {
    let (mut checks, mut average) = (0, 0);
    for seed in 0..20 {
        let mut speed = TargetSpeed::new(2);
        let check = |_, percent| {
            checks += 1;
            average += u32::from(percent == 100);
        };
        replay(&mut speed, seed, 60_000, |_| 1.0, check);
    }
    assert!(
        average * 100 >= checks * 97,
        "average in {average} of {checks} checks"
    );
}

/// Guards against a few responses that make a target slow or fast: one VM of many sees no more.
#[test]
fn a_few_responses_change_nothing() {
    for ratio in [0.25, 0.5, 1.5, 2.0] {
        let mut speed = TargetSpeed::new(2);
        for number in 0..3 {
            speed.record(ratio, Level::Full, at(number * 1_000));
            assert_eq!(speed.percent(0, at(number * 1_000)), 100, "ratio {ratio}");
        }
    }
}

/// Guards against a slow target that keeps its share, and a fast one that does not get it back.
#[test]
fn slow_target_is_found_within_a_second_and_fast_again_within_two() {
    let (mut checks, mut relapses) = (0, 0);
    for (seed, slowness) in (0..30).flat_map(|seed| [5.0, 12.0, 30.0].map(|s| (seed, s))) {
        let mut speed = TargetSpeed::new(2);
        let slowness_at = |time| match (10_000..20_000).contains(&time) {
            true => slowness,
            false => 1.0,
        };
        let (mut slow, mut fast) = (None, None);
        replay(&mut speed, seed, 23_000, slowness_at, |time, percent| {
            // An idle target of 150 costs as much as a usual one with one request more.
            if percent >= 150 && time > 10_000 {
                slow = slow.or(Some(time - 10_000));
            }
            if percent == 100 && time > 20_000 {
                fast = fast.or(Some(time - 20_000));
            }
            if time >= 22_000 {
                checks += 1;
                relapses += u32::from(percent >= 150);
            }
        });
        assert!(
            slow.is_some_and(|slow| slow <= 1_000),
            "slowness {slowness}, seed {seed}: found after {slow:?}"
        );
        assert!(
            fast.is_some_and(|fast| fast <= 2_000),
            "slowness {slowness}, seed {seed}: fast again after {fast:?}"
        );
    }
    // The same share of noise as at a target that was never slow.
    assert!(
        relapses * 100 <= checks * 3,
        "slow again in {relapses} of {checks} checks"
    );
}

/// Guards against long work that makes its target slow while later requests have responses.
#[test]
fn long_request_is_no_evidence_once_later_requests_have_responses() {
    let usual = usual();
    let mut speed = TargetSpeed::new(2);
    speed.begin(0, Some(&usual), at(0));
    assert!(speed.percent(0, at(400)) > 100, "no other request is known");
    for number in 0..2 {
        let begun = at(400 + number * 50);
        speed.begin(1, Some(&usual), begun);
        speed.end(begun, Outcome::Answered, at(440 + number * 50));
    }
    assert_eq!(speed.percent(0, at(500)), 100);
}

/// Guards against a slow target that is never sent a request again, and against many VMs that each
/// probe it as often as one would.
#[test]
fn slow_target_takes_one_request_in_each_probe_interval() {
    for (rate, interval) in [(10.0, 1_250), (1.0, 8_000)] {
        let mut speed = TargetSpeed::new(2);
        speed.refresh(2, Some(&usual()), (rate, 1.0), at(0));
        for number in 0..8 {
            speed.record(12.0, Level::Full, at(number));
        }
        speed.record_opening(at(10));
        assert!(speed.percent(0, at(10 + interval - 1)) > 400);
        assert_eq!(speed.percent(0, at(10 + interval)), 100);
        speed.record_opening(at(10 + interval));
        assert!(speed.percent(0, at(10 + interval + 1)) > 400);
    }
}

/// Guards against a target that looks fast because it refuses.
#[test]
fn refusals_do_not_make_a_target_fast() {
    let usual = usual();
    let judge =
        |millis, length| usual.plausibility(Duration::from_millis(millis), length, Level::Full);
    assert_eq!(judge(40, 500), Plausibility::Usual);
    assert_eq!(judge(20, 300), Plausibility::Usual);
    assert_eq!(judge(3, 500), Plausibility::Doubtful);
    assert_eq!(judge(40, 60), Plausibility::Doubtful);
    assert_eq!(judge(3, 60), Plausibility::Refusal);
    let mut speed = TargetSpeed::new(2);
    for number in 0..100 {
        let begun = at(number * 100);
        speed.begin(0, Some(&usual), begun);
        speed.end(begun, Outcome::Refused, at(number * 100 + 3));
        assert!(speed.percent(0, at(number * 100 + 4)) >= 100);
    }
}

/// Guards against limits below what a target can process, and above what it processes well.
#[test]
fn limit_follows_the_throughput() {
    let usual = usual();
    let learned = |capacity, half: f32, full: f32| {
        let mut speed = TargetSpeed::new(capacity);
        for number in 0..100 {
            speed.record(half, Level::Half, at(number * 100));
            speed.record(full, Level::Full, at(number * 100));
        }
        speed.refresh(capacity, Some(&usual), (10.0, 1.0), at(10_000));
        speed
    };
    assert_eq!(TargetSpeed::new(8).limit(), 9);
    assert_eq!(learned(8, 1.0, 1.0).limit(), 9);
    assert_eq!(learned(8, 1.0, 2.2).limit(), 4, "doubles beyond half");
    assert_eq!(learned(2, 1.0, 2.2).limit(), 1);
    assert_eq!(learned(2, 3.3, 3.3).limit(), 3, "slow, but all slots work");
    assert_eq!(learned(2, 12.0, 12.0).limit(), 1);
    assert_eq!(learned(1, 30.0, 30.0).limit(), 1);
    let expected = learned(2, 12.0, 12.0).expected(0).expect("a time");
    assert!((400..=500).contains(&expected.as_millis()), "{expected:?}");
}

/// Sort key of a candidate before speeds were learned: requests and flows per slot.
fn count_rank(candidate: &Candidate<'_>, tie: u64, now: Moment) -> (bool, u64, u64, u64) {
    let capacity = u64::from(candidate.capacity.max(1));
    let percent = match candidate.load.is_cold(now) {
        true => candidate.cold_percent,
        false => 100,
    };
    let busy = u64::from(candidate.in_progress) + 1;
    let remote = if candidate.is_local { 0 } else { 1_500 };
    (
        candidate.is_unresponsive,
        busy * 1_000 * percent / 100 / capacity + remote,
        u64::from(candidate.load.flows) * 1_000 / capacity,
        (tie ^ u64::from(candidate.target.get())).wrapping_mul(0x9E37_79B9_7F4A_7C15),
    )
}

/// Guards against learned speeds that change the placement at equal targets.
#[test]
fn equal_targets_are_placed_by_counts_as_before() {
    let targets = steering((1..=40).map(target));
    let indexes: Vec<TargetIndex> = targets.targets().iter().map(|(index, _)| index).collect();
    let mut rng = StdRng::seed_from_u64(11);
    let now = at(1_000);
    for _ in 0..20_000 {
        let count = rng.random_range(1..=indexes.len());
        let cold_percent = rng.random_range(100..=400);
        let loads: Vec<Load> = (0..count)
            .map(|_| Load {
                flows: rng.random_range(0..6),
                cold_until: rng.random_bool(0.2).then_some(at(2_000)),
                ..Load::default()
            })
            .collect();
        let candidates: Vec<_> = loads
            .iter()
            .zip(&indexes)
            .map(|(load, &target)| Candidate {
                target,
                load,
                in_progress: rng.random_range(0..12),
                expected_percent: 100,
                cold_percent,
                capacity: rng.random_range(0..9),
                remote_percent: None,
                is_local: rng.random_bool(0.6),
                is_unresponsive: rng.random_bool(0.1),
            })
            .collect();
        let tie = rng.random();
        let by_counts = candidates.iter().min_by_key(|c| count_rank(c, tie, now));
        let placed = place(candidates.iter().copied(), tie, now);
        assert_eq!(placed, by_counts.map(|candidate| candidate.target));
    }
}

/// Serves requests, each on its own flow, with response times that `time_of` gives by the token of
/// the target, its requests in progress and the time. Returns the number of requests at each token.
fn serve(
    steering: &mut Steering,
    interval: u64,
    until: u64,
    time_of: impl FnMut(Token, u32, u64) -> u64,
) -> Vec<(u64, Token)> {
    serve_from(steering, &mut Vec::new(), interval, 0..until, time_of)
}

/// Serves requests as [`serve`] does, within `span`. `running` has the requests in progress: when
/// they end, their flow and their token.
fn serve_from(
    steering: &mut Steering,
    running: &mut Vec<(u64, u16, Token)>,
    interval: u64,
    span: Range<u64>,
    mut time_of: impl FnMut(Token, u32, u64) -> u64,
) -> Vec<(u64, Token)> {
    let mut placed = Vec::new();
    let mut number = span.start as u16;
    for time in span {
        if time % 500 == 0 {
            steering.record_sync(at(time));
            steering.sweep(at(time));
        }
        running.retain(|&(ends, number, token)| {
            if ends == time {
                let response = flow_packet(flow(number, ORDERS), token, 201, 1_001, 0);
                steering.decide(&response, at(time));
                steering.decide(&fin_packet(flow(number, ORDERS), token, 1_001), at(time));
            }
            ends != time
        });
        if time % interval == 0 {
            number = number.wrapping_add(1);
            let opening = opening_packet(flow(number, ORDERS), 0);
            let token = token_of(steering.decide(&opening, at(time)));
            let busy = running.iter().filter(|request| request.2 == token).count();
            let request = flow_packet(flow(number, ORDERS), token, 101, 501, 100);
            steering.decide(&request, at(time));
            let duration = time_of(token, busy as u32, time).max(1);
            running.push((time + duration, number, token));
            placed.push((time, token));
        }
    }
    placed
}

/// Returns the steering of a VM, with learned speeds or without.
fn steering_with(targets: impl IntoIterator<Item = Target>, target_speed: bool) -> Steering {
    let mut steering = Steering::new(SteeringSettings {
        zone: "a".parse().expect("a zone"),
        flow_limit: 1_000,
        cold_policy: None,
        target_speed,
        evacuated_last_resort: true,
    });
    steering.set_routes(routes());
    for target in targets {
        steering.put_target(target, at(0));
    }
    steering.record_sync(at(0));
    steering
}

/// Guards against decisions that change while all targets are equally fast.
#[test]
fn targets_that_are_equally_fast_get_the_same_flows_as_without_learned_speeds() {
    let run = |target_speed| {
        let mut steering = steering_with((1..=10).map(target), target_speed);
        serve(&mut steering, 7, 40_000, |_, busy, _| match busy {
            0 | 1 => 40,
            _ => 20 * u64::from(busy + 1),
        })
    };
    assert_eq!(run(true), run(false));
}

/// Guards against learned speeds that do not reach placement, and against a setting without effect.
#[test]
fn slow_target_loses_its_share_only_with_learned_speeds() {
    let slow = target(1).token();
    let time_of = |token, _, time| match token == slow && time >= 10_000 {
        true => 480,
        false => 40,
    };
    let share = |target_speed| {
        let mut steering = steering_with((1..=10).map(target), target_speed);
        let placed = serve(&mut steering, 10, 20_000, time_of);
        let late = placed.iter().filter(|(time, _)| *time >= 11_000);
        late.filter(|(_, token)| *token == slow).count()
    };
    // Seven probes at most, of 900 requests.
    let (with, without) = (share(true), share(false));
    assert!(with <= 7, "{with} requests at the slow target");
    assert!(without > 7, "{without} requests at the slow target");
}

/// Guards against response times that span a pause of the process.
#[test]
fn response_after_a_pause_of_the_process_does_not_count() {
    let mut steering = steering((1..=4).map(target));
    serve(&mut steering, 10, 10_000, |_, _, _| 40);
    let mut begun = Vec::new();
    for number in 0..40 {
        let flow = flow(50_000 + number, ORDERS);
        let token = token_of(steering.decide(&opening_packet(flow, 0), at(10_001)));
        steering.decide(&flow_packet(flow, token, 101, 501, 100), at(10_001));
        begun.push((flow, token));
    }
    for (flow, token) in begun {
        steering.decide(&flow_packet(flow, token, 201, 1_001, 0), at(13_000));
    }
    for (_, record) in steering.targets().iter() {
        let factor = record.speed.factor();
        assert!((0.9..=1.1).contains(&factor), "{factor}");
    }
}

/// Guards against a service whose targets are mostly limited, a limit that is not logged, and a
/// start of a target that inherits the limit of the start before.
#[test]
fn at_most_three_of_ten_targets_are_limited_and_a_restart_clears_the_limit() {
    let mut steering = steering((1..=10).map(target));
    let slow: Vec<Token> = (1..=4).map(|number| target(number).token()).collect();
    let is_slow = |token: Token, time| slow.contains(&token) && time >= 10_000;
    let (mut limits, mut running) = (0, Vec::new());
    for round in 0..20 {
        let (start, end) = (round * 1_000, (round + 1) * 1_000);
        let factor = |token, _, time| if is_slow(token, time) { 480 } else { 40 };
        serve_from(&mut steering, &mut running, 7, start..end, factor);
        for event in steering.sweep(at(end)) {
            let line = event.to_string();
            limits += usize::from(line.starts_with("event=target_limit "));
        }
        let indexes: Vec<_> = steering.targets().iter().map(|(index, _)| index).collect();
        let limited = indexes
            .iter()
            .filter(|index| steering.limit_of(**index) < 2);
        assert!(limited.count() <= 3, "after {end} ms");
    }
    assert!(limits > 0, "no change of a limit was reported");
    let limit = |steering: &Steering, number| {
        let id = target(number).id;
        let index = steering.targets().find(&id).expect("a known target");
        steering.limit_of(index)
    };
    let number = (1..=4).find(|number| limit(&steering, *number) == 1);
    let number = number.expect("a limited target");
    let restarted = Target {
        start: Incarnation::from(9_000),
        ..target(number)
    };
    steering.put_target(restarted, at(20_000));
    assert_eq!(limit(&steering, number), 3);
}

/// Guards against flows that move to other zones because all targets of the own zone slow down at
/// once, as they do at the crest of a load swing: the other zones are no better then.
#[test]
fn service_that_slows_down_as_a_whole_stays_in_its_zone() {
    let remote = |number| Target {
        zone: "b".parse().expect("a zone"),
        ..target(number)
    };
    let local: Vec<Token> = (1..=8).map(|number| target(number).token()).collect();
    // Interval of requests, time of a request, and time in which it rises to that.
    for (interval, slow_ms, ramp_ms) in [(100, 1_200, 1), (50, 600, 2_000)] {
        let remote_flows = |target_speed| {
            let targets = (1..=8).map(target).chain((9..=16).map(remote));
            let mut steering = steering_with(targets, target_speed);
            let mut rng = StdRng::seed_from_u64(5);
            let time_of = |_, _, time: u64| {
                let risen = time.saturating_sub(10_000).min(ramp_ms) as f64 / ramp_ms as f64;
                let mean = WORK_MS + (f64::from(slow_ms) - WORK_MS) * risen;
                (mean * noise(&mut rng)) as u64
            };
            let placed = serve(&mut steering, interval, 30_000, time_of);
            let is_remote = |(_, token): &&(u64, Token)| !local.contains(token);
            placed.iter().filter(is_remote).count()
        };
        let (with, without) = (remote_flows(true), remote_flows(false));
        // Targets are compared with each other twice a second.
        let flows = 500 / interval as usize;
        assert!(with <= without + flows, "{with} flows, {without} by counts");
    }
}
