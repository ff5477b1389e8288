//! Packet headers, compared byte by byte with the examples of the platform's specification.

use std::net::{Ipv4Addr, SocketAddrV4};

use bambooseam_platform::packet::{
    HEADER_BYTES, PacketError, label_bytes, parse_header, reset, write_token,
};
use bambooseam_steer::{PacketFlags, PacketHeader};
use bambooseam_tests::inputs::for_each_bytes;
use bambooseam_types::{TargetLabel, Token};

/// The example of an opening packet in the platform's specification.
const OPENING: [u8; HEADER_BYTES] = [
    0x44, 0x33, 0x22, 0x11, 0, 0, 0, 0, 0xd5, 0xc3, 0xb2, 0xa1, 0, 0, 0, 0, 0, 0, 0xbb, 0x01, 0x01,
    0x00, 0x12, 0xc6, 0x07, 0x00, 0x40, 0x64, 0x41, 0x9c, 0x80, 0, 0, 0,
];

/// The example of a reset in the platform's specification.
const RESET: [u8; HEADER_BYTES] = [
    0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41, 0x9c, 0x07, 0x00, 0x40, 0x64, 0x01,
    0x00, 0x12, 0xc6, 0xbb, 0x01, 0x10, 0, 0, 0,
];

fn packet(flags: u8, data: &[u8]) -> Vec<u8> {
    let mut packet = OPENING.to_vec();
    packet[12..14].copy_from_slice(&(data.len() as u16).to_le_bytes());
    packet[30] = flags;
    packet.extend_from_slice(data);
    packet
}

#[test]
fn example_of_an_opening_packet_is_parsed() {
    let header = parse_header(&OPENING).expect("a packet");
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_001);
    let frontend = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    assert_eq!(
        (header.flow.caller, header.flow.frontend),
        (caller, frontend)
    );
    assert_eq!((header.seq, header.ack, header.len), (0x1122_3344, 0, 0));
    assert_eq!(header.token, None);
    assert!(header.is_opening() && !header.is_forged());
}

#[test]
fn example_of_a_reset_is_written() {
    let header = parse_header(&OPENING).expect("a packet");
    assert_eq!(reset(&header), RESET);
}

#[test]
fn reset_in_an_open_flow_has_the_acknowledged_sequence_number() {
    let header = parse_header(&OPENING).expect("a packet");
    let packet = reset(&PacketHeader {
        ack: 0xfedc_ba98,
        ..header
    });
    assert_eq!(packet[..4], 0xfedc_ba98_u32.to_le_bytes());
}

#[test]
fn each_flag_is_parsed() {
    let flags = |bits| parse_header(&packet(bits, &[])).expect("a packet").flags;
    let none = PacketFlags::default();
    assert_eq!(flags(0), none);
    assert_eq!(flags(128), PacketFlags { syn: true, ..none });
    assert_eq!(flags(8), PacketFlags { ack: true, ..none });
    assert_eq!(flags(32), PacketFlags { fin: true, ..none });
    assert_eq!(flags(16), PacketFlags { rst: true, ..none });
    // Callers never set the BOUNCED flag (64), and a set flag is ignored.
    assert_eq!(flags(64 | 8), PacketFlags { ack: true, ..none });
    assert!(
        parse_header(&packet(128 | 8, &[]))
            .expect("a packet")
            .is_forged()
    );
}

#[test]
fn only_the_token_changes_when_a_packet_is_forwarded() {
    let before = packet(8, b"some bytes of a request");
    let mut after = before.clone();
    let token = Token::from_hash(0x0102_0304);
    write_token(&mut after, token);
    assert_eq!(parse_header(&after).expect("a packet").token, Some(token));
    after[14..18].fill(0);
    assert_eq!(after, before);
}

#[test]
fn label_bytes_are_big_endian() {
    let label: TargetLabel = "7f3a91c2".parse().expect("a label");
    assert_eq!(label_bytes(label), [0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2]);
}

#[test]
fn invalid_packets_are_refused() {
    assert_eq!(parse_header(&OPENING[..33]), Err(PacketError::Short(33)));
    let mut long = OPENING.to_vec();
    long.push(0);
    let length = |declared, found| Err(PacketError::Length { declared, found });
    assert_eq!(parse_header(&long), length(0, 1));
    assert_eq!(parse_header(&packet(8, &[0; 1_201])), length(1_201, 1_201));
    assert!(parse_header(&packet(8, &[0; 1_200])).is_ok());
}

#[test]
fn any_bytes_are_parsed_or_refused() {
    for_each_bytes(2_048, |bytes| {
        let Ok(header) = parse_header(bytes) else {
            return;
        };
        assert_eq!(bytes.len(), HEADER_BYTES + usize::from(header.len));
        let reply = parse_header(&reset(&header)).expect("a packet");
        assert_eq!(reply.flow.caller, header.flow.frontend);
        assert_eq!(reply.flow.frontend, header.flow.caller);
        assert!(reply.flags.rst && reply.seq == header.ack);
    });
}
