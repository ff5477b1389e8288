//! Task that keeps this VM's replica of the documents current.
//!
//! The task runs in rounds. Each round waits for changes from the followed peer or from the
//! platform's store, and ends within two seconds even when the call fails. The followed peer
//! answers as soon as its own replica is confirmed to be current. Changes, and confirmations that
//! there are none, therefore propagate from VM to VM without a pause.

use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_types::{Clock, Revision};

use crate::BootClock;
use crate::follower::Follower;
use crate::node::SharedNode;
use crate::peering::SharedPeers;
use crate::reader::Reader;
use crate::starter::{ReadPermit, Starter};

/// Age above which a replica is stale. A VM with a stale replica is not followed, and reads the
/// store instead of waiting for a peer. The value covers a watch of 0.8 s, the pause of 0.3 s after
/// a change, and the network latency. It leaves more than half of the users' shortest time limit
/// for a change (3 s).
pub const STALE_AGE: Duration = Duration::from_millis(1_150);

/// Time after a failed store call in which the store is not called if a peer can be followed.
const STORE_BACKOFF: Duration = Duration::from_millis(1_000);

/// Action of a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Waits for changes from a peer.
    Follow(SocketAddr),
    /// Reads or watches the store.
    Read,
}

/// Input of the decision about the next round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedState {
    /// Revision up to which the replica contains every change; `None` when there is no replica.
    pub upto: Option<Revision>,
    /// Time since the replica was last confirmed to be current; `None` when it never was.
    pub age: Option<Duration>,
    /// The peer to follow; `None` when no peer is eligible.
    pub followed: Option<SocketAddr>,
    /// Time since the last store call failed; `None` when it succeeded.
    pub failed: Option<Duration>,
}

impl FeedState {
    /// Returns the action of the next round.
    pub fn step(&self) -> Step {
        let Some(followed) = self.followed else {
            return Step::Read;
        };
        if self.upto.is_none() {
            return Step::Read;
        }
        let is_backing_off = self.failed.is_some_and(|failed| failed < STORE_BACKOFF);
        let is_stale = self.age.is_none_or(|age| age > STALE_AGE);
        match is_stale && !is_backing_off {
            true => Step::Read,
            false => Step::Follow(followed),
        }
    }
}

/// Runs rounds until the future is dropped; must run in a `LocalSet`.
pub async fn run(
    mut reader: Reader,
    mut follower: Follower,
    starter: Starter,
    node: SharedNode,
    peers: SharedPeers,
) {
    let mut previous = None;
    loop {
        let now = BootClock.now();
        let state = FeedState {
            upto: node.borrow().replica().upto(),
            age: node.borrow().age(now),
            followed: peers.borrow().followed(now),
            failed: reader.failed_at().map(|failed| now.since(failed)),
        };
        let step = state.step();
        if previous != Some(step) {
            log::info!("event=feed_changed step={step:?} age={:?}", state.age);
            previous = Some(step);
        }
        match step {
            Step::Follow(address) => follower.round(address).await,
            Step::Read if state.upto.is_some() => reader.round().await,
            Step::Read => start(&mut reader, &starter).await,
        }
    }
}

/// Obtains the first copy from a peer or from the store, whichever has it first.
async fn start(reader: &mut Reader, starter: &Starter) {
    let copy = async {
        let is_applied = starter.run().await;
        starter.permit(ReadPermit::All);
        is_applied
    };
    tokio::select! {
        true = copy => {}
        () = reader.round() => {}
    }
    starter.permit(ReadPermit::All);
}
