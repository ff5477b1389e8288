//! Selection of the peers that an agent exchanges with.
//!
//! Each VM is observed by its predecessors on a ring of its zone, ordered by a hash of the VM
//! names, and by one predecessor on a ring of the whole fleet. In addition, some random peers,
//! mostly outside the zone, are replaced from time to time and carry changes to distant parts of
//! the fleet.

use std::net::SocketAddr;

use bambooseam_config::{VmEntry, VmList};
use bambooseam_types::{VmId, ZoneId};
use bambooseam_view::FlowKey;
use rand::Rng;
use rand::seq::IndexedRandom;

/// Successors on the ring of the zone with which an agent exchanges.
const ZONE_SUCCESSORS: usize = 3;

/// Successors on the ring of the fleet with which an agent exchanges.
const FLEET_SUCCESSORS: usize = 1;

/// Random peers in the zone.
const ZONE_RANDOM: usize = 1;

/// Random peers outside the zone, each in a different zone where the fleet has that many zones.
const REMOTE_RANDOM: usize = 2;

/// Fleet size up to which every agent exchanges with every other agent.
pub(crate) const FULL_MESH_LIMIT: usize = 8;

/// A peer to exchange with.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Neighbour {
    /// The VM, if known.
    pub(crate) vm: Option<VmId>,
    /// Address on which its agent listens.
    pub(crate) address: SocketAddr,
}

/// Peers selected by the rings, sorted by VM.
pub(crate) fn ring_neighbours(list: &VmList, local: &VmId, zone: &ZoneId) -> Vec<Neighbour> {
    let all: Vec<&VmEntry> = list.0.iter().collect();
    if all.len() <= FULL_MESH_LIMIT {
        return neighbours(all.into_iter().filter(|vm| vm.id != *local));
    }
    let zone_vms: Vec<&VmEntry> = all.iter().copied().filter(|vm| vm.zone == *zone).collect();
    let mut chosen = successors(&zone_vms, local, ZONE_SUCCESSORS);
    let remaining: Vec<&VmEntry> = all
        .into_iter()
        .filter(|vm| vm.id == *local || !chosen.iter().any(|peer| peer.id == vm.id))
        .collect();
    chosen.extend(successors(&remaining, local, FLEET_SUCCESSORS));
    neighbours(chosen.into_iter())
}

/// Random peers. A VM for which `is_excluded` returns true is selected only if its zone has no
/// other VM.
pub(crate) fn random_neighbours(
    list: &VmList,
    local: &VmId,
    zone: &ZoneId,
    is_excluded: impl Fn(&VmId) -> bool,
    rng: &mut impl Rng,
) -> Vec<Neighbour> {
    if list.0.len() <= FULL_MESH_LIMIT {
        return Vec::new();
    }
    let mut zones: Vec<&ZoneId> = list.0.iter().map(|vm| &vm.zone).collect();
    zones.sort();
    zones.dedup();
    zones.retain(|other| *other != zone);
    let mut wanted: Vec<&ZoneId> = zones.choose_multiple(rng, REMOTE_RANDOM).copied().collect();
    wanted.extend(std::iter::repeat_n(zone, ZONE_RANDOM));
    let mut chosen = Vec::new();
    for zone in wanted {
        let members: Vec<&VmEntry> = list
            .0
            .iter()
            .filter(|vm| vm.zone == *zone && vm.id != *local)
            .collect();
        let responsive: Vec<&VmEntry> = members
            .iter()
            .copied()
            .filter(|vm| !is_excluded(&vm.id))
            .collect();
        let selected = responsive.choose(rng).or_else(|| members.choose(rng));
        chosen.extend(selected.copied());
    }
    neighbours(chosen.into_iter())
}

/// The `count` successors of `local` on the ring of `members`.
fn successors<'a>(members: &[&'a VmEntry], local: &VmId, count: usize) -> Vec<&'a VmEntry> {
    let position = |id: &VmId| (FlowKey::from_name(id.as_str()).get(), id.clone());
    let mut ring = members.to_vec();
    ring.sort_by_cached_key(|vm| position(&vm.id));
    let start = ring.partition_point(|vm| position(&vm.id) <= position(local));
    ring.iter()
        .cycle()
        .skip(start)
        .take(ring.len())
        .filter(|vm| vm.id != *local)
        .take(count)
        .copied()
        .collect()
}

fn neighbours<'a>(vms: impl Iterator<Item = &'a VmEntry>) -> Vec<Neighbour> {
    let mut chosen: Vec<Neighbour> = vms
        .map(|vm| Neighbour {
            vm: Some(vm.id.clone()),
            address: vm.agent,
        })
        .collect();
    chosen.sort();
    chosen.dedup();
    chosen
}
