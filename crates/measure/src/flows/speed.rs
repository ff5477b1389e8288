//! Benchmarks one forwarder in this process: time per packet and lookup, and memory per flow.

use std::cell::Cell;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use bambooseam_forwarder::geneve::{self, Header, Payload};
use bambooseam_forwarder::pick::BoundedPick;
use bambooseam_forwarder::table::{Entry, EntryState, FlowTable, SHARDS, Tick};
use bambooseam_forwarder::target::{TargetNumber, TargetRegistry};
use bambooseam_forwarder::topology::Topology;
use bambooseam_forwarder::{Clock, Forwarder, Moment, Output};
use bambooseam_standin::deployment::FEED_PORT;
use bambooseam_standin::{DeploymentKind, Plan};
use bambooseam_types::VmId;
use bambooseam_view::{FlowKey, View};
use etherparse::PacketBuilder;

/// Number of flows in the measurement of a fleet size.
const FLOWS: u32 = 10_000;
/// Payload of a data packet.
const DATA: [u8; 64] = [7; 64];
/// Source port of all callers.
const CALLER_PORT: u16 = 40_000;
/// Odd multiplier that spreads consecutive numbers over all 64 bits of a key.
const KEY_SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

/// A forwarder that discards its output and runs on a manual clock.
pub type BenchForwarder = Forwarder<DiscardOutput, ManualClock, BoundedPick>;

/// Output that counts the bytes sent and discards them.
#[derive(Debug, Clone, Copy, Default)]
pub struct DiscardOutput {
    /// Number of bytes sent.
    pub bytes: u64,
}

/// A clock that is set by hand.
#[derive(Debug, Clone, Default)]
pub struct ManualClock(Rc<Cell<u64>>);

/// Time per packet and lookup for one fleet size.
#[derive(Debug, Clone, Copy)]
pub struct FleetSpeed {
    /// Number of forwarders in the view.
    pub forwarders: usize,
    /// Number of targets of the service.
    pub targets: usize,
    /// Nanoseconds to rank the forwarders for a key that is not cached.
    pub rank_cold: f64,
    /// Nanoseconds to look up a cached ranking.
    pub rank_warm: f64,
    /// Nanoseconds per packet of a flow in the table.
    pub known: f64,
    /// Nanoseconds per packet relayed to its owner.
    pub relayed: f64,
    /// Nanoseconds per first packet at its owner; its ranking is usually not cached.
    pub first: f64,
    /// Milliseconds to apply a view.
    pub view: f64,
    /// Milliseconds to build the view from the documents.
    pub build: f64,
}

/// Time that a forwarder spends on work other than packets.
#[derive(Debug, Clone, Copy)]
pub struct Maintenance {
    /// Number of flows in the table.
    pub flows: u32,
    /// Microseconds per tick; there are ten ticks a second.
    pub tick: f64,
    /// Milliseconds to change from one forwarder to five, including the tick after the change.
    pub change: f64,
}

impl Maintenance {
    /// Returns the share of a core that the ticks use, in percent.
    pub fn core_percent(&self) -> f64 {
        self.tick * 10.0 / 1_000_000.0 * 100.0
    }
}

/// Time per lookup and memory per flow for one table size.
#[derive(Debug, Clone, Copy)]
pub struct TableSpeed {
    /// Number of flows in the table.
    pub flows: u32,
    /// Nanoseconds to look up a flow.
    pub lookup: f64,
    /// Nanoseconds to insert a flow.
    pub insert: f64,
    /// Bytes of the table per flow.
    pub bytes: f64,
    /// Growth of the resident memory of this process, in bytes per flow.
    pub resident: f64,
}

impl Output for DiscardOutput {
    fn send(&mut self, _to: SocketAddr, header: &Header, payload: &[u8]) {
        self.bytes += (header.as_bytes().len() + payload.len()) as u64;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Moment {
        Moment::from_millis(self.0.get())
    }
}

/// Builds the view of a fleet with the given numbers of forwarders and targets.
pub fn build_view(forwarders: usize, targets: usize) -> Arc<View> {
    let plan = Plan::of(DeploymentKind::Cascade)
        .with_vms(forwarders)
        .with_targets(targets, 4);
    let source = plan.build().source(1);
    Arc::new(View::build(&source).expect("the simulated platform publishes valid documents"))
}

/// Creates a forwarder that has applied a view.
pub fn build_forwarder(view: &Arc<View>) -> BenchForwarder {
    settled_forwarder(view).0
}

/// Creates a forwarder whose membership has been unchanged for 60 s, and its clock.
fn settled_forwarder(view: &Arc<View>) -> (BenchForwarder, ManualClock) {
    let vm: VmId = view.vms[0].entry.id.clone();
    let pick = BoundedPick::default();
    let clock = ManualClock::default();
    let output = DiscardOutput::default();
    let mut forwarder = Forwarder::new(vm, 2_000_000, output, clock.clone(), pick);
    forwarder.set_view(Arc::clone(view));
    // After 60 s without a membership change, new flows are placed without queries to peers.
    for second in 1..=60 {
        clock.0.set(second * 1_000);
        forwarder.tick();
    }
    (forwarder, clock)
}

/// Measures the time that a forwarder with `flows` flows spends on ticks and on a view change.
pub fn measure_maintenance(flows: u32) -> Maintenance {
    let (mut forwarder, clock) = settled_forwarder(&build_view(1, 15));
    let source = SocketAddr::from(([127, 1, 9, 9], 6081));
    for caller in 0..flows {
        forwarder.receive(source, &datagram(caller, true));
        forwarder.receive(source, &datagram(caller, false));
    }
    let tick = |forwarder: &mut BenchForwarder| {
        clock.0.set(clock.0.get() + 100);
        forwarder.tick();
    };
    let ticks = 2 * SHARDS;
    let tick_time = time_each(ticks, || {
        for _ in 0..ticks {
            tick(&mut forwarder);
        }
    });
    let larger_view = build_view(5, 15);
    let change = time_each(1, || {
        forwarder.set_view(larger_view);
        tick(&mut forwarder);
    });
    Maintenance {
        flows,
        tick: tick_time / 1_000.0,
        change: change / 1_000_000.0,
    }
}

/// Builds a datagram of the fabric that carries a caller's SYN or data packet.
pub fn datagram(caller: u32, is_first: bool) -> Vec<u8> {
    let caller = Ipv4Addr::from((10 << 24) + caller).octets();
    let ip = PacketBuilder::ipv4(caller, [127, 1, 0, 1], 64);
    let tcp = ip.tcp(CALLER_PORT, FEED_PORT, 1, 1_000);
    let (tcp, data): (_, &[u8]) = match is_first {
        true => (tcp.syn(), &[]),
        false => (tcp.ack(1), &DATA),
    };
    let mut inner = Vec::new();
    tcp.write(&mut inner, data)
        .expect("writing to a vector succeeds");
    geneve::encode(&Header::new(0, None, &Payload::Packet(&inner)), &inner)
}

/// Measures one fleet size.
pub fn measure_fleet(forwarders: usize, targets: usize) -> FleetSpeed {
    let start = Instant::now();
    let view = build_view(forwarders, targets);
    let build = start.elapsed().as_secs_f64() * 1_000.0;
    let start = Instant::now();
    let mut forwarder = build_forwarder(&view);
    let view_time = start.elapsed().as_secs_f64() * 1_000.0;
    let source = SocketAddr::from(([127, 1, 9, 9], 6081));
    let (owned, remote) = split_callers(&mut forwarder, source);
    let time = |forwarder: &mut BenchForwarder, callers: &[u32], is_first: bool| {
        let datagrams: Vec<Vec<u8>> = callers.iter().map(|c| datagram(*c, is_first)).collect();
        time_each(datagrams.len(), || {
            for bytes in &datagrams {
                forwarder.receive(source, black_box(bytes));
            }
        })
    };
    let first = time(&mut build_forwarder(&view), &owned, true);
    let known = time(&mut forwarder, &owned, false);
    let relayed = time(&mut forwarder, &remote, false);
    let (rank_cold, rank_warm) = time_ranks(&view);
    FleetSpeed {
        forwarders,
        targets,
        rank_cold,
        rank_warm,
        known,
        relayed,
        first,
        view: view_time,
        build,
    }
}

/// Sends the first packets of flows; returns the callers whose flows the forwarder owns, and all
/// other callers.
fn split_callers(forwarder: &mut BenchForwarder, source: SocketAddr) -> (Vec<u32>, Vec<u32>) {
    let (mut owned, mut remote) = (Vec::new(), Vec::new());
    let mut caller = 0;
    while owned.len() + remote.len() < FLOWS as usize || owned.len() < 100 {
        let before = forwarder.counters().flows_new + forwarder.counters().queries;
        forwarder.receive(source, &datagram(caller, true));
        let after = forwarder.counters().flows_new + forwarder.counters().queries;
        match after > before {
            true => owned.push(caller),
            false => remote.push(caller),
        }
        caller += 1;
    }
    (owned, remote)
}

/// Measures the nanoseconds to rank a key for the first time and for the second time.
fn time_ranks(view: &Arc<View>) -> (f64, f64) {
    let mut targets = TargetRegistry::default();
    let vm = &view.vms[0].entry.id;
    let mut topology = Topology::new(Arc::clone(view), vm, None, &mut targets, Moment::default());
    let keys: Vec<FlowKey> = (0..4_096_u64).map(|n| FlowKey::from(n << 52)).collect();
    let mut pass = || {
        time_each(keys.len(), || {
            for key in &keys {
                black_box(topology.ranks(*key));
            }
        })
    };
    (pass(), pass())
}

/// Measures one table size.
pub fn measure_table(flows: u32) -> TableSpeed {
    let key = |n: u32| FlowKey::from(u64::from(n + 1).wrapping_mul(KEY_SPREAD));
    let entry = Entry::new(
        TargetNumber::from(1),
        EntryState::Open,
        Tick::from(Moment::default()),
    );
    let before = resident_bytes();
    let mut table = FlowTable::new(flows as usize);
    let insert = time_each(flows as usize, || {
        for n in 0..flows {
            let _ = black_box(table.insert(key(n), entry));
        }
    });
    let resident = resident_bytes().saturating_sub(before) as f64 / f64::from(flows);
    let bytes = table.memory().get() as f64 / f64::from(flows);
    let stride = 7_919;
    let lookups = 1_000_000_u32;
    let lookup = time_each(lookups as usize, || {
        for n in 0..lookups {
            let wanted = (u64::from(n) * stride % u64::from(flows)) as u32;
            black_box(table.get(key(wanted)));
        }
    });
    TableSpeed {
        flows,
        lookup,
        insert,
        bytes,
        resident,
    }
}

/// Returns the nanoseconds per item of `work`, which processes `count` items.
fn time_each(count: usize, work: impl FnOnce()) -> f64 {
    let start = Instant::now();
    work();
    start.elapsed().as_nanos() as f64 / count.max(1) as f64
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}
