//! Clients that follow the platform's protocol. A client echoes the value that it received last on a
//! flow; another backend's answer to the SYN of an open flow doesn't belong to it.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bambooseam_standin::site::{Flags, Packet};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout_at;

use crate::record::Record;
use crate::routers::Routers;

/// Times after the first SYN at which its copies are sent; the last one is the timeout.
const SYN_TIMES: [u64; 3] = [200, 600, 1_400];

const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const LAST_RETRANSMISSION: Duration = Duration::from_millis(1_600);

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The load balancer reset the flow.
    SystemReset,
    /// A backend reset the flow.
    BackendReset,
    /// Nothing arrived in time.
    Late,
}

type Ports = Arc<Mutex<HashMap<u16, UnboundedSender<Packet>>>>;

/// A client's host: one address with many flows.
pub struct Host {
    socket: Arc<UdpSocket>,
    routers: Routers,
    zone: String,
    ports: Ports,
    /// Ports of flows whose packets are lost on the way to the client.
    lost_ports: Arc<Mutex<Vec<u16>>>,
    record: Record,
}

/// A flow of a client.
pub struct Flow {
    host: Arc<Host>,
    local: SocketAddrV4,
    frontend: SocketAddrV4,
    packets: UnboundedReceiver<Packet>,
    echo: u32,
    next: u32,
    expected: u32,
    received: String,
}

impl Host {
    /// Receives on `socket` until the runtime ends.
    pub fn start(socket: UdpSocket, routers: &Routers, zone: &str, record: &Record) -> Arc<Self> {
        let host = Arc::new(Self {
            socket: Arc::new(socket),
            routers: routers.clone(),
            zone: zone.into(),
            ports: Ports::default(),
            lost_ports: Arc::default(),
            record: record.clone(),
        });
        let (socket, ports) = (Arc::clone(&host.socket), Arc::clone(&host.ports));
        let (lost_ports, record) = (Arc::clone(&host.lost_ports), record.clone());
        tokio::spawn(async move {
            let mut buffer = [0; 2_048];
            while let Ok(len) = socket.recv(&mut buffer).await {
                let Some(packet) = Packet::parse(&buffer[..len]) else {
                    continue;
                };
                if !packet.is_intact() && !packet.is_system_reset() {
                    continue;
                }
                let port = packet.dst.port();
                let lost_ports = lost_ports.lock().unwrap_or_else(PoisonError::into_inner);
                if lost_ports.contains(&port) {
                    let sender = match packet.is_system_reset() {
                        true => "a reset of the system",
                        false => "a packet of the backend",
                    };
                    record.line(&format!("{sender} to flow {port} is lost"));
                    continue;
                }
                let ports = ports.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(flow) = ports.get(&packet.dst.port()) {
                    // A flow that has ended receives nothing more.
                    let _ = flow.send(packet);
                }
            }
        });
        host
    }

    /// Loses all further packets to the flow at `port`.
    pub fn silence(&self, port: u16) {
        let ports = self.lost_ports.lock();
        ports.unwrap_or_else(PoisonError::into_inner).push(port);
    }

    fn add(&self, port: u16, flow: UnboundedSender<Packet>) {
        let mut ports = self.ports.lock().unwrap_or_else(PoisonError::into_inner);
        ports.insert(port, flow);
    }

    async fn send(&self, packet: &Packet) {
        if let Some(vm) = self.routers.route(&self.zone, packet.src, packet.dst) {
            // A VM that does not run drops the packet.
            let _ = self.socket.send_to(&packet.encode(), vm).await;
        }
    }
}

impl Flow {
    /// Opens a flow from `port`.
    pub async fn open(
        host: &Arc<Host>,
        port: u16,
        frontend: SocketAddrV4,
    ) -> Result<Self, Failure> {
        let address = host.socket.local_addr().map_err(|_| Failure::Late)?;
        let std::net::SocketAddr::V4(address) = address else {
            return Err(Failure::Late);
        };
        let local = SocketAddrV4::new(*address.ip(), port);
        let (sender, packets) = unbounded_channel();
        host.add(port, sender);
        let seq = u32::from(port) << 14;
        let mut flow = Self {
            host: Arc::clone(host),
            local,
            frontend,
            packets,
            echo: 0,
            next: seq.wrapping_add(1),
            expected: 0,
            received: String::new(),
        };
        let begun = Instant::now();
        for (copy, time) in SYN_TIMES.into_iter().enumerate() {
            let mut syn = Packet::new(local, frontend, Flags::SYN);
            (syn.seq, syn.ack) = (seq, copy as u32);
            host.send(&syn).await;
            let deadline = begun + Duration::from_millis(time);
            while let Ok(Some(packet)) = timeout_at(deadline.into(), flow.packets.recv()).await {
                if packet.flags.contains(Flags::RST) {
                    return Err(failure_of(&packet));
                }
                if packet.flags.contains(Flags::SYN.union(Flags::ACK)) {
                    flow.expected = packet.seq.wrapping_add(1);
                    flow.echo = packet.echo;
                    flow.acknowledge().await;
                    host.record.line(&format!(
                        "flow {port} opens, echo {:08x}, after {copy} copies",
                        packet.echo
                    ));
                    return Ok(flow);
                }
            }
        }
        Err(Failure::Late)
    }

    /// Sends a request, and returns the name of the backend that has answered.
    pub async fn request(
        &mut self,
        id: &str,
        work_ms: u64,
        limit: Duration,
    ) -> Result<String, Failure> {
        let deadline = Instant::now() + limit;
        let mut request = Packet::new(self.local, self.frontend, Flags::ACK);
        request.seq = self.next;
        request.data = format!("{id} {work_ms}\n").into_bytes();
        self.next = self.next.wrapping_add(request.data.len() as u32);
        let (mut due, mut delay) = (Instant::now(), FIRST_RETRANSMISSION);
        let mut is_acked = false;
        loop {
            if let Some((line, rest)) = self.received.split_once('\n') {
                let backend = line.split(' ').nth(1).unwrap_or_default().to_owned();
                self.received = rest.to_owned();
                return Ok(backend);
            }
            let now = Instant::now();
            if now >= deadline {
                return Err(Failure::Late);
            }
            if !is_acked && now >= due {
                (request.ack, request.echo) = (self.expected, self.echo);
                self.host.send(&request).await;
                due = now + delay;
                delay = (delay * 2).min(LAST_RETRANSMISSION);
            }
            let until = match is_acked {
                true => deadline,
                false => deadline.min(due),
            };
            if let Ok(Some(packet)) = timeout_at(until.into(), self.packets.recv()).await {
                let end = self.next;
                is_acked |= packet.flags.contains(Flags::ACK)
                    && !packet.flags.contains(Flags::SYN)
                    && packet.ack == end;
                self.receive(&packet).await?;
            }
        }
    }

    async fn receive(&mut self, packet: &Packet) -> Result<(), Failure> {
        if packet.flags.contains(Flags::RST) {
            return Err(failure_of(packet));
        }
        if packet.flags.contains(Flags::SYN) {
            return Ok(());
        }
        if packet.echo != self.echo {
            self.host.record.line(&format!(
                "flow {}: echo changes from {:08x} to {:08x}, flags {}",
                self.local.port(),
                self.echo,
                packet.echo,
                packet.flags.0
            ));
        }
        self.echo = packet.echo;
        if packet.data.is_empty() {
            return Ok(());
        }
        if packet.seq == self.expected {
            self.expected = self.expected.wrapping_add(packet.data.len() as u32);
            self.received += &String::from_utf8_lossy(&packet.data);
        }
        self.acknowledge().await;
        Ok(())
    }

    async fn acknowledge(&self) {
        let mut ack = Packet::new(self.local, self.frontend, Flags::ACK);
        (ack.seq, ack.ack, ack.echo) = (self.next, self.expected, self.echo);
        self.host.send(&ack).await;
    }
}

fn failure_of(reset: &Packet) -> Failure {
    match reset.is_system_reset() {
        true => Failure::SystemReset,
        false => Failure::BackendReset,
    }
}
