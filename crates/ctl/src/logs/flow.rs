//! Outcome of a flow and its cause.
//!
//! The lines of the flow show the decisions of the VMs. The lines about the flow's target at that
//! time show why a request had no response. The token of the target links both.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bambooseam_steer::FlowId;
use derive_more::Display;
use serde_json::{Value, json};

use super::LogLine;
use super::target::tokens_of;
use crate::Outcome;
use crate::report::Report;

/// Time before and after the deciding line within which lines about targets and VMs are shown.
const CONTEXT_TIME: Duration = Duration::from_secs(5);

/// Longest time from the end of a target until its entry is removed: at most three
/// heartbeats at intervals of 1 s, and the time for which the removal is pending confirmation.
const ENTRY_REMOVAL_TIME: Duration = Duration::from_secs(4);

/// Time before a request within which a start or stop of its VM explains the loss of the request.
/// Packets are held for the first view for the same time.
const START_LOSS_TIME: Duration = Duration::from_millis(500);

/// Interval at which a VM checks for unresponsive targets.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// A flow with its lines and the cause of its outcome.
#[derive(Debug)]
pub struct FlowReport {
    flow: FlowId,
    /// Lines of the flow, sorted by time.
    pub steps: Vec<LogLine>,
    /// Lines about the targets and VMs of the flow around the time of the deciding line.
    pub context: Vec<LogLine>,
    /// Cause of the outcome.
    pub cause: Cause,
}

/// Cause of the outcome of a flow.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Cause {
    /// No line contains the flow.
    #[display(
        "no VM logged the flow: no VM received it, or its lines are among {suppressed} suppressed"
    )]
    NotSeen {
        /// Number of flow lines that the rate limit suppressed.
        suppressed: u64,
    },
    /// A VM reset the flow.
    #[display("the flow was reset by {vm} ({cause}): {meaning}")]
    Reset {
        /// Name of the VM.
        vm: String,
        /// Cause as logged.
        cause: String,
        /// Explanation of the cause.
        meaning: &'static str,
    },
    /// The target ended while a request was in progress.
    #[display(
        "the flow's target {target} ended or its entry was removed while a request was in progress"
    )]
    TargetEnded {
        /// Identifier of the target.
        target: String,
    },
    /// Several VMs found the target unresponsive.
    #[display("the flow's target {target} did not respond: {vms} VMs found it unresponsive")]
    TargetHung {
        /// Identifier of the target.
        target: String,
        /// Number of VMs that found the target unresponsive.
        vms: usize,
    },
    /// Only one VM found the target unresponsive.
    #[display(
        "the flow's target {target} did not respond to {vm}; no other VM found it unresponsive"
    )]
    OutOfReach {
        /// Identifier of the target.
        target: String,
        /// Name of the VM.
        vm: String,
    },
    /// A VM on the path of the flow started or stopped.
    #[display("{vm} started or stopped during the request: packets were lost in between")]
    VmStarted {
        /// Name of the VM.
        vm: String,
    },
    /// A request had no response by its deadline, and no line explains why.
    #[display("a request had no response by its deadline; no line about its target explains why")]
    Unanswered,
    /// A VM dropped packets of the flow.
    #[display("packets were dropped by {vm} ({cause}): {meaning}")]
    Dropped {
        /// Name of the VM.
        vm: String,
        /// Cause as logged.
        cause: String,
        /// Explanation of the cause.
        meaning: &'static str,
    },
    /// The flow opened late.
    #[display("the flow opened late: its target did not respond to the first opening packet")]
    OpenedLate,
    /// The flow was placed and no VM logged a failure.
    #[display("the flow was placed, and no VM logged a failure")]
    Served,
}

impl FlowReport {
    /// Explains a flow from the lines of all VMs, sorted by time.
    pub fn new(lines: &[LogLine], flow: FlowId) -> Self {
        let name = flow.to_string();
        let flow_lines = lines.iter().filter(|line| line.has("flow", &name));
        let steps: Vec<LogLine> = flow_lines.cloned().collect();
        let context = context_lines(lines, &steps);
        let cause = find_cause(lines, &steps, &context);
        Self {
            flow,
            steps,
            context,
            cause,
        }
    }
}

/// Returns the lines about the targets and VMs of a flow around the time of its deciding line.
fn context_lines(lines: &[LogLine], steps: &[LogLine]) -> Vec<LogLine> {
    let Some(last) = deciding_line(steps) else {
        return Vec::new();
    };
    let tokens: Vec<&str> = steps
        .iter()
        .filter_map(|step| step.field("token"))
        .collect();
    let mut targets = Vec::new();
    for line in lines.iter().filter(|line| line.event == "target_changed") {
        let is_named = tokens_of(line).any(|token| tokens.contains(&token));
        targets.extend(line.field("target").filter(|_| is_named));
    }
    let (from, to) = (
        sent_at(last).saturating_sub(CONTEXT_TIME),
        last.at + CONTEXT_TIME,
    );
    let is_about = |line: &LogLine| match line.event.as_str() {
        "entry_started" | "stop_begun" | "stopped" => steps.iter().any(|step| step.vm == line.vm),
        // Every start of a VM logs all live targets again.
        "target_changed" if line.has("state", "live") => false,
        _ => {
            let target = line.field("target");
            target.is_some_and(|target| targets.contains(&target))
        }
    };
    let near = lines.iter().filter(|line| (from..=to).contains(&line.at));
    near.filter(|line| is_about(line)).cloned().collect()
}

/// Returns the last line of a flow that reports a failure, or its last line if none does.
fn deciding_line(steps: &[LogLine]) -> Option<&LogLine> {
    let is_failure = |step: &&LogLine| {
        matches!(
            step.event.as_str(),
            "flow_reset" | "request_unanswered" | "packet_dropped"
        )
    };
    steps.iter().rev().find(is_failure).or(steps.last())
}

/// Returns the time at which the request of a line was sent.
fn sent_at(step: &LogLine) -> Duration {
    let waited = step.field("waited_ms").and_then(|text| text.parse().ok());
    step.at
        .saturating_sub(Duration::from_millis(waited.unwrap_or(0)))
}

/// Determines the cause of the outcome from the lines.
fn find_cause(lines: &[LogLine], steps: &[LogLine], context: &[LogLine]) -> Cause {
    let Some(step) = deciding_line(steps) else {
        let flows = lines.iter().filter(|line| line.field("flow").is_some());
        let suppressed = flows.filter_map(|line| line.field("suppressed")?.parse::<u64>().ok());
        return Cause::NotSeen {
            suppressed: suppressed.sum(),
        };
    };
    let (vm, cause) = (step.vm.clone(), step.field("cause").unwrap_or_default());
    let meaning = meaning_of(cause);
    match step.event.as_str() {
        "flow_reset" => Cause::Reset {
            vm,
            cause: cause.into(),
            meaning,
        },
        "packet_dropped" => Cause::Dropped {
            vm,
            cause: cause.into(),
            meaning,
        },
        "request_unanswered" => unanswered_cause(step, context),
        "flow_moved" | "flow_copy" => Cause::OpenedLate,
        _ => Cause::Served,
    }
}

/// Determines why a request had no response.
fn unanswered_cause(step: &LogLine, context: &[LogLine]) -> Cause {
    let sent = sent_at(step);
    let find = |from: Duration, to: Duration, events: &'static [&str]| {
        let near = context
            .iter()
            .filter(move |line| (from..=to).contains(&line.at));
        near.filter(|line| events.contains(&line.event.as_str()))
    };
    let ends = &["target_removed", "target_ended"];
    let ended = find(sent, sent + ENTRY_REMOVAL_TIME, ends).find_map(|line| line.field("target"));
    if let Some(target) = ended {
        return Cause::TargetEnded {
            target: target.into(),
        };
    }
    let starts = &["stop_begun", "stopped", "entry_started"];
    if let Some(line) = find(sent.saturating_sub(START_LOSS_TIME), step.at, starts).next() {
        return Cause::VmStarted {
            vm: line.vm.clone(),
        };
    }
    let mut unresponsive = find(sent, step.at + SWEEP_INTERVAL, &["target_silent"]).peekable();
    let Some(target) = unresponsive.peek().and_then(|line| line.field("target")) else {
        return Cause::Unanswered;
    };
    let target = target.to_owned();
    let mut vms: Vec<&str> = unresponsive.map(|line| line.vm.as_str()).collect();
    vms.sort_unstable();
    vms.dedup();
    match vms[..] {
        [vm] => Cause::OutOfReach {
            target,
            vm: vm.into(),
        },
        _ => Cause::TargetHung {
            target,
            vms: vms.len(),
        },
    }
}

/// Explains a logged cause; docs/OPERATIONS.md has the details.
fn meaning_of(cause: &str) -> &'static str {
    match cause {
        "no_route" => "the configuration in force on the VM had no route for the flow's frontend",
        "route_removed" => "a configuration change removed the flow's route",
        "no_target" => "the flow's service had no target that accepted new flows",
        "target_gone" => {
            "the flow's target had ended, or had started again at another address or for another service"
        }
        "unknown_token" => "no target had the flow's token, and the VM's view was current",
        "no_token" => "the flow's packets contain no token of a target",
        "view_not_current" => "the VM's view was too old to reject the flow, or not yet received",
        "token_not_known_yet" => "the VM had not yet received the entry of the flow's target",
        "already_ended" => "no VM had a record of the flow any more",
        _ => "see docs/OPERATIONS.md",
    }
}

impl Display for FlowReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "flow={}", self.flow)?;
        for line in &self.steps {
            writeln!(f, "  {line}")?;
        }
        if !self.context.is_empty() {
            writeln!(f, "lines about the flow's targets and VMs:")?;
        }
        for line in &self.context {
            writeln!(f, "  {line}")?;
        }
        write!(f, "cause: {}", self.cause)
    }
}

impl Report for FlowReport {
    fn to_json(&self) -> Value {
        let text = |lines: &[LogLine]| lines.iter().map(LogLine::to_string).collect::<Value>();
        json!({
            "flow": self.flow.to_string(),
            "lines": text(&self.steps),
            "around": text(&self.context),
            "cause": self.cause.to_string(),
        })
    }

    fn outcome(&self) -> Outcome {
        match self.cause {
            Cause::NotSeen { .. } | Cause::Unanswered => Outcome::Unknown,
            _ => Outcome::Good,
        }
    }
}
