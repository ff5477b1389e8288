//! Which peers an agent talks to.
//!
//! Each VM is observed by the few that precede it on a ring of its zone, ordered by a hash of the
//! names, and by one on a ring of the whole fleet. Some random peers, mostly outside the zone, are
//! changed from time to time and carry news over long distances.

use std::net::SocketAddr;

use bambooseam_config::{VmEntry, VmList};
use bambooseam_types::{VmId, ZoneId};
use bambooseam_view::FlowKey;
use rand::Rng;
use rand::seq::IndexedRandom;

/// VMs that follow on the ring of the zone.
const ZONE_FOLLOWERS: usize = 3;

/// VMs that follow on the ring of the fleet.
const FLEET_FOLLOWERS: usize = 1;

/// Random peers in the zone.
const ZONE_RANDOM: usize = 1;

/// Random peers outside the zone, each in another one where there are that many.
const OUTSIDE_RANDOM: usize = 2;

/// Fleet up to which every agent talks to every other.
pub(crate) const SMALL_FLEET: usize = 8;

/// A peer to talk to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Neighbour {
    /// The VM, if it is known.
    pub(crate) vm: Option<VmId>,
    /// Where its agent listens.
    pub(crate) address: SocketAddr,
}

/// Peers that the rings give, sorted by VM.
pub(crate) fn ring_neighbours(list: &VmList, me: &VmId, zone: &ZoneId) -> Vec<Neighbour> {
    let all: Vec<&VmEntry> = list.0.iter().collect();
    if all.len() <= SMALL_FLEET {
        return neighbours(all.into_iter().filter(|vm| vm.id != *me));
    }
    let mates: Vec<&VmEntry> = all.iter().copied().filter(|vm| vm.zone == *zone).collect();
    let mut chosen = followers(&mates, me, ZONE_FOLLOWERS);
    let rest: Vec<&VmEntry> = all
        .into_iter()
        .filter(|vm| vm.id == *me || !chosen.iter().any(|held| held.id == vm.id))
        .collect();
    chosen.extend(followers(&rest, me, FLEET_FOLLOWERS));
    neighbours(chosen.into_iter())
}

/// Random peers; those for which `is_avoided` holds are taken only where a zone has no other.
pub(crate) fn random_neighbours(
    list: &VmList,
    me: &VmId,
    zone: &ZoneId,
    is_avoided: impl Fn(&VmId) -> bool,
    rng: &mut impl Rng,
) -> Vec<Neighbour> {
    if list.0.len() <= SMALL_FLEET {
        return Vec::new();
    }
    let mut zones: Vec<&ZoneId> = list.0.iter().map(|vm| &vm.zone).collect();
    zones.sort();
    zones.dedup();
    zones.retain(|other| *other != zone);
    let mut wanted: Vec<&ZoneId> = zones
        .choose_multiple(rng, OUTSIDE_RANDOM)
        .copied()
        .collect();
    wanted.extend(std::iter::repeat_n(zone, ZONE_RANDOM));
    let mut chosen = Vec::new();
    for zone in wanted {
        let members: Vec<&VmEntry> = list
            .0
            .iter()
            .filter(|vm| vm.zone == *zone && vm.id != *me)
            .collect();
        let good: Vec<&VmEntry> = members
            .iter()
            .copied()
            .filter(|vm| !is_avoided(&vm.id))
            .collect();
        let found = good.choose(rng).or_else(|| members.choose(rng));
        chosen.extend(found.copied());
    }
    neighbours(chosen.into_iter())
}

/// The `count` members after `me` on the ring of `members`.
fn followers<'a>(members: &[&'a VmEntry], me: &VmId, count: usize) -> Vec<&'a VmEntry> {
    let place = |id: &VmId| (FlowKey::from_name(id.as_str()).get(), id.clone());
    let mut ring = members.to_vec();
    ring.sort_by_cached_key(|vm| place(&vm.id));
    let start = ring.partition_point(|vm| place(&vm.id) <= place(me));
    ring.iter()
        .cycle()
        .skip(start)
        .take(ring.len())
        .filter(|vm| vm.id != *me)
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
