//! Timeouts and costs that follow the observed response times of a service, replayed for services
//! whose work takes four times as long and four times as short.

use std::time::Duration;

use bambooseam_steer::timing::{Response, Timing};
use bambooseam_steer::{Steering, Target};
use bambooseam_tests::steering::*;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn response(time: u64) -> Response {
    Response {
        time: millis(time),
        retransmissions: 0,
        is_cold: false,
    }
}

/// Sends requests to `target` for five seconds, each answered after one of `times` in turn.
fn warm_up(steering: &mut Steering, target: &Target, times: &[u64]) {
    let token = target.token();
    for (number, time) in (1..=50).zip(times.iter().cycle()) {
        let sent = 100 * u64::from(number);
        let flow = flow(number, ORDERS);
        steering.decide(&flow_packet(flow, token, 101, 501, 40), at(sent));
        steering.decide(&flow_packet(flow, token, 141, 900, 0), at(sent + time));
        steering.decide(&fin_packet(flow, token, 900), at(sent + time));
    }
}

/// Time from a request that is not answered until the target is found unresponsive.
fn detection_time(times: &[u64]) -> u64 {
    let target = target(1);
    let mut steering = steering([target.clone()]);
    warm_up(&mut steering, &target, times);
    let sent = 10_000;
    let request = flow_packet(flow(999, ORDERS), target.token(), 101, 501, 40);
    steering.decide(&request, at(sent));
    let is_unresponsive = |steering: &Steering, time: u64| {
        let (_, record) = steering.targets().iter().next().expect("the target");
        record.load.responsiveness.is_unresponsive(at(sent + time))
    };
    (0..2_000)
        .step_by(10)
        .find(|time| is_unresponsive(&steering, *time))
        .expect("the target is found unresponsive")
}

#[test]
fn slow_services_are_given_more_time_and_fast_ones_less() {
    assert_eq!(detection_time(&[30, 200]), 300);
    assert_eq!(detection_time(&[120, 800]), 1_200);
    assert_eq!(detection_time(&[8, 50]), 300);
    // No response is waited for longer than the bound.
    assert_eq!(detection_time(&[2_000]), 1_500);
}

#[test]
fn long_responses_are_forgotten() {
    let mut timing = Timing::default();
    assert_eq!(timing.request_timeout(), millis(500));
    timing.record(response(600), at(0));
    assert_eq!(timing.request_timeout(), millis(900));
    for time in (0..30).map(|second| 1_000 * second) {
        timing.record(response(250), at(time));
    }
    assert_eq!(timing.request_timeout(), millis(375));
}

#[test]
fn responses_delayed_by_lost_packets_do_not_count() {
    let mut timing = Timing::default();
    timing.record(response(250), at(0));
    let delayed = Response {
        retransmissions: 2,
        ..response(1_400)
    };
    timing.record(delayed, at(10));
    assert_eq!(timing.request_timeout(), millis(375));
}

#[test]
fn cost_of_cold_targets_follows_their_response_times() {
    let mut timing = Timing::default();
    assert_eq!(timing.cold_percent(), 160);
    for number in 0..100 {
        timing.record(response(30), at(number));
        let cold = Response {
            is_cold: true,
            ..response(90)
        };
        timing.record(cold, at(number));
    }
    assert_eq!(timing.cold_percent(), 300);
}
