//! Simulated callers that open flows and send requests in them.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{sleep_until, timeout};

use super::endpoint::Endpoint;
use super::{Counters, Flags, Packet, Router};
use crate::bind_with_retry;

/// Times after the first opening packet at which the packet is retransmitted; the last one is the
/// timeout.
const RETRANSMIT_TIMES: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];

/// First local port that a caller uses.
const FIRST_PORT: u16 = 20_000;

/// Interval between two checks for due packets.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Cause of the failure of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum FlowError {
    /// The load balancer reset the flow.
    #[display("reset by the load balancer")]
    SystemReset,
    /// The target reset the flow.
    #[display("reset by the target")]
    TargetReset,
    /// The target closed the flow.
    #[display("closed by the target")]
    Closed,
    /// No answer arrived within the timeout.
    #[display("no answer within the timeout")]
    Late,
}

type Ports = Mutex<HashMap<u16, UnboundedSender<Packet>>>;

/// A caller's host: one address with many flows.
#[derive(Debug)]
pub struct CallerHost {
    address: Ipv4Addr,
    zone: String,
    socket: UdpSocket,
    router: Arc<Router>,
    ports: Ports,
    next_port: AtomicU16,
    counters: Arc<Counters>,
}

/// A flow of a caller, with one request in progress at a time.
#[derive(Debug)]
pub struct CallerFlow {
    host: Arc<CallerHost>,
    local: SocketAddrV4,
    frontend: SocketAddrV4,
    packets: UnboundedReceiver<Packet>,
    endpoint: Endpoint,
    /// Name of the flow's target; `None` until an answer contains it.
    target: Option<String>,
}

impl CallerHost {
    /// Starts a host at `address` in `zone` that receives at `port`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn start(
        address: Ipv4Addr,
        port: u16,
        zone: &str,
        router: &Arc<Router>,
        counters: &Arc<Counters>,
    ) -> io::Result<Arc<Self>> {
        let host = Arc::new(Self {
            address,
            zone: zone.into(),
            socket: bind_with_retry(|| UdpSocket::bind((address, port))).await?,
            router: Arc::clone(router),
            ports: Ports::default(),
            next_port: AtomicU16::new(FIRST_PORT),
            counters: Arc::clone(counters),
        });
        let weak_host = Arc::downgrade(&host);
        tokio::spawn(async move {
            let mut buffer = [0; 2_048];
            while let Some(host) = weak_host.upgrade() {
                let received = timeout(TICK_INTERVAL, host.socket.recv(&mut buffer)).await;
                if let Ok(Ok(len)) = received {
                    host.deliver(&buffer[..len]);
                }
            }
        });
        Ok(host)
    }

    /// Opens a flow through `vm`, or through a VM that the routers choose if `vm` is `None`.
    ///
    /// # Errors
    ///
    /// Returns the cause if the flow does not open.
    pub async fn open(
        self: &Arc<Self>,
        frontend: SocketAddrV4,
        vm: Option<SocketAddr>,
    ) -> Result<CallerFlow, FlowError> {
        let port = self
            .next_port
            .fetch_add(1, Ordering::Relaxed)
            .max(FIRST_PORT);
        let (sender, packets) = unbounded_channel();
        self.ports().insert(port, sender);
        let local = SocketAddrV4::new(self.address, port);
        let seq = u32::from(port) << 12;
        let mut flow = CallerFlow {
            host: Arc::clone(self),
            local,
            frontend,
            packets,
            endpoint: Endpoint::new(local, frontend, seq.wrapping_add(1), 0),
            target: None,
        };
        flow.open(seq, vm).await?;
        Ok(flow)
    }

    fn deliver(&self, bytes: &[u8]) {
        let Some(packet) = Packet::parse(bytes) else {
            return Counters::increment(&self.counters.altered);
        };
        if !packet.is_intact() && !packet.is_system_reset() {
            return Counters::increment(&self.counters.altered);
        }
        let ports = self.ports();
        // A flow that has ended receives no more packets.
        if let Some(sender) = ports.get(&packet.dst.port()) {
            let _ = sender.send(packet);
        }
    }

    async fn send(&self, packet: &Packet, vm: Option<SocketAddr>) {
        let vm = vm.or_else(|| self.router.route(&self.zone, packet.src, packet.dst));
        if let Some(vm) = vm {
            // A VM that does not run drops the packet.
            let _ = self.socket.send_to(&packet.encode(), vm).await;
        }
    }

    fn ports(&self) -> std::sync::MutexGuard<'_, HashMap<u16, UnboundedSender<Packet>>> {
        self.ports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallerFlow {
    /// Sends a request that asks the target for `bytes` bytes after a service time of `work_time`.
    ///
    /// Waits for the complete answer and returns its length in bytes, without the header line.
    ///
    /// # Errors
    ///
    /// Returns the cause if no complete answer arrives within `limit`.
    pub async fn request(
        &mut self,
        id: &str,
        work_time: Duration,
        bytes: usize,
        limit: Duration,
    ) -> Result<usize, FlowError> {
        let line = format!("{id} {} {bytes}\n", work_time.as_millis());
        self.endpoint.queue(line.as_bytes(), false);
        let deadline = Instant::now() + limit;
        loop {
            if let Some(len) = self.parse_answer(id) {
                return Ok(len);
            }
            if self.endpoint.is_remote_closed {
                return Err(FlowError::Closed);
            }
            if Instant::now() >= deadline {
                return Err(FlowError::Late);
            }
            self.step().await?;
        }
    }

    /// Returns the name of the flow's target; `None` until an answer contains it.
    pub fn target(&self) -> Option<&str> {
        self.target.as_deref()
    }

    /// Returns whether the target has closed its direction.
    pub fn is_ended(&self) -> bool {
        self.endpoint.is_remote_closed
    }

    /// Closes the flow.
    pub async fn close(mut self) {
        self.endpoint.queue(&[], true);
        let deadline = Instant::now() + Duration::from_millis(500);
        while Instant::now() < deadline
            && !(self.endpoint.is_flushed() && self.endpoint.is_remote_closed)
        {
            if self.step().await.is_err() {
                return;
            }
        }
    }

    async fn open(&mut self, seq: u32, vm: Option<SocketAddr>) -> Result<(), FlowError> {
        let started = Instant::now();
        let mut packet = Packet::new(self.local, self.frontend, Flags::SYN);
        packet.seq = seq;
        for (attempt, time) in RETRANSMIT_TIMES.into_iter().enumerate() {
            packet.ack = attempt as u32;
            self.host.send(&packet, vm).await;
            let deadline = tokio::time::Instant::from_std(started + time);
            loop {
                let answer = tokio::select! {
                    answer = self.packets.recv() => answer,
                    () = sleep_until(deadline) => break,
                };
                let Some(answer) = answer else { break };
                if answer.flags.contains(Flags::RST) {
                    if answer.is_system_reset() {
                        Counters::increment(&self.host.counters.refused);
                        return Err(FlowError::SystemReset);
                    }
                    return Err(FlowError::TargetReset);
                }
                if answer.flags.contains(Flags::SYN.union(Flags::ACK)) {
                    let next = seq.wrapping_add(1);
                    self.endpoint =
                        Endpoint::new(self.local, self.frontend, next, answer.seq.wrapping_add(1));
                    self.endpoint.set_echo(&answer);
                    let packet = self.endpoint.acknowledgement();
                    self.host.send(&packet, None).await;
                    return Ok(());
                }
            }
        }
        Err(FlowError::Late)
    }

    /// Sends the due packets, then handles one packet or waits for one tick.
    async fn step(&mut self) -> Result<(), FlowError> {
        for packet in self.endpoint.due_packets(Instant::now()) {
            self.host.send(&packet, None).await;
        }
        let Ok(Some(packet)) = timeout(TICK_INTERVAL, self.packets.recv()).await else {
            return Ok(());
        };
        if packet.flags.contains(Flags::RST) {
            if !packet.is_system_reset() {
                return Err(FlowError::TargetReset);
            }
            if let Some(target) = &self.target
                && self.host.counters.is_alive(target)
            {
                Counters::increment(&self.host.counters.broken_flows);
            }
            return Err(FlowError::SystemReset);
        }
        if packet.flags.contains(Flags::SYN) {
            // A late answer of another target: callers echo the value that they received last.
            self.endpoint.set_echo(&packet);
            return Ok(());
        }
        if let Some(answer) = self.endpoint.receive(&packet) {
            self.host.send(&answer, None).await;
        }
        Ok(())
    }

    /// Returns the length of the answer in bytes once the answer is complete.
    fn parse_answer(&mut self, id: &str) -> Option<usize> {
        let end = self
            .endpoint
            .received
            .iter()
            .position(|byte| *byte == b'\n')?;
        let line = String::from_utf8_lossy(&self.endpoint.received[..end]).into_owned();
        let mut words = line.split(' ');
        let answered_id = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let len: usize = words.next()?.parse().ok()?;
        if self.endpoint.received.len() < end + 1 + len {
            return None;
        }
        self.endpoint.received.drain(..end + 1 + len);
        if answered_id != id {
            Counters::increment(&self.host.counters.crossed);
        }
        self.target = Some(target);
        Some(len)
    }
}

impl Drop for CallerFlow {
    fn drop(&mut self) {
        self.host.ports().remove(&self.local.port());
    }
}
