//! Exchange of documents and peer lists with other VMs.
//!
//! [`ReplicaServer`] answers calls from peers, and [`run`] calls peers. While the replica is
//! current, a peer is called every few seconds, which keeps the list of peers fresh. While the
//! replica is not current, peers are called several times a second, independently of the feed.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bambooseam_observe::LogLimit;
use bambooseam_peer::replica::{
    EARLIER_START_LIMIT, PeerInfo, ReplicaClient, ReplicaService, SyncRequest, SyncResponse,
};
use bambooseam_peer::{Meter, jitter};
use bambooseam_types::{Clock, EarlierStart, Moment};
use rand::Rng;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::first_copy::{CopyAssignments, CopySource};
use crate::followers::{Admission, Followers};
use crate::node::{SharedNode, Source};
use crate::{BootClock, Peers};

/// Interval between two calls while the replica is current. The list of peers changes only when VMs
/// are replaced; a fleet of the intended size replaces one VM every three minutes.
const CALL_INTERVAL: Duration = Duration::from_millis(3_000);

/// Interval between two checks whether a call is due, and between two calls while the replica is
/// not current. The value allows several attempts within the users' shortest time limit for a
/// change (3 s).
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Age of the replica above which peers are called at every check. The value is above the maximum
/// age of a followed replica.
const URGENT_AGE: Duration = Duration::from_millis(1_400);

/// Maximum number of calls without an interval after the start, which discover more peers. The
/// number is limited because a small fleet has no more peers.
const MAX_DISCOVERY_CALLS: u32 = 6;

/// Timeout for a call to a peer, including the connection setup.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size in bytes of the changes returned to a requester that does not accept large changes:
/// about two hundred entries. Such a requester reads the store at the same time, and many VMs may
/// start at once.
const SMALL_RESPONSE_BYTES: usize = 64 << 10;

/// Maximum size in bytes of the changes returned to any requester; each requester refuses more, with
/// their framing. It reads the store instead. The response is built in memory as a whole.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The peers known to this VM, shared by the tasks of one thread.
pub type SharedPeers = Rc<RefCell<Peers>>;

/// Limits log lines about referrals, which are frequent while a fleet starts.
static REFERRALS: LogLimit = LogLimit::new("referrals", 20);

/// Answers calls from peers with this VM's replica.
#[derive(Debug)]
pub struct ReplicaServer {
    /// Documents and steering state of this VM.
    node: SharedNode,
    /// Peers of this VM.
    peers: SharedPeers,
    assignments: RefCell<CopyAssignments>,
    followers: RefCell<Followers>,
    /// Number of followers that others have replaced.
    replaced: watch::Sender<u64>,
}

impl ReplicaService for ReplicaServer {
    async fn sync(&self, request: SyncRequest) -> SyncResponse {
        self.node
            .borrow_mut()
            .record_token_request(request.token_reading, BootClock.now());
        let response = self.answer(request).await;
        let token_support = self.node.borrow().token_support(BootClock.now());
        SyncResponse {
            token_support,
            ..response
        }
    }

    fn record_sent(&self, size: usize) {
        let mut node = self.node.borrow_mut();
        node.record_transfer(size, BootClock.now());
    }
}

impl ReplicaServer {
    /// Creates a server for the documents of `node`.
    pub fn new(node: SharedNode, peers: SharedPeers) -> Self {
        let own = peers.borrow().own().clone();
        Self {
            node,
            peers,
            assignments: RefCell::new(CopyAssignments::new(own)),
            followers: RefCell::default(),
            replaced: watch::Sender::new(0),
        }
    }

    async fn answer(&self, request: SyncRequest) -> SyncResponse {
        let now = BootClock.now();
        if let Some(requester) = &request.requester {
            self.peers.borrow_mut().record_requester(requester, now);
        }
        let is_waiting = !request.wait.is_zero();
        if request.is_starting
            && !is_waiting
            && let Some(referral) = self.refer_starting(&request, now)
        {
            return referral;
        }
        let is_referral = is_waiting && !self.wait(&request, now).await;
        let peers = match (is_referral, is_waiting) {
            (true, _) => self.followers.borrow().peers(),
            // A follower calls about once a second, and receives peers with its other calls.
            (false, true) => Vec::new(),
            (false, false) => self.peers.borrow().sample(now),
        };
        // A follower receives earlier starts with its other calls as well.
        let earlier_starts = match is_waiting && !request.is_starting {
            true => Vec::new(),
            false => self.earlier_starts(&request),
        };
        let changes = self.node.borrow().replica().changes_since(&request.held);
        let max_bytes = match request.may_be_large {
            true => MAX_RESPONSE_BYTES,
            false => SMALL_RESPONSE_BYTES,
        };
        let changes = changes.filter(|changes| changes.size() <= max_bytes);
        let age = self.node.borrow().age(BootClock.now());
        SyncResponse {
            changes,
            age: age.unwrap_or(Duration::MAX),
            peers,
            is_referral,
            earlier_starts,
            ..SyncResponse::default()
        }
    }

    /// Returns the earlier starts that a requester is told.
    fn earlier_starts(&self, request: &SyncRequest) -> Vec<EarlierStart> {
        let now = BootClock.now();
        let node = self.node.borrow();
        let targets = node.steering().targets();
        if request.token_reading.reads_numbered {
            return targets.earlier_starts(now);
        }
        let mut starts = targets.earlier_starts_in_both_forms(now);
        if starts.len() > EARLIER_START_LIMIT as usize {
            // A response holds only a part, so each begins at another one.
            let first = rand::rng().random_range(0..starts.len());
            starts.rotate_left(first);
        }
        starts
    }

    /// Assigns a starting VM the source of its first copy. Returns `None` if that is this VM, which
    /// has a copy.
    fn refer_starting(&self, request: &SyncRequest, now: Moment) -> Option<SyncResponse> {
        let requester = request.requester.as_ref()?;
        let has_copy = self.node.borrow().replica().upto().is_some();
        let mut assignments = self.assignments.borrow_mut();
        let source = assignments.assign(requester, has_copy, now);
        if let Some(suppressed) = REFERRALS.admit(Instant::now()) {
            log::info!(
                "event=first_copy_referred requester={} zone={} source={source} \
                 has_copy={has_copy} suppressed={suppressed}",
                requester.address,
                requester.zone
            );
        }
        let source = match source {
            CopySource::Own if has_copy => return None,
            CopySource::Own => self.peers.borrow().own().clone(),
            CopySource::Peer(address) => PeerInfo {
                address,
                zone: requester.zone.clone(),
            },
            CopySource::Store => {
                return Some(SyncResponse {
                    age: Duration::MAX,
                    peers: self.peers.borrow().sample(now),
                    ..SyncResponse::default()
                });
            }
        };
        Some(SyncResponse {
            peers: vec![source],
            is_referral: true,
            ..SyncResponse::default()
        })
    }

    /// Waits until the requester can be answered; returns false if it should follow another VM.
    async fn wait(&self, request: &SyncRequest, now: Moment) -> bool {
        let may_refer = request.accepts_referral && !request.is_starting;
        let Some(follower) = request.requester.as_ref().filter(|_| may_refer) else {
            self.wait_for_change(request).await;
            return true;
        };
        let mut replaced = self.replaced.subscribe();
        let admission = self.followers.borrow_mut().admit(follower, now);
        metrics::gauge!("followers").set(self.followers.borrow().len() as f64);
        if admission == Admission::Replaced {
            self.replaced.send_modify(|count| *count += 1);
        }
        let is_replaced =
            replaced.wait_for(|_| !self.followers.borrow().contains(follower.address));
        let is_admitted = tokio::select! {
            biased;
            _ = is_replaced => false,
            () = self.wait_for_change(request) => true,
        };
        if !is_admitted && let Some(suppressed) = REFERRALS.admit(Instant::now()) {
            let address = follower.address;
            log::info!("event=follower_referred requester={address} suppressed={suppressed}");
        }
        is_admitted
    }

    /// Waits until this VM has changes that the requester lacks, or until the replica is confirmed
    /// to be current again.
    async fn wait_for_change(&self, request: &SyncRequest) {
        let mut synced = self.node.borrow().synced();
        synced.mark_unchanged();
        if self.node.borrow().replica().is_ahead_of(&request.held) {
            return;
        }
        // A timeout is answered as well. The channel stays open, because the node outlives the
        // calls of peers.
        let _ = timeout(request.wait, synced.changed()).await;
    }
}

/// Calls peers until the future is dropped; must run in a `LocalSet`.
pub async fn run(node: SharedNode, peers: SharedPeers, meter: Arc<Meter>) {
    let mut called: Option<Moment> = None;
    let mut calls = 0;
    loop {
        let now = BootClock.now();
        let is_sparse = peers.borrow().is_sparse() && calls < MAX_DISCOVERY_CALLS;
        let interval = match is_sparse {
            true => Duration::ZERO,
            false => interval(&node, now),
        };
        let is_due = called.is_none_or(|called| now.since(called) >= interval);
        if is_due && let Some(address) = peers.borrow_mut().next_call(now) {
            called = Some(now);
            calls += 1;
            let (node, peers) = (Rc::clone(&node), Rc::clone(&peers));
            let meter = Arc::clone(&meter);
            spawn_local(async move {
                let is_answered = call_peer(address, &node, &peers, meter).await;
                let now = BootClock.now();
                peers.borrow_mut().finish_call(address, now, is_answered);
            });
        }
        sleep(jitter(CHECK_INTERVAL)).await;
    }
}

/// Returns the interval between two calls for the current age of the replica.
fn interval(node: &SharedNode, now: Moment) -> Duration {
    match node.borrow().age(now) {
        Some(age) if age <= URGENT_AGE => CALL_INTERVAL,
        _ => Duration::ZERO,
    }
}

/// Calls one peer and applies its answer; returns false when the peer does not answer.
async fn call_peer(
    address: SocketAddr,
    node: &SharedNode,
    peers: &SharedPeers,
    meter: Arc<Meter>,
) -> bool {
    let request = SyncRequest {
        requester: Some(peers.borrow().own().clone()),
        held: node.borrow().replica().held(),
        wait: Duration::ZERO,
        may_be_large: node.borrow().is_store_unavailable(BootClock.now()),
        is_starting: false,
        accepts_referral: true,
        token_reading: node.borrow().token_reading(BootClock.now()),
    };
    let call = async {
        let client = ReplicaClient::connect(address, meter).await?;
        client.sync(&request).await
    };
    let called = BootClock.now();
    let response = match timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(response)) => response,
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
    peers.borrow_mut().record_sample(&response.peers);
    let synced = response.synced(called);
    let is_outside = peers.borrow().is_outside(address);
    let mut node = node.borrow_mut();
    if is_outside {
        node.steering_mut().record_outside_answer(called);
    }
    node.record_token_support(response.token_support, called, now);
    node.record_transfer(response.size, now);
    node.record_earlier_starts(response.earlier_starts, now, Source::Peer(address));
    let Some(changes) = response.changes else {
        return true;
    };
    // The replica of a peer that is behind this VM contains no newer changes, and does not confirm
    // that this replica is current.
    if node.replica().is_covered_by(&changes) {
        node.apply(changes, synced, now, Source::Peer(address));
    }
    true
}
