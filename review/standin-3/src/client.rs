//! Clients as PROTOCOL.md describes them. One socket carries the flows of many ports.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bambooseam_standin::site::{Flags, Packet};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{sleep_until, timeout_at};

use crate::record::Record;
use crate::router::Router;

/// Times after the first opening packet at which copies are sent; the last one ends the attempt.
const OPENING_TIMES: [u64; 3] = [200, 600, 1_400];

/// First and longest time after which data is sent again.
const FIRST_REPEAT: Duration = Duration::from_millis(200);
const LONGEST_REPEAT: Duration = Duration::from_millis(1_600);

/// Host of the clients of one zone.
#[derive(Debug)]
pub struct Clients {
    address: SocketAddrV4,
    socket: UdpSocket,
    router: Arc<Router>,
    record: Record,
    ports: Mutex<HashMap<u16, UnboundedSender<Packet>>>,
    next_port: AtomicU16,
}

/// A flow that is open at the client.
#[derive(Debug)]
pub struct Flow {
    clients: Arc<Clients>,
    pub local: SocketAddrV4,
    frontend: SocketAddrV4,
    packets: UnboundedReceiver<Packet>,
    /// Number of the backend that the client has acknowledged.
    pub backend: u32,
    echo: u32,
    next_seq: u32,
    expected: u32,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    Answered(String),
    /// A reset: whether the system itself sent it.
    Reset(bool),
    Unanswered,
}

impl Clients {
    /// Starts the clients behind a socket.
    pub fn start(
        socket: UdpSocket,
        router: &Arc<Router>,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let std::net::SocketAddr::V4(address) = socket.local_addr()? else {
            return Err(std::io::ErrorKind::AddrNotAvailable.into());
        };
        let clients = Arc::new(Self {
            address,
            socket,
            router: Arc::clone(router),
            record: record.clone(),
            ports: Mutex::default(),
            next_port: AtomicU16::new(20_000),
        });
        let receiver = Arc::clone(&clients);
        tokio::spawn(async move {
            let mut buffer = [0; 2_048];
            loop {
                let Ok(len) = receiver.socket.recv(&mut buffer).await else {
                    continue;
                };
                let Some(packet) = Packet::parse(&buffer[..len]) else {
                    continue;
                };
                if let Some(sender) = receiver.ports().get(&packet.dst.port()) {
                    let _ = sender.send(packet);
                }
            }
        });
        Ok(clients)
    }

    /// A new port, of a flow that goes to `vm` at present if one is given.
    pub fn port(&self, frontend: SocketAddrV4, vm: Option<std::net::SocketAddr>) -> u16 {
        loop {
            let port = self.next_port.fetch_add(1, Ordering::Relaxed);
            let local = SocketAddrV4::new(*self.address.ip(), port);
            if vm.is_none() || self.router.route(local, frontend) == vm {
                return port;
            }
        }
    }

    /// Opens a flow; `None` if the attempt ends without one.
    pub async fn open(self: &Arc<Self>, port: u16, frontend: SocketAddrV4) -> Option<Flow> {
        let local = SocketAddrV4::new(*self.address.ip(), port);
        let (sender, mut packets) = unbounded_channel();
        self.ports().insert(port, sender);
        let seq = u32::from(port) << 8;
        let started = tokio::time::Instant::now();
        for (copy, time) in OPENING_TIMES.into_iter().enumerate() {
            let mut packet = Packet::new(local, frontend, Flags::SYN);
            packet.seq = seq;
            packet.ack = copy as u32;
            self.send(&packet, "opening packet").await;
            let deadline = started + Duration::from_millis(time);
            while let Ok(Some(answer)) = timeout_at(deadline, packets.recv()).await {
                if answer.flags.contains(Flags::RST) {
                    self.record
                        .trace(format!("client {port}: the opening is reset"));
                    return None;
                }
                if !answer.flags.contains(Flags::SYN.union(Flags::ACK)) {
                    continue;
                }
                let flow = Flow {
                    clients: Arc::clone(self),
                    local,
                    frontend,
                    packets,
                    backend: answer.seq >> 24,
                    echo: answer.echo,
                    next_seq: seq.wrapping_add(1),
                    expected: answer.seq.wrapping_add(1),
                };
                self.record.trace(format!(
                    "client {port}: open at backend number {} after {} ms, echo {:08x}",
                    flow.backend - 1,
                    started.elapsed().as_millis(),
                    flow.echo
                ));
                flow.send(Vec::new(), flow.next_seq).await;
                return Some(flow);
            }
            sleep_until(deadline).await;
        }
        self.record
            .trace(format!("client {port}: the opening is not answered"));
        None
    }

    async fn send(&self, packet: &Packet, what: &str) {
        let Some(vm) = self.router.route(packet.src, packet.dst) else {
            return;
        };
        self.record.trace(format!(
            "client {}: sends {what} {} to {vm}, echo {:08x}",
            packet.src.port(),
            if packet.flags.contains(Flags::SYN) {
                packet.ack
            } else {
                packet.data.len() as u32
            },
            packet.echo
        ));
        let _ = self.socket.send_to(&packet.encode(), vm).await;
    }

    fn ports(&self) -> std::sync::MutexGuard<'_, HashMap<u16, UnboundedSender<Packet>>> {
        self.ports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Flow {
    /// Sends a request of one packet and waits for its answer.
    pub async fn request(&mut self, id: &str, limit: Duration) -> End {
        self.read_waiting();
        let data = format!("{id}\n").into_bytes();
        let seq = self.next_seq;
        self.next_seq = seq.wrapping_add(data.len() as u32);
        let end = tokio::time::Instant::now() + limit;
        let (mut due, mut delay) = (tokio::time::Instant::now(), FIRST_REPEAT);
        let mut is_acked = false;
        loop {
            if !is_acked && tokio::time::Instant::now() >= due {
                self.send(data.clone(), seq).await;
                due += delay;
                delay = (2 * delay).min(LONGEST_REPEAT);
            }
            let until = if is_acked { end } else { due.min(end) };
            let Ok(received) = timeout_at(until, self.packets.recv()).await else {
                if tokio::time::Instant::now() >= end {
                    return End::Unanswered;
                }
                continue;
            };
            let Some(packet) = received else {
                return End::Unanswered;
            };
            if packet.flags.contains(Flags::RST) {
                return End::Reset(packet.is_system_reset());
            }
            self.echo = packet.echo;
            if packet.flags.contains(Flags::SYN) {
                continue;
            }
            is_acked |= packet.ack == self.next_seq;
            if packet.data.is_empty() || packet.seq != self.expected {
                continue;
            }
            self.expected = self.expected.wrapping_add(packet.data.len() as u32);
            self.send(Vec::new(), self.next_seq).await;
            let text = String::from_utf8_lossy(&packet.data).trim().to_owned();
            return End::Answered(text);
        }
    }

    /// Ends the flow with a reset of its own.
    pub async fn drop_flow(self) {
        let mut packet = Packet::new(self.local, self.frontend, Flags::RST);
        packet.seq = self.next_seq;
        packet.ack = self.expected;
        packet.echo = self.echo;
        self.clients.send(&packet, "its own reset").await;
    }

    fn read_waiting(&mut self) {
        while let Ok(packet) = self.packets.try_recv() {
            let _ = self.take(&packet);
        }
    }

    fn take(&mut self, packet: &Packet) -> Option<bool> {
        let port = self.local.port();
        if packet.flags.contains(Flags::RST) {
            return Some(packet.is_system_reset());
        }
        if packet.echo != self.echo {
            let kind = if packet.flags.contains(Flags::SYN) {
                "SYN+ACK"
            } else {
                "packet"
            };
            self.clients.record.trace(format!(
                "client {port}: receives a {kind} of backend number {} with echo {:08x}",
                (packet.seq >> 24) - 1,
                packet.echo
            ));
        }
        // Each end repeats the echo that it received last on the flow.
        self.echo = packet.echo;
        None
    }

    async fn send(&self, data: Vec<u8>, seq: u32) {
        let mut packet = Packet::new(self.local, self.frontend, Flags::ACK);
        packet.seq = seq;
        packet.ack = self.expected;
        packet.echo = self.echo;
        packet.data = data;
        self.clients.send(&packet, "packet of").await;
    }
}
