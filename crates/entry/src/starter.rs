//! Client that obtains the first copy from another VM.
//!
//! A seed is asked first. If it assigns a peer as the source, this VM leaves the store to others
//! until the peer fails or takes long, and then reads it in steps ([`ReadPermit`]) while it still
//! waits for the peer.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_peer::replica::{ReplicaClient, SyncRequest, SyncResponse};
use bambooseam_peer::{Meter, PeerError, jitter};
use bambooseam_types::{Clock, Moment};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::BootClock;
use crate::feed::STALE_AGE;
use crate::node::{SharedNode, Source};
use crate::peering::SharedPeers;

/// Time for which reading waits for the connection to a seed. The seed's kernel accepts connections
/// while its process is busy, so a seed that takes longer has no power or is cut off.
const CONNECT_PAUSE: Duration = Duration::from_millis(25);

/// Time for which reading waits for the answer of a seed. A seed that starts at the same time answers
/// when it has accepted the connections of the whole fleet.
const SEED_PAUSE: Duration = Duration::from_millis(150);

/// Timeout for the answer of a seed.
const SEED_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before the next seed is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time for which nothing is read while a copy is expected. The VM at the end of a zone's tree has
/// its copy by then in today's fleets.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Further time for which only the first page is read. In it, copies pass through a zone of the
/// intended size.
const NEXT_PAUSE: Duration = Duration::from_millis(400);

/// Largest wait for a copy.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// How much of the store a VM without a copy reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadPermit {
    /// Nothing, because a copy is expected from a peer.
    Nothing,
    /// The first page, which may be all there is.
    FirstPage,
    /// Everything.
    All,
}

/// Obtains the first copy from another VM.
pub struct Starter {
    node: SharedNode,
    peers: SharedPeers,
    meter: Arc<Meter>,
    permit: watch::Sender<ReadPermit>,
}

impl Starter {
    /// Creates a starter that sets `permit` to what may be read meanwhile.
    pub fn new(
        node: SharedNode,
        peers: SharedPeers,
        meter: Arc<Meter>,
        permit: watch::Sender<ReadPermit>,
    ) -> Self {
        Self {
            node,
            peers,
            meter,
            permit,
        }
    }

    /// Obtains a copy; returns false when this VM must read the store.
    pub async fn run(&self) -> bool {
        let seeds = self.peers.borrow().seeds_to_ask();
        for seed in seeds.iter().cycle() {
            let asked = BootClock.now();
            let answer = self.ask(*seed).await;
            if let Ok(response) = &answer {
                self.record_token_support(response, asked);
            }
            match answer {
                Ok(response) if response.is_referral => return self.wait_for(response).await,
                Ok(response) => return self.apply(response, *seed),
                // The seed may not have started yet.
                Err(error) => log::debug!(
                    "event=seed_call_failed peer={seed} cause={:?}",
                    error.to_string()
                ),
            }
            self.permit(ReadPermit::All);
            sleep(jitter(RETRY_PAUSE)).await;
        }
        false
    }

    /// Sets how much of the store may be read.
    pub(crate) fn permit(&self, permit: ReadPermit) {
        self.permit.send_replace(permit);
    }

    /// Asks a seed where to get the copy.
    async fn ask(&self, seed: SocketAddr) -> Result<SyncResponse, PeerError> {
        let answer = async {
            let mut connect = pin!(ReplicaClient::connect(seed, Arc::clone(&self.meter)));
            let client = match timeout(CONNECT_PAUSE, &mut connect).await {
                Ok(client) => client?,
                Err(_) => {
                    self.permit(ReadPermit::All);
                    connect.await?
                }
            };
            let mut answer = pin!(self.request(&client, Duration::ZERO));
            match timeout(SEED_PAUSE, &mut answer).await {
                Ok(answer) => answer,
                Err(_) => {
                    self.permit(ReadPermit::All);
                    answer.await
                }
            }
        };
        let answer = timeout(SEED_TIMEOUT, answer).await;
        answer.unwrap_or(Err(PeerError::Io(std::io::ErrorKind::TimedOut.into())))
    }

    /// Waits for the copy of the peer in a referral.
    async fn wait_for(&self, referral: SyncResponse) -> bool {
        let Some(source) = referral.peers.first() else {
            return false;
        };
        let address = source.address;
        log::info!("event=first_copy_assigned peer={address}");
        self.peers.borrow_mut().record_gossiped(source);
        let asked = BootClock.now();
        let mut copy = pin!(async {
            let client = ReplicaClient::connect(address, Arc::clone(&self.meter)).await?;
            self.request(&client, MAX_WAIT).await
        });
        let steps = [
            (ReadPermit::Nothing, FIRST_PAUSE),
            (ReadPermit::FirstPage, NEXT_PAUSE),
            (ReadPermit::All, MAX_WAIT),
        ];
        for (permit, time) in steps {
            self.permit(permit);
            let Ok(result) = timeout(time, &mut copy).await else {
                log::info!("event=first_copy_late peer={address} read={permit:?}");
                continue;
            };
            return match result {
                Ok(response) => {
                    self.record_token_support(&response, asked);
                    self.apply(response, address)
                }
                Err(error) => {
                    let cause = error.to_string();
                    log::info!("event=first_copy_failed peer={address} cause={cause:?}");
                    false
                }
            };
        }
        false
    }

    async fn request(
        &self,
        client: &ReplicaClient,
        wait: Duration,
    ) -> Result<SyncResponse, PeerError> {
        let request = SyncRequest {
            requester: Some(self.peers.borrow().own().clone()),
            held: self.node.borrow().replica().held(),
            wait,
            may_be_large: true,
            is_starting: true,
            accepts_referral: true,
            token_reading: self.node.borrow().token_reading(BootClock.now()),
        };
        client.sync(&request).await
    }

    /// Records what a VM, asked at `asked`, knows of the tokens that VMs read.
    fn record_token_support(&self, response: &SyncResponse, asked: Moment) {
        let mut node = self.node.borrow_mut();
        node.record_token_support(response.token_support, asked, BootClock.now());
    }

    /// Applies a copy, unless it is older than copies that may be followed while the store answers.
    fn apply(&self, response: SyncResponse, address: SocketAddr) -> bool {
        let now = BootClock.now();
        {
            let mut peers = self.peers.borrow_mut();
            peers.record_call(address, now, true);
            peers.record_sample(&response.peers);
        }
        let (age, synced) = (response.age, response.synced(now));
        let mut node = self.node.borrow_mut();
        node.record_transfer(response.size, now);
        node.record_earlier_starts(response.earlier_starts, now, Source::Peer(address));
        let Some(changes) = response.changes else {
            return false;
        };
        if age > STALE_AGE && !node.is_store_unavailable(now) {
            return false;
        }
        let (upto, count) = (changes.upto, changes.list.len());
        log::info!("event=first_copy peer={address} upto={upto} documents={count} age={age:?}");
        node.apply(changes, synced, now, Source::Peer(address))
    }
}
