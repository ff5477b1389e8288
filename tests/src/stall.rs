//! Requests that are retransmitted without an acknowledgement, and exchanges with targets that answer.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bambooseam_steer::{Decision, FlowId, PacketHeader, ResetCause, Steering, Target};
use bambooseam_types::Moment;

use crate::steering::*;

/// Intervals between a request and its transmissions, in milliseconds.
pub const TRANSMISSIONS: [u64; 4] = [0, 200, 600, 1_400];

/// Returns a flow from port 1000 of caller `number`.
pub fn flow_of(number: u8) -> FlowId {
    FlowId {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, number), 1_000),
        frontend: ORDERS,
    }
}

/// Returns the request in the flow of caller `number` to target `target`.
pub fn request(number: u8, target: &Target) -> PacketHeader {
    flow_packet(flow_of(number), target.token(), 101, 501, 40)
}

/// Returns target `number` in zone `b`, which is remote.
pub fn remote_target(number: u8) -> Target {
    Target {
        zone: "b".parse().expect("a zone"),
        ..target(number)
    }
}

/// Opens a flow at `target` at `now`, as its next exchange of packets, and ends the flow.
pub fn exchange(steering: &mut Steering, target: &Target, now: Moment) {
    let mut flow = flow_of(99);
    flow.caller.set_port(now.as_millis() as u16 + 1);
    let token = target.token();
    steering.decide(&flow_packet(flow, token, 101, 501, 40), now);
    let response_time = now.after(Duration::from_millis(30));
    steering.decide(&flow_packet(flow, token, 141, 900, 0), response_time);
    steering.decide(&fin_packet(flow, token, 900), response_time);
}

/// Whether a packet was reset because its target is stalled.
pub fn is_stall_reset(decision: Decision) -> bool {
    decision == Decision::Reset(ResetCause::TargetStalled)
}

/// Sends the transmissions of requests, each given by caller, target and time of the first
/// transmission, in order of time, and an exchange with each of `running` every 100 ms. Returns the
/// time and the caller of each reset.
pub fn transmit(
    steering: &mut Steering,
    requests: &[(u8, &Target, u64)],
    running: &[&Target],
) -> Vec<(u64, u8)> {
    let mut packets = Vec::new();
    for &(number, target, first) in requests {
        let times = TRANSMISSIONS.iter().map(|delay| first + delay);
        packets.extend(times.map(|time| (time, number, request(number, target))));
    }
    packets.sort_by_key(|(time, number, _)| (*time, *number));
    let mut resets = Vec::new();
    let mut next_exchange = 50;
    for (time, number, packet) in packets {
        while next_exchange + 30 < time {
            for target in running {
                exchange(steering, target, at(next_exchange));
            }
            next_exchange += 100;
        }
        if resets.iter().any(|(_, reset)| *reset == number) {
            continue;
        }
        if is_stall_reset(steering.decide(&packet, at(time))) {
            resets.push((time, number));
        }
    }
    resets
}
