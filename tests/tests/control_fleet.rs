//! Several agents: the same configuration on all VMs, membership, restarts and network partitions.

use std::time::{Duration, Instant};

use fake::{Mode, WAIT_LIMIT, has_event, revision, wait_until};
use fleet::Fleet;
use tokio::task::LocalSet;
use tokio::time::sleep;

#[path = "control/fake.rs"]
#[allow(dead_code)]
mod fake;
#[path = "control/fleet.rs"]
#[allow(dead_code)]
mod fleet;

/// Time in which a restarted VM must serve again, as the requirements of the project state.
const RESTART_LIMIT: Duration = Duration::from_secs(5);

/// Time in which a change must be in force on all VMs, the target of the project.
const EVERYWHERE_LIMIT: Duration = Duration::from_secs(8);

/// Time for which a test watches that no VM is wrongly suspected.
const SUSPICION_TIME: Duration = Duration::from_secs(6);

/// Runs a test on a `LocalSet`, which the tasks of an agent need.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime built");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn change_is_in_force_everywhere_when_one_vm_alone_reaches_the_platform() {
    run(async {
        let mut fleet = Fleet::start([127, 61], 12, Mode::Available).await;
        fleet.wait_for_revision(1).await;
        for node in &fleet.nodes[1..] {
            node.platform.set_mode(Mode::Unreachable);
        }
        let start = Instant::now();
        let expected = fleet.switch("peak-season");
        fleet.wait_for_revision(expected).await;
        assert!(
            start.elapsed() < EVERYWHERE_LIMIT,
            "the change took {:?}, less than {EVERYWHERE_LIMIT:?} allowed",
            start.elapsed()
        );
    });
}

#[test]
fn restarted_agent_asks_peers_before_it_applies_a_stale_platform() {
    run(async {
        let mut fleet = Fleet::start([127, 62], 5, Mode::Available).await;
        let old = fleet.platform.snapshot();
        fleet.wait_for_revision(1).await;
        let expected = fleet.switch("peak-season");
        fleet.wait_for_revision(expected).await;
        fleet.platform.edit(|store| *store = old);
        let node = &mut fleet.nodes[2];
        node.restart().await;
        let start = Instant::now();
        // The first view that the agent serves has the newer revision.
        wait_until(&node.shared, "serving", |shared| revision(shared) > 0).await;
        assert_eq!(revision(&node.shared), expected);
        assert!(
            start.elapsed() < RESTART_LIMIT,
            "the restart took {:?}, less than {RESTART_LIMIT:?} allowed",
            start.elapsed()
        );
    });
}

#[test]
fn vms_restarted_one_at_a_time_serve_again_while_the_platform_is_down() {
    run(async {
        let mut fleet = Fleet::start([127, 63], 5, Mode::Available).await;
        fleet.wait_for_revision(1).await;
        let expected = fleet.switch("maintenance");
        fleet.wait_for_revision(expected).await;
        for node in &fleet.nodes {
            node.platform.set_mode(Mode::Unreachable);
        }
        for index in 0..fleet.nodes.len() {
            let node = &mut fleet.nodes[index];
            let start = Instant::now();
            node.restart().await;
            wait_until(&node.shared, "serving", |s| revision(s) == expected).await;
            assert!(
                start.elapsed() < RESTART_LIMIT,
                "the restart took {:?}, less than {RESTART_LIMIT:?} allowed",
                start.elapsed()
            );
        }
    });
}

#[test]
fn full_restart_with_the_platform_down_serves_nothing_and_says_so() {
    run(async {
        let mut fleet = Fleet::start([127, 64], 5, Mode::Available).await;
        fleet.wait_for_revision(1).await;
        for node in &mut fleet.nodes {
            node.platform.set_mode(Mode::Unreachable);
            node.kill().await;
        }
        for node in &mut fleet.nodes {
            node.restart().await;
        }
        for node in &fleet.nodes {
            wait_until(&node.shared, "event serving_nothing recorded", |s| {
                has_event(s, "serving_nothing")
            })
            .await;
            assert_eq!(node.shared.status()["serving"], false);
        }
        fleet.nodes[0].platform.set_mode(Mode::Available);
        fleet.wait_for_revision(1).await;
    });
}

#[test]
fn every_agent_has_peers_in_two_other_zones() {
    run(async {
        // All agents but the first receive the list of VMs from peers, after they have chosen their
        // first peers.
        let fleet = Fleet::start([127, 59], 12, Mode::Unreachable).await;
        sleep(Duration::from_millis(200)).await;
        fleet.nodes[0].platform.set_mode(Mode::Available);
        fleet.wait_for_revision(1).await;
        for node in &fleet.nodes {
            let vms = &fleet.deployment.vms;
            let zone = vms.get(&node.vm).expect("VM is in the list").zone.clone();
            wait_until(&node.shared, "peers in two other zones", |shared| {
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
        let mut fleet = Fleet::start([127, 65], 9, Mode::Available).await;
        fleet.wait_for_revision(1).await;
        let vm = fleet.nodes[4].vm.to_string();
        fleet.nodes[4].kill().await;
        for node in &fleet.nodes {
            if !node.is_running() {
                continue;
            }
            let sources = node.shared.sources();
            wait_until(&node.shared, "dead VM suspected", |_| {
                sources.borrow().suspects.iter().any(|s| s.as_str() == vm)
            })
            .await;
            assert_eq!(node.suspects(), [vm.as_str()], "{}", node.vm);
        }
        fleet.nodes[4].restart().await;
        for node in &fleet.nodes {
            wait_until(&node.shared, "no VM suspected", |_| {
                node.suspects().is_empty()
            })
            .await;
        }
    });
}

#[test]
fn silent_zone_ejects_nobody_on_either_side() {
    run(async {
        let mut fleet = Fleet::start([127, 66], 9, Mode::Available).await;
        fleet.wait_for_revision(1).await;
        fleet
            .partitions
            .add(&fleet.zone("yakima"), &fleet.outside_zone("yakima"));
        for node in &fleet.nodes {
            wait_until(&node.shared, "partition detected", |s| {
                has_event(s, "zone_silent")
            })
            .await;
        }
        sleep(SUSPICION_TIME).await;
        for node in &fleet.nodes {
            assert_eq!(node.suspects(), Vec::<String>::new(), "{}", node.vm);
        }
        // Both sides reach the platform, so a change comes into force on both sides.
        let expected = fleet.switch("peak-season");
        fleet.wait_for_revision(expected).await;
        fleet.partitions.heal();
        for node in &fleet.nodes {
            wait_until(&node.shared, "end of the partition detected", |s| {
                has_event(s, "zone_heard")
            })
            .await;
        }
    });
}

#[test]
fn cut_off_zone_without_the_platform_catches_up_and_reverts_nobody() {
    run(async {
        let mut fleet = Fleet::start([127, 67], 6, Mode::Available).await;
        fleet.wait_for_revision(1).await;
        let inside = fleet.zone("palouse");
        fleet
            .partitions
            .add(&inside, &fleet.outside_zone("palouse"));
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
            fleet.nodes[*index].platform.set_mode(Mode::Unreachable);
        }
        let expected = fleet.switch("maintenance");
        for (index, node) in fleet.nodes.iter().enumerate() {
            let is_cut_off = cut_off.contains(&index);
            let local_revision = if is_cut_off { 1 } else { expected };
            wait_until(&node.shared, "revision of its side in force", |s| {
                revision(s) == local_revision
            })
            .await;
        }
        fleet.partitions.heal();
        tokio::time::timeout(WAIT_LIMIT, fleet.wait_for_revision(expected))
            .await
            .expect("revision in force in time");
    });
}
