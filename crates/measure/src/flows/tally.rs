//! Counts the results of a simulation and computes load statistics.

use bambooseam_forwarder::Moment;
use derive_more::Display;

use super::caller::FlowId;

/// Results collected at callers and targets.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Packets that callers sent.
    pub sent: u64,
    /// Packets delivered to a target of their service.
    pub delivered: u64,
    /// Packets delivered to a target of another service under that service's network identifier.
    pub wrong_service: u64,
    /// Packets dropped by a target's kernel because of an unexpected network identifier.
    pub unexpected_vni: u64,
    /// New flows at a leaving target more than 3 s after the announcement.
    pub new_to_leaving: u64,
    /// SYN packets delivered to a second target.
    pub double_syn: u64,
    /// SYN packets with data that were delivered to a target.
    pub syn_data: u64,
    /// Flows whose target died.
    pub lost_targets: u64,
    /// Flows that broke.
    pub broken: Vec<BrokenFlow>,
}

/// A flow that broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenFlow {
    /// The flow.
    pub flow: FlowId,
    /// How the flow broke.
    pub cause: Cause,
    /// When the flow broke.
    pub at: Moment,
}

/// How a flow broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Cause {
    /// A packet reached a target that did not hold the flow.
    #[display("reset")]
    Reset,
    /// The caller abandoned the flow after a timeout.
    #[display("stalled")]
    Stalled,
}

impl Tally {
    /// Records a broken flow.
    pub fn record_broken(&mut self, flow: FlowId, cause: Cause, at: Moment) {
        self.broken.push(BrokenFlow { flow, cause, at });
    }
}

/// Returns the largest load divided by the mean; 1 when there is no load.
pub fn max_over_mean(loads: &[f64]) -> f64 {
    let mean = mean(loads);
    if mean == 0.0 {
        return 1.0;
    }
    loads.iter().copied().fold(0.0, f64::max) / mean
}

/// Returns the standard deviation of the loads divided by the mean; 0 when there is no load.
pub fn variation(loads: &[f64]) -> f64 {
    let mean = mean(loads);
    if mean == 0.0 {
        return 0.0;
    }
    let squares: f64 = loads.iter().map(|load| (load - mean).powi(2)).sum();
    (squares / loads.len() as f64).sqrt() / mean
}

fn mean(loads: &[f64]) -> f64 {
    loads.iter().sum::<f64>() / loads.len().max(1) as f64
}
