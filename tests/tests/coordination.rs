//! Messages between the VMs of a zone, and the choice of coordinators, without a network.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bambooseam_entry::Peers;
use bambooseam_entry::coordination::codec::{
    MAX_MESSAGE_BYTES, Message, MessageError, ReportScope,
};
use bambooseam_entry::coordination::coordinators::Coordinators;
use bambooseam_peer::replica::PeerInfo;
use bambooseam_steer::zone_load::demand::MAX_SERVICES;
use bambooseam_steer::zone_load::questions::Answer;
use bambooseam_steer::zone_load::{Group, LoadReport, MAX_COUNTS, ServiceKey, ServiceLoad};
use bambooseam_steer::{Origin, PacketHeader};
use bambooseam_tests::inputs::{for_each_bytes, for_each_input};
use bambooseam_tests::steering::{ORDERS, at, flow, opening_packet};
use bambooseam_types::Token;
use bolero::generator::produce;

fn report(counts: usize) -> LoadReport {
    LoadReport {
        sequence: 7,
        applied: 6,
        counts: (0..counts as u32)
            .map(|token| (Token::from_hash(token + 1), 2))
            .collect(),
    }
}

fn messages() -> Vec<Message> {
    let group = Group { index: 1, count: 3 };
    let header = opening_packet(flow(5, ORDERS), 1);
    let answers = [
        Answer::Place(Token::from_hash(9)),
        Answer::Wait(Duration::from_millis(150)),
        Answer::Reject,
        Answer::Decide,
    ];
    let mut messages = vec![
        Message::Report {
            group,
            scope: ReportScope::ZoneAnswered,
            report: report(3),
        },
        Message::ReportAnswer {
            sequence: 7,
            better: Some(Ipv4Addr::new(10, 0, 0, 1)),
            loads: vec![ServiceLoad {
                service: ServiceKey(4),
                percent: 120,
            }],
        },
        Message::ReportAnswer {
            sequence: 7,
            better: None,
            loads: Vec::new(),
        },
        Message::Question {
            number: 8,
            group,
            header,
            report: report(MAX_COUNTS),
        },
    ];
    messages.extend(answers.map(|answer| Message::Answer { number: 8, answer }));
    messages
}

#[test]
fn messages_are_the_same_after_a_round_trip() {
    for message in messages() {
        let bytes = message.encode();
        assert!(bytes.len() <= MAX_MESSAGE_BYTES);
        assert_eq!(Message::decode(&bytes), Ok(message));
    }
}

#[test]
fn message_lengths_are_those_of_the_table() {
    let lengths: Vec<_> = messages().iter().map(|m| m.encode().len()).collect();
    let question = 41 + 5 * MAX_COUNTS;
    assert_eq!(lengths, [16 + 15, 13 + 6, 13, question, 13, 13, 13, 13]);
}

#[test]
fn truncated_and_extended_messages_are_rejected() {
    for message in messages() {
        let mut bytes = message.encode();
        for len in 0..bytes.len() {
            let decoded = Message::decode(&bytes[..len]);
            assert_eq!(decoded, Err(MessageError::Truncated), "{message:?}");
        }
        bytes.push(0);
        assert_eq!(Message::decode(&bytes), Err(MessageError::Trailing(1)));
    }
}

#[test]
fn lists_are_cut_to_their_maximum() {
    let long = Message::Report {
        group: Group::WHOLE,
        scope: ReportScope::OtherZone,
        report: report(MAX_COUNTS + 1),
    };
    let Ok(Message::Report { report, .. }) = Message::decode(&long.encode()) else {
        panic!("a report is decoded");
    };
    assert_eq!(report.counts.len(), MAX_COUNTS);
    let load = ServiceLoad {
        service: ServiceKey(1),
        percent: 1,
    };
    let long = Message::ReportAnswer {
        sequence: 1,
        better: None,
        loads: vec![load; MAX_SERVICES + 1],
    };
    let Ok(Message::ReportAnswer { loads, .. }) = Message::decode(&long.encode()) else {
        panic!("a report answer is decoded");
    };
    assert_eq!(loads.len(), MAX_SERVICES);
}

/// Asserts that a datagram is rejected, or is exactly what its message is encoded to.
fn assert_strict(bytes: &[u8]) {
    if let Ok(message) = Message::decode(bytes) {
        assert_eq!(message.encode(), bytes, "{message:?}");
    }
}

#[test]
fn decoder_accepts_only_what_the_encoder_produces() {
    let mut accepted = 0;
    for_each_bytes(MAX_MESSAGE_BYTES + 64, |bytes| {
        assert_strict(bytes);
        // Bytes after a valid beginning reach the fields of each kind.
        for message in messages() {
            let mut changed = message.encode();
            changed.truncate(5);
            changed.extend(bytes);
            assert_strict(&changed);
        }
    });
    // Valid messages with some bytes changed.
    let changes = produce::<Vec<(usize, u8)>>();
    for_each_input(&changes, |changes| {
        for message in messages() {
            let mut bytes = message.encode();
            for (at, value) in changes.iter().take(3) {
                let at = at % bytes.len();
                bytes[at] = *value;
            }
            accepted += usize::from(Message::decode(&bytes).is_ok());
            assert_strict(&bytes);
        }
    });
    assert!(accepted > 100, "{accepted} changed messages were accepted");
}

#[test]
fn drawn_headers_are_the_same_after_a_round_trip() {
    let fields = produce::<(u32, u16, u32, u16, u32, u32, u16)>();
    for_each_input(&fields, |&(caller, port, host, service, seq, ack, len)| {
        let mut header: PacketHeader = opening_packet(flow(1, ORDERS), ack);
        header.flow.caller = SocketAddrV4::new(caller.into(), port);
        header.flow.frontend = SocketAddrV4::new(host.into(), service);
        (header.seq, header.len) = (seq, len);
        let message = Message::Question {
            number: seq,
            group: Group::WHOLE,
            header,
            report: report(1),
        };
        assert_eq!(Message::decode(&message.encode()), Ok(message));
    });
}

fn vm(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7_734)
}

/// The choice of VM 5 that knows the VMs `known`.
fn coordinators(known: &[u8]) -> Coordinators {
    let mut coordinators = Coordinators::new(vm(5));
    coordinators.set_known(known.iter().map(|last| vm(*last)), at(0));
    coordinators
}

/// Sends the reports that are due at `time` and lets the VMs `alive` answer them.
fn tick(coordinators: &mut Coordinators, alive: &[u8], time: u64) {
    coordinators.exclude_unanswering(at(time));
    for (address, _) in coordinators.report_receivers(1, at(time)) {
        coordinators.record_report(address);
        if alive.contains(&address.ip().octets()[3]) {
            coordinators.record_answer(address, at(time));
        }
    }
}

#[test]
fn zone_with_fewer_than_four_vms_has_no_coordinator() {
    for others in [&[2][..], &[2, 3]] {
        let mut few = coordinators(others);
        tick(&mut few, others, 0);
        assert!(few.choose(1, at(0)).is_empty());
        assert!(few.report_receivers(1, at(0)).is_empty());
    }
}

#[test]
fn lowest_vm_that_answers_is_chosen() {
    let mut coordinators = coordinators(&[2, 3, 9]);
    assert_eq!(coordinators.choose(1, at(0)), [Some(Origin::Local)]);
    assert_eq!(coordinators.better(at(0)), None);
    tick(&mut coordinators, &[2, 3, 9], 0);
    let chosen = [Some(Origin::Vm(vm(2)))];
    assert_eq!(coordinators.choose(1, at(0)), chosen);
    assert_eq!(coordinators.better(at(0)), Some(vm(2)));
    // Peers that remain known keep their state.
    coordinators.set_known([vm(2), vm(7), vm(8)], at(10));
    assert_eq!(coordinators.choose(1, at(10)), chosen);
}

#[test]
fn vm_that_never_answers_is_never_asked() {
    let mut coordinators = coordinators(&[2, 3, 9]);
    for step in 0..100 {
        let time = step * 200;
        tick(&mut coordinators, &[3, 9], time);
        let chosen = coordinators.choose(1, at(time));
        assert_eq!(chosen, [Some(Origin::Vm(vm(3)))], "at {time}");
    }
}

#[test]
fn failed_vm_is_excluded_for_three_seconds() {
    let mut coordinators = coordinators(&[2, 3, 9]);
    tick(&mut coordinators, &[2, 3], 0);
    coordinators.exclude(vm(2), at(100));
    for time in [100, 200, 400, 3_000] {
        tick(&mut coordinators, &[2, 3], time);
        let chosen = coordinators.choose(1, at(time));
        assert_eq!(chosen, [Some(Origin::Vm(vm(3)))], "at {time}");
    }
    tick(&mut coordinators, &[2, 3], 3_200);
    let chosen = coordinators.choose(1, at(3_200));
    assert_eq!(chosen, [Some(Origin::Vm(vm(2)))]);
}

#[test]
fn vm_that_stops_answering_reports_is_excluded() {
    let mut coordinators = coordinators(&[2, 3, 9]);
    tick(&mut coordinators, &[2], 0);
    tick(&mut coordinators, &[], 200);
    tick(&mut coordinators, &[], 400);
    assert_eq!(coordinators.exclude_unanswering(at(600)), [vm(2)]);
    assert_eq!(coordinators.choose(1, at(600)), [Some(Origin::Local)]);
}

#[test]
fn vms_with_different_views_converge_by_referral() {
    let mut coordinators = coordinators(&[4, 8, 9]);
    tick(&mut coordinators, &[2, 4], 0);
    assert_eq!(coordinators.choose(1, at(0)), [Some(Origin::Vm(vm(4)))]);
    coordinators.add_referred(vm(2), at(0));
    coordinators.set_known([vm(4), vm(8), vm(9)], at(100));
    tick(&mut coordinators, &[2, 4], 200);
    assert_eq!(coordinators.choose(1, at(200)), [Some(Origin::Vm(vm(2)))]);
    coordinators.set_known([vm(4), vm(8), vm(9)], at(31_000));
    assert_eq!(
        coordinators.choose(1, at(31_000)),
        [Some(Origin::Vm(vm(4)))]
    );
}

#[test]
fn groups_have_different_coordinators() {
    let mut coordinators = coordinators(&[2, 7, 9]);
    let first = coordinators.report_receivers(4, at(0));
    assert_eq!(first[0], (vm(2), 0));
    for time in [0, 200, 400] {
        for (address, _) in coordinators.report_receivers(4, at(time)) {
            coordinators.record_report(address);
            coordinators.record_answer(address, at(time));
        }
    }
    let expected = [
        Some(Origin::Vm(vm(2))),
        Some(Origin::Local),
        Some(Origin::Vm(vm(7))),
        Some(Origin::Vm(vm(9))),
    ];
    assert_eq!(coordinators.choose(4, at(400)), expected);
    assert_eq!(coordinators.choose(2, at(400)), expected[..2]);
    assert_eq!(
        coordinators.report_receivers(4, at(400)),
        [(vm(2), 0), (vm(7), 2), (vm(9), 3)]
    );
}

#[test]
fn peers_keep_the_lowest_of_the_own_zone() {
    let info = |number: u16, zone: &str| PeerInfo {
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + u32::from(number)), 7_731).into(),
        zone: zone.parse().expect("a zone"),
    };
    for own in [500, 700] {
        let mut peers = Peers::new(info(own, "a"), &[]);
        for number in 1..850 {
            // The lowest addresses of the fleet are in another zone.
            let zone = match number {
                0..300 => "b",
                _ => "a",
            };
            peers.record_gossiped(&info(number, zone));
        }
        let known = peers.zone_addresses(&"a".parse().expect("a zone"), 7_734);
        let lowest: Vec<_> = (300..304)
            .map(|number: u32| SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number), 7_734))
            .collect();
        assert_eq!(known[..4], lowest);
        peers.forget_lowest(lowest[0]);
        peers.record_gossiped(&info(304, "a"));
        let known = peers.zone_addresses(&"a".parse().expect("a zone"), 7_734);
        assert_eq!(known[..3], lowest[1..]);
        assert_eq!(peers.other_zones(), ["b".parse().expect("a zone")]);
    }
}
