//! Heads of packets, byte for byte as the platform's page shows them.

use std::net::{Ipv4Addr, SocketAddrV4};

use bambooseam_platform::packet::{
    HEADER_BYTES, PacketError, label_bytes, parse_header, reset, write_token,
};
use bambooseam_steer::{PacketFlags, PacketHeader};
use bambooseam_tests::inputs::for_each_bytes;
use bambooseam_types::{TargetLabel, Token};

/// The opening packet on the platform's page.
const OPENING: [u8; HEADER_BYTES] = [
    0x44, 0x33, 0x22, 0x11, 0, 0, 0, 0, 0xd5, 0xc3, 0xb2, 0xa1, 0, 0, 0, 0, 0, 0, 0xbb, 0x01, 0x01,
    0x00, 0x12, 0xc6, 0x07, 0x00, 0x40, 0x64, 0x41, 0x9c, 0x80, 0, 0, 0,
];

/// The reset on the platform's page.
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
fn opening_packet_of_the_page_is_read() {
    let head = parse_header(&OPENING).expect("a packet");
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_001);
    let entrance = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    assert_eq!((head.flow.caller, head.flow.frontend), (caller, entrance));
    assert_eq!((head.seq, head.ack, head.len), (0x1122_3344, 0, 0));
    assert_eq!(head.token, None);
    assert!(head.is_opening() && !head.is_forged());
}

#[test]
fn reset_of_the_page_is_written() {
    let head = parse_header(&OPENING).expect("a packet");
    assert_eq!(reset(&head), RESET);
}

#[test]
fn reset_inside_a_flow_is_near_what_the_caller_acknowledged() {
    let head = parse_header(&OPENING).expect("a packet");
    let packet = reset(&PacketHeader {
        ack: 0xfedc_ba98,
        ..head
    });
    assert_eq!(packet[..4], 0xfedc_ba98_u32.to_le_bytes());
}

#[test]
fn each_flag_is_read() {
    let flags = |bits| parse_header(&packet(bits, &[])).expect("a packet").flags;
    let none = PacketFlags::default();
    assert_eq!(flags(0), none);
    assert_eq!(flags(128), PacketFlags { syn: true, ..none });
    assert_eq!(flags(8), PacketFlags { ack: true, ..none });
    assert_eq!(flags(32), PacketFlags { fin: true, ..none });
    assert_eq!(flags(16), PacketFlags { rst: true, ..none });
    // BOUNCED is not set on the way from a caller and changes nothing.
    assert_eq!(flags(64 | 8), PacketFlags { ack: true, ..none });
    assert!(
        parse_header(&packet(128 | 8, &[]))
            .expect("a packet")
            .is_forged()
    );
}

#[test]
fn token_is_all_that_changes_on_the_way() {
    let before = packet(8, b"some bytes of a request");
    let mut after = before.clone();
    let token = Token::from_hash(0x0102_0304);
    write_token(&mut after, token);
    assert_eq!(parse_header(&after).expect("a packet").token, Some(token));
    after[14..18].fill(0);
    assert_eq!(after, before);
}

#[test]
fn label_is_the_number_big_endian() {
    let label: TargetLabel = "7f3a91c2".parse().expect("a label");
    assert_eq!(label_bytes(label), [0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2]);
}

#[test]
fn bytes_that_are_no_packet_are_refused() {
    assert_eq!(parse_header(&OPENING[..33]), Err(PacketError::Short(33)));
    let mut long = OPENING.to_vec();
    long.push(0);
    let length = |declared, found| Err(PacketError::Length { declared, found });
    assert_eq!(parse_header(&long), length(0, 1));
    assert_eq!(parse_header(&packet(8, &[0; 1_201])), length(1_201, 1_201));
    assert!(parse_header(&packet(8, &[0; 1_200])).is_ok());
}

#[test]
fn any_bytes_are_read_or_refused() {
    for_each_bytes(2_048, |bytes| {
        let Ok(head) = parse_header(bytes) else {
            return;
        };
        assert_eq!(bytes.len(), HEADER_BYTES + usize::from(head.len));
        let back = parse_header(&reset(&head)).expect("a packet");
        assert_eq!(back.flow.caller, head.flow.frontend);
        assert_eq!(back.flow.frontend, head.flow.caller);
        assert!(back.flags.rst && back.seq == head.ack);
    });
}
