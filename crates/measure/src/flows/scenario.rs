//! Planned changes and failures, applied to a simulated fleet.

use std::time::Duration;

use bambooseam_config::{TargetState, VmState};
use bambooseam_forwarder::Tracking;
use bambooseam_forwarder::pick::Pick;
use bambooseam_standin::{DeploymentKind, Plan};
use bambooseam_types::VmId;
use derive_more::Display;
use rand::Rng;

use super::caller::Profile;
use super::fleet::{Fleet, Setup};
use super::tally::{max_over_mean, variation};

/// Time after which a dead or unreachable forwarder is suspected.
const SUSPECT_TIME: Duration = Duration::from_secs(2);
/// Delay with which a slow forwarder receives a view.
const SLOW_VIEW_LAG: Duration = Duration::from_secs(10);

/// A planned change or a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Scenario {
    /// A forwarder joins.
    #[display("forwarder_joins")]
    ForwarderJoins,
    /// A forwarder leaves.
    #[display("forwarder_leaves")]
    ForwarderLeaves,
    /// All forwarders are replaced, one after another.
    #[display("forwarders_replaced")]
    ForwardersReplaced,
    /// A target joins.
    #[display("target_joins")]
    TargetJoins,
    /// A target is drained.
    #[display("target_drains")]
    TargetDrains,
    /// A zone is evacuated. Not in the random series, whose kept seeds depend on the list of
    /// scenarios.
    #[display("zone_evacuated")]
    ZoneEvacuated,
    /// The preset switches three times.
    #[display("preset_switches")]
    PresetSwitches,
    /// At the same time, a forwarder joins, a forwarder leaves, a target joins and a target leaves.
    #[display("changes_at_once")]
    ChangesAtOnce,
    /// The changes of `ChangesAtOnce`, while some forwarders receive views 10 s late.
    #[display("uneven_views")]
    UnevenViews,
    /// Flows are idle for an hour, while forwarders and targets join and leave.
    #[display("silent_hour")]
    SilentHour,
    /// A target leaves and its address is given to another service; some forwarders receive views
    /// 10 s late.
    #[display("address_reused")]
    AddressReused,
    /// One forwarder dies.
    #[display("forwarder_killed")]
    ForwarderKilled,
    /// Two forwarders die at the same time.
    #[display("two_killed")]
    TwoKilled,
    /// A target dies.
    #[display("target_dies")]
    TargetDies,
    /// A forwarder is frozen for 30 s and uses its stale view for 10 s more.
    #[display("forwarder_frozen")]
    ForwarderFrozen,
    /// A zone is partitioned for a minute.
    #[display("partition")]
    Partition,
}

/// Whether operators planned the scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Origin {
    /// A planned change, which must break no flow.
    Planned,
    /// A failure, which may break flows.
    Unplanned,
}

/// Result of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Number of flows opened.
    pub flows: u64,
    /// Number of flows that broke, not counting flows whose target died.
    pub broken: u64,
    /// Packets delivered to another service.
    pub wrong_service: u64,
    /// New flows at a leaving target more than 3 s after the announcement.
    pub new_to_leaving: u64,
    /// Largest load of a target divided by the mean load, at the end.
    pub max_over_mean: f64,
    /// Coefficient of variation of the loads at the end.
    pub variation: f64,
    /// Packets delivered to targets of their service.
    pub delivered: u64,
    /// Packets sent from one forwarder to another.
    pub hops: u64,
    /// Control bytes per second and forwarder.
    pub control_rate: f64,
    /// Invariant violations.
    pub violations: u64,
}

impl Scenario {
    /// All planned changes.
    pub const PLANNED: [Self; 10] = [
        Self::ForwarderJoins,
        Self::ForwarderLeaves,
        Self::ForwardersReplaced,
        Self::TargetJoins,
        Self::TargetDrains,
        Self::PresetSwitches,
        Self::ChangesAtOnce,
        Self::UnevenViews,
        Self::SilentHour,
        Self::AddressReused,
    ];

    /// All failures.
    pub const UNPLANNED: [Self; 5] = [
        Self::ForwarderKilled,
        Self::TwoKilled,
        Self::TargetDies,
        Self::ForwarderFrozen,
        Self::Partition,
    ];

    /// Returns all planned changes and failures.
    pub fn all() -> Vec<Self> {
        [&Self::PLANNED[..], &Self::UNPLANNED[..]].concat()
    }

    /// Whether operators planned the scenario.
    pub fn origin(self) -> Origin {
        match self == Self::ZoneEvacuated || Self::PLANNED.contains(&self) {
            true => Origin::Planned,
            false => Origin::Unplanned,
        }
    }

    /// Runs the scenario over `flows` flows, a tenth of which are UDP.
    pub fn run<P>(self, flows: usize, seed: u64, tracking: Tracking, pick: P) -> Outcome
    where
        P: Pick + Clone,
    {
        self.run_fleet(flows, seed, tracking, pick).1
    }

    /// Runs the scenario over `flows` flows and returns the fleet with the outcome.
    pub fn run_fleet<P>(
        self,
        flows: usize,
        seed: u64,
        tracking: Tracking,
        pick: P,
    ) -> (Fleet<P>, Outcome)
    where
        P: Pick + Clone,
    {
        let mut fleet = start(seed, tracking, pick);
        let plan = Plan::of(DeploymentKind::Cascade);
        let feeds = match self {
            Self::SilentHour => Profile::feeds(&plan).with_interval(Duration::from_secs(3_600)),
            _ => Profile::feeds(&plan),
        };
        let opening = Duration::from_secs(20);
        fleet.open_flows(flows - flows / 10, opening, feeds.clone());
        fleet.open_flows(flows / 10, opening, feeds.over_udp());
        fleet.run_for(Duration::from_secs(15));
        // A quarter of the flows is opened after the change has begun.
        self.apply(&mut fleet);
        fleet.run_for(Duration::from_secs(60));
        let remaining = match self {
            Self::SilentHour => Duration::from_secs(7_200),
            _ => Duration::from_secs(90),
        };
        fleet.run_for(remaining);
        let outcome = Outcome::of(&fleet, plan.orders.0, flows);
        (fleet, outcome)
    }

    /// Applies the scenario to a fleet and runs the simulation until its last publication is sent.
    pub fn apply<P: Pick + Clone>(self, fleet: &mut Fleet<P>) {
        match self {
            Self::ForwarderJoins => {
                join_vm(fleet, |_| Duration::ZERO);
            }
            Self::ForwarderLeaves => leave_vm(fleet),
            Self::ForwardersReplaced => replace_all(fleet),
            Self::TargetJoins => {
                let octet = fleet.next_host();
                add_target(fleet, octet);
                fleet.publish();
            }
            Self::TargetDrains => {
                let leaving = random_target(fleet);
                fleet.announce_leaving(leaving);
                fleet.publish();
            }
            Self::ZoneEvacuated => {
                let target = random_target(fleet);
                let zone = fleet.deployment.targets.targets[target].zone.clone();
                fleet.evacuate(&zone);
                fleet.publish();
            }
            Self::PresetSwitches => switch_presets(fleet),
            Self::ChangesAtOnce => change_all(fleet, |_| Duration::ZERO),
            Self::UnevenViews => change_all(fleet, view_lag),
            Self::SilentHour => {
                fleet.run_for(Duration::from_secs(60));
                replace_all(fleet);
                change_all(fleet, view_lag);
            }
            Self::AddressReused => reuse_address(fleet),
            Self::ForwarderKilled => kill_vms(fleet, 1),
            Self::TwoKilled => kill_vms(fleet, 2),
            Self::TargetDies => kill_target(fleet),
            Self::ForwarderFrozen => freeze_vm(fleet),
            Self::Partition => partition_zone(fleet),
        }
    }
}

impl Outcome {
    /// Computes the outcome from a fleet.
    pub fn of<P: Pick + Clone>(fleet: &Fleet<P>, service: &str, flows: usize) -> Self {
        let loads = fleet.loads(service);
        let seconds = fleet.now().as_millis() as f64 / 1_000.0;
        let control = fleet.sum(|counters| counters.control_bytes) as f64;
        Self {
            flows: flows as u64,
            broken: fleet.tally.broken.len() as u64,
            wrong_service: fleet.tally.wrong_service,
            new_to_leaving: fleet.tally.new_to_leaving,
            max_over_mean: max_over_mean(&loads),
            variation: variation(&loads),
            delivered: fleet.tally.delivered,
            hops: fleet.sum(|counters| counters.exchanged()),
            control_rate: control / seconds / fleet.node_count() as f64,
            violations: fleet.sum(|counters| counters.violations),
        }
    }

    /// Adds the counts of another run; ratios and rates are left as they are.
    pub fn add(&mut self, other: &Self) {
        self.flows += other.flows;
        self.broken += other.broken;
        self.wrong_service += other.wrong_service;
        self.new_to_leaving += other.new_to_leaving;
        self.delivered += other.delivered;
        self.hops += other.hops;
        self.violations += other.violations;
    }

    /// Returns the packets between forwarders per packet delivered to a target.
    pub fn hops_per_packet(&self) -> f64 {
        self.hops as f64 / self.delivered.max(1) as f64
    }
}

/// Creates a fleet of the size of the `cascade` deployment.
pub fn start<P: Pick + Clone>(seed: u64, tracking: Tracking, pick: P) -> Fleet<P> {
    let setup = Setup {
        plan: Plan::of(DeploymentKind::Cascade),
        tracking,
        seed,
        disordered: 5,
        weights: Vec::new(),
    };
    Fleet::new(setup, pick)
}

/// Returns the view lag of a forwarder: 10 s for two in five, 100 ms for all other forwarders.
pub fn view_lag(node: usize) -> Duration {
    match node % 5 {
        1 | 3 => SLOW_VIEW_LAG,
        _ => Duration::from_millis(100),
    }
}

/// Returns a random live VM.
fn random_vm<P: Pick + Clone>(fleet: &mut Fleet<P>) -> VmId {
    let vms = fleet.deployment.vms.0.iter();
    let live: Vec<VmId> = vms
        .filter(|vm| vm.state == VmState::Live)
        .map(|vm| vm.id.clone())
        .collect();
    let at = fleet.rng().random_range(0..live.len());
    live[at].clone()
}

/// Returns the position of a random live target of the orders service.
fn random_target<P: Pick + Clone>(fleet: &mut Fleet<P>) -> usize {
    let service = Plan::of(DeploymentKind::Cascade).orders.0;
    let targets = fleet.deployment.targets.targets.iter().enumerate();
    let live: Vec<usize> = targets
        .filter(|(_, target)| target.state == TargetState::Live)
        .filter(|(_, target)| target.service.as_str() == service)
        .map(|(at, _)| at)
        .collect();
    let at = fleet.rng().random_range(0..live.len());
    live[at]
}

/// Adds a VM: announced as joining first, live and in rotation 2 s later.
pub fn join_vm<P: Pick + Clone>(fleet: &mut Fleet<P>, lag: fn(usize) -> Duration) {
    let name = format!("next-{:03}", fleet.node_count());
    let id: VmId = name.parse().expect("a valid name");
    let mut entry = fleet.deployment.vms.0[0].clone();
    let octet = fleet.node_count() as u8 + 1;
    for address in [&mut entry.agent, &mut entry.forwarder, &mut entry.proxy] {
        address.set_ip([127, 1, 1, octet].into());
    }
    entry.id = id.clone();
    entry.state = VmState::Joining;
    let place = fleet.deployment.vms.0.partition_point(|vm| vm.id < id);
    fleet.deployment.vms.0.insert(place, entry);
    fleet.start_node(place);
    fleet.set_in_rotation(fleet.node_count() - 1, false);
    fleet.publish_lagging(lag, &[]);
    fleet.run_for(Duration::from_secs(2));
    fleet.set_in_rotation(fleet.node_count() - 1, true);
    fleet.set_vm_state(&id, VmState::Live);
    fleet.publish_lagging(lag, &[]);
}

/// Removes a VM as planned: announces it as leaving, waits for its handover, then stops it and
/// removes it from the list.
pub fn leave_vm<P: Pick + Clone>(fleet: &mut Fleet<P>) {
    let id = random_vm(fleet);
    fleet.set_vm_state(&id, VmState::Leaving);
    fleet.publish_lagging(view_lag, &[]);
    finish_leaving(fleet, &id);
}

/// Waits until a leaving VM has handed over its flows, stops it and removes it from the list.
fn finish_leaving<P: Pick + Clone>(fleet: &mut Fleet<P>, id: &VmId) {
    let Some(node) = fleet.node_of(id) else {
        return;
    };
    fleet.run_for(Duration::from_secs(12));
    fleet.set_in_rotation(node, false);
    for _ in 0..300 {
        if fleet.forwarder(node).is_handover_done() {
            break;
        }
        fleet.run_for(Duration::from_secs(1));
    }
    fleet.run_for(Duration::from_secs(2));
    fleet.kill(node);
    fleet.deployment.vms.0.retain(|vm| vm.id != *id);
    fleet.publish_lagging(view_lag, &[]);
    fleet.run_for(Duration::from_secs(2));
}

/// Replaces every listed VM by a new one, one after another.
fn replace_all<P: Pick + Clone>(fleet: &mut Fleet<P>) {
    let original: Vec<VmId> = fleet
        .deployment
        .vms
        .0
        .iter()
        .map(|vm| vm.id.clone())
        .collect();
    for id in original {
        join_vm(fleet, view_lag);
        fleet.run_for(Duration::from_secs(15));
        fleet.set_vm_state(&id, VmState::Leaving);
        fleet.publish_lagging(view_lag, &[]);
        finish_leaving(fleet, &id);
    }
}

/// Adds a target of the orders service without publishing the list.
pub fn add_target<P: Pick + Clone>(fleet: &mut Fleet<P>, octet: u8) {
    let is_of_orders =
        |entry: &&bambooseam_config::TargetEntry| entry.id.as_str().starts_with("bay");
    let found = fleet.deployment.targets.targets.iter().find(is_of_orders);
    let mut entry = found.expect("the plan has targets").clone();
    entry.id = format!("bay-new-{octet}").parse().expect("a valid name");
    entry.state = TargetState::Live;
    for address in [&mut entry.flows, &mut entry.requests] {
        address.set_ip([127, 1, 2, octet].into());
    }
    let list = &mut fleet.deployment.targets.targets;
    let place = list.partition_point(|target| target.id < entry.id);
    list.insert(place, entry);
    fleet.start_host(place);
}

/// Switches through three presets and ends at `ordinary`.
fn switch_presets<P: Pick + Clone>(fleet: &mut Fleet<P>) {
    for name in ["peak-season", "maintenance", "ordinary"] {
        let name = name.parse().expect("a valid name");
        fleet.deployment.switch(&name);
        fleet.publish_lagging(view_lag, &[]);
        fleet.run_for(Duration::from_secs(3));
    }
}

/// Joins a forwarder, then lets a forwarder leave, a target join and a target leave at once.
fn change_all<P: Pick + Clone>(fleet: &mut Fleet<P>, lag: fn(usize) -> Duration) {
    join_vm(fleet, lag);
    let leaving = random_vm(fleet);
    fleet.set_vm_state(&leaving, VmState::Leaving);
    let drained = random_target(fleet);
    fleet.announce_leaving(drained);
    let octet = fleet.next_host();
    add_target(fleet, octet);
    fleet.publish_lagging(lag, &[]);
    finish_leaving(fleet, &leaving);
}

/// Drains a target and gives its address to the downloads service.
fn reuse_address<P: Pick + Clone>(fleet: &mut Fleet<P>) {
    let at = random_target(fleet);
    let target = fleet.deployment.targets.targets[at].clone();
    fleet.announce_leaving(at);
    fleet.publish_lagging(view_lag, &[]);
    fleet.run_for(Duration::from_secs(5));
    // The remaining flows end with the target, as the operators decided by stopping it.
    fleet.kill_host(target.flows);
    let downloads = Plan::of(DeploymentKind::Cascade).downloads.0;
    let name = format!("file-moved-{}", fleet.next_host());
    let entry = &mut fleet.deployment.targets.targets[at];
    entry.id = name.parse().expect("a valid name");
    entry.service = downloads.parse().expect("a valid name");
    entry.state = TargetState::Live;
    fleet.start_host(at);
    fleet
        .deployment
        .targets
        .targets
        .sort_by(|a, b| a.id.cmp(&b.id));
    fleet.publish_lagging(view_lag, &[]);
    let plan = Plan::of(DeploymentKind::Cascade);
    let mut profile = Profile::feeds(&plan);
    profile.service = plan.downloads.0;
    fleet.open_flows(200, Duration::from_secs(10), profile);
}

/// Kills VMs at the same time; they are suspected 2 s later, and by slow forwarders 10 s after
/// that.
fn kill_vms<P: Pick + Clone>(fleet: &mut Fleet<P>, count: usize) {
    let mut suspects = Vec::new();
    while suspects.len() < count {
        let id = random_vm(fleet);
        if suspects.contains(&id) {
            continue;
        }
        if let Some(node) = fleet.node_of(&id) {
            fleet.kill(node);
        }
        suspects.push(id);
    }
    fleet.run_for(SUSPECT_TIME);
    fleet.publish_lagging(view_lag, &suspects);
    fleet.run_for(Duration::from_secs(1));
    for node in 0..fleet.node_count() {
        let is_dead = !fleet.running().contains(&node);
        fleet.set_in_rotation(node, !is_dead);
    }
    fleet.run_for(Duration::from_secs(30));
    fleet
        .deployment
        .vms
        .0
        .retain(|vm| !suspects.contains(&vm.id));
    fleet.publish_lagging(view_lag, &[]);
}

/// Kills a target; the platform removes it from the list 5 s later.
fn kill_target<P: Pick + Clone>(fleet: &mut Fleet<P>) {
    let at = random_target(fleet);
    let target = fleet.deployment.targets.targets[at].clone();
    fleet.kill_host(target.flows);
    fleet.run_for(Duration::from_secs(5));
    fleet.deployment.targets.targets.remove(at);
    fleet.publish_lagging(view_lag, &[]);
}

/// Freezes a forwarder, which all other forwarders suspect and which resumes with its stale view.
fn freeze_vm<P: Pick + Clone>(fleet: &mut Fleet<P>) {
    let id = random_vm(fleet);
    let Some(node) = fleet.node_of(&id) else {
        return;
    };
    fleet.freeze(node, Duration::from_secs(30));
    fleet.run_for(SUSPECT_TIME);
    let other_nodes: Vec<usize> = fleet
        .running()
        .into_iter()
        .filter(|at| *at != node)
        .collect();
    fleet.publish_to(
        &other_nodes,
        Duration::from_millis(100),
        std::slice::from_ref(&id),
    );
    fleet.set_in_rotation(node, false);
    let drained = random_target(fleet);
    fleet.announce_leaving(drained);
    let octet = fleet.next_host();
    add_target(fleet, octet);
    fleet.publish_to(&other_nodes, Duration::from_millis(100), &[id]);
    fleet.run_for(Duration::from_secs(28));
    fleet.set_in_rotation(node, true);
    fleet.run_for(Duration::from_secs(10));
    fleet.publish();
}

/// Partitions a zone; each side suspects the other, and a minute later the partition heals.
fn partition_zone<P: Pick + Clone>(fleet: &mut Fleet<P>) {
    fleet.partition(&["yakima"]);
    fleet.run_for(SUSPECT_TIME);
    let is_partitioned = |fleet: &Fleet<P>, at: &usize| fleet.is_partitioned(*at);
    let (inside, outside): (Vec<usize>, Vec<usize>) = fleet
        .running()
        .into_iter()
        .partition(|at| is_partitioned(fleet, at));
    let vms_of = |is_inside: bool| -> Vec<VmId> {
        let vms = fleet.deployment.vms.0.iter();
        let on_side = vms.filter(|vm| (vm.zone.as_str() == "yakima") == is_inside);
        on_side.map(|vm| vm.id.clone()).collect()
    };
    let (suspected_inside, suspected_outside) = (vms_of(false), vms_of(true));
    fleet.publish_to(&inside, Duration::from_millis(200), &suspected_inside);
    fleet.publish_to(&outside, Duration::from_millis(200), &suspected_outside);
    fleet.run_for(Duration::from_secs(60));
    fleet.partition(&[]);
    fleet.run_for(SUSPECT_TIME);
    fleet.publish_lagging(view_lag, &[]);
}

/// Returns a random planned change or failure, for long runs.
pub fn any_scenario(rng: &mut impl Rng) -> Scenario {
    let all = Scenario::all();
    all[rng.random_range(0..all.len())]
}
