//! Where a VM gets news from: whom it follows, and when it reads the store itself.

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

/// Peers of the VM `own` that has heard all of `others`.
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
fn peer_of_the_own_zone_is_followed_first() {
    let own = vm(9, 2);
    let followed = peers(&own, &[vm(1, 0), vm(2, 1), vm(3, 2), vm(99, 2)]).followed(at(1));
    assert_eq!(followed, Some(vm(3, 2).address));
}

#[test]
fn peer_that_failed_is_shunned_for_a_while() {
    let own = vm(9, 2);
    let mut peers = peers(&own, &[vm(1, 0), vm(3, 2)]);
    peers.record_call(vm(3, 2).address, at(10), false);
    peers.exclude(vm(3, 2).address, at(10));
    assert_eq!(peers.followed(at(11)), Some(vm(1, 0).address));
    peers.exclude(vm(1, 0).address, at(20));
    assert_eq!(peers.followed(at(21)), None, "the store is left");
    assert_eq!(peers.followed(at(3_020)), Some(vm(1, 0).address));
    assert_eq!(peers.followed(at(6_010)), Some(vm(3, 2).address));
}

#[test]
fn dead_peer_is_forgotten_and_a_dead_seed_is_not() {
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
    assert_eq!(peers.next_call(at(51)), None, "it is asked already");
    peers.finish_call(seed, at(60), true);
    assert_eq!(peers.next_call(at(61)), Some(seed));
}

#[test]
fn peers_told_are_those_heard_of_lately() {
    let own = vm(9, 0);
    let mut peers = peers(&own, &[vm(1, 0), vm(2, 1)]);
    peers.record_gossiped(&vm(3, 0));
    let told = peers.sample(at(100));
    assert!(told.contains(&vm(1, 0)) && told.contains(&vm(2, 1)) && !told.contains(&vm(3, 0)));
    assert_eq!(peers.sample(at(60_000)).len(), 0);
}

/// Most VMs that may read the store: two in each of six zones.
const READERS: usize = 12;

/// Most followers of a VM: 3 KB/s for control, and 330 bytes a second sent to each (docs/CAPACITY.md).
const FOLLOWERS: usize = 9;

/// Calls of each VM until its list is looked at: a minute's.
const ROUNDS: u64 = 20;

/// Lists of a fleet after VMs have asked each other for a while, each from three seeds.
fn gossiped(count: u16, rounds: u64) -> Vec<Peers> {
    let mut random = StdRng::seed_from_u64(u64::from(count));
    let vms: Vec<_> = (0..count)
        .map(|number| vm(number, (number % 6) as u8))
        .collect();
    let seeds: Vec<_> = vms
        .choose_multiple(&mut random, 3)
        .map(|vm| vm.address)
        .collect();
    let mut fleet: Vec<_> = vms
        .iter()
        .map(|own| Peers::new(own.clone(), &seeds))
        .collect();
    for round in 0..rounds {
        let now = at(3_000 * round);
        for asker in 0..fleet.len() {
            let Some(address) = fleet[asker].next_call(now) else {
                continue;
            };
            let own = fleet[asker].own().clone();
            let asked = vms
                .iter()
                .position(|vm| vm.address == address)
                .expect("a VM");
            fleet[asked].record_requester(&own, now);
            for told in fleet[asked].sample(now) {
                fleet[asker].record_gossiped(&told);
            }
            fleet[asker].finish_call(address, now, true);
        }
    }
    fleet
}

#[test]
fn ways_are_short_and_readers_few_in_large_fleets() {
    for (count, longest) in [(30, 12), (300, 20), (850, 22)] {
        let now = at(3_000 * ROUNDS);
        let fleet = gossiped(count, ROUNDS);
        let followed: HashMap<_, _> = fleet
            .iter()
            .map(|peers| (peers.own().address, peers.followed(now)))
            .collect();
        let readers = followed
            .values()
            .filter(|followed| followed.is_none())
            .count();
        assert!(
            readers <= READERS,
            "{readers} of {count} VMs read the store"
        );
        let mut followers: HashMap<SocketAddr, usize> = HashMap::new();
        for address in followed.values().flatten() {
            *followers.entry(*address).or_default() += 1;
        }
        let most = followers.values().max().copied().unwrap_or_default();
        println!("count={count} readers={readers} most_followers={most}");
        assert!(most <= FOLLOWERS, "{most} followers at one of {count} VMs");
        let length = |mut address: SocketAddr| {
            let mut steps = 0;
            while let Some(next) = followed[&address] {
                address = next;
                steps += 1;
            }
            steps
        };
        let way = followed.keys().map(|address| length(*address)).max();
        assert!(
            way <= Some(longest),
            "{way:?} steps to the store with {count} VMs"
        );
    }
}

fn situation() -> FeedState {
    FeedState {
        upto: Some(Revision::from(7)),
        age: Some(Duration::from_millis(300)),
        followed: Some(vm(1, 0).address),
        failed: None,
    }
}

#[test]
fn current_copy_is_kept_current_by_the_followed_peer() {
    assert_eq!(situation().step(), Step::Follow(vm(1, 0).address));
}

#[test]
fn store_is_read_at_the_start_without_a_peer_and_with_an_old_copy() {
    let cases = [
        FeedState {
            upto: None,
            ..situation()
        },
        FeedState {
            followed: None,
            ..situation()
        },
        FeedState {
            age: Some(STALE_AGE + Duration::from_millis(1)),
            ..situation()
        },
        FeedState {
            age: None,
            ..situation()
        },
    ];
    for case in cases {
        assert_eq!(case.step(), Step::Read, "{case:?}");
    }
}

#[test]
fn store_that_just_failed_is_left_alone_while_there_is_a_peer() {
    let old = FeedState {
        age: Some(Duration::from_secs(9)),
        failed: Some(Duration::from_millis(400)),
        ..situation()
    };
    assert_eq!(old.step(), Step::Follow(vm(1, 0).address));
    let later = FeedState {
        failed: Some(Duration::from_millis(1_100)),
        ..old
    };
    assert_eq!(later.step(), Step::Read);
    let alone = FeedState {
        followed: None,
        ..old
    };
    assert_eq!(alone.step(), Step::Read);
}

#[test]
fn chance_lists_never_make_a_circle() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let vms: Vec<_> = (0..20)
            .map(|number| vm(number, random.random_range(0..4)))
            .collect();
        for own in &vms {
            let known: Vec<_> = vms.choose_multiple(&mut random, 9).cloned().collect();
            let mut peers = peers(own, &known);
            for other in &known {
                if random.random_bool(0.3) {
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
