//! The platform's routers, as PROTOCOL.md describes them under "Ingress": a steady hash over the VMs
//! of the client's zone that are in rotation, and two readiness probes a second.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::record::Record;

/// Interval between two probes of a VM; a probe without an answer by then is a miss.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of misses in a row after which a VM leaves rotation.
const MISSES: u32 = 2;

/// Routers in front of the VMs of one zone.
#[derive(Debug)]
pub struct Router {
    nodes: Mutex<Vec<Node>>,
    record: Record,
}

#[derive(Debug)]
struct Node {
    name: String,
    datagrams: SocketAddr,
    misses: u32,
    is_in_rotation: bool,
}

impl Router {
    /// Creates routers without VMs.
    pub fn new(record: &Record) -> Arc<Self> {
        Arc::new(Self {
            nodes: Mutex::default(),
            record: record.clone(),
        })
    }

    /// Adds a VM, which is in rotation from its first answer with 200.
    pub fn add(self: &Arc<Self>, name: &str, datagrams: SocketAddr, ready: SocketAddr) {
        let index = {
            let mut nodes = self.lock();
            nodes.push(Node {
                name: name.to_owned(),
                datagrams,
                misses: 0,
                is_in_rotation: false,
            });
            nodes.len() - 1
        };
        let router = Arc::clone(self);
        tokio::spawn(async move {
            let mut ticks = interval(PROBE_INTERVAL);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                let limit = PROBE_INTERVAL - Duration::from_millis(20);
                let is_ready = matches!(timeout(limit, probe(ready)).await, Ok(Ok(true)));
                router.record_probe(index, is_ready);
            }
        });
    }

    /// Number of VMs in rotation.
    pub fn in_rotation(&self) -> usize {
        self.lock().iter().filter(|n| n.is_in_rotation).count()
    }

    /// VM that takes the packets of a flow.
    pub fn route(&self, client: SocketAddrV4, frontend: SocketAddrV4) -> Option<SocketAddr> {
        let nodes = self.lock();
        let live = nodes.iter().filter(|n| n.is_in_rotation).count();
        // All VMs of the zone are used if fewer than half of them are in rotation.
        let is_used = |n: &&Node| n.is_in_rotation || 2 * live < nodes.len();
        let score = |n: &&Node| weight(client, frontend, n.datagrams);
        nodes
            .iter()
            .filter(is_used)
            .max_by_key(score)
            .map(|n| n.datagrams)
    }

    fn record_probe(&self, index: usize, is_ready: bool) {
        let mut nodes = self.lock();
        let node = &mut nodes[index];
        node.misses = if is_ready { 0 } else { node.misses + 1 };
        let before = node.is_in_rotation;
        node.is_in_rotation = is_ready || (before && node.misses < MISSES);
        if node.is_in_rotation != before {
            let state = if before { "leaves" } else { "enters" };
            self.record
                .note(format!("router: {} {state} rotation", node.name));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Node>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends `GET /api/readiness`; returns whether the answer is 200.
async fn probe(ready: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(ready).await?;
    let request =
        format!("GET /api/readiness HTTP/1.1\r\nHost: {ready}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer.starts_with(b"HTTP/1.1 200"))
}

/// Weight of a VM for a flow; the VM with the largest one takes the flow.
fn weight(client: SocketAddrV4, frontend: SocketAddrV4, vm: SocketAddr) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in format!("{client} {frontend} {vm}").bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
