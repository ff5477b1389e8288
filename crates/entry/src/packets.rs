//! Task that receives callers' packets in batches. For each packet,
//! [`Steering`](bambooseam_steer::Steering) decides whether the task forwards the packet, answers
//! with a reset or drops the packet.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bambooseam_observe::LogLimit;
use bambooseam_platform::packet::{
    LABEL_BYTES, MAX_DATAGRAM_BYTES, label_bytes, parse_header, reset, write_token,
};
use bambooseam_steer::{Decision, Origin, PacketHeader, Placement};
use bambooseam_types::{Clock, Moment};
use metrics::{Counter, counter};
use socket2::SockRef;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::BootClock;
use crate::coordination::CoordinationLink;
use crate::held::HeldOpenings;
use crate::node::SharedNode;
use crate::or_none::OrNone;
use crate::stop::LastPacket;

/// Maximum number of packets received in a row before other tasks run.
const BATCH_SIZE: usize = 64;

/// Size of the socket's receive buffer in the kernel, in bytes. The buffer holds the packets of
/// 100 ms at the intended fleet size.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;

/// Maximum time for which packets are held until the first view. Callers have retransmitted most of
/// the packets by then.
const MAX_HOLD_TIME: Duration = Duration::from_millis(500);

/// Interval between two checks whether waiting openings are decided: short against the time that a
/// request takes.
const RELEASE_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of opening packets held until the first view: those of ten seconds at the
/// intended fleet size.
const MAX_OPENINGS: usize = 1_024;

/// Limits warnings about invalid packets.
static MALFORMED: LogLimit = LogLimit::new("packets_malformed", 5);
/// Limits log lines about placed flows. At the intended fleet size, 105 flows per second open on a
/// VM.
static PLACED: LogLimit = LogLimit::new("flows_placed", 200);
/// Limits log lines about packets that carry the token of an earlier start.
static CONTINUED: LogLimit = LogLimit::new("flows_continued", 50);
/// Limits log lines about reset flows.
static RESET: LogLimit = LogLimit::new("flows_reset", 100);
/// Limits log lines about dropped packets.
static DROPPED: LogLimit = LogLimit::new("packets_dropped", 50);
/// Limits warnings about datagrams that could not be sent or received.
static UNSENT: LogLimit = LogLimit::new("datagrams_unsent", 5);

/// Forwards callers' packets to targets, and sends resets to callers.
#[derive(Debug)]
pub struct Packets {
    socket: UdpSocket,
    node: SharedNode,
    /// Openings that wait for their decision.
    held: RefCell<HeldOpenings>,
    coordination: Rc<CoordinationLink>,
    /// Port to which resets are sent: callers receive at the same port number as this VM.
    reply_port: u16,
    forwarded: Counter,
    resets: Counter,
    drops: Counter,
}

impl Packets {
    /// Binds the socket on which callers' packets arrive.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound, for example because it is in use.
    pub async fn bind(address: SocketAddr, node: SharedNode) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        if let Err(error) = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
            log::warn!("event=receive_buffer_refused cause={:?}", error.to_string());
        }
        Ok(Self {
            socket,
            node,
            held: RefCell::default(),
            coordination: Rc::default(),
            reply_port: address.port(),
            forwarded: counter!("packets_forwarded"),
            resets: counter!("packets_reset"),
            drops: counter!("packets_dropped_total"),
        })
    }

    /// Returns the connection to the task that asks other VMs about openings.
    pub fn coordination(&self) -> Rc<CoordinationLink> {
        Rc::clone(&self.coordination)
    }

    /// Forwards packets until the future is dropped.
    pub async fn run(self, last_packet: LastPacket) {
        // Packets are received after the space for the label, so that adding the label copies
        // nothing.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        self.serve_until_ready(&mut buffer, &last_packet).await;
        loop {
            if !self.wait_for_work().await {
                continue;
            }
            let now = BootClock.now();
            self.node.borrow_mut().record_turn(now);
            for _ in 0..BATCH_SIZE {
                let Some(len) = self.receive(&mut buffer) else {
                    break;
                };
                last_packet.record(now);
                self.handle(&mut buffer[..LABEL_BYTES + len], now);
            }
            self.release_held(now);
            tokio::task::yield_now().await;
        }
    }

    /// Waits until packets have arrived, or until waiting openings are due for a check; returns
    /// false after an error.
    async fn wait_for_work(&self) -> bool {
        let readable = async {
            tokio::select! {
                readable = self.socket.readable() => readable,
                () = self.coordination.released() => Ok(()),
            }
        };
        let is_idle = self.held.borrow().is_empty();
        let result = match is_idle {
            true => readable.await,
            false => timeout(RELEASE_INTERVAL, readable).await.unwrap_or(Ok(())),
        };
        if let Err(error) = &result {
            UNSENT.report(error);
        }
        result.is_ok()
    }

    /// Sends the waiting openings that have been decided, and passes on the decisions about openings
    /// of other VMs.
    fn release_held(&self, now: Moment) {
        let released = self.node.borrow_mut().steering_mut().take_released(now);
        for released in released {
            // The datagram of a flow that another VM asked about is at that VM.
            if released.origin != Origin::Local {
                self.coordination.pass_on(released);
                continue;
            }
            let Some(mut held) = self.held.borrow_mut().take(&released.flow) else {
                continue;
            };
            if let Ok(header) = parse_header(&held.datagram[LABEL_BYTES..]) {
                self.execute(&header, released.decision, &mut held.datagram, now);
            }
        }
        if self.node.borrow().steering().has_questions() {
            self.coordination.wake();
        }
        let expired = self.held.borrow_mut().expire(now);
        self.drops.increment(expired as u64);
    }

    /// Serves packets as far as possible until the first view is complete: a few milliseconds after
    /// the start, or half a second with a large configuration on a slow link.
    ///
    /// Packets stay in the kernel's buffer until targets are known. From then on, packets of open
    /// flows are forwarded, because they name their target; opening packets are held, because they
    /// need routes. After an outage, callers retransmit at long intervals: a packet dropped here
    /// would be retransmitted only after a second or more.
    async fn serve_until_ready(&self, buffer: &mut [u8], last_packet: &LastPacket) {
        let mut ready = self.node.borrow().ready();
        let mut forwarding = self.node.borrow().forwarding();
        while !*forwarding.borrow_and_update() {
            if timeout(MAX_HOLD_TIME, forwarding.changed()).await.is_err() {
                while self.receive(buffer).is_some() {}
            }
        }
        let mut openings: Vec<(Moment, Vec<u8>)> = Vec::new();
        while !*ready.borrow_and_update() {
            tokio::select! {
                _ = ready.changed() => {}
                _ = self.socket.readable() => self.serve_early(buffer, &mut openings, last_packet),
            }
        }
        let now = BootClock.now();
        for (received, mut datagram) in openings {
            if now.since(received) <= MAX_HOLD_TIME {
                self.handle(&mut datagram, now);
            }
        }
    }

    /// Forwards packets of open flows, and holds opening packets.
    fn serve_early(
        &self,
        buffer: &mut [u8],
        openings: &mut Vec<(Moment, Vec<u8>)>,
        last_packet: &LastPacket,
    ) {
        let now = BootClock.now();
        for _ in 0..BATCH_SIZE {
            let Some(len) = self.receive(buffer) else {
                return;
            };
            last_packet.record(now);
            let datagram = &mut buffer[..LABEL_BYTES + len];
            let is_opening =
                parse_header(&datagram[LABEL_BYTES..]).is_ok_and(|header| header.is_opening());
            match is_opening {
                true if openings.len() < MAX_OPENINGS => openings.push((now, datagram.to_vec())),
                true => self.drops.increment(1),
                false => self.handle(datagram, now),
            }
        }
    }

    /// Receives one packet into the buffer, after the space for its label; returns the packet
    /// length.
    fn receive(&self, buffer: &mut [u8]) -> Option<usize> {
        loop {
            match self.socket.try_recv(&mut buffer[LABEL_BYTES..]) {
                Ok(len) => return Some(len),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
                // The error reports that an earlier datagram was sent to a closed port, and does
                // not concern the next datagram to receive.
                Err(error) => UNSENT.report(error),
            }
        }
    }

    fn handle(&self, datagram: &mut [u8], now: Moment) {
        let header = match parse_header(&datagram[LABEL_BYTES..]) {
            Ok(header) => header,
            Err(error) => return MALFORMED.report(error),
        };
        let decision = self.node.borrow_mut().steering_mut().decide(&header, now);
        self.execute(&header, decision, datagram, now);
    }

    /// Carries out the decision about a packet.
    fn execute(&self, header: &PacketHeader, decision: Decision, datagram: &mut [u8], now: Moment) {
        self.log_decision(header, &decision, now);
        match decision {
            Decision::Forward {
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
            Decision::Reset(_) => {
                let caller = SocketAddrV4::new(*header.flow.caller.ip(), self.reply_port);
                self.send(&reset(header), caller);
                self.resets.increment(1);
            }
            Decision::Drop(_) => self.drops.increment(1),
            Decision::Hold => {
                if !self.held.borrow_mut().put(header.flow, datagram, now) {
                    self.drops.increment(1);
                }
            }
        }
    }

    fn send(&self, datagram: &[u8], to: SocketAddrV4) {
        if let Err(error) = self.socket.try_send_to(datagram, to.into()) {
            UNSENT.report(error);
        }
    }

    /// Logs a decision, with a limit on the lines of each kind per second.
    fn log_decision(&self, header: &PacketHeader, decision: &Decision, now: Moment) {
        let limit = match decision {
            Decision::Forward {
                placement: None, ..
            }
            | Decision::Hold => return,
            Decision::Forward {
                placement: Some(Placement::Continued),
                ..
            } => &CONTINUED,
            Decision::Forward { .. } => &PLACED,
            Decision::Reset(_) => &RESET,
            Decision::Drop(_) => &DROPPED,
        };
        let Some(suppressed) = limit.admit(Instant::now()) else {
            return;
        };
        let (flow, age, received) = (header.flow, self.view_age_ms(now), OrNone(header.token));
        match decision {
            Decision::Forward {
                address,
                token,
                placement: Some(Placement::Continued),
                ..
            } => log::info!(
                "event=flow_continued flow={flow} target={address} token={token} \
                 former={received} view_age_ms={age} suppressed={suppressed}"
            ),
            Decision::Forward {
                address,
                token,
                placement: Some(placement),
                ..
            } => log::info!(
                "event=flow_{placement} flow={flow} target={address} token={token} copy={} \
                 view_age_ms={age} suppressed={suppressed}",
                header.ack
            ),
            Decision::Reset(cause) => log::info!(
                "event=flow_reset flow={flow} cause={cause} token={received} view_age_ms={age} \
                 {} suppressed={suppressed}",
                self.node.borrow().steering().report_token(header, now)
            ),
            Decision::Drop(cause) => log::info!(
                "event=packet_dropped flow={flow} cause={cause} token={received} view_age_ms={age} \
                 suppressed={suppressed}"
            ),
            Decision::Forward {
                placement: None, ..
            }
            | Decision::Hold => {}
        }
    }

    /// Returns the age of the view in milliseconds; -1 when there is no view.
    fn view_age_ms(&self, now: Moment) -> i64 {
        let synced = self.node.borrow().steering().freshness().synced;
        synced.map_or(-1, |synced| now.since(synced).as_millis() as i64)
    }
}
