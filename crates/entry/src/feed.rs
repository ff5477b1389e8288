//! Task that keeps the copy up to date: from the peer that this VM follows, or from the store.
//!
//! A round waits for news from one of both and ends within two seconds, whatever fails. The peer
//! answers as soon as it has heard from the store itself, so that a change, and the certainty that
//! there was none, pass from VM to VM without a pause.

use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_types::{Clock, Revision};

use crate::BootClock;
use crate::follower::Follower;
use crate::node::SharedNode;
use crate::peering::SharedPeers;
use crate::reader::Reader;

/// Age from which a copy is too old to be followed or to wait with: a watch of 0.8 s, the pause of
/// 0.3 s after a change, and the way. It leaves more than half of the least bound that the users set
/// for a change (3 s).
pub const STALE_AGE: Duration = Duration::from_millis(1_150);

/// Time for which the store is left alone after a failure when there is a peer to follow.
const STORE_PAUSE: Duration = Duration::from_millis(1_000);

/// What the next round does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It waits for news of a peer.
    Follow(SocketAddr),
    /// It reads the store.
    Read,
}

/// What is known before a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedState {
    /// Revision up to which every change is held.
    pub upto: Option<Revision>,
    /// How long the copy has not been known to be current.
    pub age: Option<Duration>,
    /// The peer to follow.
    pub followed: Option<SocketAddr>,
    /// How long ago the store failed, if its last call did.
    pub failed: Option<Duration>,
}

impl FeedState {
    /// Decides what the next round does.
    pub fn step(&self) -> Step {
        let Some(followed) = self.followed else {
            return Step::Read;
        };
        if self.upto.is_none() {
            return Step::Read;
        }
        let is_store_resting = self.failed.is_some_and(|failed| failed < STORE_PAUSE);
        let is_stale = self.age.is_none_or(|age| age > STALE_AGE);
        match is_stale && !is_store_resting {
            true => Step::Read,
            false => Step::Follow(followed),
        }
    }
}

/// Runs rounds until dropped; must run in a `LocalSet`.
pub async fn run(mut reader: Reader, mut follower: Follower, node: SharedNode, peers: SharedPeers) {
    let mut before = None;
    loop {
        let now = BootClock.now();
        let situation = FeedState {
            upto: node.borrow().replica().upto(),
            age: node.borrow().age(now),
            followed: peers.borrow().followed(now),
            failed: reader.failed().map(|failed| now.since(failed)),
        };
        let step = situation.step();
        if before != Some(step) {
            log::info!("event=feed_changed step={step:?} age={:?}", situation.age);
            before = Some(step);
        }
        match step {
            Step::Follow(address) => follower.round(address).await,
            Step::Read => reader.round().await,
        }
    }
}
