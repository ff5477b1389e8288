//! One end of a flow: sequence numbers, acknowledgements and retransmission, the same for callers
//! and targets.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{Flags, Packet};

/// Maximum length of the data of a packet in bytes.
const MAX_SEGMENT_BYTES: usize = 1_200;
/// Maximum number of packets in flight.
const WINDOW_SEGMENTS: usize = 16;
/// First and longest delay before a packet is retransmitted.
const MIN_RETRANSMIT_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRANSMIT_DELAY: Duration = Duration::from_millis(1_600);

/// One end of an open flow.
#[derive(Debug)]
pub(super) struct Endpoint {
    local: SocketAddrV4,
    remote: SocketAddrV4,
    /// Sequence number of the next byte to be queued, and the one expected from the remote end.
    next_seq: u32,
    expected_seq: u32,
    /// Echo value of the last packet received, which identifies the flow's target.
    echo: u32,
    send_queue: VecDeque<Segment>,
    /// Bytes received in order.
    pub(super) received: Vec<u8>,
    /// Whether the remote end has closed its direction.
    pub(super) is_remote_closed: bool,
}

#[derive(Debug)]
struct Segment {
    seq: u32,
    data: Vec<u8>,
    is_last: bool,
    retransmit_at: Option<Instant>,
    delay: Duration,
}

impl Endpoint {
    /// Creates an end whose next byte has the number `next_seq` and which expects `expected_seq`
    /// from the remote end.
    pub(super) fn new(
        local: SocketAddrV4,
        remote: SocketAddrV4,
        next_seq: u32,
        expected_seq: u32,
    ) -> Self {
        Self {
            local,
            remote,
            next_seq,
            expected_seq,
            echo: 0,
            send_queue: VecDeque::new(),
            received: Vec::new(),
            is_remote_closed: false,
        }
    }

    /// Queues bytes; `is_last` closes this direction.
    pub(super) fn queue(&mut self, bytes: &[u8], is_last: bool) {
        let mut chunks: Vec<&[u8]> = bytes.chunks(MAX_SEGMENT_BYTES).collect();
        if chunks.is_empty() {
            chunks.push(&[]);
        }
        let count = chunks.len();
        for (index, chunk) in chunks.into_iter().enumerate() {
            let is_last = is_last && index + 1 == count;
            self.send_queue.push_back(Segment {
                seq: self.next_seq,
                data: chunk.into(),
                is_last,
                retransmit_at: None,
                delay: MIN_RETRANSMIT_DELAY,
            });
            self.next_seq = self
                .next_seq
                .wrapping_add(chunk.len() as u32 + u32::from(is_last));
        }
    }

    /// Returns whether the remote end has acknowledged all queued bytes.
    pub(super) fn is_flushed(&self) -> bool {
        self.send_queue.is_empty()
    }

    /// Stores the echo value of a packet, which identifies the flow's target.
    pub(super) fn set_echo(&mut self, packet: &Packet) {
        self.echo = packet.echo;
    }

    /// Handles a packet; returns an acknowledgement if the packet requires one.
    pub(super) fn receive(&mut self, packet: &Packet) -> Option<Packet> {
        self.set_echo(packet);
        if packet.flags.contains(Flags::ACK) {
            let is_received = |s: &Segment| {
                let end = s
                    .seq
                    .wrapping_add(s.data.len() as u32 + u32::from(s.is_last));
                packet.ack.wrapping_sub(end) < 1 << 31
            };
            while self.send_queue.front().is_some_and(is_received) {
                self.send_queue.pop_front();
            }
        }
        let is_last = packet.flags.contains(Flags::FIN);
        if packet.data.is_empty() && !is_last {
            return None;
        }
        if packet.seq == self.expected_seq {
            self.received.extend(&packet.data);
            self.expected_seq = self
                .expected_seq
                .wrapping_add(packet.data.len() as u32 + u32::from(is_last));
            self.is_remote_closed |= is_last;
        }
        Some(self.packet(Flags::ACK, self.next_unsent(), Vec::new()))
    }

    /// Returns the packets that are due for a first transmission or a retransmission.
    pub(super) fn due_packets(&mut self, now: Instant) -> Vec<Packet> {
        let mut packets = Vec::new();
        for index in 0..self.send_queue.len().min(WINDOW_SEGMENTS) {
            let segment = &mut self.send_queue[index];
            if segment
                .retransmit_at
                .is_some_and(|retransmit_at| retransmit_at > now)
            {
                continue;
            }
            if segment.retransmit_at.is_some() {
                segment.delay = (segment.delay * 2).min(MAX_RETRANSMIT_DELAY);
            }
            segment.retransmit_at = Some(now + segment.delay);
            let flags = match segment.is_last {
                true => Flags::ACK.union(Flags::FIN),
                false => Flags::ACK,
            };
            let (seq, data) = (segment.seq, segment.data.clone());
            packets.push(self.packet(flags, seq, data));
        }
        packets
    }

    /// Returns an acknowledgement without data.
    pub(super) fn acknowledgement(&self) -> Packet {
        self.packet(Flags::ACK, self.next_unsent(), Vec::new())
    }

    /// Returns the sequence number of the first byte that has not been sent.
    fn next_unsent(&self) -> u32 {
        let unsent = self
            .send_queue
            .iter()
            .find(|segment| segment.retransmit_at.is_none());
        unsent.map_or(self.next_seq, |segment| segment.seq)
    }

    fn packet(&self, flags: Flags, seq: u32, data: Vec<u8>) -> Packet {
        Packet {
            echo: self.echo,
            seq,
            ack: self.expected_seq,
            data,
            ..Packet::new(self.local, self.remote, flags)
        }
    }
}
