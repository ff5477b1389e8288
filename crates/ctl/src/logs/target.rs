//! Why a target receives no new flows.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bambooseam_types::TargetId;
use serde_json::{Value, json};

use super::LogLine;
use super::line::format_time;
use crate::Outcome;
use crate::report::{Report, columns};

/// What each VM last logged about a target.
#[derive(Debug)]
pub struct TargetReport {
    target: TargetId,
    /// Status in each VM, sorted by VM.
    pub statuses: Vec<TargetStatus>,
}

/// Status of a target in one VM, according to the VM's last line about the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStatus {
    /// Name of the VM.
    pub vm: String,
    /// Time of that line since the Unix epoch, according to the clock of the VM.
    pub since: Duration,
    /// Whether the VM places new flows on the target.
    pub takes_flows: bool,
    /// Why the VM does or does not place new flows on the target.
    pub reason: String,
    /// Number of flows that the VM logged as placed on the target.
    pub placed: usize,
    /// Tokens of the target in the VM's log, one for each form.
    tokens: Vec<String>,
}

impl TargetReport {
    /// Collects the status in all VMs from lines sorted by time.
    pub fn new(lines: &[LogLine], target: &TargetId) -> Self {
        let mut statuses: Vec<TargetStatus> = Vec::new();
        for line in lines {
            if line.event == "entry_started" {
                // A restarted process has no state from the previous process.
                statuses.retain(|status| status.vm != line.vm);
            }
            let index = statuses.binary_search_by(|status| status.vm.cmp(&line.vm));
            if line.has("target", target.as_str())
                && let Some((takes_flows, reason)) = effect_of(line)
            {
                let index = index.unwrap_or_else(|index| {
                    statuses.insert(index, TargetStatus::new(&line.vm));
                    index
                });
                let status = &mut statuses[index];
                status.since = line.at;
                status.takes_flows = takes_flows;
                status.reason = reason;
                if line.field("token").is_some() {
                    status.tokens = tokens_of(line).map(str::to_owned).collect();
                }
            } else if let Ok(index) = index
                && matches!(line.event.as_str(), "flow_placed" | "flow_moved")
                && let Some(token) = line.field("token")
                && statuses[index].tokens.iter().any(|known| known == token)
            {
                statuses[index].placed += 1;
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
            tokens: Vec::new(),
        }
    }
}

/// Returns the tokens of the target that a line is about, one for each form.
pub(super) fn tokens_of(line: &LogLine) -> impl Iterator<Item = &str> {
    ["token", "numbered"]
        .into_iter()
        .filter_map(|name| line.field(name))
}

/// Returns whether the VM places new flows on the target after this line, and why; `None` if the
/// line does not change the status.
fn effect_of(line: &LogLine) -> Option<(bool, String)> {
    Some(match line.event.as_str() {
        "target_changed" if line.has("state", "live") => {
            (true, "the target's entry is live".into())
        }
        "target_changed" => (false, "the target's entry is leaving".into()),
        "target_removed" => {
            let outcome = line.field("outcome").unwrap_or("ended");
            (
                outcome == "lapsed",
                format!("the target's entry was removed: {outcome}"),
            )
        }
        "target_ended" => (false, "the target's entry was not registered again".into()),
        "target_silent" => (false, "the target does not respond".into()),
        "target_trusted" => (
            true,
            "the target responds again, or is being retried".into(),
        ),
        _ => return None,
    })
}

impl Display for TargetReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let header = ["VM", "NEW FLOWS", "SINCE", "PLACED", "WHY"];
        let mut rows = vec![header.map(str::to_owned).to_vec()];
        for status in &self.statuses {
            let takes_flows = match status.takes_flows {
                true => "yes",
                false => "no",
            };
            rows.push(vec![
                status.vm.clone(),
                takes_flows.into(),
                format_time(status.since),
                status.placed.to_string(),
                status.reason.clone(),
            ]);
        }
        writeln!(f, "target={}", self.target)?;
        writeln!(f, "{}", columns(&rows))?;
        write!(f, "vms={} result={}", self.statuses.len(), self.outcome())
    }
}

impl Report for TargetReport {
    fn to_json(&self) -> Value {
        let row = |status: &TargetStatus| {
            json!({
                "vm": status.vm,
                "takes_flows": status.takes_flows,
                "since": format_time(status.since),
                "placed": status.placed,
                "reason": status.reason,
            })
        };
        json!({
            "target": self.target.to_string(),
            "vms": self.statuses.iter().map(row).collect::<Value>(),
        })
    }

    /// Good if every VM that logged the target places new flows on it.
    fn outcome(&self) -> Outcome {
        match self.statuses.as_slice() {
            [] => Outcome::Unknown,
            statuses if statuses.iter().all(|status| status.takes_flows) => Outcome::Good,
            _ => Outcome::Failed,
        }
    }
}
