//! Clients: each flow is opened with a SYN and its copies, and carries requests of one packet with
//! pauses between them.

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bambooseam_standin::site::{Flags, Packet};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, timeout_at};

use crate::record::Record;
use crate::rotation::Rotation;

/// Times of the copies of a SYN, and the time after which the attempt ends.
const SYN_TIMES: [u64; 3] = [200, 600, 1_400];

/// What happened to a flow, as its client saw it.
#[derive(Clone, Default)]
pub struct FlowLog {
    /// A reset on the open flow: when, and whether the system itself sent it.
    pub reset: Option<(Duration, bool)>,
}

pub type Logs = Arc<Mutex<HashMap<(SocketAddrV4, SocketAddrV4), FlowLog>>>;

/// A client's host.
pub struct Host {
    address: Ipv4Addr,
    zone: String,
    socket: UdpSocket,
    rotation: Rotation,
    ports: Mutex<HashMap<u16, UnboundedSender<Packet>>>,
    next_port: AtomicU16,
    next_request: AtomicU32,
    record: Record,
    pub logs: Logs,
    /// Flows that have gone silent: what is sent to the client on them is lost.
    silent: Mutex<HashSet<(SocketAddrV4, SocketAddrV4)>>,
}

/// An open flow.
pub struct Flow {
    host: Arc<Host>,
    pub id: (SocketAddrV4, SocketAddrV4),
    packets: UnboundedReceiver<Packet>,
    /// The last `echo` that was received on the flow.
    echo: u32,
    next_seq: u32,
    expected: u32,
    received: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    SystemReset,
    BackendReset,
    Deadline,
}

impl Host {
    pub async fn start(
        address: Ipv4Addr,
        port: u16,
        zone: &str,
        rotation: &Rotation,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let host = Arc::new(Self {
            address,
            zone: zone.into(),
            socket: UdpSocket::bind((address, port)).await?,
            rotation: rotation.clone(),
            ports: Mutex::default(),
            next_port: AtomicU16::new(1_025),
            next_request: AtomicU32::new(1),
            record: record.clone(),
            logs: Logs::default(),
            silent: Mutex::default(),
        });
        let receiver = Arc::clone(&host);
        tokio::spawn(async move {
            let mut buffer = [0; 2_048];
            while let Ok(len) = receiver.socket.recv(&mut buffer).await {
                let Some(packet) = Packet::parse(&buffer[..len]) else {
                    continue;
                };
                if !packet.is_intact() && !packet.is_system_reset() {
                    receiver
                        .record
                        .add(format!("altered packet for {}", packet.dst));
                    continue;
                }
                let silent = receiver
                    .silent
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                if silent.contains(&(packet.dst, packet.src)) {
                    continue;
                }
                drop(silent);
                let ports = receiver
                    .ports
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                if let Some(sender) = ports.get(&packet.dst.port()) {
                    // A flow that has ended receives nothing more.
                    let _ = sender.send(packet);
                }
            }
        });
        Ok(host)
    }

    /// Opens a flow through the VMs that the routers choose.
    pub async fn open(self: &Arc<Self>, frontend: SocketAddrV4) -> Result<Flow, Failure> {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        let (sender, packets) = unbounded_channel();
        self.ports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(port, sender);
        let id = (SocketAddrV4::new(self.address, port), frontend);
        let seq = u32::from(port).wrapping_mul(0x9E37_79B1);
        let mut flow = Flow {
            host: Arc::clone(self),
            id,
            packets,
            echo: 0,
            next_seq: seq.wrapping_add(1),
            expected: 0,
            received: Vec::new(),
        };
        let started = Instant::now();
        let mut syn = Packet::new(id.0, id.1, Flags::SYN);
        syn.seq = seq;
        for (copy, time) in SYN_TIMES.into_iter().enumerate() {
            syn.ack = copy as u32;
            self.send(&syn).await;
            let deadline = started + Duration::from_millis(time);
            while let Ok(Some(answer)) = timeout_at(deadline, flow.packets.recv()).await {
                if answer.flags.contains(Flags::RST) {
                    return Err(match answer.is_system_reset() {
                        true => Failure::SystemReset,
                        false => Failure::BackendReset,
                    });
                }
                if answer.flags.contains(Flags::SYN.union(Flags::ACK)) {
                    flow.echo = answer.echo;
                    flow.expected = answer.seq.wrapping_add(1);
                    let ack = flow.packet(Flags::ACK);
                    self.send(&ack).await;
                    return Ok(flow);
                }
            }
        }
        Err(Failure::Deadline)
    }

    /// Loses from now on what is sent to the client on a flow.
    pub fn silence(&self, flow: (SocketAddrV4, SocketAddrV4)) {
        self.record.add(format!("silent from now on {}", flow.0));
        let mut silent = self.silent.lock().unwrap_or_else(PoisonError::into_inner);
        silent.insert(flow);
    }

    /// Name for the next request.
    pub fn request_name(&self, kind: &str) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{kind}-{}-{number}", self.zone)
    }

    async fn send(&self, packet: &Packet) {
        let flow = (packet.src, packet.dst);
        if let Some(vm) = self.rotation.route(&self.zone, flow) {
            // A VM that does not run drops the packet.
            let _ = self.socket.send_to(&packet.encode(), vm).await;
        }
    }

    fn log(&self, flow: (SocketAddrV4, SocketAddrV4), change: impl FnOnce(&mut FlowLog, Duration)) {
        let at = self.record.now();
        let mut logs = self.logs.lock().unwrap_or_else(PoisonError::into_inner);
        change(logs.entry(flow).or_default(), at);
    }
}

impl Flow {
    /// Sends a request, waits for its response and returns the name of the backend in it.
    pub async fn request(
        &mut self,
        name: &str,
        work_ms: u64,
        deadline: Duration,
    ) -> Result<String, Failure> {
        let record = self.host.record.clone();
        record.add(format!("sent {name} flow={}", self.id.0));
        let mut packet = self.packet(Flags::ACK);
        packet.data = format!("{name} {work_ms}\n").into_bytes();
        let end = self.next_seq.wrapping_add(packet.data.len() as u32);
        self.next_seq = end;
        let deadline = Instant::now() + deadline;
        let mut delay = Duration::from_millis(200);
        let mut is_acked = false;
        self.host.send(&packet).await;
        let mut due = Instant::now() + delay;
        loop {
            let until = if is_acked {
                deadline
            } else {
                due.min(deadline)
            };
            match timeout_at(until, self.packets.recv()).await {
                Ok(Some(answer)) => {
                    if let Err(failure) = self.receive(&answer).await {
                        record.add(format!("failed {name} cause={failure:?}"));
                        return Err(failure);
                    }
                    let is_data = !answer.flags.contains(Flags::SYN);
                    is_acked |= is_data && answer.ack.wrapping_sub(end) < 1 << 31;
                    if let Some(at) = self.received.iter().position(|byte| *byte == b'\n') {
                        let line: Vec<u8> = self.received.drain(..=at).collect();
                        let line = String::from_utf8_lossy(&line).trim().to_owned();
                        record.add(format!("answered {name} by {line}"));
                        let backend = line.split(' ').nth(1).unwrap_or_default();
                        return Ok(backend.to_owned());
                    }
                }
                Ok(None) => return Err(Failure::Deadline),
                Err(_) if Instant::now() >= deadline => {
                    record.add(format!("failed {name} cause=deadline flow={}", self.id.0));
                    self.abort().await;
                    return Err(Failure::Deadline);
                }
                Err(_) => {
                    packet.echo = self.echo;
                    packet.ack = self.expected;
                    self.host.send(&packet).await;
                    delay = (delay * 2).min(Duration::from_millis(1_600));
                    due = Instant::now() + delay;
                }
            }
        }
    }

    /// Keeps the flow without a request for a time.
    pub async fn pause(&mut self, time: Duration) -> Result<(), Failure> {
        let until = Instant::now() + time;
        while let Ok(Some(answer)) = timeout_at(until, self.packets.recv()).await {
            self.receive(&answer).await?;
        }
        Ok(())
    }

    /// Closes the flow.
    pub async fn close(self) {
        let fin = self.packet(Flags::ACK.union(Flags::FIN));
        self.host.send(&fin).await;
    }

    /// Gives the flow up.
    async fn abort(&self) {
        let reset = self.packet(Flags::RST);
        self.host.send(&reset).await;
    }

    async fn receive(&mut self, packet: &Packet) -> Result<(), Failure> {
        if packet.flags.contains(Flags::RST) {
            // A reset whose number is far from the last acknowledgement is ignored.
            let distance = packet.seq.wrapping_sub(self.expected) as i32;
            if distance.unsigned_abs() > 76_800 {
                return Ok(());
            }
            let is_system = packet.is_system_reset();
            self.host.log(self.id, |log, at| {
                log.reset = Some((at, is_system));
            });
            let (id, record) = (self.id.0, &self.host.record);
            record.add(format!("reset of open flow {id} by_system={is_system}"));
            return Err(match is_system {
                true => Failure::SystemReset,
                false => Failure::BackendReset,
            });
        }
        // "The client and the backend each place in their own packets the last echo that they
        // received on a flow."
        self.echo = packet.echo;
        if packet.flags.contains(Flags::SYN) {
            let (id, echo) = (self.id.0, packet.echo);
            self.host
                .record
                .add(format!("late SYN+ACK on open flow {id} echo={echo:08x}"));
            return Ok(());
        }
        if packet.data.is_empty() {
            return Ok(());
        }
        if packet.seq == self.expected {
            self.received.extend(&packet.data);
            self.expected = self.expected.wrapping_add(packet.data.len() as u32);
        }
        let ack = self.packet(Flags::ACK);
        self.host.send(&ack).await;
        Ok(())
    }

    fn packet(&self, flags: Flags) -> Packet {
        let mut packet = Packet::new(self.id.0, self.id.1, flags);
        packet.seq = self.next_seq;
        packet.ack = self.expected;
        packet.echo = self.echo;
        packet
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        let mut ports = self
            .host
            .ports
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        ports.remove(&self.id.0.port());
    }
}
