//! Choice of the peer that a VM follows, and of when a VM reads the store itself.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bambooseam_entry::Peers;
use bambooseam_entry::feed::{FeedState, STALE_AGE, Step};
use bambooseam_peer::replica::PeerInfo;
use bambooseam_tests::steering::at;
use bambooseam_types::Revision;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

fn vm(number: u16, zone: u8) -> PeerInfo {
    let [high, low] = number.to_be_bytes();
    PeerInfo {
        address: (Ipv4Addr::new(10, zone, high, low), 8_166).into(),
        zone: format!("zone-{zone}").parse().expect("a zone"),
    }
}

/// Returns the peers of the VM `own`, which all of `others` have called at 0.
fn peers(own: &PeerInfo, others: &[PeerInfo]) -> Peers {
    let mut peers = Peers::new(own.clone(), &[]);
    for other in others {
        peers.record_requester(other, at(0));
    }
    peers
}

#[test]
fn lowest_vm_reads_the_store_and_the_others_follow() {
    let vms: Vec<_> = (1..=12)
        .map(|number| vm(number, number as u8 % 3))
        .collect();
    let lowest = vms.iter().map(|vm| vm.address).min();
    for own in &vms {
        let followed = peers(own, &vms).followed(at(1));
        assert_eq!(followed.is_none(), Some(own.address) == lowest);
        assert!(followed.is_none_or(|followed| followed < own.address));
    }
}

#[test]
fn peer_of_the_same_zone_is_preferred() {
    let own = vm(9, 2);
    let followed = peers(&own, &[vm(1, 0), vm(2, 1), vm(3, 2), vm(99, 2)]).followed(at(1));
    assert_eq!(followed, Some(vm(3, 2).address));
}

#[test]
fn failed_peer_is_excluded_for_a_while() {
    let own = vm(9, 2);
    let mut peers = peers(&own, &[vm(1, 0), vm(3, 2)]);
    peers.record_call(vm(3, 2).address, at(10), false);
    peers.exclude(vm(3, 2).address, at(10));
    assert_eq!(peers.followed(at(11)), Some(vm(1, 0).address));
    peers.exclude(vm(1, 0).address, at(20));
    assert_eq!(
        peers.followed(at(21)),
        None,
        "without an eligible peer, only the store remains"
    );
    assert_eq!(peers.followed(at(3_020)), Some(vm(1, 0).address));
    assert_eq!(peers.followed(at(6_010)), Some(vm(3, 2).address));
}

#[test]
fn unreachable_peer_is_removed_and_unreachable_seed_is_kept() {
    let own = vm(9, 0);
    let seed = vm(1, 0).address;
    let mut peers = Peers::new(own, &[seed]);
    peers.record_requester(&vm(2, 0), at(0));
    for time in 0..40 {
        for address in [seed, vm(2, 0).address] {
            peers.record_call(address, at(time), false);
        }
    }
    assert_eq!(peers.len(), 1);
    assert_eq!(peers.next_call(at(50)), Some(seed));
    assert_eq!(
        peers.next_call(at(51)),
        None,
        "a call to the peer is in progress"
    );
    peers.finish_call(seed, at(60), true);
    assert_eq!(peers.next_call(at(61)), Some(seed));
}

#[test]
fn sample_contains_only_recently_active_peers() {
    let own = vm(9, 0);
    let mut peers = peers(&own, &[vm(1, 0), vm(2, 1)]);
    peers.record_gossiped(&vm(3, 0));
    let sample = peers.sample(at(100));
    assert!(
        sample.contains(&vm(1, 0)) && sample.contains(&vm(2, 1)) && !sample.contains(&vm(3, 0))
    );
    assert_eq!(peers.sample(at(60_000)).len(), 0);
}

/// Maximum number of VMs that read the store: two in each of six zones.
const MAX_READERS: usize = 12;

/// Maximum number of followers of a VM: the control traffic of a VM may use 3 KB/s, and each
/// follower is sent 330 B/s.
const MAX_FOLLOWERS: usize = 9;

/// Number of calls of each VM before its list is examined; corresponds to one minute.
const ROUNDS: u64 = 20;

/// Returns the peer lists of a fleet of `count` VMs after `rounds` rounds of gossip from three
/// seeds.
fn gossip(count: u16, rounds: u64) -> Vec<Peers> {
    let mut rng = StdRng::seed_from_u64(u64::from(count));
    let vms: Vec<_> = (0..count)
        .map(|number| vm(number, (number % 6) as u8))
        .collect();
    let seeds: Vec<_> = vms
        .choose_multiple(&mut rng, 3)
        .map(|vm| vm.address)
        .collect();
    let mut fleet: Vec<_> = vms
        .iter()
        .map(|own| Peers::new(own.clone(), &seeds))
        .collect();
    for round in 0..rounds {
        let now = at(3_000 * round);
        for caller in 0..fleet.len() {
            let Some(address) = fleet[caller].next_call(now) else {
                continue;
            };
            let own = fleet[caller].own().clone();
            let callee = vms
                .iter()
                .position(|vm| vm.address == address)
                .expect("a VM");
            fleet[callee].record_requester(&own, now);
            for peer in fleet[callee].sample(now) {
                fleet[caller].record_gossiped(&peer);
            }
            fleet[caller].finish_call(address, now, true);
        }
    }
    fleet
}

#[test]
fn paths_are_short_and_readers_few_in_large_fleets() {
    for (count, limit) in [(30, 12), (300, 20), (850, 22)] {
        let now = at(3_000 * ROUNDS);
        let fleet = gossip(count, ROUNDS);
        let followed: HashMap<_, _> = fleet
            .iter()
            .map(|peers| (peers.own().address, peers.followed(now)))
            .collect();
        let readers = followed
            .values()
            .filter(|followed| followed.is_none())
            .count();
        assert!(
            readers <= MAX_READERS,
            "{readers} of {count} VMs read the store, at most {MAX_READERS} may"
        );
        let mut followers: HashMap<SocketAddr, usize> = HashMap::new();
        for address in followed.values().flatten() {
            *followers.entry(*address).or_default() += 1;
        }
        let max_followers = followers.values().max().copied().unwrap_or_default();
        println!("count={count} readers={readers} most_followers={max_followers}");
        assert!(
            max_followers <= MAX_FOLLOWERS,
            "a VM of {count} has {max_followers} followers, at most {MAX_FOLLOWERS} are allowed"
        );
        let length = |mut address: SocketAddr| {
            let mut hops = 0;
            while let Some(next) = followed[&address] {
                address = next;
                hops += 1;
            }
            hops
        };
        let max_hops = followed.keys().map(|address| length(*address)).max();
        assert!(
            max_hops <= Some(limit),
            "a path to the store has {max_hops:?} hops, at most {limit} allowed with {count} VMs"
        );
    }
}

fn current_state() -> FeedState {
    FeedState {
        upto: Some(Revision::from(7)),
        age: Some(Duration::from_millis(300)),
        followed: Some(vm(1, 0).address),
        failed: None,
    }
}

#[test]
fn current_copy_is_updated_by_the_followed_peer() {
    assert_eq!(current_state().step(), Step::Follow(vm(1, 0).address));
}

#[test]
fn store_is_read_at_the_start_without_a_peer_and_with_a_stale_copy() {
    let cases = [
        FeedState {
            upto: None,
            ..current_state()
        },
        FeedState {
            followed: None,
            ..current_state()
        },
        FeedState {
            age: Some(STALE_AGE + Duration::from_millis(1)),
            ..current_state()
        },
        FeedState {
            age: None,
            ..current_state()
        },
    ];
    for case in cases {
        assert_eq!(case.step(), Step::Read, "{case:?}");
    }
}

#[test]
fn store_that_just_failed_is_not_read_while_a_peer_is_available() {
    let stale = FeedState {
        age: Some(Duration::from_secs(9)),
        failed: Some(Duration::from_millis(400)),
        ..current_state()
    };
    assert_eq!(stale.step(), Step::Follow(vm(1, 0).address));
    let later = FeedState {
        failed: Some(Duration::from_millis(1_100)),
        ..stale
    };
    assert_eq!(later.step(), Step::Read);
    let alone = FeedState {
        followed: None,
        ..stale
    };
    assert_eq!(alone.step(), Step::Read);
}

#[test]
fn random_peer_lists_never_form_a_cycle() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let vms: Vec<_> = (0..20)
            .map(|number| vm(number, rng.random_range(0..4)))
            .collect();
        for own in &vms {
            let known: Vec<_> = vms.choose_multiple(&mut rng, 9).cloned().collect();
            let mut peers = peers(own, &known);
            for other in &known {
                if rng.random_bool(0.3) {
                    peers.exclude(other.address, at(0));
                }
            }
            let followed = peers.followed(at(1));
            assert!(
                followed.is_none_or(|followed| followed < own.address),
                "seed {seed}"
            );
        }
    }
}
