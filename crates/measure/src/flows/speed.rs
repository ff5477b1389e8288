//! Time per packet and lookup, and bytes per flow, of one forwarder in this process.

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

/// Flows in a fleet's measurement.
const FLOWS: u32 = 10_000;
/// Bytes of data in a packet.
const DATA: [u8; 64] = [7; 64];
/// Port of all callers.
const CALLER_PORT: u16 = 40_000;
/// Spreads keys over all 64 bits.
const KEY_SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

/// A forwarder without peers that drops what it sends.
pub type Bench = Forwarder<Discard, StillClock, BoundedPick>;

/// Counts what is sent and drops it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Discard {
    /// Bytes sent.
    pub bytes: u64,
}

/// A clock that shows what it was set to.
#[derive(Debug, Clone, Default)]
pub struct StillClock(Rc<Cell<u64>>);

/// Time per packet and lookup at one size of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSpeed {
    /// Forwarders in the view.
    pub forwarders: usize,
    /// Targets of the service.
    pub targets: usize,
    /// Nanoseconds to rank the forwarders for a key not met before.
    pub rank_cold: f64,
    /// Nanoseconds to look a rank up.
    pub rank_warm: f64,
    /// Nanoseconds for a packet of a known flow.
    pub known: f64,
    /// Nanoseconds for a packet that is relayed.
    pub relayed: f64,
    /// Nanoseconds for a first packet at its owner, most often of a rank not met before.
    pub first: f64,
    /// Milliseconds to put a view in force.
    pub view: f64,
    /// Milliseconds to build the view from its documents.
    pub build: f64,
}

/// What a forwarder spends beside its packets.
#[derive(Debug, Clone, Copy)]
pub struct Upkeep {
    /// Flows in the table.
    pub flows: u32,
    /// Microseconds of one round of regular work, ten of which come a second.
    pub tick: f64,
    /// Milliseconds for a change from one forwarder to five, with the first round of work after.
    pub change: f64,
}

impl Upkeep {
    /// Part of a core that the regular work takes, in percent.
    pub fn core_percent(&self) -> f64 {
        self.tick * 10.0 / 1_000_000.0 * 100.0
    }
}

/// Time per lookup and bytes per flow at one size of the table.
#[derive(Debug, Clone, Copy)]
pub struct TableSpeed {
    /// Flows in the table.
    pub flows: u32,
    /// Nanoseconds to look a flow up.
    pub lookup: f64,
    /// Nanoseconds to add a flow.
    pub insert: f64,
    /// Bytes of the table for each flow.
    pub bytes: f64,
    /// Bytes by which the resident memory of this process grew, for each flow.
    pub resident: f64,
}

impl Output for Discard {
    fn send(&mut self, _to: SocketAddr, head: &Header, payload: &[u8]) {
        self.bytes += (head.as_bytes().len() + payload.len()) as u64;
    }
}

impl Clock for StillClock {
    fn now(&self) -> Moment {
        Moment::from_millis(self.0.get())
    }
}

/// A view of a fleet with so many forwarders and targets.
pub fn view_of(forwarders: usize, targets: usize) -> Arc<View> {
    let plan = Plan::of(DeploymentKind::Cascade)
        .with_vms(forwarders)
        .with_targets(targets, 4);
    let source = plan.build().source(1);
    Arc::new(View::build(&source).expect("the stand-in publishes valid documents"))
}

/// A forwarder with a view in force.
pub fn forwarder_of(view: &Arc<View>) -> Bench {
    settled_forwarder(view).0
}

/// A forwarder whose members have been the same for long, and its clock.
fn settled_forwarder(view: &Arc<View>) -> (Bench, StillClock) {
    let vm: VmId = view.vms[0].entry.id.clone();
    let pick = BoundedPick::default();
    let clock = StillClock::default();
    let output = Discard::default();
    let mut forwarder = Forwarder::new(vm, 2_000_000, output, clock.clone(), pick);
    forwarder.set_view(Arc::clone(view));
    // Members have been the same for long, so new flows are placed without questions.
    for second in 1..=60 {
        clock.0.set(second * 1_000);
        forwarder.tick();
    }
    (forwarder, clock)
}

/// Measures what a forwarder with so many flows spends beside its packets.
pub fn measure_upkeep(flows: u32) -> Upkeep {
    let (mut forwarder, clock) = settled_forwarder(&view_of(1, 15));
    let source = SocketAddr::from(([127, 1, 9, 9], 6081));
    for caller in 0..flows {
        forwarder.receive(source, &datagram(caller, true));
        forwarder.receive(source, &datagram(caller, false));
    }
    let tick = |forwarder: &mut Bench| {
        clock.0.set(clock.0.get() + 100);
        forwarder.tick();
    };
    let ticks = 2 * SHARDS;
    let rest = time_each(ticks, || {
        for _ in 0..ticks {
            tick(&mut forwarder);
        }
    });
    let wider = view_of(5, 15);
    let change = time_each(1, || {
        forwarder.set_view(wider);
        tick(&mut forwarder);
    });
    Upkeep {
        flows,
        tick: rest / 1_000.0,
        change: change / 1_000_000.0,
    }
}

/// A datagram of the fabric: a SYN or a packet with data of a caller.
pub fn datagram(caller: u32, is_first: bool) -> Vec<u8> {
    let caller = Ipv4Addr::from((10 << 24) + caller).octets();
    let ip = PacketBuilder::ipv4(caller, [127, 1, 0, 1], 64);
    let tcp = ip.tcp(CALLER_PORT, FEED_PORT, 1, 1_000);
    let (tcp, data): (_, &[u8]) = match is_first {
        true => (tcp.syn(), &[]),
        false => (tcp.ack(1), &DATA),
    };
    let mut inner = Vec::new();
    tcp.write(&mut inner, data).expect("a vector takes all");
    geneve::encode(&Header::new(0, None, &Payload::Packet(&inner)), &inner)
}

/// Measures one size of the fleet.
pub fn measure_fleet(forwarders: usize, targets: usize) -> FleetSpeed {
    let start = Instant::now();
    let view = view_of(forwarders, targets);
    let build = start.elapsed().as_secs_f64() * 1_000.0;
    let start = Instant::now();
    let mut forwarder = forwarder_of(&view);
    let view_time = start.elapsed().as_secs_f64() * 1_000.0;
    let source = SocketAddr::from(([127, 1, 9, 9], 6081));
    let (owned, others) = split_callers(&mut forwarder, source);
    let time = |forwarder: &mut Bench, callers: &[u32], is_first: bool| {
        let datagrams: Vec<Vec<u8>> = callers.iter().map(|c| datagram(*c, is_first)).collect();
        time_each(datagrams.len(), || {
            for bytes in &datagrams {
                forwarder.receive(source, black_box(bytes));
            }
        })
    };
    let first = time(&mut forwarder_of(&view), &owned, true);
    let known = time(&mut forwarder, &owned, false);
    let relayed = time(&mut forwarder, &others, false);
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

/// Callers whose flows the forwarder owns, after their first packet, and all others.
fn split_callers(forwarder: &mut Bench, source: SocketAddr) -> (Vec<u32>, Vec<u32>) {
    let (mut owned, mut others) = (Vec::new(), Vec::new());
    let mut caller = 0;
    while owned.len() + others.len() < FLOWS as usize || owned.len() < 100 {
        let before = forwarder.counters().flows_new + forwarder.counters().queries;
        forwarder.receive(source, &datagram(caller, true));
        let after = forwarder.counters().flows_new + forwarder.counters().queries;
        match after > before {
            true => owned.push(caller),
            false => others.push(caller),
        }
        caller += 1;
    }
    (owned, others)
}

/// Nanoseconds to rank a key, the first time and later.
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

/// Measures one size of the table.
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

/// Nanoseconds for each of `count` pieces of work.
fn time_each(count: usize, work: impl FnOnce()) -> f64 {
    let start = Instant::now();
    work();
    start.elapsed().as_nanos() as f64 / count.max(1) as f64
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}
