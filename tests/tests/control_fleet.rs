//! Several agents: one configuration everywhere, membership, restarts and cuts.

use std::time::{Duration, Instant};

use fake::{LIMIT, Mode, has_event, revision, wait_until};
use fleet::Fleet;
use tokio::task::LocalSet;
use tokio::time::sleep;

#[path = "control/fake.rs"]
#[allow(dead_code)]
mod fake;
#[path = "control/fleet.rs"]
#[allow(dead_code)]
mod fleet;

/// Time in which a restarted VM must serve (the brief).
const RESTART_LIMIT: Duration = Duration::from_secs(5);

/// Time in which a change must be in force everywhere (the target).
const EVERYWHERE_LIMIT: Duration = Duration::from_secs(8);

/// Time in which a false suspicion would have arisen.
const SUSPICION_TIME: Duration = Duration::from_secs(6);

/// Runs a test on a `LocalSet`.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn change_is_in_force_everywhere_when_one_vm_alone_reaches_the_platform() {
    run(async {
        let mut fleet = Fleet::start([127, 61], 12, Mode::Good).await;
        fleet.wait_for(1).await;
        for node in &fleet.nodes[1..] {
            node.platform.set(Mode::Down);
        }
        let start = Instant::now();
        let expected = fleet.switch("peak-season");
        fleet.wait_for(expected).await;
        assert!(start.elapsed() < EVERYWHERE_LIMIT, "{:?}", start.elapsed());
    });
}

#[test]
fn restarted_agent_asks_peers_before_it_believes_a_lagging_platform() {
    run(async {
        let mut fleet = Fleet::start([127, 62], 5, Mode::Good).await;
        let old = fleet.platform.snapshot();
        fleet.wait_for(1).await;
        let expected = fleet.switch("peak-season");
        fleet.wait_for(expected).await;
        fleet.platform.edit(|store| *store = old);
        let node = &mut fleet.nodes[2];
        node.restart().await;
        let start = Instant::now();
        // The first view served is the newer one.
        wait_until(&node.shared, "serving", |shared| revision(shared) > 0).await;
        assert_eq!(revision(&node.shared), expected);
        assert!(start.elapsed() < RESTART_LIMIT, "{:?}", start.elapsed());
    });
}

#[test]
fn vms_restarted_one_at_a_time_serve_again_while_the_platform_is_down() {
    run(async {
        let mut fleet = Fleet::start([127, 63], 5, Mode::Good).await;
        fleet.wait_for(1).await;
        let expected = fleet.switch("maintenance");
        fleet.wait_for(expected).await;
        for node in &fleet.nodes {
            node.platform.set(Mode::Down);
        }
        for index in 0..fleet.nodes.len() {
            let node = &mut fleet.nodes[index];
            let start = Instant::now();
            node.restart().await;
            wait_until(&node.shared, "serving", |s| revision(s) == expected).await;
            assert!(start.elapsed() < RESTART_LIMIT, "{:?}", start.elapsed());
        }
    });
}

#[test]
fn full_restart_with_the_platform_down_serves_nothing_and_says_so() {
    run(async {
        let mut fleet = Fleet::start([127, 64], 5, Mode::Good).await;
        fleet.wait_for(1).await;
        for node in &mut fleet.nodes {
            node.platform.set(Mode::Down);
            node.kill().await;
        }
        for node in &mut fleet.nodes {
            node.restart().await;
        }
        for node in &fleet.nodes {
            wait_until(&node.shared, "said", |s| has_event(s, "serving_nothing")).await;
            assert_eq!(node.shared.status()["serving"], false);
        }
        fleet.nodes[0].platform.set(Mode::Good);
        fleet.wait_for(1).await;
    });
}

#[test]
fn every_agent_soon_talks_to_two_other_zones() {
    run(async {
        // All but one learn the list of VMs from peers, after they have chosen their first ones.
        let fleet = Fleet::start([127, 59], 12, Mode::Down).await;
        sleep(Duration::from_millis(200)).await;
        fleet.nodes[0].platform.set(Mode::Good);
        fleet.wait_for(1).await;
        for node in &fleet.nodes {
            let vms = &fleet.deployment.vms;
            let zone = vms.get(&node.vm).expect("listed").zone.clone();
            wait_until(&node.shared, "talking to two other zones", |shared| {
                let status = shared.status();
                let peers = status["peers"].as_array().cloned().unwrap_or_default();
                let peers = peers.iter().filter_map(|peer| peer.as_str()?.parse().ok());
                let mut zones: Vec<_> = peers
                    .filter_map(|vm| vms.get(&vm).map(|vm| vm.zone.clone()))
                    .filter(|other| *other != zone)
                    .collect();
                zones.sort();
                zones.dedup();
                zones.len() == 2
            })
            .await;
        }
    });
}

#[test]
fn dead_vm_is_suspected_everywhere_and_returns_when_it_restarts() {
    run(async {
        let mut fleet = Fleet::start([127, 65], 9, Mode::Good).await;
        fleet.wait_for(1).await;
        let vm = fleet.nodes[4].vm.to_string();
        fleet.nodes[4].kill().await;
        for node in &fleet.nodes {
            if !node.is_running() {
                continue;
            }
            let sources = node.shared.sources();
            wait_until(&node.shared, "suspecting", |_| {
                sources.borrow().suspects.iter().any(|s| s.as_str() == vm)
            })
            .await;
            assert_eq!(node.suspects(), [vm.as_str()], "{}", node.vm);
        }
        fleet.nodes[4].restart().await;
        for node in &fleet.nodes {
            wait_until(&node.shared, "recovered", |_| node.suspects().is_empty()).await;
        }
    });
}

#[test]
fn silent_zone_ejects_nobody_on_either_side() {
    run(async {
        let mut fleet = Fleet::start([127, 66], 9, Mode::Good).await;
        fleet.wait_for(1).await;
        fleet
            .partitions
            .add(&fleet.zone("yakima"), &fleet.outside("yakima"));
        for node in &fleet.nodes {
            wait_until(&node.shared, "seeing the cut", |s| {
                has_event(s, "zone_silent")
            })
            .await;
        }
        sleep(SUSPICION_TIME).await;
        for node in &fleet.nodes {
            assert_eq!(node.suspects(), Vec::<String>::new(), "{}", node.vm);
        }
        // Both sides reach the platform: a change is in force on both.
        let expected = fleet.switch("peak-season");
        fleet.wait_for(expected).await;
        fleet.partitions.heal();
        for node in &fleet.nodes {
            wait_until(&node.shared, "seeing it heal", |s| {
                has_event(s, "zone_heard")
            })
            .await;
        }
    });
}

#[test]
fn cut_off_zone_without_the_platform_catches_up_and_reverts_nobody() {
    run(async {
        let mut fleet = Fleet::start([127, 67], 6, Mode::Good).await;
        fleet.wait_for(1).await;
        let inside = fleet.zone("palouse");
        fleet.partitions.add(&inside, &fleet.outside("palouse"));
        let index = |ip| {
            fleet
                .deployment
                .vms
                .0
                .iter()
                .position(|vm| vm.agent.ip() == ip)
        };
        let cut_off: Vec<usize> = inside.iter().filter_map(|ip| index(*ip)).collect();
        for index in &cut_off {
            fleet.nodes[*index].platform.set(Mode::Down);
        }
        let expected = fleet.switch("maintenance");
        for (index, node) in fleet.nodes.iter().enumerate() {
            let is_cut = cut_off.contains(&index);
            let revision_here = if is_cut { 1 } else { expected };
            wait_until(&node.shared, "decided", |s| revision(s) == revision_here).await;
        }
        fleet.partitions.heal();
        tokio::time::timeout(LIMIT, fleet.wait_for(expected))
            .await
            .expect("caught up");
    });
}
