//! SYN packets with data (fast open): the data is not passed on.
//!
//! A SYN that is retransmitted may reach another target, and data in it would then run twice.
//! Callers send the data again once the connection stands.

use etherparse::{IpHeaders, IpSlice, TcpSlice};

/// The packet without its TCP payload; `None` when it can't be rebuilt.
pub fn strip_data(bytes: &[u8]) -> Option<Vec<u8>> {
    let ip = IpSlice::from_slice(bytes).ok()?;
    let tcp = TcpSlice::from_slice(ip.payload().payload).ok()?;
    let mut headers = ip.to_header();
    let mut tcp = tcp.to_header();
    headers.set_payload_len(tcp.header_len()).ok()?;
    tcp.checksum = match &headers {
        IpHeaders::Ipv4(ip, _) => tcp.calc_checksum_ipv4(ip, &[]).ok()?,
        IpHeaders::Ipv6(ip, _) => tcp.calc_checksum_ipv6(ip, &[]).ok()?,
    };
    if let IpHeaders::Ipv4(ip, _) = &mut headers {
        ip.header_checksum = ip.calc_header_checksum();
    }
    let mut stripped = Vec::with_capacity(bytes.len());
    headers.write(&mut stripped).ok()?;
    tcp.write(&mut stripped).ok()?;
    Some(stripped)
}
