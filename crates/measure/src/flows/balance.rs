//! Measures how evenly flows are spread over targets of different weights under churn.

use std::time::Duration;

use bambooseam_forwarder::Tracking;
use bambooseam_forwarder::pick::Pick;
use bambooseam_standin::{DeploymentKind, Plan};

use super::caller::Profile;
use super::fleet::{Fleet, Setup};
use super::scenario::add_target;
use super::tally::{max_over_mean, variation};

/// Mean lifetime of a flow.
const LIFETIME: Duration = Duration::from_secs(60);
/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(5);
/// Number of samples in the steady state.
const SAMPLES: usize = 12;
/// Weights assigned to the targets in turn.
const WEIGHTS: [u32; 5] = [50, 100, 100, 150, 200];

/// Load balance under churn.
#[derive(Debug, Clone, Copy, Default)]
pub struct Balance {
    /// Mean over the samples of the largest load divided by the mean load; loads are per weight.
    pub steady: f64,
    /// Largest sample of the largest load divided by the mean load.
    pub worst: f64,
    /// Mean coefficient of variation of the loads.
    pub variation: f64,
    /// Largest load divided by the mean load 60 s after a target joined.
    pub after_join: f64,
    /// Largest load divided by the mean load 60 s after a forwarder restarted with an empty table.
    pub after_restart: f64,
    /// Fraction of the flows whose target differs from the default choice.
    pub non_default: f64,
}

/// Measures about `flows` concurrent flows over 15 targets and 5 forwarders.
pub fn measure<P>(flows: usize, seed: u64, tracking: Tracking, pick: P) -> Balance
where
    P: Pick + Clone,
{
    let plan = Plan::of(DeploymentKind::Cascade);
    let setup = Setup {
        plan: plan.clone(),
        tracking,
        seed,
        disordered: 5,
        weights: WEIGHTS.to_vec(),
    };
    let mut fleet = Fleet::new(setup, pick);
    let profile = Profile::feeds(&plan).with_lifetime(LIFETIME);
    let minutes = 5;
    fleet.open_flows(flows * minutes, LIFETIME * minutes as u32, profile);
    fleet.run_for(Duration::from_secs(90));
    let mut balance = Balance::default();
    for _ in 0..SAMPLES {
        fleet.run_for(SAMPLE_INTERVAL);
        let loads = fleet.loads(plan.orders.0);
        let sample = max_over_mean(&loads);
        balance.steady += sample / SAMPLES as f64;
        balance.worst = balance.worst.max(sample);
        balance.variation += variation(&loads) / SAMPLES as f64;
    }
    balance.non_default = fleet.non_default_share();
    let octet = fleet.next_host();
    add_target(&mut fleet, octet);
    fleet.publish();
    fleet.run_for(Duration::from_secs(60));
    balance.after_join = max_over_mean(&fleet.loads(plan.orders.0));
    fleet.kill(0);
    fleet.start_node(0);
    fleet.publish();
    fleet.run_for(Duration::from_secs(60));
    balance.after_restart = max_over_mean(&fleet.loads(plan.orders.0));
    balance
}
