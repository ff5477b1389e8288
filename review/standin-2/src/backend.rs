//! A backend: it registers itself in the store, and answers requests of one packet with responses
//! of one packet.

use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bambooseam_standin::site::{Flags, Packet, Store};
use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep};

use crate::record::Record;

/// `heartbeat_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(770);
/// An entry is removed after three heartbeat intervals of silence.
const LIFETIME: Duration = Duration::from_millis(3 * 770);
const MAX_RETRANSMISSIONS: u32 = 8;

/// Who a backend is.
#[derive(Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub born: u64,
}

/// A request that a backend began to work on.
#[derive(Clone)]
pub struct Run {
    pub request: String,
    pub backend: String,
    pub service: String,
}

/// What all backends have seen.
#[derive(Default)]
pub struct Seen {
    pub runs: Vec<Run>,
    /// The backend at which each flow opened first: its name, when, and whether it still runs.
    pub opened: HashMap<(SocketAddrV4, SocketAddrV4), (String, Duration)>,
    /// Openings that backends took: when, at which backend, and the flow.
    pub taken: Vec<(Duration, String, (SocketAddrV4, SocketAddrV4))>,
    /// When the store acknowledged that a backend is draining, by name.
    pub draining: HashMap<String, Duration>,
    /// Times at which backends ended, by name.
    pub ended: HashMap<String, Duration>,
}

pub type SharedSeen = Arc<Mutex<Seen>>;

/// A running backend.
pub struct Backend {
    pub identity: Identity,
    tasks: Vec<JoinHandle<()>>,
    seen: SharedSeen,
    record: Record,
    is_draining: Arc<AtomicBool>,
}

struct Flow {
    is_open: bool,
    first_seq: u32,
    next_seq: u32,
    expected: u32,
    echo: u32,
    pending: Option<(Instant, Vec<u8>)>,
    unacked: Option<Unacked>,
    is_closed: bool,
}

struct Unacked {
    seq: u32,
    data: Vec<u8>,
    due: Instant,
    delay: Duration,
    count: u32,
}

impl Backend {
    /// Starts a backend, which listens and then registers itself.
    pub async fn start(
        identity: Identity,
        store: &Store,
        seen: &SharedSeen,
        record: &Record,
        client_port: u16,
    ) -> std::io::Result<Self> {
        let socket = bambooseam_standin::bind_with_retry(|| {
            UdpSocket::bind(SocketAddr::from(identity.address))
        })
        .await?;
        record.add(format!("backend start {}", identity.name()));
        let is_draining = Arc::new(AtomicBool::new(false));
        let server = Server {
            identity: identity.clone(),
            socket,
            flows: HashMap::new(),
            seen: Arc::clone(seen),
            record: record.clone(),
            client_port,
        };
        let beat = beat(
            identity.clone(),
            store.clone(),
            Arc::clone(&is_draining),
            Arc::clone(seen),
            record.clone(),
        );
        Ok(Self {
            identity,
            tasks: vec![tokio::spawn(server.run()), tokio::spawn(beat)],
            seen: Arc::clone(seen),
            record: record.clone(),
            is_draining,
        })
    }

    /// Reports `draining` with the next heartbeat.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Ends the backend as a crash does.
    pub async fn crash(self) -> Identity {
        for task in self.tasks {
            task.abort();
            // An aborted task ends with an error.
            let _ = task.await;
        }
        let name = self.identity.name();
        self.record.add(format!("backend crash {name}"));
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.ended.insert(name, self.record.now());
        self.identity
    }
}

impl Identity {
    pub fn name(&self) -> String {
        format!("{}@{}", self.id, self.born)
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// The number in front of each datagram for this backend.
    fn label(&self) -> u64 {
        let digits = self.id.rsplit('-').next().unwrap_or_default();
        u64::from_str_radix(digits, 16).unwrap_or_default()
    }

    pub fn entry(&self, state: &str, sequence: u64) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "config_version": "v1", "capacity": 2, "state": state, "warmup_left_ms": 0,
            "sequence": sequence, "born": self.born,
        })
    }
}

/// Writes the entry at each heartbeat. The entry changes when more than `sequence` differs from
/// what the store holds; otherwise its lease is renewed.
async fn beat(
    identity: Identity,
    store: Store,
    is_draining: Arc<AtomicBool>,
    seen: SharedSeen,
    record: Record,
) {
    let sequence = AtomicU64::new(0);
    loop {
        let state = match is_draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let number = sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = identity.entry(state, number);
        let stored: Option<Value> = {
            let history = store.lock();
            let item = history.get(&identity.key());
            item.and_then(|item| serde_json::from_slice(&item.value).ok())
        };
        let is_same = stored.is_some_and(|mut stored| {
            stored["sequence"] = entry["sequence"].clone();
            stored == entry
        });
        if !(is_same && store.renew(&identity.key(), LIFETIME)) {
            let written = store.put(&identity.key(), &entry, Some(LIFETIME));
            if written.is_some() && state == "draining" {
                record.add(format!(
                    "store acknowledged draining of {}",
                    identity.name()
                ));
                let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
                seen.draining.entry(identity.name()).or_insert(record.now());
            }
        }
        sleep(HEARTBEAT).await;
    }
}

struct Server {
    identity: Identity,
    socket: UdpSocket,
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    seen: SharedSeen,
    record: Record,
    client_port: u16,
}

impl Server {
    async fn run(mut self) {
        let mut ticks = interval(Duration::from_millis(5));
        let mut buffer = [0; 2_048];
        loop {
            tokio::select! {
                received = self.socket.recv(&mut buffer) => {
                    if let Ok(len) = received {
                        self.handle(&buffer[..len]).await;
                    }
                }
                _ = ticks.tick() => self.tick().await,
            }
        }
    }

    async fn handle(&mut self, datagram: &[u8]) {
        let Some((label, bytes)) = datagram.split_first_chunk::<8>() else {
            return;
        };
        let label = u64::from_be_bytes(*label);
        if label != 0 && label != self.identity.label() {
            return;
        }
        let Some(packet) = Packet::parse(bytes).filter(Packet::is_intact) else {
            return;
        };
        let flow = (packet.src, packet.dst);
        if packet.flags.contains(Flags::SYN) {
            return self.open(&packet).await;
        }
        let name = self.identity.name();
        let Some(state) = self.flows.get_mut(&flow) else {
            self.record_not_held(flow);
            if packet.flags.contains(Flags::RST) {
                return;
            }
            let mut reset = Packet::new(packet.dst, packet.src, Flags::RST);
            reset.seq = packet.ack;
            self.record
                .add(format!("backend {name} resets {} (not held)", flow.0));
            return self.send(&reset).await;
        };
        if !state.is_open && packet.ack != state.first_seq.wrapping_add(1) {
            // The flow opened at another backend.
            self.record_not_held(flow);
            return;
        }
        if !state.is_open {
            state.is_open = true;
            let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
            let at = self.record.now();
            seen.opened.entry(flow).or_insert((name.clone(), at));
        }
        state.echo = packet.echo;
        if state.unacked.as_ref().is_some_and(|unacked| {
            let end = unacked.seq.wrapping_add(unacked.data.len() as u32);
            packet.ack.wrapping_sub(end) < 1 << 31
        }) {
            state.unacked = None;
        }
        if packet.flags.contains(Flags::RST) {
            state.is_closed = true;
        }
        let is_new = packet.seq == state.expected && !packet.data.is_empty();
        let is_repeated = !packet.data.is_empty() && !is_new;
        let mut answer = None;
        if is_new {
            state.expected = state.expected.wrapping_add(packet.data.len() as u32);
            let line = String::from_utf8_lossy(&packet.data).trim().to_owned();
            let mut words = line.split(' ');
            let request = words.next().unwrap_or_default().to_owned();
            let work = words.next().and_then(|w| w.parse().ok()).unwrap_or(20);
            let response = format!("{request} {name}\n").into_bytes();
            state.pending = Some((Instant::now() + Duration::from_millis(work), response));
            self.record.add(format!(
                "run {request} at {name} service={}",
                self.identity.service
            ));
            let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
            seen.runs.push(Run {
                request,
                backend: name.clone(),
                service: self.identity.service.clone(),
            });
        }
        if packet.flags.contains(Flags::FIN) && packet.seq == state.expected {
            state.expected = state.expected.wrapping_add(1);
            state.is_closed = true;
            answer = Some(state.packet(flow, Flags::ACK.union(Flags::FIN)));
        } else if is_repeated {
            answer = Some(state.packet(flow, Flags::ACK));
        }
        let is_closed = state.is_closed;
        if let Some(answer) = answer {
            self.send(&answer).await;
        }
        if is_closed {
            self.flows.remove(&flow);
        }
    }

    fn record_not_held(&self, flow: (SocketAddrV4, SocketAddrV4)) {
        let name = self.identity.name();
        self.record.add(format!(
            "arrival flow={} at {name} which does not hold it",
            flow.0
        ));
    }

    async fn open(&mut self, packet: &Packet) {
        if packet.flags.contains(Flags::ACK) {
            return;
        }
        let flow = (packet.src, packet.dst);
        self.record.add(format!(
            "syn flow={} copy={} at {}",
            flow.0,
            packet.ack,
            self.identity.name()
        ));
        let first_seq = packet.seq.rotate_left(7)
            ^ (self.identity.label() as u32)
            ^ (self.identity.born as u32);
        let state = self.flows.entry(flow).or_insert_with(|| Flow {
            is_open: false,
            first_seq,
            next_seq: first_seq.wrapping_add(1),
            expected: packet.seq.wrapping_add(1),
            echo: 0,
            pending: None,
            unacked: None,
            is_closed: false,
        });
        state.echo = packet.echo;
        {
            let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
            seen.taken
                .push((self.record.now(), self.identity.name(), flow));
        }
        let mut answer = state.packet(flow, Flags::SYN.union(Flags::ACK));
        answer.seq = state.first_seq;
        self.send(&answer).await;
    }

    async fn tick(&mut self) {
        let now = Instant::now();
        let mut packets = Vec::new();
        for (flow, state) in &mut self.flows {
            if state.pending.as_ref().is_some_and(|(at, _)| *at <= now)
                && let Some((_, data)) = state.pending.take()
            {
                let seq = state.next_seq;
                state.next_seq = seq.wrapping_add(data.len() as u32);
                state.unacked = Some(Unacked {
                    seq,
                    data,
                    due: now,
                    delay: Duration::from_millis(200),
                    count: 0,
                });
            }
            let Some(mut unacked) = state.unacked.take() else {
                continue;
            };
            if unacked.due <= now {
                let mut packet = state.packet(*flow, Flags::ACK);
                packet.seq = unacked.seq;
                packet.data = unacked.data.clone();
                packets.push(packet);
                unacked.due = now + unacked.delay;
                unacked.delay = (unacked.delay * 2).min(Duration::from_millis(1_600));
                unacked.count += 1;
            }
            if unacked.count <= MAX_RETRANSMISSIONS {
                state.unacked = Some(unacked);
            }
        }
        for packet in packets {
            self.send(&packet).await;
        }
    }

    async fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(*packet.dst.ip(), self.client_port);
        // A packet to a client that no longer exists is lost.
        let _ = self
            .socket
            .send_to(&packet.encode(), SocketAddr::from(to))
            .await;
    }
}

impl Flow {
    fn packet(&self, flow: (SocketAddrV4, SocketAddrV4), flags: Flags) -> Packet {
        let mut packet = Packet::new(flow.1, flow.0, flags);
        packet.seq = self.next_seq;
        packet.ack = self.expected;
        packet.echo = self.echo;
        packet
    }
}
