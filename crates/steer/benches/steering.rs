//! Time of one decision: for an opening packet, a known token, the token of another start, an unknown
//! token and a frontend without a route.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bambooseam_steer::{
    FlowId, LOWEST_PRIORITY, PacketFlags, PacketHeader, Route, Routes, Share, Steering,
    SteeringSettings, Target, TokenForm,
};
use bambooseam_types::{Incarnation, Moment, TargetLabel, Token};
use criterion::Criterion;

/// Number of targets of the present deployment, of the grown deployments and of the intended fleet
/// size.
const SIZES: [u32; 3] = [18, 150, 4_600];
/// Number of targets per service, as in the deployments.
const TARGETS_PER_SERVICE: u32 = 8;
/// Numbers of targets of a single service among which an opening packet is placed.
const SERVICE_SIZES: [u32; 2] = [30, 120];
/// Number of flows in the table: the share of one VM at the intended fleet size.
const FLOWS: u32 = 8_192;

fn service(number: u32) -> String {
    format!("service-{number}")
}

fn frontend(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0xc612_0000 + number), 443)
}

fn target(number: u32, per_service: u32) -> Target {
    Target {
        id: format!("i-{number:08x}").parse().expect("an id"),
        label: TargetLabel::new(u64::from(number) + 1).expect("a label"),
        start: Incarnation::from(1_790_000_000_000),
        service: service(number / per_service).parse().expect("a name"),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number), 8_080),
        zone: format!("zone-{}", number % 6).parse().expect("a name"),
        capacity: 2,
        is_leaving: false,
        cold_time: Duration::ZERO,
    }
}

fn steering(targets: u32, per_service: u32) -> Steering {
    let mut steering = Steering::new(SteeringSettings {
        zone: "zone-0".parse().expect("a name"),
        flow_limit: FLOWS as usize,
        cold_policy: None,
        target_speed: true,
        evacuated_last_resort: true,
    });
    let routes = (0..targets.div_ceil(per_service)).map(|number| Route {
        frontend: frontend(number),
        shares: vec![Share {
            service: service(number).parse().expect("a name"),
            weight: 1,
        }],
        timeout: Duration::from_secs(2),
        priority: LOWEST_PRIORITY,
        latency_goal: None,
    });
    steering.set_routes(Routes::new(routes.collect(), None));
    for number in 0..targets {
        steering.put_target(target(number, per_service), Moment::from_millis(0));
    }
    steering.record_sync(Moment::from_millis(1));
    steering.set_token_form(TokenForm::Numbered);
    steering
}

fn header(caller: u32, frontend: SocketAddrV4, token: Option<Token>) -> PacketHeader {
    PacketHeader {
        flow: FlowId {
            caller: SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + caller), 40_000),
            frontend,
        },
        flags: PacketFlags {
            syn: token.is_none(),
            ack: token.is_some(),
            ..PacketFlags::default()
        },
        token,
        seq: 1,
        ack: 1,
        len: 0,
    }
}

fn packets(criterion: &mut Criterion) {
    let now = Moment::from_millis(1_000);
    for targets in SIZES {
        let mut steering = steering(targets, TARGETS_PER_SERVICE);
        let mut caller = 0;
        let mut tokens = Vec::new();
        for _ in 0..FLOWS {
            caller += 1;
            let opening = header(caller, frontend(0), None);
            let decision = steering.decide(&opening, now);
            tokens.push(decision.forwarded().expect("a target").1);
        }
        let mut at = 0;
        criterion.bench_function(&format!("opening_{targets}"), |bencher| {
            bencher.iter(|| {
                caller = caller % FLOWS + 1;
                steering.decide(black_box(&header(caller, frontend(0), None)), now)
            });
        });
        criterion.bench_function(&format!("known_token_{targets}"), |bencher| {
            bencher.iter(|| {
                at = (at + 1) % tokens.len();
                let packet = header(at as u32 + 1, frontend(0), Some(tokens[at]));
                steering.decide(black_box(&packet), now)
            });
        });
        criterion.bench_function(&format!("other_start_{targets}"), |bencher| {
            let other = Target {
                start: Incarnation::from(7),
                ..target(1, TARGETS_PER_SERVICE)
            };
            let packet = header(FLOWS + 1, frontend(0), Some(other.numbered_token()));
            bencher.iter(|| steering.decide(black_box(&packet), now));
        });
        criterion.bench_function(&format!("unknown_token_{targets}"), |bencher| {
            let packet = header(1, frontend(0), Some(Token::from_hash(7)));
            bencher.iter(|| steering.decide(black_box(&packet), now));
        });
        criterion.bench_function(&format!("no_route_{targets}"), |bencher| {
            let packet = header(1, frontend(99_999), None);
            bencher.iter(|| steering.decide(black_box(&packet), now));
        });
    }
}

/// Time of the placement of a new flow.
fn placements(criterion: &mut Criterion) {
    let now = Moment::from_millis(1_000);
    for targets in SERVICE_SIZES {
        let mut steering = steering(targets, targets);
        let mut caller = 0;
        criterion.bench_function(&format!("placement_{targets}"), |bencher| {
            bencher.iter(|| {
                // The table is full after a while, so that each opening is placed anew.
                caller += 1;
                steering.decide(black_box(&header(caller, frontend(0), None)), now)
            });
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    packets(&mut criterion);
    placements(&mut criterion);
    criterion.final_summary();
}
