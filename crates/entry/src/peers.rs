//! Which peers this VM knows, which one it follows, and which one it asks next.
//!
//! Peers are found through seeds, which may be stale, and through each other. To keep the list
//! fresh the peer that was not asked for the longest time is next.
//!
//! Load pattern: each change of a target reaches every VM, and the store's calls are scarce. A VM
//! follows a peer with a lower address, of its own zone if it knows one there, picked by a hash
//! that differs from VM to VM. Addresses fall along the way, so that there is no circle; the lowest
//! VM reads the store for all. With N VMs a way has about ln N steps, and a VM about as many
//! followers, whatever part of the fleet it knows. A peer that fails or is behind is shunned for a
//! while, and the next in rank is followed.

use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_peer::replica::PeerInfo;
use bambooseam_types::{Moment, ZoneId};
use xxhash_rust::xxh3::xxh3_64;

/// Most peers known. What matters is to reach a few; the rest is heard of through them.
const LIMIT: usize = 64;

/// Lowest peers that are always known: were they not, many VMs of a large fleet would know nobody
/// to follow, and read the store. The others are a sample of all, another one on each VM.
const LOWEST: usize = 16;

/// Peers below which more are looked for: with the seeds alone, all VMs would follow one of them.
const SPARSE: usize = 8;

/// Failed tries after which a peer that is no seed is forgotten.
const FAILURE_LIMIT: u32 = 8;

/// Silence after which a peer is no longer told to others.
const HEARD_TIME: Duration = Duration::from_secs(30);

/// Peers told at a time.
const TOLD: usize = 16;

/// Time for which a peer that failed is not followed; doubled with each failure in a row, five
/// times at most. The first is the least bound that the users set for a change.
const SHUN_TIME: Duration = Duration::from_secs(3);
const SHUN_DOUBLINGS: u32 = 5;

/// Peers of this VM.
#[derive(Debug)]
pub struct Peers {
    own: PeerInfo,
    list: Vec<Peer>,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    /// Its zone; a seed's is not known before it was heard of.
    zone: Option<ZoneId>,
    is_seed: bool,
    is_asked: bool,
    asked: Option<Moment>,
    heard: Option<Moment>,
    failures: u32,
    /// Until when it is not followed.
    shunned: Option<Moment>,
}

impl Peers {
    /// Creates the list of the VM `own`.
    pub fn new(own: PeerInfo, seeds: &[SocketAddr]) -> Self {
        let mut peers = Self {
            own,
            list: Vec::new(),
        };
        peers.set_seeds(seeds);
        peers
    }

    /// This VM.
    pub fn own(&self) -> &PeerInfo {
        &self.own
    }

    /// Takes the seeds of newer settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        for peer in &mut self.list {
            peer.is_seed = seeds.contains(&peer.address);
        }
        for &seed in seeds {
            if let Some(peer) = self.add(seed) {
                peer.is_seed = true;
            }
        }
    }

    /// Notes that a peer was named by another.
    pub fn record_gossiped(&mut self, named: &PeerInfo) {
        if let Some(peer) = self.add(named.address) {
            peer.zone = Some(named.zone.clone());
        }
    }

    /// Notes that a peer has asked.
    pub fn record_requester(&mut self, asker: &PeerInfo, now: Moment) {
        self.record_gossiped(asker);
        self.record_call(asker.address, now, true);
    }

    /// Notes the end of a call to a peer.
    pub fn record_call(&mut self, address: SocketAddr, now: Moment, is_answered: bool) {
        let Ok(at) = self.find(address) else {
            return;
        };
        let peer = &mut self.list[at];
        if is_answered {
            peer.heard = Some(now);
            peer.failures = 0;
            return;
        }
        peer.failures = peer.failures.saturating_add(1);
        if peer.failures >= FAILURE_LIMIT && !peer.is_seed {
            self.list.remove(at);
        }
    }

    /// Does not follow a peer for a while: it failed, or what it has is old.
    pub fn exclude(&mut self, address: SocketAddr, now: Moment) {
        if let Ok(at) = self.find(address) {
            let peer = &mut self.list[at];
            let factor = 1 << peer.failures.min(SHUN_DOUBLINGS);
            peer.shunned = Some(now.after(SHUN_TIME * factor));
        }
    }

    /// The peer to follow; `None` when this VM is to read the store itself.
    pub fn followed(&self, now: Moment) -> Option<SocketAddr> {
        let mut best = None;
        for peer in &self.list {
            let is_shunned = peer.shunned.is_some_and(|until| until > now);
            if peer.address >= self.own.address || is_shunned {
                continue;
            }
            let is_near = peer.zone.as_ref() == Some(&self.own.zone);
            let rank = (is_near, self.rank(peer.address), peer.address);
            best = best.max(Some(rank));
        }
        best.map(|(.., address)| address)
    }

    /// The peer to ask next; it is not given again until [`Self::finish_call`].
    pub fn next_call(&mut self, now: Moment) -> Option<SocketAddr> {
        let idle = self.list.iter_mut().filter(|peer| !peer.is_asked);
        let peer = idle.min_by_key(|peer| peer.asked)?;
        peer.is_asked = true;
        peer.asked = Some(now);
        Some(peer.address)
    }

    /// Ends what [`Self::next_call`] began.
    pub fn finish_call(&mut self, address: SocketAddr, now: Moment, is_answered: bool) {
        if let Ok(at) = self.find(address) {
            self.list[at].is_asked = false;
        }
        self.record_call(address, now, is_answered);
    }

    /// Some of the peers heard of lately, others each time.
    pub fn sample(&self, now: Moment) -> Vec<PeerInfo> {
        let is_recent = |peer: &&Peer| peer.heard.is_some_and(|h| now.since(h) <= HEARD_TIME);
        let recent: Vec<&Peer> = self.list.iter().filter(is_recent).collect();
        let start = match recent.len() {
            0 => 0,
            count => now.as_millis() as usize % count,
        };
        let mut told = Vec::new();
        let lowest = recent.iter().take(1);
        let others = recent[start..].iter().chain(&recent[..start]);
        for peer in lowest.chain(others.take(TOLD)) {
            let Some(zone) = peer.zone.clone() else {
                continue;
            };
            let address = peer.address;
            told.push(PeerInfo { address, zone });
        }
        told
    }

    /// Whether so few peers are known that most of a large fleet may know the same ones.
    pub fn is_sparse(&self) -> bool {
        self.list.len() < SPARSE
    }

    /// Number of peers known.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    fn rank(&self, address: SocketAddr) -> u64 {
        xxh3_64(format!("{} {address}", self.own.address).as_bytes())
    }

    /// The entry of a peer, made when there is none; `None` for this VM and for one that is not
    /// to be known.
    fn add(&mut self, address: SocketAddr) -> Option<&mut Peer> {
        if address == self.own.address {
            return None;
        }
        if self.find(address).is_err() {
            self.insert(Peer {
                address,
                zone: None,
                is_seed: false,
                is_asked: false,
                asked: None,
                heard: None,
                failures: 0,
                shunned: None,
            });
        }
        let at = self.find(address).ok()?;
        self.list.get_mut(at)
    }

    /// Adds a peer; when there are too many, the one of the sample that ranks last goes.
    fn insert(&mut self, peer: Peer) {
        let at = self.find(peer.address).unwrap_or_else(|at| at);
        self.list.insert(at, peer);
        if self.list.len() <= LIMIT {
            return;
        }
        let sample = self.list.iter().enumerate().skip(LOWEST);
        let sample = sample.filter(|(_, peer)| !peer.is_seed);
        if let Some((last, _)) = sample.min_by_key(|(_, peer)| self.rank(peer.address)) {
            self.list.remove(last);
        }
    }

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.list
            .binary_search_by_key(&address, |peer| peer.address)
    }
}
