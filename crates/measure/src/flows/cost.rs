//! Measures control traffic: bytes at rest, for each new flow and for each membership change.

use std::time::Duration;

use bambooseam_config::VmState;
use bambooseam_forwarder::Tracking;
use bambooseam_forwarder::pick::BoundedPick;
use bambooseam_standin::{DeploymentKind, Plan};

use super::caller::Profile;
use super::fleet::Fleet;
use super::scenario::{join_vm, start};

/// Length of each phase.
const PHASE_TIME: Duration = Duration::from_secs(60);

/// Control traffic, summed over all five forwarders unless a field says otherwise.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    /// Bytes per second and forwarder while nothing changes.
    pub idle: f64,
    /// Bytes per new flow.
    pub new_flow: f64,
    /// Bytes per joining forwarder.
    pub join: f64,
    /// Bytes per leaving forwarder.
    pub leave: f64,
    /// Seconds until a leaving forwarder has handed over all its flows.
    pub leave_time: f64,
    /// Most bytes that the leaving forwarder sent within one second.
    pub peak: f64,
}

/// Measures control traffic with `flows` open feeds on five forwarders.
pub fn measure(flows: usize, seed: u64) -> Cost {
    let mut fleet = start(seed, Tracking::OwnerShadow, BoundedPick::default());
    let plan = Plan::of(DeploymentKind::Cascade);
    let mut cost = Cost::default();
    fleet.open_flows(flows, PHASE_TIME, Profile::feeds(&plan));
    cost.new_flow = control_bytes_during(&mut fleet, PHASE_TIME) / flows as f64;
    let nodes = fleet.node_count() as f64;
    cost.idle = control_bytes_during(&mut fleet, PHASE_TIME) / nodes / PHASE_TIME.as_secs_f64();
    let before = control_bytes(&fleet);
    join_vm(&mut fleet, |_| Duration::ZERO);
    wait_for_handover(&mut fleet);
    cost.join = control_bytes(&fleet) - before;
    let before = control_bytes(&fleet);
    let id = fleet.deployment.vms.0[1].id.clone();
    let node = fleet.node_of(&id).expect("the VM runs");
    fleet.set_vm_state(&id, VmState::Leaving);
    fleet.publish();
    let mut previous = fleet.forwarder(node).counters().control_bytes;
    for second in 1..=3_600 {
        fleet.run_for(Duration::from_secs(1));
        let sent = fleet.forwarder(node).counters().control_bytes;
        cost.peak = cost.peak.max((sent - previous) as f64);
        previous = sent;
        if fleet.forwarder(node).is_handover_done() {
            cost.leave_time = f64::from(second);
            break;
        }
    }
    wait_for_handover(&mut fleet);
    cost.leave = control_bytes(&fleet) - before;
    cost
}

/// Runs the simulation until no forwarder has flows left to hand over, at most an hour.
fn wait_for_handover(fleet: &mut Fleet<BoundedPick>) {
    for _ in 0..3_600 {
        fleet.run_for(Duration::from_secs(1));
        let is_done = |node: &usize| fleet.forwarder(*node).is_handover_done();
        if fleet.running().iter().all(is_done) {
            return;
        }
    }
}

/// Runs the simulation for `time` and returns the control bytes sent meanwhile.
fn control_bytes_during(fleet: &mut Fleet<BoundedPick>, time: Duration) -> f64 {
    let before = control_bytes(fleet);
    fleet.run_for(time);
    control_bytes(fleet) - before
}

/// Returns the control bytes that all forwarders have sent so far.
fn control_bytes(fleet: &Fleet<BoundedPick>) -> f64 {
    fleet.sum(|counters| counters.control_bytes) as f64
}
