//! Callers' flows: what they send, when they send it again, and when they give up.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bambooseam_forwarder::Moment;
use bambooseam_standin::Plan;
use bambooseam_standin::deployment::{DOWNLOADS_VNI, FEED_PORT, ORDERS_VNI};
use etherparse::PacketBuilder;
use rand::Rng;
use rand::rngs::StdRng;

/// First wait for an answer.
const RETRY_FIRST: Duration = Duration::from_millis(300);
/// Longest wait for an answer.
const RETRY_LIMIT: Duration = Duration::from_secs(16);
/// Time without an answer after which a caller gives up.
const GIVE_UP: Duration = Duration::from_secs(180);
/// Port of all callers.
const CALLER_PORT: u16 = 40_000;
/// Network of all callers.
const CALLER_NETWORK: u32 = 10 << 24;
/// Spreads the lives of flows that are opened one after another.
const LIFE_SPREAD: u32 = 0x9E37_79B1;
/// Bytes of data in a packet.
const DATA: [u8; 32] = [7; 32];

/// Number of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId(u32);

/// How callers of a group behave.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Service that they call.
    pub service: &'static str,
    /// TCP, or UDP.
    pub is_tcp: bool,
    /// Mean time between packets.
    pub gap: Duration,
    /// Mean time that a flow stays open.
    pub life: Duration,
    /// Whether the SYN carries data.
    pub is_fast_open: bool,
}

/// One flow as its caller sees it.
#[derive(Debug, Clone)]
pub struct CallerFlow {
    /// State of the flow.
    pub state: FlowState,
    /// Target that it is bound to.
    pub bound: Option<SocketAddr>,
    /// TCP, or UDP.
    pub is_tcp: bool,
    id: FlowId,
    service: SocketAddr,
    gap: Duration,
    ends: Moment,
    is_fast_open: bool,
    /// Whether a packet was sent and not answered yet.
    waits: bool,
    waits_since: Moment,
    /// Whether the pause before the next packet is over.
    is_rested: bool,
    retry: Duration,
}

/// State of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FlowState {
    /// In use.
    Open,
    /// Ended by its caller.
    Closed,
    /// Reset by a target that did not know it, or given up.
    Broken,
    /// Its target died.
    TargetLost,
}

/// What a caller does in its turn.
#[derive(Debug)]
pub struct Step {
    /// Packet to send.
    pub packet: Option<Vec<u8>>,
    /// Time until the next turn.
    pub wait: Duration,
    /// Whether the caller gives up.
    pub is_stalled: bool,
}

impl FlowId {
    /// Position of the flow.
    pub fn index(self) -> usize {
        self.0 as usize
    }

    /// The flow of a caller's address.
    pub fn from_caller(caller: SocketAddr) -> Self {
        match caller.ip() {
            IpAddr::V4(ip) => Self(u32::from(ip) - CALLER_NETWORK),
            IpAddr::V6(_) => Self(0),
        }
    }

    /// Part of the mean life that this flow lives: 0.5 to 1.5, evenly spread.
    fn life_part(self) -> f64 {
        0.5 + f64::from(self.0.wrapping_mul(LIFE_SPREAD) >> 16) / f64::from(1 << 16)
    }

    fn caller(self) -> Ipv4Addr {
        Ipv4Addr::from(CALLER_NETWORK + self.0)
    }
}

impl From<usize> for FlowId {
    fn from(index: usize) -> Self {
        Self(index as u32)
    }
}

impl Profile {
    /// Feeds over TCP with a packet now and then.
    pub fn feeds(plan: &Plan) -> Self {
        Self {
            service: plan.orders.0,
            is_tcp: true,
            gap: Duration::from_secs(10),
            life: Duration::from_secs(24 * 3600),
            is_fast_open: false,
        }
    }

    /// Sets the mean time between packets.
    pub fn with_interval(mut self, gap: Duration) -> Self {
        self.gap = gap;
        self
    }

    /// Sets the time that a flow stays open.
    pub fn with_lifetime(mut self, life: Duration) -> Self {
        self.life = life;
        self
    }

    /// Makes the flows UDP.
    pub fn over_udp(mut self) -> Self {
        self.is_tcp = false;
        self
    }

    /// Makes the SYN carry data.
    pub fn with_fast_open(mut self) -> Self {
        self.is_fast_open = true;
        self
    }
}

impl CallerFlow {
    /// A flow that is opened at `opens`.
    pub fn new(id: FlowId, service: SocketAddr, profile: &Profile, opens: Moment) -> Self {
        Self {
            state: FlowState::Open,
            bound: None,
            is_tcp: profile.is_tcp,
            id,
            service,
            gap: profile.gap,
            ends: opens.after(profile.life.mul_f64(id.life_part())),
            is_fast_open: profile.is_fast_open,
            waits: false,
            waits_since: opens,
            is_rested: false,
            retry: RETRY_FIRST,
        }
    }

    /// Notes the target that answered first.
    pub fn bind(&mut self, target: SocketAddr) {
        self.bound = Some(target);
        self.progress();
        // The handshake ends with a packet of the caller.
        self.is_rested = true;
    }

    /// Notes an answer.
    pub fn progress(&mut self) {
        self.waits = false;
        self.retry = RETRY_FIRST;
    }

    /// The caller's turn; `None` when the flow is over.
    pub fn step(&mut self, now: Moment, rng: &mut StdRng) -> Option<Step> {
        if self.state != FlowState::Open {
            return None;
        }
        if self.waits && now.since(self.waits_since) > GIVE_UP {
            self.state = FlowState::Broken;
            return Some(Step {
                packet: None,
                wait: Duration::ZERO,
                is_stalled: true,
            });
        }
        if self.waits {
            self.retry = (self.retry * 2).min(RETRY_LIMIT);
            return Some(self.send(self.retry));
        }
        if self.bound.is_some() && now >= self.ends {
            self.state = FlowState::Closed;
            return Some(self.send(Duration::ZERO));
        }
        if self.bound.is_some() && !self.is_rested {
            self.is_rested = true;
            let rest = self.gap.mul_f64(rng.random_range(0.5..1.5));
            return Some(Step {
                packet: None,
                wait: rest,
                is_stalled: false,
            });
        }
        self.is_rested = false;
        self.waits = true;
        self.waits_since = now;
        Some(self.send(RETRY_FIRST))
    }

    fn send(&self, wait: Duration) -> Step {
        Step {
            packet: Some(self.packet()),
            wait,
            is_stalled: false,
        }
    }

    /// The packet that the flow's state calls for.
    fn packet(&self) -> Vec<u8> {
        let IpAddr::V4(service) = self.service.ip() else {
            return Vec::new();
        };
        let ip = PacketBuilder::ipv4(self.id.caller().octets(), service.octets(), 64);
        let mut bytes = Vec::new();
        if !self.is_tcp {
            let udp = ip.udp(CALLER_PORT, self.service.port());
            udp.write(&mut bytes, &DATA).expect("a vector takes all");
            return bytes;
        }
        let tcp = ip.tcp(CALLER_PORT, self.service.port(), 1, 1_000);
        let (tcp, data): (_, &[u8]) = match (self.state, self.bound) {
            (FlowState::Closed, _) => (tcp.fin().ack(1), &[]),
            (_, Some(_)) => (tcp.ack(1), &DATA),
            (_, None) if self.is_fast_open => (tcp.syn(), &DATA),
            (_, None) => (tcp.syn(), &[]),
        };
        tcp.write(&mut bytes, data).expect("a vector takes all");
        bytes
    }
}

/// Network identifier and flow entrance of a service.
pub fn service_of(plan: &Plan, name: &str) -> (u32, SocketAddr) {
    let [a, b] = plan.network;
    if name == plan.orders.0 {
        let address = Ipv4Addr::new(a, b, 0, 1);
        return (ORDERS_VNI, SocketAddr::new(address.into(), FEED_PORT));
    }
    let address = Ipv4Addr::new(a, b, 0, 2);
    (DOWNLOADS_VNI, SocketAddr::new(address.into(), FEED_PORT))
}
