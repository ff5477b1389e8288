//! Limit on the number of followers of one VM.
//!
//! Each follower costs its peer bytes at rest and with every change. A VM that already has
//! [`MAX_FOLLOWERS`] keeps those with the lowest addresses, and refers the others to them. A VM only
//! follows lower addresses, so whoever is referred may follow any of those that are kept, and no
//! cycle arises.

use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_peer::replica::PeerInfo;
use bambooseam_types::Moment;

/// Largest number of followers: with 0.55 KB/s of its own and 0.37 KB/s for each follower, a VM
/// stays below 3 KB/s at rest.
pub const MAX_FOLLOWERS: usize = 6;

/// Time since its last request after which a VM no longer counts as a follower: two long polls.
const FOLLOWER_TIME: Duration = Duration::from_secs(3);

/// The VMs that follow this VM.
#[derive(Debug, Default)]
pub struct Followers {
    /// Followers and their last requests, sorted by address.
    list: Vec<(PeerInfo, Moment)>,
}

/// Outcome of a follower's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The requester is a follower.
    Admitted,
    /// The requester is a follower in place of another one, which is referred to it and the rest.
    Replaced,
    /// The requester is referred to the followers.
    Referred,
}

impl Followers {
    /// Records a request of a follower, which may take the place of another one.
    pub fn admit(&mut self, requester: &PeerInfo, now: Moment) -> Admission {
        self.list
            .retain(|(_, seen)| now.since(*seen) <= FOLLOWER_TIME);
        match self.find(requester.address) {
            Ok(at) => self.list[at].1 = now,
            Err(at) => self.list.insert(at, (requester.clone(), now)),
        }
        if self.list.len() <= MAX_FOLLOWERS {
            return Admission::Admitted;
        }
        self.list.truncate(MAX_FOLLOWERS);
        match self.contains(requester.address) {
            true => Admission::Replaced,
            false => Admission::Referred,
        }
    }

    /// Whether a VM is among the followers.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.find(address).is_ok()
    }

    /// Returns the followers, which a VM that is not among them may follow instead.
    pub fn peers(&self) -> Vec<PeerInfo> {
        self.list.iter().map(|(peer, _)| peer.clone()).collect()
    }

    /// Number of followers.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether no VM follows this one.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.list
            .binary_search_by_key(&address, |(peer, _)| peer.address)
    }
}
