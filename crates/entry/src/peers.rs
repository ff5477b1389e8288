//! List of known peers, and selection of the peer to follow and of the next peer to call.
//!
//! A VM discovers peers through seeds, which may be stale, and through gossip: peers return samples
//! of their own lists. To keep the list fresh, the next call goes to the least recently called
//! peer.
//!
//! Each change of a target must reach every VM, but the store limits the rate of calls. A VM
//! therefore follows a peer with a lower address, preferably in its own zone, chosen by rendezvous
//! hashing with the VM's own address as part of the key. Because addresses decrease along each
//! path, there are no cycles; the VM with the lowest address reads the store on behalf of all. With
//! N VMs, a path has about ln N hops and a VM has about ln N followers, regardless of which part of
//! the fleet each VM knows. A peer that fails or is behind is excluded for a while, and the peer
//! with the next rank is followed.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use bambooseam_peer::replica::PeerInfo;
use bambooseam_types::{Moment, ZoneId};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of known peers. Reaching a few peers is sufficient, because these peers announce
/// the rest.
const MAX_PEERS: usize = 64;

/// Number of peers with the lowest addresses that are always kept. Without these peers, many VMs of
/// a large fleet would have no peer to follow, and would read the store. The other peers are a
/// sample of the fleet that differs from VM to VM.
const LOWEST_KEPT: usize = 16;

/// Number of peers of the own zone with the lowest addresses that are kept for the choice of
/// coordinators: all VMs of the zone must know the same ones. They are kept apart from the list, so
/// that they do not change which peers are followed.
const ZONE_LOWEST_KEPT: usize = 4;

/// Number of known peers below which more peers are discovered. If VMs knew only the seeds, all VMs
/// would follow a seed.
const MIN_PEERS: usize = 8;

/// Number of failed calls in a row after which a peer is removed, unless it is a seed.
const MAX_FAILURES: u32 = 8;

/// Time since the last contact after which a peer is no longer announced to others.
const RECENT_TIME: Duration = Duration::from_secs(30);

/// Time for which a peer that refers its followers to others is not followed.
const REFERRAL_TIME: Duration = Duration::from_secs(60);

/// Number of peers in a sample, besides the peer with the lowest address.
const SAMPLE_SIZE: usize = 16;

/// Time for which a failed or stale peer is not followed. The time doubles with each failure in a
/// row, at most five times. The initial value is the users' shortest time limit for a change.
const EXCLUSION_TIME: Duration = Duration::from_secs(3);
const MAX_EXCLUSION_DOUBLINGS: u32 = 5;

/// The peers known to this VM, sorted by address.
#[derive(Debug)]
pub struct Peers {
    own: PeerInfo,
    /// Whether this VM is a seed of other VMs.
    is_seed: bool,
    list: Vec<Peer>,
    /// Peers of the own zone with the lowest addresses, sorted.
    zone_lowest: Vec<SocketAddr>,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    /// Hash of this VM's and the peer's address.
    rank: u64,
    /// Availability zone; unknown for a seed until the seed calls or is announced.
    zone: Option<ZoneId>,
    is_seed: bool,
    is_calling: bool,
    /// Start of the last call to the peer.
    called: Option<Moment>,
    /// Time of the last call from the peer, or of its last answer.
    seen: Option<Moment>,
    /// Number of failed calls in a row.
    failures: u32,
    /// End of the time in which the peer is not followed.
    excluded_until: Option<Moment>,
}

impl Peers {
    /// Creates the list of peers of the VM `own`, with the peers at `seeds`.
    pub fn new(own: PeerInfo, seeds: &[SocketAddr]) -> Self {
        let mut peers = Self {
            own,
            is_seed: false,
            list: Vec::new(),
            zone_lowest: Vec::new(),
        };
        peers.set_seeds(seeds);
        peers
    }

    /// Returns the address and zone of this VM.
    pub fn own(&self) -> &PeerInfo {
        &self.own
    }

    /// Replaces the seeds with those of newer settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.is_seed = seeds.contains(&self.own.address);
        for peer in &mut self.list {
            peer.is_seed = seeds.contains(&peer.address);
        }
        for &seed in seeds {
            if let Some(peer) = self.add(seed) {
                peer.is_seed = true;
            }
        }
    }

    /// Returns the seeds that assign this VM the source of its first copy, in the order in which they
    /// are asked. The order differs from VM to VM. A seed asks none, because seeds could wait for
    /// each other.
    pub fn seeds_to_ask(&self) -> Vec<SocketAddr> {
        if self.is_seed {
            return Vec::new();
        }
        let mut seeds: Vec<&Peer> = self.list.iter().filter(|peer| peer.is_seed).collect();
        seeds.sort_by_key(|seed| seed.rank);
        seeds.iter().map(|seed| seed.address).collect()
    }

    /// Records a peer that another peer announced.
    pub fn record_gossiped(&mut self, info: &PeerInfo) {
        if info.zone == self.own.zone && info.address != self.own.address {
            self.zone_lowest.push(info.address);
            self.zone_lowest.sort_unstable();
            self.zone_lowest.dedup();
            self.zone_lowest.truncate(ZONE_LOWEST_KEPT);
        }
        if let Some(peer) = self.add(info.address) {
            peer.zone = Some(info.zone.clone());
        }
    }

    /// Records the peers that another peer announced.
    pub fn record_sample(&mut self, sample: &[PeerInfo]) {
        for peer in sample {
            self.record_gossiped(peer);
        }
    }

    /// Records a call from a peer.
    pub fn record_requester(&mut self, requester: &PeerInfo, now: Moment) {
        self.record_gossiped(requester);
        self.record_call(requester.address, now, true);
    }

    /// Records the result of a call to a peer. A call from the peer counts as an answered call.
    pub fn record_call(&mut self, address: SocketAddr, now: Moment, is_answered: bool) {
        let Ok(at) = self.find(address) else {
            return;
        };
        let peer = &mut self.list[at];
        if is_answered {
            peer.seen = Some(now);
            peer.failures = 0;
            return;
        }
        peer.failures = peer.failures.saturating_add(1);
        if peer.failures >= MAX_FAILURES && !peer.is_seed {
            self.list.remove(at);
        }
    }

    /// Excludes a peer from being followed for a while, because it failed or its replica is stale.
    pub fn exclude(&mut self, address: SocketAddr, now: Moment) {
        if let Ok(at) = self.find(address) {
            let peer = &mut self.list[at];
            let factor = 1 << peer.failures.min(MAX_EXCLUSION_DOUBLINGS);
            peer.excluded_until = Some(now.after(EXCLUSION_TIME * factor));
        }
    }

    /// Excludes a peer that refers its followers to others.
    pub fn exclude_referring(&mut self, address: SocketAddr, now: Moment) {
        if let Ok(at) = self.find(address) {
            self.list[at].excluded_until = Some(now.after(REFERRAL_TIME));
        }
    }

    /// Returns the peer to follow; `None` when this VM must read the store itself.
    pub fn followed(&self, now: Moment) -> Option<SocketAddr> {
        let mut best = None;
        for peer in &self.list {
            let is_excluded = peer.excluded_until.is_some_and(|until| until > now);
            if peer.address >= self.own.address || is_excluded {
                continue;
            }
            let is_same_zone = peer.zone.as_ref() == Some(&self.own.zone);
            let rank = (is_same_zone, peer.rank, peer.address);
            best = best.max(Some(rank));
        }
        best.map(|(.., address)| address)
    }

    /// Returns the peer to call next, which is not returned again until [`Self::finish_call`].
    /// Returns `None` when no peer is idle.
    pub fn next_call(&mut self, now: Moment) -> Option<SocketAddr> {
        let idle = self.list.iter_mut().filter(|peer| !peer.is_calling);
        let peer = idle.min_by_key(|peer| peer.called)?;
        peer.is_calling = true;
        peer.called = Some(now);
        Some(peer.address)
    }

    /// Records the end of a call that [`Self::next_call`] started.
    pub fn finish_call(&mut self, address: SocketAddr, now: Moment, is_answered: bool) {
        if let Ok(at) = self.find(address) {
            self.list[at].is_calling = false;
        }
        self.record_call(address, now, is_answered);
    }

    /// Returns a sample of the peers seen recently. The sample starts at a different peer each
    /// time, but always contains the peer with the lowest address.
    pub fn sample(&self, now: Moment) -> Vec<PeerInfo> {
        let is_recent = |peer: &&Peer| peer.seen.is_some_and(|s| now.since(s) <= RECENT_TIME);
        let recent: Vec<&Peer> = self.list.iter().filter(is_recent).collect();
        let start = match recent.len() {
            0 => 0,
            count => now.as_millis() as usize % count,
        };
        let mut sample = Vec::new();
        let lowest = recent.iter().take(1);
        let others = recent[start..].iter().chain(&recent[..start]);
        for peer in lowest.chain(others.take(SAMPLE_SIZE)) {
            let Some(zone) = peer.zone.clone() else {
                continue;
            };
            let address = peer.address;
            sample.push(PeerInfo { address, zone });
        }
        sample
    }

    /// Returns the addresses of the known peers of a zone, in order, with the port `port`. An
    /// address that is not IPv4 is left out.
    pub fn zone_addresses(&self, zone: &ZoneId, port: u16) -> Vec<SocketAddrV4> {
        let listed = self.list.iter();
        let listed = listed.filter(|peer| peer.zone.as_ref() == Some(zone));
        let mut addresses: Vec<_> = listed.map(|peer| peer.address).collect();
        if *zone == self.own.zone {
            addresses.extend(&self.zone_lowest);
        }
        addresses.sort_unstable();
        addresses.dedup();
        let addresses = addresses.into_iter().filter_map(|address| match address {
            SocketAddr::V4(address) => Some(SocketAddrV4::new(*address.ip(), port)),
            SocketAddr::V6(_) => None,
        });
        addresses.collect()
    }

    /// Gives up the place of a peer among those with the lowest addresses of the own zone, because
    /// it does not respond.
    pub fn forget_lowest(&mut self, address: SocketAddrV4) {
        self.zone_lowest.retain(|peer| peer.ip() != *address.ip());
    }

    /// Whether a peer is known to be in another zone.
    pub fn is_outside(&self, address: SocketAddr) -> bool {
        let zone = self
            .find(address)
            .ok()
            .and_then(|at| self.list[at].zone.as_ref());
        zone.is_some_and(|zone| *zone != self.own.zone)
    }

    /// Returns the other zones of the known peers.
    pub fn other_zones(&self) -> Vec<ZoneId> {
        let zones = self.list.iter().filter_map(|peer| peer.zone.clone());
        let mut zones: Vec<_> = zones.filter(|zone| *zone != self.own.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Whether so few peers are known that most VMs of a large fleet may know the same peers.
    pub fn is_sparse(&self) -> bool {
        self.list.len() < MIN_PEERS
    }

    /// Returns the number of known peers.
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

    /// Returns the entry of a peer, and creates it if necessary; `None` for this VM and for a peer
    /// that does not belong to the kept sample.
    fn add(&mut self, address: SocketAddr) -> Option<&mut Peer> {
        if address == self.own.address {
            return None;
        }
        if self.find(address).is_err() {
            self.insert(Peer {
                address,
                rank: self.rank(address),
                zone: None,
                is_seed: false,
                is_calling: false,
                called: None,
                seen: None,
                failures: 0,
                excluded_until: None,
            });
        }
        let at = self.find(address).ok()?;
        self.list.get_mut(at)
    }

    /// Inserts a peer. When the list exceeds its limit, removes the sampled peer with the lowest
    /// rank.
    fn insert(&mut self, peer: Peer) {
        let at = self.find(peer.address).unwrap_or_else(|at| at);
        self.list.insert(at, peer);
        if self.list.len() <= MAX_PEERS {
            return;
        }
        let sampled = self.list.iter().enumerate().skip(LOWEST_KEPT);
        let sampled = sampled.filter(|(_, peer)| !peer.is_seed);
        if let Some((last, _)) = sampled.min_by_key(|(_, peer)| peer.rank) {
            self.list.remove(last);
        }
    }

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.list
            .binary_search_by_key(&address, |peer| peer.address)
    }
}
