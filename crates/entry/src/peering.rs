//! Tasks that answer peers, and ask them now and then.
//!
//! While the copy is current, a peer is asked now and then to keep the list of peers fresh. While it
//! is not, peers are asked several times a second, whatever the feed does.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_peer::replica::{ReplicaClient, ReplicaService, SyncRequest, SyncResponse};
use bambooseam_peer::{Meter, jitter};
use bambooseam_types::{Clock, Moment};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::node::{SharedNode, Source};
use crate::{BootClock, Peers};

/// Time between two calls while the copy is current: the list of peers changes with VMs, of which
/// a fleet of the target size replaces one every three minutes.
const QUIET_PAUSE: Duration = Duration::from_millis(3_000);

/// Time between two looks whether a call is due, and between two calls while the copy is not
/// current: several tries within the least bound for a change.
const HASTE_PAUSE: Duration = Duration::from_millis(200);

/// Age of the copy from which peers are asked in haste: above that of a copy that is followed.
const HASTE_AGE: Duration = Duration::from_millis(1_400);

/// Calls in haste after the start that look for more peers; a small fleet has no more.
const SPARSE_TRIES: u32 = 6;

/// Time in which a peer must answer, connection included.
const CALL_TIME: Duration = Duration::from_millis(500);

/// Largest copy that is given to an asker that is not eager: it reads the store meanwhile, and many
/// VMs may start at once. Some two hundred entries.
const SMALL_COPY: usize = 64 << 10;

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
    async fn sync(&self, ask: SyncRequest) -> SyncResponse {
        let now = BootClock.now();
        if let Some(requester) = &ask.requester {
            self.peers.borrow_mut().record_requester(requester, now);
        }
        let is_waiting = !ask.wait.is_zero();
        if is_waiting {
            self.wait_for_news(&ask).await;
        }
        let node = self.node.borrow();
        let peers = match is_waiting {
            // A follower asks each second; the peers that it needs come with its other calls.
            true => Vec::new(),
            false => self.peers.borrow().sample(now),
        };
        let changes = node.replica().changes_since(ask.upto);
        let changes = changes.filter(|changes| ask.may_be_large || changes.size() <= SMALL_COPY);
        SyncResponse {
            changes,
            age: node.age(BootClock.now()).unwrap_or(Duration::MAX),
            peers,
        }
    }
}

impl Answers {
    /// Waits until something newer than the asker's copy is here, or the copy is known to be
    /// current once more.
    async fn wait_for_news(&self, ask: &SyncRequest) {
        let mut synced = self.node.borrow().synced();
        synced.mark_unchanged();
        if self.node.borrow().replica().upto() > ask.upto {
            return;
        }
        // The end of the wait is an answer too; the node outlives its peers' calls.
        let _ = timeout(ask.wait, synced.changed()).await;
    }
}

/// Asks peers until dropped; must run in a `LocalSet`.
pub async fn run(node: SharedNode, peers: SharedPeers, meter: Arc<Meter>) {
    let mut asked: Option<Moment> = None;
    let mut tries = 0;
    loop {
        let now = BootClock.now();
        let is_sparse = peers.borrow().is_sparse() && tries < SPARSE_TRIES;
        let pause = match is_sparse {
            true => Duration::ZERO,
            false => pause(&node, now),
        };
        let is_due = asked.is_none_or(|asked| now.since(asked) >= pause);
        if is_due && let Some(address) = peers.borrow_mut().next_call(now) {
            asked = Some(now);
            tries += 1;
            let (node, peers) = (Rc::clone(&node), Rc::clone(&peers));
            let meter = Arc::clone(&meter);
            spawn_local(async move {
                let is_answered = ask(address, &node, &peers, meter).await;
                let now = BootClock.now();
                peers.borrow_mut().finish_call(address, now, is_answered);
            });
        }
        sleep(jitter(HASTE_PAUSE)).await;
    }
}

/// Time between two calls, as current as the copy is now.
fn pause(node: &SharedNode, now: Moment) -> Duration {
    match node.borrow().age(now) {
        Some(age) if age <= HASTE_AGE => QUIET_PAUSE,
        _ => Duration::ZERO,
    }
}

/// Asks one peer; false when it does not answer.
async fn ask(
    address: SocketAddr,
    node: &SharedNode,
    peers: &SharedPeers,
    meter: Arc<Meter>,
) -> bool {
    let ask = SyncRequest {
        requester: Some(peers.borrow().own().clone()),
        upto: node.borrow().replica().upto(),
        wait: Duration::ZERO,
        may_be_large: node.borrow().is_store_away(BootClock.now()),
    };
    let call = async {
        let link = ReplicaClient::connect(address, meter).await?;
        link.sync(&ask).await
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
        for peer in &news.peers {
            peers.record_gossiped(peer);
        }
    }
    let synced = news.synced(asked);
    let Some(changes) = news.changes else {
        return true;
    };
    let mut node = node.borrow_mut();
    // A peer that is behind knows nothing of what was published since.
    let is_behind = Some(changes.upto) < node.replica().upto();
    if !is_behind {
        node.apply(changes, synced, now, Source::Peer(address));
    }
    true
}
