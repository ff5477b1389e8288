//! Shorthand constructors of [`Steering`] states, targets, routes and packets.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bambooseam_steer::{
    Decision, FlowId, LOWEST_PRIORITY, PacketFlags, PacketHeader, Route, Routes, Share, Steering,
    SteeringSettings, Target,
};
use bambooseam_types::{Incarnation, Moment, TargetLabel, Token};
use rand::Rng;
use rand::rngs::StdRng;

/// Frontend of service `orders`.
pub const ORDERS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// Frontend of service `charts`.
pub const CHARTS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 80);
/// A frontend without a route.
pub const UNROUTED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 9), 9);

/// Returns target `number` of `orders` in zone `a`; numbers begin at 1.
pub fn target(number: u8) -> Target {
    Target {
        id: format!("i-{number:08x}").parse().expect("an id"),
        label: TargetLabel::new(number.into()).expect("a label"),
        start: Incarnation::from(1_000 + u64::from(number)),
        service: "orders".parse().expect("a service"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 8080),
        zone: "a".parse().expect("a zone"),
        capacity: 2,
        is_leaving: false,
        cold_time: Duration::ZERO,
    }
}

/// Returns a route from `frontend` to one service.
pub fn route(frontend: SocketAddrV4, service: &str) -> Route {
    Route {
        frontend,
        shares: vec![Share {
            service: service.parse().expect("a service"),
            weight: 1,
        }],
        timeout: Duration::from_secs(2),
        priority: LOWEST_PRIORITY,
        latency_goal: None,
    }
}

/// Returns routes to both services.
pub fn routes() -> Routes {
    Routes::new(vec![route(ORDERS, "orders"), route(CHARTS, "charts")], None)
}

/// Returns the moment `millis` milliseconds after the start.
pub fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Returns the steering of a VM in zone `a` whose view contains `targets` and was current at 0.
pub fn steering(targets: impl IntoIterator<Item = Target>) -> Steering {
    let mut steering = Steering::new(SteeringSettings {
        zone: "a".parse().expect("a zone"),
        flow_limit: 1_000,
        cold_policy: None,
        target_speed: true,
        evacuated_last_resort: true,
    });
    steering.set_routes(routes());
    for target in targets {
        steering.put_target(target, at(0));
    }
    steering.record_sync(at(0));
    steering
}

/// Returns the flow from port `number` of the caller to `frontend`.
pub fn flow(number: u16, frontend: SocketAddrV4) -> FlowId {
    FlowId {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), number),
        frontend,
    }
}

/// Returns the opening packet of `flow`; `retransmission` counts from 0, the first transmission.
pub fn opening_packet(flow: FlowId, retransmission: u32) -> PacketHeader {
    PacketHeader {
        flow,
        flags: PacketFlags {
            syn: true,
            ..PacketFlags::default()
        },
        token: None,
        seq: 100,
        ack: retransmission,
        len: 0,
    }
}

/// Returns a packet of an open flow that carries `len` bytes from `seq` and acknowledges all bytes
/// before `ack`.
pub fn flow_packet(flow: FlowId, token: Token, seq: u32, ack: u32, len: u16) -> PacketHeader {
    PacketHeader {
        flow,
        flags: PacketFlags {
            ack: true,
            ..PacketFlags::default()
        },
        token: Some(token),
        seq,
        ack,
        len,
    }
}

/// Returns the packet with which a caller ends its direction of the flow.
pub fn fin_packet(flow: FlowId, token: Token, ack: u32) -> PacketHeader {
    let mut packet = flow_packet(flow, token, 101, ack, 0);
    packet.flags.fin = true;
    packet
}

/// Returns the token of a forwarded packet.
///
/// # Panics
///
/// Panics if the packet was not forwarded.
pub fn token_of(decision: Decision) -> Token {
    decision.forwarded().expect("a forwarded packet").1
}

/// Draws a factor of a response time: log-normal with mean 1 and standard deviation one half.
pub fn noise(rng: &mut StdRng) -> f64 {
    let sigma = 1.25_f64.ln().sqrt();
    let (first, second): (f64, f64) = (rng.random_range(1e-9..1.0), rng.random());
    let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}
