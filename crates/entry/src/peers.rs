//! Which peers to ask, and in which order.
//!
//! Peers are found through seeds, which may be stale, and through each other. The one that was not
//! asked for the longest time is next, so that a VM which knows few peers hears of all others, and
//! a dead one costs a try now and then.

use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_types::Moment;

/// Most peers known. What matters is to reach a few; the rest is heard of through them.
const LIMIT: usize = 64;

/// Failed tries after which a peer that is no seed is forgotten.
const FAILURE_LIMIT: u32 = 8;

/// Silence after which a peer is no longer told to others.
const HEARD_TIME: Duration = Duration::from_secs(30);

/// Peers of this VM.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    list: Vec<Peer>,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    address: SocketAddr,
    is_seed: bool,
    is_asked: bool,
    asked: Option<Moment>,
    heard: Option<Moment>,
    failures: u32,
}

impl Peers {
    /// Creates the list of a VM that serves its peers at `own`.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut peers = Self {
            own,
            list: Vec::new(),
        };
        peers.set_seeds(seeds);
        peers
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
    pub fn note_named(&mut self, address: SocketAddr) {
        self.add(address);
    }

    /// Notes that a peer has asked or answered.
    pub fn note_heard(&mut self, address: SocketAddr, now: Moment) {
        if let Some(peer) = self.add(address) {
            peer.heard = Some(now);
            peer.failures = 0;
        }
    }

    /// Notes the end of a call to a peer.
    pub fn note_asked(&mut self, address: SocketAddr, now: Moment, is_answered: bool) {
        let Ok(at) = self.find(address) else {
            return;
        };
        let peer = &mut self.list[at];
        peer.is_asked = false;
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

    /// The peer to ask next; it is not given again until its call has ended.
    pub fn next(&mut self, now: Moment) -> Option<SocketAddr> {
        let idle = self.list.iter_mut().filter(|peer| !peer.is_asked);
        let peer = idle.min_by_key(|peer| peer.asked)?;
        peer.is_asked = true;
        peer.asked = Some(now);
        Some(peer.address)
    }

    /// Peers heard of lately.
    pub fn heard(&self, now: Moment) -> Vec<SocketAddr> {
        let is_recent = |heard: Moment| now.since(heard) <= HEARD_TIME;
        let recent = self.list.iter();
        let recent = recent.filter(|peer| peer.heard.is_some_and(is_recent));
        recent.map(|peer| peer.address).collect()
    }

    /// Number of peers known.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    fn add(&mut self, address: SocketAddr) -> Option<&mut Peer> {
        if address == self.own {
            return None;
        }
        let at = match self.find(address) {
            Ok(at) => at,
            Err(_) if self.list.len() >= LIMIT => return None,
            Err(at) => {
                let peer = Peer {
                    address,
                    is_seed: false,
                    is_asked: false,
                    asked: None,
                    heard: None,
                    failures: 0,
                };
                self.list.insert(at, peer);
                at
            }
        };
        self.list.get_mut(at)
    }

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.list
            .binary_search_by_key(&address, |peer| peer.address)
    }
}
