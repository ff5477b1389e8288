//! Client of the followed peer, which returns changes by long polling.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_peer::replica::{ReplicaClient, SyncRequest, SyncResponse};
use bambooseam_peer::{Meter, PeerError};
use bambooseam_types::{Clock, Moment};
use tokio::time::timeout;

use crate::BootClock;
use crate::feed::STALE_AGE;
use crate::node::{SharedNode, Source};
use crate::pause::answered_at;
use crate::peering::SharedPeers;

/// Maximum time for which the peer waits for changes. The value is just above [`STALE_AGE`], at
/// which the peer's replica is too old to be followed.
const MAX_WAIT: Duration = Duration::from_millis(1_200);

/// Timeout for establishing a connection, and for the answer after the end of the wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for a long poll with its connection.
const MAX_CALL_TIME: Duration = MAX_WAIT.saturating_add(ANSWER_TIMEOUT);

/// Follows one peer at a time over one connection.
pub struct Follower {
    node: SharedNode,
    peers: SharedPeers,
    meter: Arc<Meter>,
    client: Option<(SocketAddr, ReplicaClient)>,
}

impl Follower {
    /// Creates a follower without a connection.
    pub fn new(node: SharedNode, peers: SharedPeers, meter: Arc<Meter>) -> Self {
        Self {
            node,
            peers,
            meter,
            client: None,
        }
    }

    /// Waits for changes from the peer at `address`; excludes the peer when it fails or is behind.
    pub(crate) async fn round(&mut self, address: SocketAddr) {
        let started = BootClock.now();
        let result = timeout(MAX_CALL_TIME, self.poll(address)).await;
        let now = BootClock.now();
        let answered = answered_at(started, now, MAX_CALL_TIME);
        let cause = match result {
            Ok(Ok(response)) => {
                self.peers.borrow_mut().record_call(address, now, true);
                self.node
                    .borrow_mut()
                    .record_token_support(response.token_support, started, now);
                if self.peers.borrow().is_outside(address) {
                    let mut node = self.node.borrow_mut();
                    node.steering_mut().record_outside_answer(answered);
                }
                if response.is_referral {
                    return self.leave(response, address, answered, now);
                }
                match self.apply(response, address, answered, now) {
                    true => return,
                    false => "behind".to_owned(),
                }
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "silent".to_owned(),
        };
        self.client = None;
        let mut peers = self.peers.borrow_mut();
        if cause != "behind" {
            peers.record_call(address, now, false);
        }
        peers.exclude(address, now);
        log::info!("event=peer_shunned peer={address} cause={cause:?}");
    }

    /// Leaves a peer that refers this VM to its other followers.
    fn leave(
        &mut self,
        response: SyncResponse,
        address: SocketAddr,
        answered: Moment,
        now: Moment,
    ) {
        self.client = None;
        {
            let mut peers = self.peers.borrow_mut();
            peers.record_sample(&response.peers);
            peers.exclude_referring(address, now);
        }
        log::info!("event=peer_full peer={address}");
        self.apply(response, address, answered, now);
    }

    /// Sends one long poll, over the open connection if it belongs to the same peer.
    async fn poll(&mut self, address: SocketAddr) -> Result<SyncResponse, PeerError> {
        let is_connected = self
            .client
            .as_ref()
            .is_some_and(|(peer, _)| *peer == address);
        let request = SyncRequest {
            // The first call on a connection already announced this VM to the peer.
            requester: (!is_connected).then(|| self.peers.borrow().own().clone()),
            held: self.node.borrow().replica().held(),
            wait: MAX_WAIT,
            may_be_large: true,
            is_starting: false,
            accepts_referral: true,
            token_reading: self.node.borrow().token_reading(BootClock.now()),
        };
        let client = match self.client.take() {
            Some((peer, client)) if peer == address => client,
            _ => self.connect(address).await?,
        };
        let response = client.sync(&request).await?;
        self.client = Some((address, client));
        Ok(response)
    }

    /// Connects with a timeout, because a VM that is down does not refuse the connection.
    async fn connect(&self, address: SocketAddr) -> Result<ReplicaClient, PeerError> {
        let connect = ReplicaClient::connect(address, Arc::clone(&self.meter));
        let connected = timeout(ANSWER_TIMEOUT, connect).await;
        connected.map_err(|_| PeerError::Io(std::io::ErrorKind::TimedOut.into()))?
    }

    /// Applies the answer that a peer sent at `answered` or later; returns false when the replica of
    /// the peer is missing, stale or behind.
    fn apply(
        &self,
        response: SyncResponse,
        address: SocketAddr,
        answered: Moment,
        now: Moment,
    ) -> bool {
        let synced = response.synced(answered);
        let mut node = self.node.borrow_mut();
        node.record_transfer(response.size, now);
        let Some(changes) = response.changes else {
            return false;
        };
        if response.age > STALE_AGE {
            return false;
        }
        // Only a peer whose replica is at least as new can confirm that this replica is complete.
        node.replica().is_covered_by(&changes)
            && node.apply(changes, synced, now, Source::Peer(address))
    }
}
