//! One end of a flow: numbers, acknowledgements and retransmission, the same for both ends.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{Flags, Packet};

/// Most bytes of a packet.
const SEGMENT: usize = 1_200;
/// Most packets in flight.
const WINDOW: usize = 16;
/// First and longest pause before a packet is sent again.
const RETRY_LEAST: Duration = Duration::from_millis(200);
const RETRY_MOST: Duration = Duration::from_millis(1_600);

/// One end of an open flow.
#[derive(Debug)]
pub(super) struct Endpoint {
    me: SocketAddrV4,
    peer: SocketAddrV4,
    /// Next byte to be queued, and next byte expected.
    next: u32,
    expected: u32,
    echo: u32,
    out: VecDeque<Segment>,
    /// Bytes received in order.
    pub(super) inbox: Vec<u8>,
    /// The other end has sent all it will.
    pub(super) is_peer_done: bool,
}

#[derive(Debug)]
struct Segment {
    seq: u32,
    data: Vec<u8>,
    is_last: bool,
    due: Option<Instant>,
    pause: Duration,
}

impl Endpoint {
    /// An end whose next byte is `next` and who expects `expected`.
    pub(super) fn new(me: SocketAddrV4, peer: SocketAddrV4, next: u32, expected: u32) -> Self {
        Self {
            me,
            peer,
            next,
            expected,
            echo: 0,
            out: VecDeque::new(),
            inbox: Vec::new(),
            is_peer_done: false,
        }
    }

    /// Queues bytes; `is_last` ends this direction.
    pub(super) fn queue(&mut self, bytes: &[u8], is_last: bool) {
        let mut chunks: Vec<&[u8]> = bytes.chunks(SEGMENT).collect();
        if chunks.is_empty() {
            chunks.push(&[]);
        }
        let count = chunks.len();
        for (index, chunk) in chunks.into_iter().enumerate() {
            let is_last = is_last && index + 1 == count;
            self.out.push_back(Segment {
                seq: self.next,
                data: chunk.into(),
                is_last,
                due: None,
                pause: RETRY_LEAST,
            });
            self.next = self
                .next
                .wrapping_add(chunk.len() as u32 + u32::from(is_last));
        }
    }

    /// Whether everything queued was received.
    pub(super) fn is_flushed(&self) -> bool {
        self.out.is_empty()
    }

    /// Remembers what the other end's packet says the flow's target is.
    pub(super) fn note_echo(&mut self, packet: &Packet) {
        self.echo = packet.echo;
    }

    /// Takes a packet; gives the acknowledgement that it asks for.
    pub(super) fn take(&mut self, packet: &Packet) -> Option<Packet> {
        self.note_echo(packet);
        if packet.flags.contains(Flags::ACK) {
            let is_received = |s: &Segment| {
                let end = s
                    .seq
                    .wrapping_add(s.data.len() as u32 + u32::from(s.is_last));
                packet.ack.wrapping_sub(end) < 1 << 31
            };
            while self.out.front().is_some_and(is_received) {
                self.out.pop_front();
            }
        }
        let is_last = packet.flags.contains(Flags::FIN);
        if packet.data.is_empty() && !is_last {
            return None;
        }
        if packet.seq == self.expected {
            self.inbox.extend(&packet.data);
            self.expected = self
                .expected
                .wrapping_add(packet.data.len() as u32 + u32::from(is_last));
            self.is_peer_done |= is_last;
        }
        Some(self.packet(Flags::ACK, self.next_sent(), Vec::new()))
    }

    /// Packets whose time has come.
    pub(super) fn due(&mut self, now: Instant) -> Vec<Packet> {
        let mut packets = Vec::new();
        for index in 0..self.out.len().min(WINDOW) {
            let segment = &mut self.out[index];
            if segment.due.is_some_and(|due| due > now) {
                continue;
            }
            if segment.due.is_some() {
                segment.pause = (segment.pause * 2).min(RETRY_MOST);
            }
            segment.due = Some(now + segment.pause);
            let flags = match segment.is_last {
                true => Flags::ACK.union(Flags::FIN),
                false => Flags::ACK,
            };
            let (seq, data) = (segment.seq, segment.data.clone());
            packets.push(self.packet(flags, seq, data));
        }
        packets
    }

    /// A bare acknowledgement of what was received.
    pub(super) fn acknowledgement(&self) -> Packet {
        self.packet(Flags::ACK, self.next_sent(), Vec::new())
    }

    /// Number of the first byte that is not sent yet.
    fn next_sent(&self) -> u32 {
        let waiting = self.out.iter().find(|segment| segment.due.is_none());
        waiting.map_or(self.next, |segment| segment.seq)
    }

    fn packet(&self, flags: Flags, seq: u32, data: Vec<u8>) -> Packet {
        Packet {
            echo: self.echo,
            seq,
            ack: self.expected,
            data,
            ..Packet::new(self.me, self.peer, flags)
        }
    }
}
