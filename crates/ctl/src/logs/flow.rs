//! Why a flow went as it did.
//!
//! The lines of the flow itself say what was decided; what VMs found out of its target at the time
//! says why it got no answer. The token joins both.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bambooseam_steer::FlowId;
use derive_more::Display;
use serde_json::{Value, json};

use super::LogLine;
use crate::Outcome;
use crate::report::Report;

/// Time around the deciding line whose lines on targets and VMs are shown.
const CONTEXT_TIME: Duration = Duration::from_secs(5);

/// Time from a target's end until its entry goes, after three beats of a second at the most, and
/// has been doubted.
const ENTRY_REMOVAL_TIME: Duration = Duration::from_secs(4);

/// Time before a request in which a start or stop of its VM lost it: as long as packets wait for
/// the first view.
const START_LOSS_TIME: Duration = Duration::from_millis(500);

/// Time until a VM looks again which targets are silent.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// A flow, its lines and what they come to.
#[derive(Debug)]
pub struct FlowReport {
    flow: FlowId,
    /// Lines of the flow, by time.
    pub steps: Vec<LogLine>,
    /// Lines on its target and its VMs at the time.
    pub context: Vec<LogLine>,
    /// What they come to.
    pub cause: Cause,
}

/// Why a flow went as it did.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Cause {
    /// No line has the flow.
    #[display(
        "no VM logged the flow: its packets reached none, or its lines are among {suppressed} left out"
    )]
    NotSeen {
        /// Lines of flows that were left out.
        suppressed: u64,
    },
    /// It was reset.
    #[display("it was reset by {vm} ({cause}): {meaning}")]
    Reset {
        /// The VM.
        vm: String,
        /// Cause as the line has it.
        cause: String,
        /// What that means.
        meaning: &'static str,
    },
    /// Its target went while a request was there.
    #[display("its target {target} ended or lost its entry while a request waited")]
    TargetEnded {
        /// The target.
        target: String,
    },
    /// Several VMs found its target silent.
    #[display("its target {target} answered nobody: {vms} VMs found it silent")]
    TargetHung {
        /// The target.
        target: String,
        /// VMs that found it silent.
        vms: usize,
    },
    /// One VM found its target silent.
    #[display("its target {target} did not answer through {vm}; no other VM found it silent")]
    OutOfReach {
        /// The target.
        target: String,
        /// The VM.
        vm: String,
    },
    /// A VM on its way started or stopped.
    #[display("{vm} started or stopped meanwhile: packets in between were lost")]
    VmStarted {
        /// The VM.
        vm: String,
    },
    /// A request waited to its deadline, and nothing was found out.
    #[display("a request had no answer in time; nothing was found out of its target then")]
    Unanswered,
    /// Packets were dropped.
    #[display("packets were dropped by {vm} ({cause}): {meaning}")]
    Dropped {
        /// The VM.
        vm: String,
        /// Cause as the line has it.
        cause: String,
        /// What that means.
        meaning: &'static str,
    },
    /// It opened late.
    #[display("it opened late: its target did not answer the first opening packet")]
    OpenedLate,
    /// Nothing failed.
    #[display("it was placed, and nothing failed that a VM could see")]
    Served,
}

impl FlowReport {
    /// Explains a flow from the lines of all VMs, sorted by time.
    pub fn new(lines: &[LogLine], flow: FlowId) -> Self {
        let name = flow.to_string();
        let own = lines.iter().filter(|line| line.has("flow", &name));
        let steps: Vec<LogLine> = own.cloned().collect();
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

/// Lines on the targets and VMs of a flow, at the time of the line that decides.
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
        let token = line.field("token");
        let is_named = token.is_some_and(|token| tokens.contains(&token));
        targets.extend(line.field("target").filter(|_| is_named));
    }
    let (from, to) = (
        sent_at(last).saturating_sub(CONTEXT_TIME),
        last.at + CONTEXT_TIME,
    );
    let is_about = |line: &LogLine| match line.event.as_str() {
        "entry_started" | "stop_begun" | "stopped" => steps.iter().any(|step| step.vm == line.vm),
        // Each start of a VM repeats that a target is live.
        "target_changed" if line.has("state", "live") => false,
        _ => {
            let target = line.field("target");
            target.is_some_and(|target| targets.contains(&target))
        }
    };
    let near = lines.iter().filter(|line| (from..=to).contains(&line.at));
    near.filter(|line| is_about(line)).cloned().collect()
}

/// The last line of a flow that says that something went wrong, else its last line.
fn deciding_line(steps: &[LogLine]) -> Option<&LogLine> {
    let is_failure = |step: &&LogLine| {
        matches!(
            step.event.as_str(),
            "flow_reset" | "request_unanswered" | "packet_dropped"
        )
    };
    steps.iter().rev().find(is_failure).or(steps.last())
}

/// When the request of a line was sent.
fn sent_at(step: &LogLine) -> Duration {
    let waited = step.field("waited_ms").and_then(|text| text.parse().ok());
    step.at
        .saturating_sub(Duration::from_millis(waited.unwrap_or(0)))
}

/// What the lines come to.
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

/// Why a request had no answer.
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
    let mut silent = find(sent, step.at + SWEEP_INTERVAL, &["target_silent"]).peekable();
    let Some(target) = silent.peek().and_then(|line| line.field("target")) else {
        return Cause::Unanswered;
    };
    let target = target.to_owned();
    let mut vms: Vec<&str> = silent.map(|line| line.vm.as_str()).collect();
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

/// What a cause in a line means; docs/OPERATIONS.md says more.
fn meaning_of(cause: &str) -> &'static str {
    match cause {
        "no_route" => "no route had its entrance in the configuration in force there",
        "route_removed" => "a configuration removed its route",
        "no_target" => "its service had no target that took new flows",
        "target_gone" => "its target, or that start of it, had ended",
        "unknown_token" => "no target had its token, and all that was published was known there",
        "no_token" => "its packets name no target",
        "view_not_current" => "the VM's view was too old to refuse, or not there yet",
        "token_not_known_yet" => "the VM had not heard of its target yet",
        "already_ended" => "nobody held it any more",
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
            writeln!(f, "its targets and VMs then:")?;
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
