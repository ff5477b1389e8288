//! Steering with targets and packets that are quick to write down.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bambooseam_steer::{
    Decision, FlowId, PacketFlags, PacketHeader, Route, Routes, Share, Steering, SteeringSettings,
    Target,
};
use bambooseam_types::{Incarnation, Moment, TargetLabel, Token};

/// Entrance of service `orders`.
pub const ORDERS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// Entrance of service `charts`.
pub const CHARTS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 80);
/// An entrance without a route.
pub const NOWHERE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 9), 9);

/// A target of `orders` in zone `a`, numbered from 1.
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

/// A route to one service.
pub fn route(frontend: SocketAddrV4, service: &str) -> Route {
    Route {
        frontend,
        shares: vec![Share {
            service: service.parse().expect("a service"),
            weight: 1,
        }],
        timeout: Duration::from_secs(2),
    }
}

/// Routes to both services.
pub fn routes() -> Routes {
    Routes::new(vec![route(ORDERS, "orders"), route(CHARTS, "charts")], None)
}

/// Milliseconds after the start.
pub fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Steering of a VM in zone `a` that knows these targets and was current at 0.
pub fn steering(targets: impl IntoIterator<Item = Target>) -> Steering {
    let mut steering = Steering::new(SteeringSettings {
        zone: "a".parse().expect("a zone"),
        flow_limit: 1_000,
    });
    steering.set_routes(routes());
    for target in targets {
        steering.put_target(target, at(0));
    }
    steering.record_sync(at(0));
    steering
}

/// A flow of caller `number` to an entrance.
pub fn flow(number: u16, frontend: SocketAddrV4) -> FlowId {
    FlowId {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), number),
        frontend,
    }
}

/// An opening packet, `copy` counted from 0.
pub fn opening(flow: FlowId, copy: u32) -> PacketHeader {
    PacketHeader {
        flow,
        flags: PacketFlags {
            syn: true,
            ..PacketFlags::default()
        },
        token: None,
        seq: 100,
        ack: copy,
        len: 0,
    }
}

/// A packet inside a flow with `len` bytes from `seq`, and everything up to `ack` received.
pub fn inside(flow: FlowId, token: Token, seq: u32, ack: u32, len: u16) -> PacketHeader {
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

/// The last packet of a caller.
pub fn ending(flow: FlowId, token: Token, ack: u32) -> PacketHeader {
    let mut head = inside(flow, token, 101, ack, 0);
    head.flags.fin = true;
    head
}

/// The token of a packet that was passed on.
pub fn token_of(verdict: Decision) -> Token {
    verdict.forwarded().expect("a packet that was passed on").1
}
