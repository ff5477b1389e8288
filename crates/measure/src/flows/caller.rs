//! Simulated callers: the packets that each flow sends, its retransmissions and its timeout.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bambooseam_forwarder::Moment;
use bambooseam_standin::Plan;
use bambooseam_standin::deployment::{DOWNLOADS_VNI, FEED_PORT, ORDERS_VNI};
use etherparse::PacketBuilder;
use rand::Rng;
use rand::rngs::StdRng;

/// Timeout before the first retransmission.
const RETRY_INITIAL: Duration = Duration::from_millis(300);
/// Upper limit of the retransmission timeout, which doubles each time.
const RETRY_MAX: Duration = Duration::from_secs(16);
/// Time without an answer after which a caller abandons the flow.
const ABANDON_TIME: Duration = Duration::from_secs(180);
/// Source port of all callers.
const CALLER_PORT: u16 = 40_000;
/// First address of the callers' network; each flow has its own address.
const CALLER_NETWORK: u32 = 10 << 24;
/// Odd multiplier that spreads the lifetimes of flows opened one after another.
const LIFETIME_SPREAD: u32 = 0x9E37_79B1;
/// Payload of a data packet.
const DATA: [u8; 32] = [7; 32];

/// Index of a flow in the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId(u32);

/// Behaviour of a group of callers.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Name of the service that the callers use.
    pub service: &'static str,
    /// Whether the flow uses TCP; UDP otherwise.
    pub is_tcp: bool,
    /// Mean pause between an answer and the next packet.
    pub interval: Duration,
    /// Mean lifetime of a flow.
    pub lifetime: Duration,
    /// Whether the SYN carries data.
    pub is_fast_open: bool,
}

/// One flow from the caller's side.
#[derive(Debug, Clone)]
pub struct CallerFlow {
    /// State of the flow.
    pub state: FlowState,
    /// Target that answered the flow's first packet.
    pub bound: Option<SocketAddr>,
    /// Whether the flow uses TCP; UDP otherwise.
    pub is_tcp: bool,
    id: FlowId,
    service: SocketAddr,
    interval: Duration,
    end: Moment,
    is_fast_open: bool,
    /// Whether a packet that was sent is still unanswered.
    is_waiting: bool,
    waiting_since: Moment,
    /// Whether the pause before the next packet has been scheduled or is not needed.
    is_pause_over: bool,
    retry_timeout: Duration,
}

/// State of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FlowState {
    /// Open.
    Open,
    /// Closed by the caller.
    Closed,
    /// Reset by a target that did not hold the flow, or abandoned after a timeout.
    Broken,
    /// Lost together with its target.
    TargetLost,
}

/// Next action of a caller.
#[derive(Debug)]
pub struct Step {
    /// Packet to send, if any.
    pub packet: Option<Vec<u8>>,
    /// Time until the caller acts again.
    pub wait: Duration,
    /// Whether the caller abandons the flow.
    pub is_stalled: bool,
}

impl FlowId {
    /// Returns the index of the flow.
    pub fn index(self) -> usize {
        self.0 as usize
    }

    /// Returns the flow that a caller's address belongs to.
    pub fn from_caller(caller: SocketAddr) -> Self {
        match caller.ip() {
            IpAddr::V4(ip) => Self(u32::from(ip) - CALLER_NETWORK),
            IpAddr::V6(_) => Self(0),
        }
    }

    /// Returns the lifetime of this flow relative to the mean: 0.5 to 1.5, evenly spread.
    fn lifetime_factor(self) -> f64 {
        0.5 + f64::from(self.0.wrapping_mul(LIFETIME_SPREAD) >> 16) / f64::from(1 << 16)
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
    /// Returns TCP feeds with a packet every 10 s on average and a mean lifetime of a day.
    pub fn feeds(plan: &Plan) -> Self {
        Self {
            service: plan.orders.0,
            is_tcp: true,
            interval: Duration::from_secs(10),
            lifetime: Duration::from_secs(24 * 3600),
            is_fast_open: false,
        }
    }

    /// Sets the mean pause between packets.
    pub fn with_interval(mut self, interval: Duration) -> Self {
        self.interval = interval;
        self
    }

    /// Sets the mean lifetime of a flow.
    pub fn with_lifetime(mut self, lifetime: Duration) -> Self {
        self.lifetime = lifetime;
        self
    }

    /// Switches the flows to UDP.
    pub fn over_udp(mut self) -> Self {
        self.is_tcp = false;
        self
    }

    /// Puts data into the SYN, as TCP Fast Open does.
    pub fn with_fast_open(mut self) -> Self {
        self.is_fast_open = true;
        self
    }
}

impl CallerFlow {
    /// Creates a flow that is opened at `opens`.
    pub fn new(id: FlowId, service: SocketAddr, profile: &Profile, opens: Moment) -> Self {
        Self {
            state: FlowState::Open,
            bound: None,
            is_tcp: profile.is_tcp,
            id,
            service,
            interval: profile.interval,
            end: opens.after(profile.lifetime.mul_f64(id.lifetime_factor())),
            is_fast_open: profile.is_fast_open,
            is_waiting: false,
            waiting_since: opens,
            is_pause_over: false,
            retry_timeout: RETRY_INITIAL,
        }
    }

    /// Records the target that answered first and that answer.
    pub fn bind(&mut self, target: SocketAddr) {
        self.bound = Some(target);
        self.record_answer();
        // The caller completes the handshake with a packet, so no pause comes first.
        self.is_pause_over = true;
    }

    /// Records an answer and resets the retransmission timeout.
    pub fn record_answer(&mut self) {
        self.is_waiting = false;
        self.retry_timeout = RETRY_INITIAL;
    }

    /// Returns the caller's next action; `None` when the flow is not open.
    pub fn step(&mut self, now: Moment, rng: &mut StdRng) -> Option<Step> {
        if self.state != FlowState::Open {
            return None;
        }
        if self.is_waiting && now.since(self.waiting_since) > ABANDON_TIME {
            self.state = FlowState::Broken;
            return Some(Step {
                packet: None,
                wait: Duration::ZERO,
                is_stalled: true,
            });
        }
        if self.is_waiting {
            self.retry_timeout = (self.retry_timeout * 2).min(RETRY_MAX);
            return Some(self.send(self.retry_timeout));
        }
        if self.bound.is_some() && now >= self.end {
            self.state = FlowState::Closed;
            return Some(self.send(Duration::ZERO));
        }
        if self.bound.is_some() && !self.is_pause_over {
            self.is_pause_over = true;
            let pause = self.interval.mul_f64(rng.random_range(0.5..1.5));
            return Some(Step {
                packet: None,
                wait: pause,
                is_stalled: false,
            });
        }
        self.is_pause_over = false;
        self.is_waiting = true;
        self.waiting_since = now;
        Some(self.send(RETRY_INITIAL))
    }

    fn send(&self, wait: Duration) -> Step {
        Step {
            packet: Some(self.packet()),
            wait,
            is_stalled: false,
        }
    }

    /// Builds the packet for the flow's current state.
    fn packet(&self) -> Vec<u8> {
        let IpAddr::V4(service) = self.service.ip() else {
            return Vec::new();
        };
        let ip = PacketBuilder::ipv4(self.id.caller().octets(), service.octets(), 64);
        let mut bytes = Vec::new();
        if !self.is_tcp {
            let udp = ip.udp(CALLER_PORT, self.service.port());
            udp.write(&mut bytes, &DATA)
                .expect("writing to a vector succeeds");
            return bytes;
        }
        let tcp = ip.tcp(CALLER_PORT, self.service.port(), 1, 1_000);
        let (tcp, data): (_, &[u8]) = match (self.state, self.bound) {
            (FlowState::Closed, _) => (tcp.fin().ack(1), &[]),
            (_, Some(_)) => (tcp.ack(1), &DATA),
            (_, None) if self.is_fast_open => (tcp.syn(), &DATA),
            (_, None) => (tcp.syn(), &[]),
        };
        tcp.write(&mut bytes, data)
            .expect("writing to a vector succeeds");
        bytes
    }
}

/// Returns the network identifier (VNI) and the flow frontend of a service.
pub fn service_of(plan: &Plan, name: &str) -> (u32, SocketAddr) {
    let [a, b] = plan.network;
    if name == plan.orders.0 {
        let address = Ipv4Addr::new(a, b, 0, 1);
        return (ORDERS_VNI, SocketAddr::new(address.into(), FEED_PORT));
    }
    let address = Ipv4Addr::new(a, b, 0, 2);
    (DOWNLOADS_VNI, SocketAddr::new(address.into(), FEED_PORT))
}
