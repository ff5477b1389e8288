//! Routers in front of the VMs: they distribute packets by a hash and probe the readiness of each
//! VM.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::http;

/// Interval between two probes, and the timeout of a probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of consecutive failed probes after which a VM leaves rotation.
const FAILURE_THRESHOLD: u32 = 2;

/// Routers of one site.
#[derive(Debug, Default)]
pub struct Router {
    nodes: Mutex<Vec<Node>>,
}

#[derive(Debug, Clone)]
struct Node {
    zone: String,
    datagrams: SocketAddr,
    readiness: SocketAddr,
    failures: u32,
    is_in_rotation: bool,
}

impl Router {
    /// Adds a VM and probes it until the router is dropped; the VM enters rotation at its first
    /// successful probe.
    pub fn add(self: &Arc<Self>, zone: &str, datagrams: SocketAddr, readiness: SocketAddr) {
        self.lock().push(Node {
            zone: zone.into(),
            datagrams,
            readiness,
            failures: 0,
            is_in_rotation: false,
        });
        let router = Arc::downgrade(self);
        tokio::spawn(async move {
            loop {
                let probe = timeout(PROBE_INTERVAL, http::get(readiness, "/api/readiness")).await;
                let is_ready = matches!(probe, Ok(Ok(reply)) if reply.status == StatusCode::OK);
                let Some(router) = router.upgrade() else {
                    return;
                };
                router.record_probe(readiness, is_ready);
                drop(router);
                sleep(PROBE_INTERVAL).await;
            }
        });
    }

    /// Returns the number of VMs in rotation.
    pub fn in_rotation(&self) -> usize {
        self.lock()
            .iter()
            .filter(|node| node.is_in_rotation)
            .count()
    }

    /// Returns the VM that receives a packet of this flow from a caller in `zone`.
    ///
    /// The VM is chosen from those of the zone that are in rotation, from all VMs of the zone if
    /// less than half of them are in rotation, and from all VMs in rotation if the zone has none.
    pub fn route(
        &self,
        zone: &str,
        caller: SocketAddrV4,
        frontend: SocketAddrV4,
    ) -> Option<SocketAddr> {
        let nodes = self.lock();
        let zone_nodes: Vec<&Node> = nodes.iter().filter(|node| node.zone == zone).collect();
        let live: Vec<&Node> = zone_nodes
            .iter()
            .copied()
            .filter(|node| node.is_in_rotation)
            .collect();
        let candidates = match (live.len(), zone_nodes.len()) {
            (0, _) => nodes.iter().filter(|node| node.is_in_rotation).collect(),
            (live, all) if 2 * live < all => zone_nodes,
            _ => live,
        };
        let score =
            |node: &&Node| xxh3_64(format!("{caller} {frontend} {}", node.datagrams).as_bytes());
        candidates
            .into_iter()
            .max_by_key(score)
            .map(|node| node.datagrams)
    }

    fn record_probe(&self, readiness: SocketAddr, is_ready: bool) {
        let mut nodes = self.lock();
        let Some(node) = nodes.iter_mut().find(|node| node.readiness == readiness) else {
            return;
        };
        node.failures = match is_ready {
            true => 0,
            false => node.failures + 1,
        };
        node.is_in_rotation =
            is_ready || (node.is_in_rotation && node.failures < FAILURE_THRESHOLD);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Node>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
