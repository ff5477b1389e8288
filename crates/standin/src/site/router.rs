//! Routers: they hand packets to VMs by a hash, and take VMs in and out by readiness.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::http;

/// Time between two probes.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Misses in a row after which a VM is out of rotation.
const MISSES: u32 = 2;

/// Routers of one site.
#[derive(Debug, Default)]
pub struct Router {
    nodes: Mutex<Vec<Node>>,
}

#[derive(Debug, Clone)]
struct Node {
    zone: String,
    datagrams: SocketAddr,
    ready: SocketAddr,
    misses: u32,
    is_in: bool,
}

impl Router {
    /// Adds a VM, out of rotation until its first good probe, and probes it until dropped.
    pub fn add(self: &Arc<Self>, zone: &str, datagrams: SocketAddr, ready: SocketAddr) {
        self.lock().push(Node {
            zone: zone.into(),
            datagrams,
            ready,
            misses: 0,
            is_in: false,
        });
        let router = Arc::downgrade(self);
        tokio::spawn(async move {
            loop {
                let probe = timeout(PROBE_PAUSE, http::get(ready, "/api/readiness")).await;
                let is_good = matches!(probe, Ok(Ok(reply)) if reply.status == StatusCode::OK);
                let Some(router) = router.upgrade() else {
                    return;
                };
                router.note(ready, is_good);
                drop(router);
                sleep(PROBE_PAUSE).await;
            }
        });
    }

    /// VMs in rotation.
    pub fn in_rotation(&self) -> usize {
        self.lock().iter().filter(|node| node.is_in).count()
    }

    /// VM that gets a packet of this flow from a caller in `zone`.
    pub fn route(
        &self,
        zone: &str,
        caller: SocketAddrV4,
        entrance: SocketAddrV4,
    ) -> Option<SocketAddr> {
        let nodes = self.lock();
        let of_zone: Vec<&Node> = nodes.iter().filter(|node| node.zone == zone).collect();
        let live: Vec<&Node> = of_zone.iter().copied().filter(|node| node.is_in).collect();
        let candidates = match (live.len(), of_zone.len()) {
            (0, _) => nodes.iter().filter(|node| node.is_in).collect(),
            (live, all) if 2 * live < all => of_zone,
            _ => live,
        };
        let score =
            |node: &&Node| xxh3_64(format!("{caller} {entrance} {}", node.datagrams).as_bytes());
        candidates
            .into_iter()
            .max_by_key(score)
            .map(|node| node.datagrams)
    }

    fn note(&self, ready: SocketAddr, is_good: bool) {
        let mut nodes = self.lock();
        let Some(node) = nodes.iter_mut().find(|node| node.ready == ready) else {
            return;
        };
        node.misses = match is_good {
            true => 0,
            false => node.misses + 1,
        };
        node.is_in = is_good || (node.is_in && node.misses < MISSES);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Node>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
