//! The platform's routers: they probe each VM twice per second, and pass each packet to a VM by a
//! hash that moves only the flows of a VM that leaves or joins.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bambooseam_standin::http;
use bambooseam_standin::site::Vm;
use tokio::time::{interval, timeout};

use crate::record::Record;

/// Interval between two probes of a VM; a probe that is not answered by the next one is missed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Misses in a row after which a VM is out of rotation.
const MAX_MISSES: u32 = 2;

#[derive(Clone)]
pub struct Routers(Arc<Vec<Node>>);

struct Node {
    id: String,
    zone: String,
    datagrams: SocketAddr,
    ready: SocketAddr,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    misses: u32,
    is_in_rotation: bool,
}

impl Routers {
    /// Probes the VMs until the runtime ends.
    pub fn start(vms: &[Vm], record: &Record) -> Self {
        let nodes = vms.iter().map(|vm| Node {
            id: vm.id.clone(),
            zone: vm.zone.clone(),
            datagrams: vm.datagrams(),
            ready: vm.ready(),
            state: Mutex::default(),
        });
        let routers = Self(Arc::new(nodes.collect()));
        for at in 0..routers.0.len() {
            let (nodes, record) = (Arc::clone(&routers.0), record.clone());
            tokio::spawn(async move {
                let mut ticks = interval(PROBE_INTERVAL);
                loop {
                    ticks.tick().await;
                    let node = &nodes[at];
                    let probe = timeout(PROBE_INTERVAL, http::get(node.ready, "/api/readiness"));
                    let is_ready = matches!(probe.await, Ok(Ok(reply)) if reply.status == 200);
                    node.count(is_ready, &record);
                }
            });
        }
        routers
    }

    /// Number of VMs in rotation.
    pub fn in_rotation(&self) -> usize {
        self.0.iter().filter(|node| node.is_in_rotation()).count()
    }

    /// The VM that receives a packet of a flow from a client in `zone`.
    pub fn route(&self, zone: &str, src: SocketAddrV4, dst: SocketAddrV4) -> Option<SocketAddr> {
        let of_zone: Vec<&Node> = self.0.iter().filter(|node| node.zone == zone).collect();
        let live: Vec<&Node> = of_zone
            .iter()
            .copied()
            .filter(|n| n.is_in_rotation())
            .collect();
        let candidates = match (live.len(), of_zone.len()) {
            (0, _) => self.0.iter().filter(|node| node.is_in_rotation()).collect(),
            (live, all) if 2 * live < all => of_zone,
            _ => live,
        };
        let nodes = candidates.into_iter();
        nodes
            .max_by_key(|node| score(node, src, dst))
            .map(|node| node.datagrams)
    }
}

impl Node {
    fn count(&self, is_ready: bool, record: &Record) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.misses = if is_ready { 0 } else { state.misses + 1 };
        let was_in_rotation = state.is_in_rotation;
        state.is_in_rotation = is_ready || (was_in_rotation && state.misses < MAX_MISSES);
        if state.is_in_rotation != was_in_rotation {
            let word = if was_in_rotation { "out of" } else { "in" };
            record.line(&format!("routers: {} is {word} rotation", self.id));
        }
    }

    fn is_in_rotation(&self) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.is_in_rotation
    }
}

/// Rendezvous hash (64-bit FNV-1a with a final mix).
fn score(node: &Node, src: SocketAddrV4, dst: SocketAddrV4) -> u64 {
    let text = format!("{src} {dst} {}", node.datagrams);
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
