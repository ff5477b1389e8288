//! Assignment of sources for first copies, for fleets that start all at once.
//!
//! If each of several hundred VMs read all documents from the store, the store's link would be full
//! for seconds. A VM that starts therefore asks a seed where to get its copy. The seed lists the VMs
//! of each availability zone in the order in which they ask, and refers each one to an earlier VM of
//! its list, so that the lists become trees below the seed: each VM passes its copy on to [`FAN_OUT`]
//! others of its zone, and the seed also to one VM of each other zone. Only the seeds read the store,
//! and VMs whose source fails.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_peer::replica::PeerInfo;
use bambooseam_types::{Moment, ZoneId};

/// Number of VMs to which one VM passes its copy on. Its link carries their copies at the same time,
/// so more would delay each level of the tree, and fewer would add levels.
pub const FAN_OUT: usize = 3;

/// Time after the last request of a zone after which its list begins anew.
const LIST_TIME: Duration = Duration::from_secs(5);

/// Largest number of VMs in a list, which is larger than the intended fleet's zones.
const MAX_LISTED: usize = 512;

/// Where a VM gets its first copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopySource {
    /// This VM, as soon as it has a copy.
    Own,
    /// Another VM of the requester's zone.
    Peer(SocketAddr),
    /// The store.
    Store,
}

/// The VMs that asked lately, by availability zone.
#[derive(Debug)]
pub struct CopyAssignments {
    own: PeerInfo,
    /// Sorted by zone.
    lists: Vec<ZoneList>,
}

/// The VMs of one zone in the order of their requests.
#[derive(Debug)]
struct ZoneList {
    zone: ZoneId,
    vms: Vec<SocketAddr>,
    /// Time of the last request.
    asked: Moment,
}

impl Display for CopySource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Own => write!(f, "own"),
            Self::Peer(address) => write!(f, "{address}"),
            Self::Store => write!(f, "store"),
        }
    }
}

impl CopyAssignments {
    /// Creates the assignments of the VM `own`.
    pub fn new(own: PeerInfo) -> Self {
        Self {
            own,
            lists: Vec::new(),
        }
    }

    /// Assigns a source to a VM. `has_copy` tells whether this VM has a copy.
    pub fn assign(&mut self, requester: &PeerInfo, has_copy: bool, now: Moment) -> CopySource {
        let is_same_zone = requester.zone == self.own.zone;
        let own = self.own.address;
        let list = self.list(&requester.zone, now);
        if is_same_zone && list.vms.is_empty() {
            // This VM is the root of the tree of its zone.
            list.vms.push(own);
        }
        // A VM that asks again has lost its source.
        if list.vms.contains(&requester.address) || list.vms.len() >= MAX_LISTED {
            return match has_copy {
                true => CopySource::Own,
                false => CopySource::Store,
            };
        }
        let position = list.vms.len();
        list.vms.push(requester.address);
        // Each VM waits for an earlier one of the same list, so none waits for itself.
        let Some(earlier) = position.checked_sub(1) else {
            return CopySource::Own;
        };
        match list.vms[earlier / FAN_OUT] {
            source if source == own => CopySource::Own,
            source => CopySource::Peer(source),
        }
    }

    /// Returns the list of a zone, which is empty if its last request is long ago.
    fn list(&mut self, zone: &ZoneId, now: Moment) -> &mut ZoneList {
        let at = match self.lists.binary_search_by(|list| list.zone.cmp(zone)) {
            Ok(at) => at,
            Err(at) => {
                let list = ZoneList {
                    zone: zone.clone(),
                    vms: Vec::new(),
                    asked: now,
                };
                self.lists.insert(at, list);
                at
            }
        };
        let list = &mut self.lists[at];
        if now.since(list.asked) > LIST_TIME {
            list.vms.clear();
        }
        list.asked = now;
        list
    }
}
