//! Results of a run over fakes.

use bambooseam_forwarder::Moment;
use derive_more::Display;

use super::caller::FlowId;

/// What was seen at callers and targets.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Packets that callers sent.
    pub sent: u64,
    /// Packets that reached a target of their service.
    pub delivered: u64,
    /// Packets that reached a target of another service with its identifier.
    pub wrong_service: u64,
    /// Packets whose identifier the target's kernel does not take.
    pub foreign_vni: u64,
    /// New flows at a target 3 s or more after its leaving was announced.
    pub new_to_leaving: u64,
    /// SYN packets that reached a second target.
    pub double_syn: u64,
    /// SYN packets that reached a target with data.
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
    /// How.
    pub cause: Cause,
    /// When.
    pub at: Moment,
}

/// How a flow broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Cause {
    /// A packet reached a target that did not have the flow.
    #[display("reset")]
    Reset,
    /// The caller gave up.
    #[display("stalled")]
    Stalled,
}

impl Tally {
    /// Notes a broken flow.
    pub fn record_broken(&mut self, flow: FlowId, cause: Cause, at: Moment) {
        self.broken.push(BrokenFlow { flow, cause, at });
    }
}

/// Largest load divided by the mean; 1 when there is no load.
pub fn max_over_mean(loads: &[f64]) -> f64 {
    let mean = mean(loads);
    if mean == 0.0 {
        return 1.0;
    }
    loads.iter().copied().fold(0.0, f64::max) / mean
}

/// Standard deviation of loads divided by the mean.
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
