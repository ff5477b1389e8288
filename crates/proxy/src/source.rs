//! Access to the owner of a group, in this process or on another proxy.

use std::time::Duration;

use bambooseam_types::TargetId;
use bambooseam_view::View;

use crate::owners::Owners;
use crate::peers::{PeerLease, Peers};
use crate::routes::{GroupRoute, OwnerAddress};
use crate::slots::{Grant, Lease, Refusal, SlotRequest, SlotSource, WorkOutcome};

/// Expected wait that is reported for a service that the view lacks.
const NO_SERVICE_WAIT: Duration = Duration::from_secs(5);

/// The owner of one group, determined anew for each request.
#[derive(Debug)]
pub struct OwnerSource<'a> {
    /// The group and its candidate owners in rank order.
    pub route: &'a GroupRoute,
    /// The view under which the owners were ranked.
    pub view: &'a View,
    /// Owners in this process.
    pub owners: &'a Owners,
    /// Client for other proxies.
    pub peers: &'a Peers,
}

/// A slot granted by an owner in this process or on another proxy.
#[derive(Debug)]
pub enum SlotLease {
    /// Granted by an owner in this process.
    Local(Grant),
    /// Granted by another proxy.
    Peer(PeerLease),
}

impl OwnerSource<'_> {
    /// Returns the highest-ranked owner that has not recently failed to respond, or this proxy if
    /// all have.
    fn owner(&self) -> OwnerAddress {
        let is_reachable = |owner: &&OwnerAddress| match owner {
            OwnerAddress::Local => true,
            OwnerAddress::Peer(address) => !self.peers.is_down(*address),
        };
        let reachable = self.route.owners.iter().find(is_reachable);
        reachable.copied().unwrap_or(OwnerAddress::Local)
    }
}

impl SlotSource for OwnerSource<'_> {
    type Lease = SlotLease;

    async fn acquire(&self, request: SlotRequest) -> Result<SlotLease, Refusal> {
        match self.owner() {
            OwnerAddress::Local => {
                let owner = self.owners.get(&self.route.group, self.view);
                let owner = owner.ok_or(Refusal::new(NO_SERVICE_WAIT))?;
                owner.acquire(request).await.map(SlotLease::Local)
            }
            OwnerAddress::Peer(address) => {
                let group = self.route.group.clone();
                let lease = self.peers.acquire(address, group, request).await;
                lease.map(SlotLease::Peer)
            }
        }
    }
}

impl Lease for SlotLease {
    fn target(&self) -> &TargetId {
        match self {
            Self::Local(grant) => grant.target(),
            Self::Peer(lease) => lease.target(),
        }
    }

    fn finish(self, outcome: WorkOutcome) {
        match self {
            Self::Local(grant) => grant.finish(outcome),
            Self::Peer(lease) => lease.finish(outcome),
        }
    }
}
