//! Fleets of which all VMs start at once: who reads the store, who copies from whom, and who
//! follows whom afterwards.
//!
//! The model runs the decisions of each VM ([`CopyAssignments`], [`Followers`], [`Peers`]) without
//! input and output. It draws the order of messages, which VMs are lost before they have a copy,
//! and which calls fail.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bambooseam_entry::first_copy::{CopyAssignments, CopySource, FAN_OUT};
use bambooseam_entry::followers::{Admission, Followers, MAX_FOLLOWERS};
use bambooseam_entry::peering::ReplicaServer;
use bambooseam_entry::{Node, Peers};
use bambooseam_peer::replica::{PeerInfo, ReplicaService, SyncRequest, TokenReading};
use bambooseam_replica::Held;
use bambooseam_steer::{Steering, SteeringSettings};
use bambooseam_tests::inputs;
use bambooseam_types::Moment;
use bolero::produce;
use futures::future::join_all;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// Number of availability zones of the modelled fleets.
const ZONES: usize = 5;

/// Number of seeds in the settings of each VM.
const SEEDS: usize = 3;

/// Numbers of VMs of the modelled fleets; the largest is the intended size.
const SIZES: [usize; 3] = [30, 300, 850];

/// Wait of a long poll.
const POLL_TIME: Duration = Duration::from_secs(1);

/// Runs of each size that lose VMs and have them return.
const RUNS: u64 = 3;

/// Rounds of long polls, each of a second, after which followers have found their peers.
const ROUNDS: u64 = 20;

fn vm(number: usize) -> PeerInfo {
    let zone = number % ZONES;
    let address = format!("10.{zone}.{}.{}:7720", number / 200, number % 200);
    PeerInfo {
        address: address.parse().expect("a valid address"),
        zone: format!("z{zone}").parse().expect("a valid zone"),
    }
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(1_000_000 + ms)
}

/// Where each VM of a fleet got its first copy, and how it went.
struct Start {
    vms: Vec<PeerInfo>,
    /// Source of each VM; `None` is the store.
    sources: Vec<Option<usize>>,
    /// Whether a VM was lost before it had a copy.
    lost: Vec<bool>,
}

impl Start {
    /// Starts a fleet; `loss` is the share of VMs that are lost, seeds among them.
    fn run(count: usize, loss: f64, rng: &mut StdRng) -> Self {
        let vms: Vec<PeerInfo> = (0..count).map(vm).collect();
        let mut seeds: Vec<usize> = (0..count).collect();
        seeds.shuffle(rng);
        seeds.truncate(SEEDS);
        let lost: Vec<bool> = vms.iter().map(|_| rng.random_bool(loss)).collect();
        let mut assignments: Vec<CopyAssignments> = vms
            .iter()
            .map(|vm| CopyAssignments::new(vm.clone()))
            .collect();
        let addresses: Vec<SocketAddr> = seeds.iter().map(|&seed| vms[seed].address).collect();
        // Seeds that kept running have a copy.
        let has_copy = rng.random_bool(0.5);
        let mut sources = vec![None; count];
        let mut order: Vec<usize> = (0..count).collect();
        order.shuffle(rng);
        for requester in order {
            let peers = Peers::new(vms[requester].clone(), &addresses);
            for seed in peers.seeds_to_ask() {
                let seed = number(seed);
                if lost[seed] {
                    continue;
                }
                let source = assignments[seed].assign(&vms[requester], has_copy, at(0));
                sources[requester] = match source {
                    CopySource::Own => Some(seed),
                    CopySource::Peer(address) => Some(number(address)),
                    CopySource::Store => None,
                };
                break;
            }
        }
        // A VM whose source is lost reads the store.
        for source in &mut sources {
            *source = source.filter(|source| !lost[*source]);
        }
        Self { vms, sources, lost }
    }

    /// Number of copies that pass before a VM has one; panics if it never gets one.
    fn depth(&self, vm: usize) -> usize {
        let mut depth = 0;
        let mut at = vm;
        while let Some(source) = self.sources[at] {
            depth += 1;
            assert!(depth <= self.vms.len(), "VM {vm} waits in a circle");
            at = source;
        }
        depth
    }

    fn copies_of(&self, vm: usize) -> usize {
        let sources = self.sources.iter().enumerate();
        let receivers =
            sources.filter(|(receiver, source)| **source == Some(vm) && !self.lost[*receiver]);
        receivers.count()
    }
}

/// Number of the VM with an address.
fn number(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else {
        panic!("{address} is not an address of the model");
    };
    let [.., high, low] = ip.octets();
    usize::from(high) * 200 + usize::from(low)
}

#[test]
fn every_vm_gets_a_copy_over_few_steps_and_passes_on_few() {
    let mut runs = 0;
    inputs::for_each_input(&produce::<u64>(), |seed| {
        // The smallest fleets are cheap, so that most runs are of them.
        let count = SIZES[[0, 0, 0, 0, 0, 0, 1, 2][*seed as usize % 8]];
        let mut rng = StdRng::seed_from_u64(*seed);
        let loss = [0.0, 0.1, 0.5][rng.random_range(0..3)];
        let start = Start::run(count, loss, &mut rng);
        let mut readers = 0;
        for vm in 0..count {
            if start.lost[vm] {
                continue;
            }
            readers += usize::from(start.sources[vm].is_none());
            // With three children each, seven levels hold 3,280 VMs of one zone and seed.
            assert!(
                start.depth(vm) <= 7,
                "seed {seed}: {} steps",
                start.depth(vm)
            );
            // A seed serves one VM of each other zone besides.
            let most = FAN_OUT + ZONES - 1;
            assert!(start.copies_of(vm) <= most, "seed {seed}");
        }
        if loss == 0.0 {
            assert!(readers <= SEEDS, "seed {seed}: {readers} readers");
        }
        runs += 1;
    });
    println!("runs={runs}");
}

#[test]
fn vm_that_asks_again_reads_the_store() {
    let mut assignments = CopyAssignments::new(vm(0));
    let other = vm(5);
    assert_eq!(assignments.assign(&other, false, at(0)), CopySource::Own);
    assert_eq!(
        assignments.assign(&other, false, at(100)),
        CopySource::Store
    );
    // Once this VM has a copy, it passes it on.
    assert_eq!(assignments.assign(&other, true, at(200)), CopySource::Own);
}

#[test]
fn copy_crosses_zones_once() {
    let mut assignments = CopyAssignments::new(vm(0));
    let source = assignments.assign(&vm(1), true, at(0));
    assert_eq!(source, CopySource::Own);
    for number in 1..=FAN_OUT {
        let source = assignments.assign(&vm(1 + ZONES * number), true, at(0));
        assert_eq!(source, CopySource::Peer(vm(1).address));
    }
}

#[test]
fn later_start_begins_a_new_list() {
    let mut assignments = CopyAssignments::new(vm(0));
    for number in 1..9 {
        assignments.assign(&vm(1 + ZONES * number), false, at(0));
    }
    let later = assignments.assign(&vm(1), true, at(60_000));
    assert_eq!(later, CopySource::Own);
}

#[test]
fn highest_followers_are_referred_to_the_others() {
    let mut followers = Followers::default();
    let other = |number: usize| vm(10 * number);
    for number in 1..=MAX_FOLLOWERS {
        assert_eq!(followers.admit(&other(number), at(0)), Admission::Admitted);
    }
    // A lower one takes the place of the highest.
    let highest = other(MAX_FOLLOWERS);
    assert_eq!(followers.admit(&vm(5), at(100)), Admission::Replaced);
    assert!(!followers.contains(highest.address));
    assert_eq!(followers.admit(&highest, at(200)), Admission::Referred);
    let kept = followers.peers();
    assert_eq!(kept.len(), MAX_FOLLOWERS);
    assert!(kept.iter().all(|peer| peer.address < highest.address));
    // Followers that are gone leave their places after a while.
    assert_eq!(followers.admit(&highest, at(10_000)), Admission::Admitted);
    assert_eq!(followers.len(), 1);
}

/// The VMs of a fleet after a start, which know the seeds and learn from referrals and gossip.
struct Fleet {
    vms: Vec<PeerInfo>,
    peers: Vec<Peers>,
    followers: Vec<Followers>,
    lost: Vec<bool>,
}

impl Fleet {
    fn new(count: usize, rng: &mut StdRng) -> Self {
        let vms: Vec<PeerInfo> = (0..count).map(vm).collect();
        let mut seeds: Vec<SocketAddr> = vms.iter().map(|vm| vm.address).collect();
        seeds.shuffle(rng);
        seeds.truncate(SEEDS);
        Self {
            peers: vms
                .iter()
                .map(|vm| Peers::new(vm.clone(), &seeds))
                .collect(),
            followers: vms.iter().map(|_| Followers::default()).collect(),
            lost: vec![false; count],
            vms,
        }
    }

    /// One long poll of each VM in random order, and of each VM that another one replaced; every
    /// third round each VM also calls a peer. Returns whom each VM follows.
    fn round(&mut self, round: u64, rng: &mut StdRng) -> Vec<Option<usize>> {
        let now = at(1_000 * round);
        let mut followed = vec![None; self.vms.len()];
        let mut order: Vec<usize> = (0..self.vms.len()).filter(|vm| !self.lost[*vm]).collect();
        order.shuffle(rng);
        while let Some(vm) = order.pop() {
            followed[vm] = self.follow(vm, now, &mut order);
            if round % 3 == vm as u64 % 3 {
                self.call(vm, now);
            }
        }
        followed
    }

    /// Sends a long poll. A VM that is replaced by it must poll again.
    fn follow(&mut self, vm: usize, now: Moment, pending: &mut Vec<usize>) -> Option<usize> {
        loop {
            let address = self.peers[vm].followed(now)?;
            let peer = number(address);
            if self.lost[peer] {
                self.peers[vm].record_call(address, now, false);
                self.peers[vm].exclude(address, now);
                continue;
            }
            let own = self.vms[vm].clone();
            self.peers[peer].record_requester(&own, now);
            let before = self.followers[peer].peers();
            let admission = self.followers[peer].admit(&own, now);
            for other in before {
                if !self.followers[peer].contains(other.address) {
                    let other = number(other.address);
                    self.refer(other, peer, now);
                    pending.push(other);
                }
            }
            if admission != Admission::Referred {
                return Some(peer);
            }
            self.refer(vm, peer, now);
        }
    }

    /// Refers a VM from the peer that it follows to that peer's followers.
    fn refer(&mut self, vm: usize, peer: usize, now: Moment) {
        for other in self.followers[peer].peers() {
            self.peers[vm].record_gossiped(&other);
        }
        self.peers[vm].exclude_referring(self.vms[peer].address, now);
    }

    fn call(&mut self, vm: usize, now: Moment) {
        let Some(address) = self.peers[vm].next_call(now) else {
            return;
        };
        let peer = number(address);
        let is_answered = !self.lost[peer];
        if is_answered {
            let own = self.vms[vm].clone();
            self.peers[peer].record_requester(&own, now);
            for other in self.peers[peer].sample(now) {
                self.peers[vm].record_gossiped(&other);
            }
        }
        self.peers[vm].finish_call(address, now, is_answered);
    }

    /// Asserts that no VM follows itself over others, and that none has too many followers.
    fn check(&self, followed: &[Option<usize>], seed: u64) {
        let mut counts = vec![0; self.vms.len()];
        for (vm, peer) in followed.iter().enumerate() {
            let Some(peer) = *peer else { continue };
            assert!(
                self.vms[peer].address < self.vms[vm].address,
                "seed {seed}: VM {vm} follows a higher address"
            );
            counts[peer] += 1;
        }
        let most = counts.iter().max().copied().unwrap_or_default();
        assert!(most <= MAX_FOLLOWERS, "seed {seed}: {most} followers");
    }

    /// Number of VMs that follow nobody, and so read the store.
    fn readers(&self, followed: &[Option<usize>]) -> usize {
        let vms = followed.iter().zip(&self.lost);
        vms.filter(|(peer, lost)| peer.is_none() && !**lost).count()
    }
}

#[test]
fn followers_stay_few_without_circles_while_vms_are_lost_and_return() {
    let mut runs = 0;
    for count in SIZES {
        for seed in 0..RUNS {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut fleet = Fleet::new(count, &mut rng);
            for round in 0..ROUNDS {
                let followed = fleet.round(round, &mut rng);
                fleet.check(&followed, seed);
            }
            // A third is lost, among them the readers; the others take over.
            for vm in 0..count {
                fleet.lost[vm] = rng.random_bool(0.3);
            }
            fleet.lost[0] = true;
            for round in ROUNDS..2 * ROUNDS {
                let followed = fleet.round(round, &mut rng);
                fleet.check(&followed, seed);
            }
            fleet.lost.fill(false);
            let mut readers = 0;
            for round in 2 * ROUNDS..5 * ROUNDS {
                let followed = fleet.round(round, &mut rng);
                fleet.check(&followed, seed);
                readers = fleet.readers(&followed);
            }
            assert!(
                readers <= 2 * ZONES,
                "{count} VMs, seed {seed}: {readers} read the store"
            );
            runs += 1;
        }
    }
    println!("runs={runs}");
}

/// A long poll of a VM that has no copy.
fn poll(number: usize, accepts_referral: bool) -> SyncRequest {
    SyncRequest {
        requester: Some(vm(number)),
        held: Held::default(),
        wait: POLL_TIME,
        may_be_large: true,
        is_starting: false,
        accepts_referral,
        token_reading: TokenReading::default(),
    }
}

/// Sends a long poll of each VM at the same time; returns how long each took, by number.
async fn poll_all(accepts_referral: bool) -> Vec<Duration> {
    let steering = Steering::new(SteeringSettings {
        zone: vm(0).zone,
        flow_limit: 16,
        cold_policy: None,
        target_speed: true,
        evacuated_last_resort: true,
    });
    let node = Rc::new(RefCell::new(Node::new(steering)));
    let peers = Rc::new(RefCell::new(Peers::new(vm(0), &[])));
    let server = ReplicaServer::new(node, peers);
    let polls = (1..=MAX_FOLLOWERS + 1).map(|number| {
        let request = poll(number, accepts_referral);
        let server = &server;
        async move {
            let begun = Instant::now();
            server.sync(request).await;
            begun.elapsed()
        }
    });
    join_all(polls).await
}

#[tokio::test(start_paused = true)]
async fn follower_beyond_the_limit_is_referred_at_once() {
    let mut times = poll_all(true).await;
    times.sort_unstable();
    assert_eq!(times[0], Duration::ZERO);
    assert!(
        times[1..].iter().all(|time| *time >= POLL_TIME),
        "{times:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn follower_of_an_earlier_version_is_not_referred() {
    // It would take the answer for a change and poll again without a pause.
    let times = poll_all(false).await;
    assert!(times.iter().all(|time| *time >= POLL_TIME), "{times:?}");
}
