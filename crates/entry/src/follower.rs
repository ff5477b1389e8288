//! Rounds that wait for news of the followed peer.

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
use crate::peering::SharedPeers;

/// Longest wait for news: just above the age at which the peer's copy is too old to be followed.
const WAIT_TIME: Duration = Duration::from_millis(1_200);

/// Time in which a connection must be there, and beyond the wait until the answer is.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Follows one peer at a time over one connection.
pub struct Follower {
    node: SharedNode,
    peers: SharedPeers,
    meter: Arc<Meter>,
    link: Option<(SocketAddr, ReplicaClient)>,
}

impl Follower {
    /// Creates a follower that follows nobody yet.
    pub fn new(node: SharedNode, peers: SharedPeers, meter: Arc<Meter>) -> Self {
        Self {
            node,
            peers,
            meter,
            link: None,
        }
    }

    /// Waits for news of the peer at `address`; shuns it when it fails or is behind.
    pub(crate) async fn round(&mut self, address: SocketAddr) {
        let answer = timeout(WAIT_TIME + ANSWER_TIME, self.ask(address)).await;
        let now = BootClock.now();
        let cause = match answer {
            Ok(Ok(news)) => {
                self.peers.borrow_mut().record_call(address, now, true);
                match self.take(news, address, now) {
                    true => return,
                    false => "behind".to_owned(),
                }
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "silent".to_owned(),
        };
        self.link = None;
        let mut peers = self.peers.borrow_mut();
        if cause != "behind" {
            peers.record_call(address, now, false);
        }
        peers.exclude(address, now);
        log::info!("event=peer_shunned peer={address} cause={cause:?}");
    }

    async fn ask(&mut self, address: SocketAddr) -> Result<SyncResponse, PeerError> {
        let is_linked = self.link.as_ref().is_some_and(|(held, _)| *held == address);
        let ask = SyncRequest {
            // The peer has been told over this connection.
            requester: (!is_linked).then(|| self.peers.borrow().own().clone()),
            upto: self.node.borrow().replica().upto(),
            wait: WAIT_TIME,
            may_be_large: true,
        };
        let link = match self.link.take() {
            Some((held, link)) if held == address => link,
            _ => self.connect(address).await?,
        };
        let news = link.sync(&ask).await?;
        self.link = Some((address, link));
        Ok(news)
    }

    /// Connects; a VM without power does not even refuse.
    async fn connect(&self, address: SocketAddr) -> Result<ReplicaClient, PeerError> {
        let connect = ReplicaClient::connect(address, Arc::clone(&self.meter));
        let connected = timeout(ANSWER_TIME, connect).await;
        connected.map_err(|_| PeerError::Io(std::io::ErrorKind::TimedOut.into()))?
    }

    /// Takes news; false when they are too old.
    fn take(&self, news: SyncResponse, address: SocketAddr, now: Moment) -> bool {
        let synced = news.synced(now);
        let Some(changes) = news.changes else {
            return false;
        };
        if news.age > STALE_AGE {
            return false;
        }
        let mut node = self.node.borrow_mut();
        // Only a copy that holds all that is held here tells that this is all there is.
        Some(changes.upto) >= node.replica().upto()
            && node.apply(changes, synced, now, Source::Peer(address))
    }
}
