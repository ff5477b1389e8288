//! A backend that follows the platform's protocol, with a path to the store that can be cut.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bambooseam_standin::site::{Flags, Packet, Store};
use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep};

use crate::record::Record;

/// Port at which callers receive.
const CALLER_PORT: u16 = 8172;

/// Interval between two heartbeats, as in the users' settings.
const HEARTBEAT: Duration = Duration::from_millis(770);

/// Lifetime of an entry without a heartbeat: three heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3 * 770);

/// Sequence number of the report that a backend drains, above those of its heartbeats.
const DRAIN_SEQUENCE: u64 = 1_000;

/// Time that the store takes for a write.
const WRITE_TIME: Duration = Duration::from_millis(4);

/// Interval between two attempts to reach a store that is cut off.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const LAST_RETRANSMISSION: Duration = Duration::from_millis(1_600);

/// What stays the same over the starts of a backend.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
}

/// A running start of a backend.
pub struct Backend {
    pub plan: Plan,
    /// Unix millisecond of the start.
    pub born: u64,
    /// Whether the path to the store is cut.
    pub is_cut: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

/// A flow at a backend.
struct Flow {
    peer_seq: u32,
    first_seq: u32,
    expected: u32,
    next: u32,
    echo: u32,
    is_open: bool,
    /// Responses that the caller has not acknowledged, with the time of the next transmission.
    unacked: Vec<(Packet, Instant, Duration)>,
    /// Responses whose work is not finished.
    pending: Vec<(Instant, String)>,
}

impl Backend {
    /// Starts the backend. It listens at once, and registers as soon as it reaches the store.
    pub async fn start(
        plan: &Plan,
        is_cut: &Arc<AtomicBool>,
        store: &Store,
        record: &Record,
    ) -> io::Result<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let born = born.as_millis() as u64;
        let socket = UdpSocket::bind(SocketAddr::from(plan.address)).await?;
        record.line(&format!(
            "backend {}@{born} starts at {}",
            plan.id, plan.address
        ));
        let server = Server {
            name: format!("{}@{born}", plan.id),
            label: label_of(&plan.id),
            born,
            socket,
            flows: HashMap::new(),
            record: record.clone(),
        };
        let is_draining = Arc::new(AtomicBool::new(false));
        let paths = (is_cut.clone(), is_draining.clone());
        let beats = beat(plan.clone(), born, paths, store.clone(), record.clone());
        Ok(Self {
            is_draining,
            plan: plan.clone(),
            born,
            is_cut: Arc::clone(is_cut),
            tasks: vec![tokio::spawn(server.run()), tokio::spawn(beats)],
        })
    }

    /// Announces that the backend drains. It goes on serving.
    pub fn drain(&self, store: &Store, record: &Record) {
        self.is_draining.store(true, Ordering::Relaxed);
        let entry = entry_of(&self.plan, self.born, DRAIN_SEQUENCE, true);
        let key = format!("servers/{}", self.plan.id);
        if store.put(&key, &entry, Some(ENTRY_LIFETIME)).is_some() {
            record.line(&format!(
                "the store acknowledges that {} drains",
                self.plan.id
            ));
        }
    }

    /// Ends the backend without a word, as a crash does. Its flows are lost.
    pub async fn crash(self, record: &Record) {
        for task in &self.tasks {
            task.abort();
        }
        for task in self.tasks {
            // An aborted task ends with an error.
            let _ = task.await;
        }
        record.line(&format!("backend {}@{} crashes", self.plan.id, self.born));
    }
}

/// The entry of a backend.
fn entry_of(plan: &Plan, born: u64, sequence: u64, is_draining: bool) -> Value {
    json!({
        "service": plan.service, "address": plan.address.to_string(), "zone": plan.zone,
        "config_version": "v1", "capacity": 2,
        "state": if is_draining { "draining" } else { "ready" },
        "warmup_left_ms": 0, "sequence": sequence, "born": born,
    })
}

/// Registers the backend, and renews its entry.
async fn beat(
    plan: Plan,
    born: u64,
    (is_cut, is_draining): (Arc<AtomicBool>, Arc<AtomicBool>),
    store: Store,
    record: Record,
) {
    let sequence = AtomicU64::new(0);
    let key = format!("servers/{}", plan.id);
    let mut written = None;
    loop {
        while is_cut.load(Ordering::Relaxed) {
            sleep(RETRY_INTERVAL).await;
        }
        sleep(WRITE_TIME).await;
        let sequence = sequence.fetch_add(1, Ordering::Relaxed) + 1;
        // A write that changes only the sequence number changes nothing that a watch returns.
        let is_own = written.is_some() && value_of(&store, &key) == written;
        if !is_own || !store.renew(&key, ENTRY_LIFETIME) {
            let entry = entry_of(&plan, born, sequence, is_draining.load(Ordering::Relaxed));
            if store.put(&key, &entry, Some(ENTRY_LIFETIME)).is_some() {
                record.line(&format!("store: entry of {} written, born {born}", plan.id));
                written = value_of(&store, &key);
            }
        }
        sleep(HEARTBEAT).await;
    }
}

/// The value that the store holds under a key.
fn value_of(store: &Store, key: &str) -> Option<Vec<u8>> {
    let history = store.lock();
    history.get(key).map(|item| item.value.clone())
}

/// Serves the packets of one start.
struct Server {
    name: String,
    label: u64,
    born: u64,
    socket: UdpSocket,
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    record: Record,
}

impl Server {
    async fn run(mut self) {
        let mut ticks = interval(Duration::from_millis(2));
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
        if label != 0 && label != self.label {
            return;
        }
        let Some(packet) = Packet::parse(bytes).filter(Packet::is_intact) else {
            self.record
                .line(&format!("{}: an altered packet arrives", self.name));
            return;
        };
        let key = (packet.src, packet.dst);
        if packet.flags.contains(Flags::RST) {
            self.flows.remove(&key);
            return;
        }
        if packet.flags.contains(Flags::SYN) {
            return self.open(&packet).await;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            let mut reset = Packet::new(packet.dst, packet.src, Flags::RST);
            reset.seq = packet.ack;
            self.record.line(&format!(
                "{}: resets unknown flow {}",
                self.name, packet.src
            ));
            return self.send(&reset).await;
        };
        if !flow.is_open && packet.ack != flow.first_seq.wrapping_add(1) {
            return;
        }
        if !flow.is_open {
            flow.is_open = true;
            let echo = packet.echo;
            self.record.line(&format!(
                "{}: flow {} is open, echo {echo:08x}",
                self.name, packet.src
            ));
        }
        flow.echo = packet.echo;
        flow.unacked.retain(|(sent, ..)| {
            let end = sent.seq.wrapping_add(sent.data.len() as u32);
            packet.ack.wrapping_sub(end) >= 1 << 31
        });
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            let line = String::from_utf8_lossy(&packet.data).trim().to_owned();
            let mut words = line.split(' ');
            let id = words.next().unwrap_or_default().to_owned();
            let work = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
            self.record
                .line(&format!("{}: runs request {id}", self.name));
            flow.pending
                .push((Instant::now() + Duration::from_millis(work), id));
        }
        let mut ack = Packet::new(packet.dst, packet.src, Flags::ACK);
        (ack.seq, ack.ack, ack.echo) = (flow.next, flow.expected, flow.echo);
        self.send(&ack).await;
    }

    async fn open(&mut self, packet: &Packet) {
        let first_seq = packet.seq.rotate_left(9) ^ self.label as u32 ^ self.born as u32;
        let flow = self.flows.entry((packet.src, packet.dst)).or_insert(Flow {
            peer_seq: packet.seq,
            first_seq,
            expected: packet.seq.wrapping_add(1),
            next: first_seq.wrapping_add(1),
            echo: packet.echo,
            is_open: false,
            unacked: Vec::new(),
            pending: Vec::new(),
        });
        if flow.peer_seq != packet.seq {
            return;
        }
        flow.echo = packet.echo;
        let mut answer = Packet::new(packet.dst, packet.src, Flags::SYN.union(Flags::ACK));
        (answer.seq, answer.ack, answer.echo) =
            (flow.first_seq, packet.seq.wrapping_add(1), flow.echo);
        self.send(&answer).await;
    }

    /// Sends the responses whose work is finished, and those that are not acknowledged.
    async fn tick(&mut self) {
        let now = Instant::now();
        let mut due = Vec::new();
        for ((caller, frontend), flow) in &mut self.flows {
            let finished: Vec<_> = flow.pending.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, id) in finished {
                let mut response = Packet::new(*frontend, *caller, Flags::ACK);
                response.seq = flow.next;
                response.data = format!("{id} {} 0\n", self.name).into_bytes();
                flow.next = flow.next.wrapping_add(response.data.len() as u32);
                flow.unacked.push((response, now, FIRST_RETRANSMISSION));
                self.record
                    .line(&format!("{}: answers request {id}", self.name));
            }
            for (response, at, delay) in &mut flow.unacked {
                if *at > now {
                    continue;
                }
                *at = now + *delay;
                *delay = (*delay * 2).min(LAST_RETRANSMISSION);
                (response.ack, response.echo) = (flow.expected, flow.echo);
                due.push(response.clone());
            }
        }
        for packet in due {
            self.send(&packet).await;
        }
    }

    async fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(*packet.dst.ip(), CALLER_PORT);
        // A packet to a caller that no longer exists is lost.
        let _ = self
            .socket
            .send_to(&packet.encode(), SocketAddr::from(to))
            .await;
    }
}

/// The number that labels the datagrams to a backend: the hexadecimal digits of its id.
fn label_of(id: &str) -> u64 {
    u64::from_str_radix(id.trim_start_matches("i-"), 16).unwrap_or_default()
}
