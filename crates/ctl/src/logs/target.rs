//! Why a target gets no work.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bambooseam_types::TargetId;
use serde_json::{Value, json};

use super::LogLine;
use super::line::format_time;
use crate::Outcome;
use crate::report::{Report, columns};

/// What each VM last said of a target.
#[derive(Debug)]
pub struct TargetReport {
    target: TargetId,
    /// What each VM believes, by name.
    pub statuses: Vec<TargetStatus>,
}

/// What one VM last said of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStatus {
    /// The VM.
    pub vm: String,
    /// Since when, by its clock.
    pub since: Duration,
    /// Whether the VM places new flows there.
    pub takes_flows: bool,
    /// Why, or why not.
    pub reason: String,
    /// Flows that the VM logged as placed there.
    pub placed: usize,
    /// Its token there.
    token: Option<String>,
}

impl TargetReport {
    /// Puts the statuses of all VMs together, from lines sorted by time.
    pub fn new(lines: &[LogLine], target: &TargetId) -> Self {
        let mut statuses: Vec<TargetStatus> = Vec::new();
        for line in lines {
            if line.event == "entry_started" {
                // The new process knows nothing of what the one before did.
                statuses.retain(|held| held.vm != line.vm);
            }
            let at = statuses.binary_search_by(|held| held.vm.cmp(&line.vm));
            if line.has("target", target.as_str())
                && let Some((takes_flows, reason)) = effect_of(line)
            {
                let at = at.unwrap_or_else(|at| {
                    statuses.insert(at, TargetStatus::new(&line.vm));
                    at
                });
                let belief = &mut statuses[at];
                belief.since = line.at;
                belief.takes_flows = takes_flows;
                belief.reason = reason;
                if let Some(token) = line.field("token") {
                    belief.token = Some(token.into());
                }
            } else if let Ok(at) = at
                && matches!(line.event.as_str(), "flow_placed" | "flow_moved")
                && line.field("token") == statuses[at].token.as_deref()
            {
                statuses[at].placed += 1;
            }
        }
        Self {
            target: target.clone(),
            statuses,
        }
    }
}

impl TargetStatus {
    fn new(vm: &str) -> Self {
        Self {
            vm: vm.into(),
            since: Duration::ZERO,
            takes_flows: false,
            reason: String::new(),
            placed: 0,
            token: None,
        }
    }
}

/// Whether a line makes its VM place new flows at the target, and why; `None` when it changes
/// nothing.
fn effect_of(line: &LogLine) -> Option<(bool, String)> {
    Some(match line.event.as_str() {
        "target_changed" if line.has("state", "live") => (true, "its entry says live".into()),
        "target_changed" => (false, "it has announced that it leaves".into()),
        "target_removed" => {
            let outcome = line.field("outcome").unwrap_or("ended");
            (
                outcome == "lapsed",
                format!("its entry was removed: {outcome}"),
            )
        }
        "target_ended" => (false, "its entry did not come back".into()),
        "target_silent" => (false, "it does not answer".into()),
        "target_trusted" => (true, "it answers again, or is tried".into()),
        _ => return None,
    })
}

impl Display for TargetReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let head = ["VM", "NEW FLOWS", "SINCE", "PLACED", "WHY"];
        let mut rows = vec![head.map(str::to_owned).to_vec()];
        for belief in &self.statuses {
            let takes = match belief.takes_flows {
                true => "yes",
                false => "no",
            };
            rows.push(vec![
                belief.vm.clone(),
                takes.into(),
                format_time(belief.since),
                belief.placed.to_string(),
                belief.reason.clone(),
            ]);
        }
        writeln!(f, "target={}", self.target)?;
        writeln!(f, "{}", columns(&rows))?;
        write!(f, "vms={} result={}", self.statuses.len(), self.outcome())
    }
}

impl Report for TargetReport {
    fn to_json(&self) -> Value {
        let row = |belief: &TargetStatus| {
            json!({
                "vm": belief.vm,
                "takes_flows": belief.takes_flows,
                "since": format_time(belief.since),
                "placed": belief.placed,
                "reason": belief.reason,
            })
        };
        json!({
            "target": self.target.to_string(),
            "vms": self.statuses.iter().map(row).collect::<Value>(),
        })
    }

    /// Good when every VM that heard of the target places flows there.
    fn outcome(&self) -> Outcome {
        match self.statuses.as_slice() {
            [] => Outcome::Unknown,
            statuses if statuses.iter().all(|belief| belief.takes_flows) => Outcome::Good,
            _ => Outcome::Failed,
        }
    }
}
