//! What control costs: bytes at rest, for each new flow and for each change of membership.

use std::time::Duration;

use bambooseam_config::VmState;
use bambooseam_forwarder::Tracking;
use bambooseam_forwarder::pick::BoundedPick;
use bambooseam_standin::{DeploymentKind, Plan};

use super::caller::Profile;
use super::fleet::Fleet;
use super::scenario::{join_vm, start};

/// Time of each part.
const PART_TIME: Duration = Duration::from_secs(60);

/// Control bytes of all five forwarders together, unless it says otherwise.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    /// Bytes a second and forwarder while nothing changes.
    pub rest: f64,
    /// Bytes for each new flow.
    pub flow: f64,
    /// Bytes for a forwarder that joins.
    pub join: f64,
    /// Bytes for a forwarder that leaves.
    pub leave: f64,
    /// Seconds until a leaving forwarder has handed over.
    pub leave_time: f64,
    /// Most bytes that one forwarder sent in a second of the leaving.
    pub highest: f64,
}

/// Measures with `flows` open feeds on five forwarders.
pub fn measure(flows: usize, seed: u64) -> Cost {
    let mut fleet = start(seed, Tracking::OwnerShadow, BoundedPick::default());
    let plan = Plan::of(DeploymentKind::Cascade);
    let mut cost = Cost::default();
    fleet.open_flows(flows, PART_TIME, Profile::feeds(&plan));
    cost.flow = spent(&mut fleet, PART_TIME) / flows as f64;
    let nodes = fleet.node_count() as f64;
    cost.rest = spent(&mut fleet, PART_TIME) / nodes / PART_TIME.as_secs_f64();
    let before = bytes(&fleet);
    join_vm(&mut fleet, |_| Duration::ZERO);
    wait_for_handover(&mut fleet);
    cost.join = bytes(&fleet) - before;
    let before = bytes(&fleet);
    let id = fleet.deployment.vms.0[1].id.clone();
    let node = fleet.node_of(&id).expect("the VM runs");
    fleet.set_vm_state(&id, VmState::Leaving);
    fleet.publish();
    let mut held = fleet.forwarder(node).counters().control_bytes;
    for second in 1..=3_600 {
        fleet.run_for(Duration::from_secs(1));
        let now = fleet.forwarder(node).counters().control_bytes;
        cost.highest = cost.highest.max((now - held) as f64);
        held = now;
        if fleet.forwarder(node).is_handover_done() {
            cost.leave_time = f64::from(second);
            break;
        }
    }
    wait_for_handover(&mut fleet);
    cost.leave = bytes(&fleet) - before;
    cost
}

/// Waits until no forwarder has anything to hand over.
fn wait_for_handover(fleet: &mut Fleet<BoundedPick>) {
    for _ in 0..3_600 {
        fleet.run_for(Duration::from_secs(1));
        let is_done = |node: &usize| fleet.forwarder(*node).is_handover_done();
        if fleet.running().iter().all(is_done) {
            return;
        }
    }
}

/// Control bytes sent in a time.
fn spent(fleet: &mut Fleet<BoundedPick>, time: Duration) -> f64 {
    let before = bytes(fleet);
    fleet.run_for(time);
    bytes(fleet) - before
}

/// Control bytes sent so far.
fn bytes(fleet: &Fleet<BoundedPick>) -> f64 {
    fleet.sum(|counters| counters.control_bytes) as f64
}
