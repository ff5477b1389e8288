//! Admission control: the queue as a plain value, its use by the steering, and replays of overload
//! without a network.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bambooseam_steer::admission::{
    AdmissionQueue, MAX_WAITING, Opening, OverloadChange, RejectCause, Rejection, ServiceLoad,
    Verdict,
};
use bambooseam_steer::{FlowId, Origin};
use bambooseam_tests::steering::{ORDERS, at, opening_packet};

/// Load of a full service that finishes 1,000 requests per second.
const FULL: ServiceLoad = ServiceLoad {
    in_progress: 40,
    room: 0,
    response_time: Some(Duration::from_millis(40)),
};

/// The opening of port `port` of caller `caller`.
fn opening(caller: u8, port: u16, priority: u32) -> Opening {
    let flow = FlowId {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 1, caller), port),
        frontend: ORDERS,
    };
    Opening {
        header: opening_packet(flow, 0),
        origin: Origin::Local,
        priority,
        latency_goal: Duration::from_millis(400),
    }
}

fn rejection(verdict: Verdict) -> Rejection {
    match verdict {
        Verdict::Reject(rejection) => rejection,
        verdict => panic!("{verdict:?} is no rejection"),
    }
}

/// Ports of the waiting openings, in their order.
fn ports(queue: &AdmissionQueue) -> Vec<u16> {
    let waiting = queue.iter();
    waiting
        .map(|waiting| waiting.opening.header.flow.caller.port())
        .collect()
}

/// Guards against openings that wait, or are rejected, while a target has room.
#[test]
fn opening_is_placed_while_a_target_has_room() {
    let mut queue = AdmissionQueue::default();
    let load = ServiceLoad { room: 1, ..FULL };
    assert_eq!(
        queue.offer(opening(1, 1, 9), &load, at(0)),
        (Verdict::Place, None)
    );
    assert!(!queue.is_overloaded());
}

/// Guards against urgent openings that wait behind others, and against a caller whose burst keeps
/// all others waiting.
#[test]
fn order_is_priority_then_turn_of_the_caller_then_arrival() {
    let mut queue = AdmissionQueue::default();
    for port in 1..=4 {
        let (verdict, _) = queue.offer(opening(1, port, 2), &FULL, at(0));
        assert_eq!(verdict, Verdict::Wait);
    }
    queue.offer(opening(2, 5, 2), &FULL, at(1));
    queue.offer(opening(3, 6, 1), &FULL, at(2));
    queue.offer(opening(3, 7, 2), &FULL, at(3));
    assert_eq!(ports(&queue), [6, 1, 5, 7, 2, 3, 4]);
    let first = queue.pop().expect("an opening waits");
    assert_eq!(first.opening.priority, 1);
}

/// Guards against a retransmission that takes a second place or loses the first.
#[test]
fn retransmission_keeps_its_place() {
    let mut queue = AdmissionQueue::default();
    queue.offer(opening(1, 1, 2), &FULL, at(0));
    queue.offer(opening(2, 2, 2), &FULL, at(0));
    let mut repeated = opening(1, 1, 2);
    repeated.header.ack = 1;
    assert_eq!(queue.offer(repeated, &FULL, at(50)), (Verdict::Wait, None));
    assert_eq!(ports(&queue), [1, 2]);
    // The same flow asked about by another VM is another opening.
    let remote = Opening {
        origin: Origin::Vm(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 9), 7_734)),
        ..repeated
    };
    queue.offer(remote, &FULL, at(50));
    assert_eq!(queue.len(), 3);
}

/// Guards against openings that wait although their wait is known to be too long, and against
/// rejections of urgent openings because of others.
#[test]
fn opening_whose_expected_wait_is_too_long_is_rejected_at_once() {
    let mut queue = AdmissionQueue::default();
    let mut waiting = 0;
    let rejected = loop {
        match queue
            .offer(opening(waiting as u8, waiting, 2), &FULL, at(0))
            .0
        {
            Verdict::Wait => waiting += 1,
            verdict => break rejection(verdict),
        }
    };
    // A quarter of 400 ms, at one request per millisecond.
    assert!((50..=100).contains(&waiting), "{waiting} openings wait");
    assert_eq!(rejected.cause, RejectCause::ExpectedWait);
    assert_eq!(rejected.ahead, u32::from(waiting));
    assert!(rejected.expected <= rejected.limit);
    let (verdict, _) = queue.offer(opening(200, 1, 1), &FULL, at(0));
    assert_eq!(verdict, Verdict::Wait);
}

/// Guards against a queue without a bound while the rate is unknown, and against a full queue that
/// keeps urgent openings out.
#[test]
fn queue_is_bounded_and_urgent_openings_displace_the_last() {
    let load = ServiceLoad {
        response_time: None,
        ..FULL
    };
    let mut queue = AdmissionQueue::default();
    for port in 0..MAX_WAITING as u16 {
        let (verdict, displaced) = queue.offer(opening(1, port, 2), &load, at(0));
        assert_eq!((verdict, displaced), (Verdict::Wait, None));
    }
    let (verdict, _) = queue.offer(opening(1, 9_999, 2), &load, at(0));
    assert_eq!(rejection(verdict).cause, RejectCause::QueueFull);
    let (verdict, displaced) = queue.offer(opening(2, 1, 1), &load, at(1));
    assert_eq!(verdict, Verdict::Wait);
    let (displaced, _) = displaced.expect("the last opening is displaced");
    let port = displaced.opening.header.flow.caller.port();
    assert_eq!(port, MAX_WAITING as u16 - 1);
    assert_eq!(queue.len(), MAX_WAITING);
    // A full queue is no reason to reject once a target has room.
    let room = ServiceLoad { room: 1, ..load };
    let (verdict, _) = queue.offer(opening(1, 9_999, 2), &room, at(1));
    assert_eq!(verdict, Verdict::Place);
}

/// Guards against openings that wait beyond their limit, and against a reset of a request that may
/// run: after the caller's retransmission, or if a target may have been sent the opening.
#[test]
fn opening_that_waited_too_long_is_reset_only_if_no_target_was_sent_it() {
    let mut queue = AdmissionQueue::default();
    queue.offer(opening(1, 1, 2), &FULL, at(0));
    let mut repeated = opening(2, 2, 2);
    repeated.header.ack = 1;
    queue.offer(repeated, &FULL, at(0));
    assert!(queue.take_overdue(&FULL, at(100)).is_empty());
    let overdue = queue.take_overdue(&FULL, at(101));
    let resets = overdue
        .iter()
        .map(|(waiting, _)| waiting.may_reset(at(101)));
    assert_eq!(resets.collect::<Vec<_>>(), [true, false]);
    let causes = overdue.iter().map(|(_, rejection)| rejection.cause);
    assert!(causes.into_iter().all(|cause| cause == RejectCause::Waited));
    queue.offer(opening(3, 3, 2), &FULL, at(200));
    assert!(queue.take_stale(at(399)).is_empty());
    let stale = queue.take_stale(at(400));
    assert!(!stale[0].may_reset(at(400)));
}

/// Guards against an overload that ends and begins again with each request, and against one that
/// does not end within a second.
#[test]
fn overload_ends_once_and_within_a_second() {
    let mut queue = AdmissionQueue::default();
    let mut changes = Vec::new();
    for time in (0..3_000).step_by(10) {
        if time < 1_000 {
            // The edge of the capacity: full in half of the cases.
            let room = (time / 10 % 2) as u32;
            let load = ServiceLoad { room, ..FULL };
            queue.offer(opening(1, time as u16, 2), &load, at(time));
            queue.pop();
        }
        changes.extend(queue.update(at(time)).map(|change| (time, change)));
    }
    let [
        (0, OverloadChange::Began),
        (ended, OverloadChange::Ended { .. }),
    ] = changes[..]
    else {
        panic!("{changes:?}");
    };
    assert!(ended <= 2_000, "ended at {ended} ms");
}
