//! Encoding and decoding of Geneve headers, flow options and inner packets.

use std::net::SocketAddr;

use bambooseam_forwarder::geneve::{self, Header, PacketError, Payload};
use bambooseam_forwarder::packet::{self, Phase};
use bambooseam_forwarder::{FlowBinding, FlowOption, FlowOptionKind};
use bambooseam_tests::inputs::for_many_bytes;
use bambooseam_types::Revision;
use etherparse::PacketBuilder;

/// Returns an IPv4 TCP packet.
fn tcp_packet() -> Vec<u8> {
    let mut bytes = Vec::new();
    PacketBuilder::ipv4([10, 0, 0, 1], [127, 1, 0, 1], 64)
        .tcp(40_000, 7_000, 1, 1_000)
        .syn()
        .write(&mut bytes, &[])
        .expect("a write to a vector");
    bytes
}

/// Returns a datagram with a header, a flow option and a packet.
fn datagram_with_option() -> Vec<u8> {
    let packet = tcp_packet();
    let option = option_of(replicate());
    let header = Header::new(101, Some(&option), &Payload::Packet(&packet));
    geneve::encode(&header, &packet)
}

fn binding_of(target: &str) -> FlowBinding {
    FlowBinding {
        target: target.parse().expect("an address"),
        age: 77,
    }
}

fn replicate() -> FlowOptionKind {
    FlowOptionKind::Replicate {
        binding: binding_of("[fd00::1]:6081"),
        is_final: true,
    }
}

fn option_of(kind: FlowOptionKind) -> FlowOption {
    FlowOption {
        kind,
        hops: 3,
        revision: Revision::from(9),
    }
}

#[test]
fn flow_options_round_trip() {
    let target: SocketAddr = "127.1.2.3:6081".parse().expect("an address");
    let binding = FlowBinding { target, age: 5 };
    let handover = FlowOptionKind::Handover {
        sequence: 8,
        is_tcp: true,
        binding: FlowBinding { target, age: 0 },
    };
    let kinds = [
        FlowOptionKind::Relay,
        FlowOptionKind::Query { rank: 4 },
        FlowOptionKind::Found(binding),
        FlowOptionKind::NotFound { rank: 2 },
        replicate(),
        FlowOptionKind::Update(binding),
        FlowOptionKind::HandoverAck { sequence: 8 },
    ];
    let packet = tcp_packet();
    for kind in kinds {
        let option = option_of(kind);
        let payload = Payload::Packet(&packet);
        let bytes = geneve::encode(&Header::new(0x12_3456, Some(&option), &payload), &packet);
        let decoded = geneve::decode(&bytes).expect("a decodable datagram");
        assert_eq!(
            (decoded.vni, decoded.option, decoded.payload),
            (0x12_3456, Some(option), payload)
        );
    }
    let keys = [1; 16];
    let option = option_of(handover);
    let bytes = geneve::encode(&Header::new(7, Some(&option), &Payload::Keys(&keys)), &keys);
    let decoded = geneve::decode(&bytes).expect("a decodable datagram");
    assert_eq!(
        (decoded.option, decoded.payload),
        (Some(option), Payload::Keys(&keys))
    );
}

#[test]
fn malformed_datagrams_give_specific_errors() {
    let valid = datagram_with_option();
    for len in 0..8 + 40 {
        assert!(geneve::decode(&valid[..len]).is_err(), "length {len}");
    }
    let decode_altered = |at: usize, value: u8| {
        let mut bytes = valid.clone();
        bytes[at] = value;
        geneve::decode(&bytes).expect_err("an altered datagram")
    };
    assert_eq!(
        decode_altered(0, 0x40 | valid[0]),
        PacketError::UnknownVersion
    );
    assert_eq!(decode_altered(2, 0x99), PacketError::UnknownProtocol);
    assert_eq!(decode_altered(8, 0x01), PacketError::UnknownOption);
    assert_eq!(decode_altered(11, 2), PacketError::BadOption);
    assert_eq!(decode_altered(12, 99), PacketError::BadOption);
    let mut oversized = valid.clone();
    oversized.resize(geneve::PACKET_LIMIT + 100, 0);
    assert_eq!(geneve::decode(&oversized), Err(PacketError::Oversized));
}

#[test]
fn incomplete_inner_packets_are_refused() {
    let valid = tcp_packet();
    for len in 0..valid.len() {
        assert!(packet::decode(&valid[..len]).is_err(), "length {len}");
    }
    let mut fragment = valid.clone();
    fragment[6] = 0x20;
    assert_eq!(packet::decode(&fragment), Err(PacketError::Fragment));
    let mut other = valid.clone();
    other[9] = 1;
    assert_eq!(packet::decode(&other), Err(PacketError::BadTransport));
    assert_eq!(packet::decode(&valid).map(|p| p.phase), Ok(Phase::First));
}

#[test]
fn decoders_accept_any_bytes() {
    for_many_bytes(20_000, 2_048, |bytes| {
        if let Ok(datagram) = geneve::decode(bytes) {
            let _ = packet::decode(datagram.payload.as_bytes());
        }
        let _ = packet::decode(bytes);
    });
}
