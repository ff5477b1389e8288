//! Task that moves packets: it reads a batch, asks the steering, and sends.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use bambooseam_observe::LogLimit;
use bambooseam_platform::packet::{
    LABEL_BYTES, MAX_DATAGRAM_BYTES, label_bytes, parse_header, reset, write_token,
};
use bambooseam_steer::{Head, Verdict};
use bambooseam_types::{Clock, Moment};
use metrics::{Counter, counter};
use socket2::SockRef;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::BootClock;
use crate::node::SharedNode;
use crate::stop::LastPacket;

/// Packets taken in one turn before other tasks run.
const BATCH: usize = 64;

/// Bytes of the socket's receive buffer in the kernel: a hundred milliseconds of packets at the
/// target size.
const RECEIVE_BUFFER: usize = 1 << 20;

/// Longest time that packets wait for the first view: a caller has repeated most of them by then.
const HOLD_TIME: Duration = Duration::from_millis(500);

/// Openings held until the first view: those of ten seconds at the target size.
const HELD_OPENINGS: usize = 1_024;

/// Packets that are none.
static MALFORMED: LogLimit = LogLimit::new("packets_malformed", 5);
/// Placed flows; a VM of the target size opens 105 a second.
static PLACED: LogLimit = LogLimit::new("flows_placed", 200);
/// Flows reset.
static RESET: LogLimit = LogLimit::new("flows_reset", 100);
/// Packets dropped.
static DROPPED: LogLimit = LogLimit::new("packets_dropped", 50);
/// Datagrams that could not be sent.
static UNSENT: LogLimit = LogLimit::new("datagrams_unsent", 5);

/// Moves packets between callers and targets.
#[derive(Debug)]
pub struct Packets {
    socket: UdpSocket,
    node: SharedNode,
    /// Callers receive at the port number at which this VM does.
    answer_port: u16,
    forwarded: Counter,
    resets: Counter,
    drops: Counter,
}

impl Packets {
    /// Binds the address at which callers' packets arrive.
    ///
    /// # Errors
    ///
    /// An error when the address is taken.
    pub async fn bind(address: SocketAddr, node: SharedNode) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        if let Err(error) = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER) {
            log::warn!("event=receive_buffer_refused cause={:?}", error.to_string());
        }
        Ok(Self {
            socket,
            node,
            answer_port: address.port(),
            forwarded: counter!("packets_forwarded"),
            resets: counter!("packets_reset"),
            drops: counter!("packets_dropped_total"),
        })
    }

    /// Moves packets until dropped.
    pub async fn run(self, last_packet: LastPacket) {
        // The label goes before the packet, which then needs no copy.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        self.wait_for_view(&mut buffer, &last_packet).await;
        loop {
            if let Err(error) = self.socket.readable().await {
                UNSENT.report(error);
                continue;
            }
            let now = BootClock.now();
            for _ in 0..BATCH {
                let Some(len) = self.receive(&mut buffer) else {
                    break;
                };
                last_packet.record(now);
                self.handle(&mut buffer[..LABEL_BYTES + len], now);
            }
            tokio::task::yield_now().await;
        }
    }

    /// Serves what can be served until the view is there, a few milliseconds after the start, or
    /// half a second with a large configuration on a narrow link.
    ///
    /// Packets stay in the kernel until targets are known. Then those inside flows pass, as they
    /// name their target; openings are held, as they need routes. After an outage callers repeat
    /// packets at long intervals: one that is dropped now comes again after a second or more.
    async fn wait_for_view(&self, buffer: &mut [u8], last_packet: &LastPacket) {
        let mut ready = self.node.borrow().ready();
        let mut forwarding = self.node.borrow().forwarding();
        while !*forwarding.borrow_and_update() {
            if timeout(HOLD_TIME, forwarding.changed()).await.is_err() {
                while self.receive(buffer).is_some() {}
            }
        }
        let mut openings: Vec<(Moment, Vec<u8>)> = Vec::new();
        while !*ready.borrow_and_update() {
            tokio::select! {
                _ = ready.changed() => {}
                _ = self.socket.readable() => self.pass_early(buffer, &mut openings, last_packet),
            }
        }
        let now = BootClock.now();
        for (held, mut datagram) in openings {
            if now.since(held) <= HOLD_TIME {
                self.handle(&mut datagram, now);
            }
        }
    }

    /// Passes packets inside flows, and holds those that open one.
    fn pass_early(
        &self,
        buffer: &mut [u8],
        openings: &mut Vec<(Moment, Vec<u8>)>,
        last_packet: &LastPacket,
    ) {
        let now = BootClock.now();
        for _ in 0..BATCH {
            let Some(len) = self.receive(buffer) else {
                return;
            };
            last_packet.record(now);
            let datagram = &mut buffer[..LABEL_BYTES + len];
            let is_opening =
                parse_header(&datagram[LABEL_BYTES..]).is_ok_and(|head| head.is_opening());
            match is_opening {
                true if openings.len() < HELD_OPENINGS => openings.push((now, datagram.to_vec())),
                true => self.drops.increment(1),
                false => self.handle(datagram, now),
            }
        }
    }

    /// Reads one packet behind the room for its label.
    fn receive(&self, buffer: &mut [u8]) -> Option<usize> {
        loop {
            match self.socket.try_recv(&mut buffer[LABEL_BYTES..]) {
                Ok(len) => return Some(len),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
                // An earlier datagram met a closed port; that says nothing of this one.
                Err(error) => UNSENT.report(error),
            }
        }
    }

    fn handle(&self, datagram: &mut [u8], now: Moment) {
        let head = match parse_header(&datagram[LABEL_BYTES..]) {
            Ok(head) => head,
            Err(error) => return MALFORMED.report(error),
        };
        let verdict = self.node.borrow_mut().steering_mut().packet(&head, now);
        self.note(&head, &verdict, now);
        match verdict {
            Verdict::Forward {
                address,
                label,
                token,
                ..
            } => {
                datagram[..LABEL_BYTES].copy_from_slice(&label_bytes(label));
                write_token(&mut datagram[LABEL_BYTES..], token);
                self.send(datagram, address);
                self.forwarded.increment(1);
            }
            Verdict::Reset(_) => {
                let caller = SocketAddrV4::new(*head.flow.caller.ip(), self.answer_port);
                self.send(&reset(&head), caller);
                self.resets.increment(1);
            }
            Verdict::Drop(_) => self.drops.increment(1),
        }
    }

    fn send(&self, datagram: &[u8], to: SocketAddrV4) {
        if let Err(error) = self.socket.try_send_to(datagram, to.into()) {
            UNSENT.report(error);
        }
    }

    /// Logs a decision, a few of each kind a second.
    fn note(&self, head: &Head, verdict: &Verdict, now: Moment) {
        let limit = match verdict {
            Verdict::Forward { opening: None, .. } => return,
            Verdict::Forward { .. } => &PLACED,
            Verdict::Reset(_) => &RESET,
            Verdict::Drop(_) => &DROPPED,
        };
        let Some(suppressed) = limit.admit(Instant::now()) else {
            return;
        };
        let (flow, age, named) = (head.flow, self.age(now), Shown(head.token));
        match verdict {
            Verdict::Forward {
                address,
                token,
                opening,
                ..
            } => log::info!(
                "event=flow_{} flow={flow} target={address} token={token} copy={} \
                 view_age_ms={age} suppressed={suppressed}",
                Shown(*opening),
                head.ack
            ),
            Verdict::Reset(cause) => log::info!(
                "event=flow_reset flow={flow} cause={cause} token={named} view_age_ms={age} \
                 suppressed={suppressed}"
            ),
            Verdict::Drop(cause) => log::info!(
                "event=packet_dropped flow={flow} cause={cause} token={named} view_age_ms={age} \
                 suppressed={suppressed}"
            ),
        }
    }

    /// Age of the view in milliseconds; -1 when there is none.
    fn age(&self, now: Moment) -> i64 {
        let synced = self.node.borrow().steering().freshness().synced;
        synced.map_or(-1, |synced| now.since(synced).as_millis() as i64)
    }
}

/// A value that may be absent, as logs show it.
struct Shown<T>(Option<T>);

impl<T: std::fmt::Display> std::fmt::Display for Shown<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("none"),
        }
    }
}
