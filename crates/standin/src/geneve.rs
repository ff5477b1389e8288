//! Geneve framing (RFC 8926) for the simulated fabric and targets.
//!
//! The module shares no code with the forwarder, so that it checks the forwarder's framing
//! independently.

/// Length of the fixed header in bytes.
const HEADER_BYTES: usize = 8;
/// Protocol type of an inner IPv4 packet.
const INNER_IPV4: [u8; 2] = [0x08, 0x00];

/// Prepends a Geneve header without options to an inner IPv4 packet.
pub fn wrap(vni: u32, inner: &[u8]) -> Vec<u8> {
    let [_, a, b, c] = vni.to_be_bytes();
    let mut packet = vec![0, 0, INNER_IPV4[0], INNER_IPV4[1], a, b, c, 0];
    packet.extend_from_slice(inner);
    packet
}

/// Splits a packet into its network identifier and the inner IPv4 packet; `None` if the packet is
/// not Geneve version 0 with an IPv4 payload.
pub fn unwrap(packet: &[u8]) -> Option<(u32, &[u8])> {
    let header = packet.get(..HEADER_BYTES)?;
    let version = header[0] >> 6;
    let options = usize::from(header[0] & 0x3f) * 4;
    if version != 0 || header[2..4] != INNER_IPV4 {
        return None;
    }
    let vni = u32::from_be_bytes([0, header[4], header[5], header[6]]);
    Some((vni, packet.get(HEADER_BYTES + options..)?))
}
