//! Backends as PROTOCOL.md describes them: each takes flows at its address, answers requests, and
//! keeps its entry in the store.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bambooseam_standin::site::{Flags, Packet, Store};
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::{interval, sleep};

use crate::record::Record;

/// Port at which clients receive, as in the settings of the VMs.
const CLIENT_PORT: u16 = 8172;

/// `heartbeat_ms` of the users' settings; an entry lapses after three of them.
const HEARTBEAT: Duration = Duration::from_millis(770);

/// First and longest time after which a packet is sent again, and how often.
const FIRST_REPEAT: Duration = Duration::from_millis(200);
const LONGEST_REPEAT: Duration = Duration::from_millis(1_600);
const MAX_REPEATS: u32 = 8;

/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(26);

/// A packet other than an opening one that reached a backend, or a flow that opened there.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub backend: String,
    pub zone: String,
    pub client: SocketAddrV4,
    pub is_opening: bool,
    /// Number of the copy of an opening packet.
    pub copy: u32,
    /// Whether the backend took the opening packet.
    pub is_taken: bool,
}

/// A running backend.
#[derive(Debug)]
pub struct Backend {
    pub name: String,
    pub service: String,
    /// Whether the backend is full, so that it does not answer opening packets.
    pub is_full: AtomicBool,
    id: String,
    zone: String,
    address: SocketAddrV4,
    number: u32,
    sequence: AtomicU64,
    born: u64,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    store: Store,
    record: Record,
}

/// Where and what a backend is.
#[derive(Debug)]
pub struct Plan {
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub number: u32,
}

#[derive(Debug)]
struct Flow {
    first_seq: u32,
    is_open: bool,
    echo: u32,
    next_seq: u32,
    expected: u32,
    /// Ends of requests that are worked on, with the answers.
    work: Vec<(Instant, Vec<u8>)>,
    unacked: Vec<Unacked>,
}

#[derive(Debug)]
struct Unacked {
    seq: u32,
    data: Vec<u8>,
    due: Instant,
    delay: Duration,
    repeats: u32,
}

impl Backend {
    /// Starts a backend and writes its entry.
    pub async fn start(
        plan: Plan,
        store: &Store,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(plan.address).await?;
        let backend = Arc::new(Self {
            name: format!("{}-{}", plan.service, plan.number),
            id: format!("i-{:08x}", 0x7f3a_0000_u32 + plan.number * 0x0101),
            service: plan.service,
            is_full: AtomicBool::new(false),
            zone: plan.zone,
            address: plan.address,
            number: plan.number,
            sequence: AtomicU64::new(0),
            born: 1_790_000_000_000 + u64::from(plan.number),
            arrivals: Arc::clone(arrivals),
            store: store.clone(),
            record: record.clone(),
        });
        backend.write_entry();
        let writer = Arc::clone(&backend);
        tokio::spawn(async move {
            loop {
                sleep(HEARTBEAT).await;
                writer.write_entry();
            }
        });
        tokio::spawn(Arc::clone(&backend).serve(socket));
        Ok(backend)
    }

    fn write_entry(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "config_version": "v1", "capacity": 2, "state": "ready", "warmup_left_ms": 0,
            "sequence": sequence, "born": self.born,
        });
        let _ = self
            .store
            .put(&format!("servers/{}", self.id), &entry, Some(3 * HEARTBEAT));
    }

    async fn serve(self: Arc<Self>, socket: UdpSocket) {
        let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow> = HashMap::new();
        let mut ticks = interval(Duration::from_millis(5));
        let mut buffer = [0; 2_048];
        loop {
            let mut out = Vec::new();
            tokio::select! {
                received = socket.recv(&mut buffer) => {
                    let Ok(len) = received else { continue };
                    self.handle(&buffer[..len], &mut flows, &mut out);
                }
                _ = ticks.tick() => {
                    for ((client, frontend), flow) in &mut flows {
                        flow.tick((*client, *frontend), &mut out);
                    }
                }
            }
            for packet in out {
                let to = SocketAddrV4::new(*packet.dst.ip(), CLIENT_PORT);
                let _ = socket.send_to(&packet.encode(), to).await;
            }
        }
    }

    fn handle(
        &self,
        datagram: &[u8],
        flows: &mut HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
        out: &mut Vec<Packet>,
    ) {
        let Some((label, packet)) = datagram.split_first_chunk::<8>() else {
            return;
        };
        let own = u64::from_str_radix(&self.id[2..], 16).unwrap_or_default();
        let label = u64::from_be_bytes(*label);
        // A backend sends nothing if it is not the intended one.
        if label != 0 && label != own {
            return;
        }
        let Some(packet) = Packet::parse(packet).filter(Packet::is_intact) else {
            return;
        };
        let key = (packet.src, packet.dst);
        if packet.flags.contains(Flags::SYN) {
            let is_taken = !self.is_full.load(Ordering::Relaxed);
            self.arrived(&packet, is_taken, false);
            if !is_taken {
                return;
            }
            // The number shows the client which backend it is.
            let first_seq = (self.number + 1) << 24 | (packet.seq & 0x00ff_ffff);
            let flow = flows.entry(key).or_insert_with(|| Flow {
                first_seq,
                is_open: false,
                echo: packet.echo,
                next_seq: first_seq.wrapping_add(1),
                expected: packet.seq.wrapping_add(1),
                work: Vec::new(),
                unacked: Vec::new(),
            });
            flow.echo = packet.echo;
            let mut answer = Packet::new(packet.dst, packet.src, Flags::SYN.union(Flags::ACK));
            answer.seq = flow.first_seq;
            answer.ack = packet.seq.wrapping_add(1);
            answer.echo = flow.echo;
            out.push(answer);
            return;
        }
        let Some(flow) = flows.get_mut(&key) else {
            self.arrived(&packet, false, false);
            if !packet.flags.contains(Flags::RST) {
                // A packet of a flow that the backend does not hold.
                let mut reset = Packet::new(packet.dst, packet.src, Flags::RST);
                reset.seq = packet.ack;
                reset.echo = packet.echo;
                out.push(reset);
            }
            return;
        };
        // The flow opens at the backend whose sequence number is acknowledged.
        let is_acknowledged =
            packet.ack.wrapping_sub(flow.first_seq) < 1 << 23 && packet.ack != flow.first_seq;
        if !flow.is_open && !is_acknowledged {
            self.arrived(&packet, false, false);
            return;
        }
        flow.is_open = true;
        self.arrived(&packet, false, true);
        if packet.flags.contains(Flags::RST) {
            flows.remove(&key);
            return;
        }
        flow.receive(&packet, &self.name, out);
    }

    fn arrived(&self, packet: &Packet, is_taken: bool, is_own: bool) {
        let arrival = Arrival {
            at: self.record.now(),
            backend: self.name.clone(),
            zone: self.zone.clone(),
            client: packet.src,
            is_opening: packet.flags.contains(Flags::SYN),
            copy: packet.ack,
            is_taken,
        };
        let what = match (arrival.is_opening, is_taken, is_own) {
            (true, true, _) => format!("opening packet, copy {}, taken", packet.ack),
            (true, false, _) => format!("opening packet, copy {}, full", packet.ack),
            (_, _, true) => format!("packet of its flow, {} B", packet.data.len()),
            _ => format!("packet of another backend's flow, {} B", packet.data.len()),
        };
        self.record
            .trace(format!("{}: from {}: {what}", self.name, packet.src.port()));
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.push(arrival);
    }
}

impl Flow {
    fn receive(&mut self, packet: &Packet, name: &str, out: &mut Vec<Packet>) {
        self.echo = packet.echo;
        let is_acked = |u: &Unacked| {
            packet
                .ack
                .wrapping_sub(u.seq.wrapping_add(u.data.len() as u32))
                < 1 << 31
        };
        self.unacked.retain(|u| !is_acked(u));
        let is_last = packet.flags.contains(Flags::FIN);
        if packet.data.is_empty() && !is_last {
            return;
        }
        if packet.seq == self.expected {
            let len = packet.data.len() as u32 + u32::from(is_last);
            self.expected = self.expected.wrapping_add(len);
            if !packet.data.is_empty() {
                let id = String::from_utf8_lossy(&packet.data).trim().to_owned();
                let answer = format!("{id} {name}\n").into_bytes();
                self.work.push((Instant::now() + WORK_TIME, answer));
            }
        }
        out.push(self.packet((packet.src, packet.dst), self.next_seq, Vec::new()));
    }

    fn tick(&mut self, key: (SocketAddrV4, SocketAddrV4), out: &mut Vec<Packet>) {
        let now = Instant::now();
        while let Some(at) = self.work.iter().position(|(end, _)| *end <= now) {
            let (_, data) = self.work.remove(at);
            let seq = self.next_seq;
            self.next_seq = seq.wrapping_add(data.len() as u32);
            self.unacked.push(Unacked {
                seq,
                data,
                due: now,
                delay: FIRST_REPEAT,
                repeats: 0,
            });
        }
        let mut due = Vec::new();
        for unacked in &mut self.unacked {
            if unacked.due <= now {
                due.push((unacked.seq, unacked.data.clone()));
                unacked.due = now + unacked.delay;
                unacked.delay = (2 * unacked.delay).min(LONGEST_REPEAT);
                unacked.repeats += 1;
            }
        }
        self.unacked.retain(|u| u.repeats <= MAX_REPEATS);
        for (seq, data) in due {
            out.push(self.packet(key, seq, data));
        }
    }

    fn packet(
        &self,
        (client, frontend): (SocketAddrV4, SocketAddrV4),
        seq: u32,
        data: Vec<u8>,
    ) -> Packet {
        let mut packet = Packet::new(frontend, client, Flags::ACK);
        packet.seq = seq;
        packet.ack = self.expected;
        packet.echo = self.echo;
        packet.data = data;
        packet
    }
}
