//! The platform's routers: readiness probes twice a second, and a stable hash over the VMs that are
//! in rotation.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bambooseam_standin::http;
use tokio::time::{MissedTickBehavior, interval, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::record::Record;

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// A probe that is not answered before the next one is due is a miss.
const PROBE_TIMEOUT: Duration = Duration::from_millis(480);
const MAX_MISSES: u32 = 2;

struct Node {
    name: String,
    zone: String,
    datagrams: SocketAddr,
    misses: u32,
    is_in_rotation: bool,
}

/// Routers of the site; clones share their state.
#[derive(Clone)]
pub struct Rotation {
    nodes: Arc<Mutex<Vec<Node>>>,
    record: Record,
}

impl Rotation {
    pub fn new(record: &Record) -> Self {
        Self {
            nodes: Arc::default(),
            record: record.clone(),
        }
    }

    /// Adds a VM, which enters rotation at its first good probe.
    pub fn add(&self, name: &str, zone: &str, datagrams: SocketAddr, ready: SocketAddr) {
        let index = {
            let mut nodes = self.lock();
            nodes.push(Node {
                name: name.into(),
                zone: zone.into(),
                datagrams,
                misses: 0,
                is_in_rotation: false,
            });
            nodes.len() - 1
        };
        let rotation = self.clone();
        tokio::spawn(async move {
            let mut ticks = interval(PROBE_INTERVAL);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
            loop {
                ticks.tick().await;
                let probe = timeout(PROBE_TIMEOUT, http::get(ready, "/api/readiness")).await;
                let is_ready = matches!(probe, Ok(Ok(reply)) if reply.status.as_u16() == 200);
                rotation.record_probe(index, is_ready);
            }
        });
    }

    /// Number of VMs in rotation.
    pub fn count(&self) -> usize {
        self.lock()
            .iter()
            .filter(|node| node.is_in_rotation)
            .count()
    }

    /// The VM that receives a packet of this flow from a caller in `zone`.
    pub fn route(&self, zone: &str, flow: (SocketAddrV4, SocketAddrV4)) -> Option<SocketAddr> {
        let nodes = self.lock();
        let own: Vec<&Node> = nodes.iter().filter(|node| node.zone == zone).collect();
        let live: Vec<&Node> = own.iter().copied().filter(|n| n.is_in_rotation).collect();
        let candidates: Vec<&Node> = match (live.len(), own.len()) {
            (0, _) => nodes.iter().filter(|node| node.is_in_rotation).collect(),
            (live, all) if 2 * live < all => own,
            _ => live,
        };
        let score =
            |n: &&Node| xxh3_64(format!("{} {} {}", flow.0, flow.1, n.datagrams).as_bytes());
        candidates
            .into_iter()
            .max_by_key(score)
            .map(|n| n.datagrams)
    }

    fn record_probe(&self, index: usize, is_ready: bool) {
        let mut nodes = self.lock();
        let node = &mut nodes[index];
        node.misses = if is_ready { 0 } else { node.misses + 1 };
        let was = node.is_in_rotation;
        node.is_in_rotation = is_ready || (was && node.misses < MAX_MISSES);
        if node.is_in_rotation != was {
            let (name, state) = (&node.name, node.is_in_rotation);
            self.record
                .add(format!("router vm={name} in_rotation={state}"));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Node>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
