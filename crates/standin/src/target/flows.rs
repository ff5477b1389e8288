//! A target's endpoint of Geneve flows; like a kernel interface, it accepts only one network
//! identifier.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use bambooseam_types::{ServiceId, TargetId};
use derive_more::Display;
use etherparse::{NetSlice, SlicedPacket, TransportSlice};
use tokio::net::UdpSocket;

use crate::feed::FeedReply;
use crate::geneve;

/// Maximum length of a packet in bytes.
const MAX_PACKET_BYTES: usize = 9_000;

/// Flow counters of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
#[display(
    "flows={flows} packets={packets} foreign={unexpected_vni} bad={malformed} fresh={midstream}"
)]
pub struct FlowStats {
    /// Flows observed.
    pub flows: u64,
    /// Packets answered.
    pub packets: u64,
    /// Packets dropped because they carry the network identifier of another service.
    pub unexpected_vni: u64,
    /// Packets dropped because they can't be parsed.
    pub malformed: u64,
    /// Flows whose start the target did not receive.
    pub midstream: u64,
}

/// Flow state of one target.
#[derive(Debug)]
pub(super) struct Flows {
    target: TargetId,
    vni: ServiceId,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    callers: Vec<SocketAddr>,
    stats: FlowStats,
}

/// An inner UDP datagram.
struct Datagram<'a> {
    caller: SocketAddr,
    payload: &'a [u8],
}

impl Flows {
    pub(super) fn new(target: TargetId, vni: ServiceId) -> Self {
        Self {
            target,
            vni,
            inner: Mutex::default(),
        }
    }

    pub(super) fn stats(&self) -> FlowStats {
        self.lock().stats
    }

    /// Replies to packets until the future is dropped.
    pub(super) async fn serve(&self, socket: UdpSocket) {
        let mut buffer = [0; MAX_PACKET_BYTES];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some((caller, reply)) = self.reply(&buffer[..length]) else {
                continue;
            };
            if let Err(error) = socket.send_to(reply.to_string().as_bytes(), caller).await {
                log::debug!("event=answer_lost caller={caller} cause={:?}", error.kind());
            }
        }
    }

    /// Returns the reply to a packet and the caller that receives it.
    fn reply(&self, packet: &[u8]) -> Option<(SocketAddr, FeedReply)> {
        let mut inner = self.lock();
        let Some((vni, inner_packet)) = geneve::unwrap(packet) else {
            inner.stats.malformed += 1;
            return None;
        };
        if vni != self.vni.get() {
            inner.stats.unexpected_vni += 1;
            return None;
        }
        let Some((caller, seq)) =
            parse_datagram(inner_packet).and_then(|datagram| datagram.parse_seq())
        else {
            inner.stats.malformed += 1;
            return None;
        };
        let is_midstream = inner.record_caller(caller, seq);
        inner.stats.packets += 1;
        let reply = FeedReply {
            target: self.target.to_string(),
            seq,
            is_midstream,
        };
        Some((caller, reply))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Records a caller; returns whether its first packet was not the start of the flow.
    fn record_caller(&mut self, caller: SocketAddr, seq: u64) -> bool {
        let Err(at) = self.callers.binary_search(&caller) else {
            return false;
        };
        self.callers.insert(at, caller);
        self.stats.flows += 1;
        self.stats.midstream += u64::from(seq > 0);
        seq > 0
    }
}

impl Datagram<'_> {
    fn parse_seq(&self) -> Option<(SocketAddr, u64)> {
        let seq = std::str::from_utf8(self.payload).ok()?.parse().ok()?;
        Some((self.caller, seq))
    }
}

/// Parses an inner IPv4 packet that holds a UDP datagram.
fn parse_datagram(packet: &[u8]) -> Option<Datagram<'_>> {
    let sliced = SlicedPacket::from_ip(packet).ok()?;
    let Some(NetSlice::Ipv4(ip)) = &sliced.net else {
        return None;
    };
    let Some(TransportSlice::Udp(udp)) = &sliced.transport else {
        return None;
    };
    let caller = SocketAddr::from((ip.header().source_addr(), udp.source_port()));
    Some(Datagram {
        caller,
        payload: udp.payload(),
    })
}
