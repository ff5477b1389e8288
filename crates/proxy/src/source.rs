//! Owners as one proxy sees them: its own and those of peers.

use std::sync::Arc;

use bambooseam_types::TargetId;

use crate::owners::Owners;
use crate::peers::{PeerLease, Peers};
use crate::routes::{Group, GroupRoute, OwnerAddress, Routes};
use crate::slots::{Ask, Grant, Lease, Refusal, Report, SlotOwner, SlotSource};

/// An owner that can be asked for a slot.
#[derive(Debug)]
pub enum Source {
    /// In this process.
    Own(Arc<SlotOwner>),
    /// Another proxy.
    Peer {
        /// The thread that asks.
        peers: Arc<Peers>,
        /// Where the owner listens.
        address: std::net::SocketAddr,
        /// The group that it owns.
        group: Group,
    },
}

/// A slot of either kind of owner.
#[derive(Debug)]
pub enum SlotLease {
    /// Of an owner in this process.
    Own(Grant),
    /// Of another proxy.
    Peer(PeerLease),
}

impl Source {
    /// The first owner in rank that answers; this proxy itself when none does.
    pub fn of(
        route: &GroupRoute,
        routes: &Routes,
        owners: &Owners,
        peers: &Arc<Peers>,
    ) -> Option<Self> {
        for owner in &route.owners {
            match *owner {
                OwnerAddress::Own => break,
                OwnerAddress::Peer(address) if peers.is_down(address) => continue,
                OwnerAddress::Peer(address) => {
                    return Some(Self::Peer {
                        peers: Arc::clone(peers),
                        address,
                        group: route.group.clone(),
                    });
                }
            }
        }
        owners.get(&route.group, &routes.view).map(Self::Own)
    }
}

impl SlotSource for Source {
    type Lease = SlotLease;

    async fn acquire(&self, ask: Ask) -> Result<SlotLease, Refusal> {
        match self {
            Self::Own(owner) => SlotOwner::acquire(owner, ask).await.map(SlotLease::Own),
            Self::Peer {
                peers,
                address,
                group,
            } => {
                let lease = peers.acquire(*address, group.clone(), ask).await;
                lease.map(SlotLease::Peer)
            }
        }
    }
}

impl Lease for SlotLease {
    fn target(&self) -> &TargetId {
        match self {
            Self::Own(grant) => grant.target(),
            Self::Peer(lease) => lease.target(),
        }
    }

    fn finish(self, report: Report) {
        match self {
            Self::Own(grant) => grant.finish(report),
            Self::Peer(lease) => lease.finish(report),
        }
    }
}
