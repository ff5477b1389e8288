//! Removal of data from SYN packets (TCP Fast Open).
//!
//! A retransmitted SYN may reach another target, and a request in its data would then run twice.
//! Callers send the data again once the connection is established.

use etherparse::{IpHeaders, IpSlice, TcpSlice};

/// Returns the packet without its TCP payload, or `None` when the packet can't be rebuilt.
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
