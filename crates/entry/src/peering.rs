//! Tasks that compare this VM's copy with those of its peers.
//!
//! While the store answers, a peer is asked now and then: that keeps the list of peers fresh and
//! finds a watch that has gone silent. While it does not, peers are asked several times a second.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_peer::replica::{News, ReplicaLink, ReplicaService};
use bambooseam_peer::{Meter, jitter};
use bambooseam_types::{Clock, Moment, Revision};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::node::{SharedNode, Source};
use crate::{BootClock, Peers};

/// Time between two calls while the store answers: a third of the least bound that the users set
/// for a change (3 s), so that a watch that hears nothing costs little of it.
const QUIET_PAUSE: Duration = Duration::from_millis(1_000);

/// Time between two calls while it does not: several tries within the least bound for a change.
const HASTE_PAUSE: Duration = Duration::from_millis(200);

/// Age of the copy from which peers are asked in haste: a watch of 1 s and its time limit.
const HASTE_AGE: Duration = Duration::from_millis(1_700);

/// Time in which a peer must answer, connection included.
const CALL_TIME: Duration = Duration::from_millis(500);

/// Peers known to this VM, shared by its tasks.
pub type SharedPeers = Rc<RefCell<Peers>>;

/// Answers peers from this VM's copy.
#[derive(Debug)]
pub struct Answers {
    /// This VM.
    pub node: SharedNode,
    /// Its peers.
    pub peers: SharedPeers,
}

impl ReplicaService for Answers {
    fn sync(&self, address: Option<SocketAddr>, upto: Option<Revision>) -> News {
        let now = BootClock.now();
        let mut peers = self.peers.borrow_mut();
        if let Some(address) = address {
            peers.note_heard(address, now);
        }
        let node = self.node.borrow();
        let synced = node.steering().freshness().synced;
        News {
            changes: node.replica().changes_since(upto),
            age: synced.map_or(Duration::MAX, |synced| now.since(synced)),
            peers: peers.heard(now),
        }
    }
}

/// Asks peers until dropped; must run in a `LocalSet`.
pub async fn run(own: SocketAddr, node: SharedNode, peers: SharedPeers, meter: Arc<Meter>) {
    loop {
        let now = BootClock.now();
        let next = peers.borrow_mut().next(now);
        if let Some(address) = next {
            let (node, peers) = (Rc::clone(&node), Rc::clone(&peers));
            let meter = Arc::clone(&meter);
            spawn_local(async move {
                let is_answered = ask(own, address, &node, &peers, meter).await;
                peers
                    .borrow_mut()
                    .note_asked(address, BootClock.now(), is_answered);
            });
        }
        sleep(jitter(pause(&node, now))).await;
    }
}

fn pause(node: &SharedNode, now: Moment) -> Duration {
    let synced = node.borrow().steering().freshness().synced;
    match synced {
        Some(synced) if now.since(synced) <= HASTE_AGE => QUIET_PAUSE,
        _ => HASTE_PAUSE,
    }
}

/// Asks one peer; false when it does not answer.
async fn ask(
    own: SocketAddr,
    address: SocketAddr,
    node: &SharedNode,
    peers: &SharedPeers,
    meter: Arc<Meter>,
) -> bool {
    let upto = node.borrow().replica().upto();
    let call = async {
        let link = ReplicaLink::connect(address, meter).await?;
        link.sync(own, upto).await
    };
    let asked = BootClock.now();
    let news = match timeout(CALL_TIME, call).await {
        Ok(Ok(news)) => news,
        Ok(Err(error)) => {
            log::debug!(
                "event=peer_call_failed peer={address} cause={:?}",
                error.to_string()
            );
            return false;
        }
        Err(_) => {
            log::debug!("event=peer_call_failed peer={address} cause=silent");
            return false;
        }
    };
    let now = BootClock.now();
    {
        let mut peers = peers.borrow_mut();
        for &peer in &news.peers {
            peers.note_named(peer);
        }
    }
    let Some(changes) = news.changes else {
        return true;
    };
    let mut node = node.borrow_mut();
    // A peer that is behind knows nothing of what was published since.
    let is_behind = Some(changes.upto) < node.replica().upto();
    let age = u64::try_from(news.age.as_millis()).unwrap_or(u64::MAX);
    let synced = Moment::from_millis(asked.as_millis().saturating_sub(age));
    if !is_behind {
        node.take(changes, synced, now, Source::Peer(address));
    }
    true
}
