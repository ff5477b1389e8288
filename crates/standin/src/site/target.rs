//! Simulated targets of flows; each target process of the platform is a task here.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::{interval, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::endpoint::Endpoint;
use super::{Counters, Flags, Packet, Store};
use crate::bind_with_retry;

/// Interval between two checks for due packets.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Time after its announcement from which a draining target must receive no new flow.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// After an outage of the store, targets rewrite their expired entries one after the other, within
/// 1.5 s.
const REWRITE_STEP: Duration = Duration::from_millis(150);
const REWRITE_STEPS: u64 = 11;

/// Lifetime of an entry without renewal, in heartbeat intervals.
const TTL_HEARTBEATS: u32 = 3;

/// All pairs of frontend and service that have ever had a route.
pub(super) type RouteHistory = Arc<Mutex<HashSet<(SocketAddrV4, String)>>>;

/// Identity and address of a target.
#[derive(Debug, Clone)]
pub struct TargetPlan {
    /// Identifier of the target.
    pub id: String,
    /// Service of the target.
    pub service: String,
    /// Zone of the target.
    pub zone: String,
    /// Address at which the target receives datagrams.
    pub address: SocketAddrV4,
    /// Interval between two heartbeats.
    pub heartbeat: Duration,
}

/// A running target.
#[derive(Debug)]
pub struct FlowTarget {
    plan: TargetPlan,
    store: Store,
    shared: Arc<Shared>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// State that the tasks of a target share.
#[derive(Debug)]
struct Shared {
    incarnation: u64,
    /// Number of the target's writes to the store.
    sequence: AtomicU64,
    draining_since: Mutex<Option<Instant>>,
    /// Whether the target can't reach the store.
    is_cut: AtomicBool,
    /// Number of flows opened at the target.
    openings: AtomicU64,
    counters: Arc<Counters>,
    route_history: RouteHistory,
    caller_port: u16,
}

/// State of a flow at a target.
#[derive(Debug)]
struct Flow {
    endpoint: Endpoint,
    is_open: bool,
    first_seq: u32,
    /// Time at which the work of the request in progress ends, and the answer to the request.
    pending: Option<(Instant, Vec<u8>)>,
    is_closing: bool,
}

impl FlowTarget {
    /// Starts a target, and registers it in the store unless it `is_cut` off from the store; callers
    /// receive at `caller_port`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub(super) async fn start(
        plan: TargetPlan,
        incarnation: u64,
        is_cut: bool,
        caller_port: u16,
        store: &Store,
        counters: &Arc<Counters>,
        route_history: &RouteHistory,
    ) -> io::Result<Self> {
        let address = SocketAddr::from(plan.address);
        let socket = bind_with_retry(|| UdpSocket::bind(address)).await?;
        let target = Self {
            shared: Arc::new(Shared {
                incarnation,
                sequence: AtomicU64::new(0),
                draining_since: Mutex::default(),
                is_cut: AtomicBool::new(is_cut),
                openings: AtomicU64::new(0),
                counters: Arc::clone(counters),
                route_history: Arc::clone(route_history),
                caller_port,
            }),
            plan,
            store: store.clone(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        counters.set_alive(&target.name(), true);
        target.write_entry("ready");
        let server = PacketServer {
            plan: target.plan.clone(),
            shared: Arc::clone(&target.shared),
            socket,
            flows: HashMap::new(),
        };
        let stop = target.stop.clone();
        target
            .tasks
            .spawn(async move { stop.run_until_cancelled(server.run()).await });
        target.refresh_entry();
        Ok(target)
    }

    /// Returns the identity and the address of the target.
    pub fn plan(&self) -> &TargetPlan {
        &self.plan
    }

    /// Returns the name of this incarnation of the target, as its answers contain it.
    pub fn name(&self) -> String {
        format!("{}@{}", self.plan.id, self.shared.incarnation)
    }

    /// Returns the number of flows opened at the target so far.
    pub fn openings(&self) -> u64 {
        self.shared.openings.load(Ordering::Relaxed)
    }

    /// Announces that the target drains; the target keeps its open flows.
    pub fn drain(&self) {
        *self.shared.draining_since() = Some(Instant::now());
        self.write_entry("draining");
    }

    /// Ends the cut between the target and the store, and registers the target.
    pub fn reconnect(&self) {
        self.shared.is_cut.store(false, Ordering::Relaxed);
        self.write_entry(self.shared.state());
    }

    /// Stops the target without an announcement; its entry expires.
    pub async fn crash(self) {
        self.stop().await;
    }

    /// Stops the target and removes its entry.
    pub async fn leave(self) {
        self.stop().await;
        self.store.remove(&self.key());
    }

    /// Waits until the tasks have ended: one that is running would still answer a packet or write
    /// the entry.
    async fn stop(&self) {
        self.shared.counters.set_alive(&self.name(), false);
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn key(&self) -> String {
        format!("servers/{}", self.plan.id)
    }

    /// Writes the entry to the store, if the target reaches it.
    fn write_entry(&self, state: &str) {
        if self.shared.is_cut.load(Ordering::Relaxed) {
            return;
        }
        let sequence = self.shared.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = json!({
            "service": self.plan.service, "address": self.plan.address.to_string(),
            "zone": self.plan.zone, "config_version": "v1", "capacity": 2, "state": state,
            "warmup_left_ms": 0, "sequence": sequence, "born": self.shared.incarnation,
        });
        self.store.put(
            &self.key(),
            &entry,
            Some(self.plan.heartbeat * TTL_HEARTBEATS),
        );
    }

    /// Renews the entry at each heartbeat, and writes the entry again after it has expired or after
    /// the store has returned from a copy.
    fn refresh_entry(&self) {
        let writer = Self {
            plan: self.plan.clone(),
            store: self.store.clone(),
            shared: Arc::clone(&self.shared),
            stop: self.stop.clone(),
            tasks: self.tasks.clone(),
        };
        let stop = self.stop.clone();
        let refresh = async move {
            let mut era = writer.store.era();
            loop {
                sleep(writer.plan.heartbeat).await;
                if writer.shared.is_cut.load(Ordering::Relaxed) {
                    continue;
                }
                let is_renewed = writer
                    .store
                    .renew(&writer.key(), writer.plan.heartbeat * TTL_HEARTBEATS);
                if is_renewed && writer.store.era() == era {
                    continue;
                }
                era = writer.store.era();
                sleep(REWRITE_STEP * (writer.shared.incarnation / 1_000 % REWRITE_STEPS) as u32)
                    .await;
                writer.write_entry(writer.shared.state());
            }
        };
        self.tasks
            .spawn(async move { stop.run_until_cancelled(refresh).await });
    }
}

impl Shared {
    /// Returns the state that the entry of the target shows.
    fn state(&self) -> &'static str {
        match *self.draining_since() {
            Some(_) => "draining",
            None => "ready",
        }
    }

    fn draining_since(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.draining_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Task that handles the packets of a target.
struct PacketServer {
    plan: TargetPlan,
    shared: Arc<Shared>,
    socket: UdpSocket,
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
}

impl PacketServer {
    async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        let mut buffer = [0; 2_048];
        loop {
            tokio::select! {
                received = self.socket.recv(&mut buffer) => {
                    if let Ok(len) = received {
                        self.handle_datagram(&buffer[..len]).await;
                    }
                }
                _ = ticks.tick() => self.tick().await,
            }
        }
    }

    async fn handle_datagram(&mut self, datagram: &[u8]) {
        let counters = Arc::clone(&self.shared.counters);
        let Some((label, packet)) = datagram.split_first_chunk::<8>() else {
            return Counters::increment(&counters.altered);
        };
        let label = u64::from_be_bytes(*label);
        if label != 0 && label != label_of(&self.plan.id) {
            return Counters::increment(&counters.misdirected);
        }
        let Some(packet) = Packet::parse(packet).filter(Packet::is_intact) else {
            return Counters::increment(&counters.altered);
        };
        if packet.flags.contains(Flags::SYN.union(Flags::ACK)) {
            return Counters::increment(&counters.forged);
        }
        let key = (packet.src, packet.dst);
        if packet.flags.contains(Flags::RST) {
            self.flows.remove(&key);
            return;
        }
        if packet.flags.contains(Flags::SYN) {
            return self.open_flow(&packet).await;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            let mut reset = Packet::new(packet.dst, packet.src, Flags::RST);
            reset.seq = packet.ack;
            return self.send(&reset).await;
        };
        if !flow.is_open && packet.ack != flow.first_seq.wrapping_add(1) {
            return;
        }
        flow.is_open = true;
        let answer = flow.endpoint.receive(&packet);
        flow.start_work(&self.plan, &self.shared, Instant::now());
        if let Some(answer) = answer {
            self.send(&answer).await;
        }
    }

    async fn open_flow(&mut self, packet: &Packet) {
        let key = (packet.src, packet.dst);
        self.check_placement(packet);
        let opening = (packet.src, packet.dst, packet.seq);
        self.shared
            .counters
            .record_first_target(opening, &self.plan.id);
        let first_seq = packet.seq.rotate_left(7)
            ^ label_of(&self.plan.id) as u32
            ^ self.shared.incarnation as u32;
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            endpoint: Endpoint::new(
                packet.dst,
                packet.src,
                first_seq.wrapping_add(1),
                packet.seq.wrapping_add(1),
            ),
            is_open: false,
            first_seq,
            pending: None,
            is_closing: false,
        });
        flow.endpoint.set_echo(packet);
        let mut answer = flow.endpoint.acknowledgement();
        answer.flags = Flags::SYN.union(Flags::ACK);
        answer.seq = flow.first_seq;
        self.send(&answer).await;
    }

    /// Counts a flow opening that the load balancer should not have sent to this target.
    fn check_placement(&self, packet: &Packet) {
        let service = (packet.dst, self.plan.service.clone());
        let route_history = self
            .shared
            .route_history
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !route_history.contains(&service) {
            Counters::increment(&self.shared.counters.wrong_service);
        }
        let is_late = self
            .shared
            .draining_since()
            .is_some_and(|since| since.elapsed() > DRAIN_GRACE);
        if self.flows.contains_key(&(packet.src, packet.dst)) {
            return;
        }
        if is_late {
            Counters::increment(&self.shared.counters.late_to_leaving);
        }
        self.shared.openings.fetch_add(1, Ordering::Relaxed);
        self.shared.counters.record_opening(&self.plan.zone);
    }

    async fn tick(&mut self) {
        let now = Instant::now();
        let is_draining = self.shared.draining_since().is_some();
        let mut packets = Vec::new();
        self.flows.retain(|_, flow| {
            if let Some((at, _)) = flow.pending
                && at <= now
                && let Some((_, answer)) = flow.pending.take()
            {
                flow.endpoint.queue(&answer, is_draining);
                flow.is_closing |= is_draining;
            }
            if flow.endpoint.is_remote_closed && !flow.is_closing && flow.pending.is_none() {
                flow.endpoint.queue(&[], true);
                flow.is_closing = true;
            }
            packets.extend(flow.endpoint.due_packets(now));
            !(flow.is_closing && flow.endpoint.is_remote_closed && flow.endpoint.is_flushed())
        });
        for packet in packets {
            self.send(&packet).await;
        }
    }

    async fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(*packet.dst.ip(), self.shared.caller_port);
        // A packet to a caller that no longer exists is lost.
        let _ = self
            .socket
            .send_to(&packet.encode(), SocketAddr::from(to))
            .await;
    }
}

impl Flow {
    /// Starts the work of a request that has arrived completely: `ID WORK_MS BYTES` and a line
    /// feed.
    fn start_work(&mut self, plan: &TargetPlan, shared: &Shared, now: Instant) {
        let Some(end) = self
            .endpoint
            .received
            .iter()
            .position(|byte| *byte == b'\n')
        else {
            return;
        };
        let line: Vec<u8> = self.endpoint.received.drain(..=end).collect();
        let line = String::from_utf8_lossy(&line).trim().to_owned();
        let mut words = line.split(' ');
        let id = words.next().unwrap_or_default().to_owned();
        let mut number = || {
            words
                .next()
                .and_then(|word| word.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (work, bytes) = (Duration::from_millis(number()), number() as usize);
        shared.counters.record_run(&id);
        let mut answer = format!("{id} {}@{} {bytes}\n", plan.id, shared.incarnation).into_bytes();
        answer.resize(answer.len() + bytes, b'.');
        self.pending = Some((now + work, answer));
    }
}

/// Returns the number that labels the datagrams to a target.
fn label_of(id: &str) -> u64 {
    let digits = id.rsplit('-').next().unwrap_or_default();
    u64::from_str_radix(digits, 16).unwrap_or_default()
}
