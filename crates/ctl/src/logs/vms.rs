//! What each VM has in force, according to its log.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use serde_json::{Value, json};

use super::LogLine;
use super::line::format_time;
use crate::Outcome;
use crate::report::{Report, columns};

/// Comparison of the VMs of a fleet.
#[derive(Debug)]
pub struct VmsReport {
    /// State of each VM, sorted by name.
    pub vms: Vec<VmState>,
}

/// State of one VM according to its log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmState {
    /// Name of the VM.
    pub vm: String,
    /// Time of the last line since the Unix epoch.
    pub last: Duration,
    /// Version of the configuration in force, and the time since which it is in force.
    pub config: Option<(u64, Duration)>,
    /// Source of changes: the store or a peer.
    pub feed: Option<String>,
    /// Whether the VM is ready.
    pub is_ready: bool,
    /// Whether calls to the store fail.
    pub is_store_lost: bool,
    /// Number of process starts.
    pub starts: usize,
    /// Whether the process has completed a planned stop.
    pub is_stopped: bool,
}

impl VmsReport {
    /// Builds the comparison from lines sorted by time.
    pub fn new(lines: &[LogLine]) -> Self {
        let mut vms: Vec<VmState> = Vec::new();
        for line in lines {
            let index = match vms.binary_search_by(|state| state.vm.cmp(&line.vm)) {
                Ok(index) => index,
                Err(index) => {
                    vms.insert(index, VmState::new(&line.vm));
                    index
                }
            };
            vms[index].apply(line);
        }
        Self { vms }
    }

    /// Returns the newest version in force in any VM.
    pub fn newest(&self) -> Option<u64> {
        let versions = self.vms.iter().filter_map(|vm| Some(vm.config.as_ref()?.0));
        versions.max()
    }

    /// Returns how a VM differs from its expected state; empty if it does not differ.
    fn differences(&self, vm: &VmState) -> Vec<&'static str> {
        let mut differences = Vec::new();
        if vm.is_stopped {
            return vec!["stopped"];
        }
        if vm.config.as_ref().map(|(version, _)| *version) != self.newest() {
            differences.push("older configuration");
        }
        if !vm.is_ready {
            differences.push("not ready");
        }
        if vm.is_store_lost {
            differences.push("store lost");
        }
        differences
    }
}

impl VmState {
    fn new(vm: &str) -> Self {
        Self {
            vm: vm.into(),
            ..Self::default()
        }
    }

    fn apply(&mut self, line: &LogLine) {
        self.last = line.at;
        match line.event.as_str() {
            "entry_started" => {
                *self = Self {
                    starts: self.starts + 1,
                    last: line.at,
                    ..Self::new(&self.vm)
                };
            }
            "config_in_force" => {
                let version = line.field("version").and_then(|text| text.parse().ok());
                self.config = version.map(|version| (version, line.at));
            }
            "feed_changed" => self.feed = line.field("step").map(str::to_owned),
            "readiness_changed" => self.is_ready = line.has("ready", "true"),
            "store_lost" => self.is_store_lost = true,
            "store_regained" => self.is_store_lost = false,
            "stopped" => self.is_stopped = true,
            _ => {}
        }
    }
}

impl Display for VmsReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let header = [
            "VM",
            "VERSION",
            "SINCE",
            "FEED",
            "STARTS",
            "LAST LINE",
            "DIFFERS",
        ];
        let mut rows = vec![header.map(str::to_owned).to_vec()];
        for vm in &self.vms {
            let (version, since) = match &vm.config {
                Some((version, since)) => (version.to_string(), format_time(*since)),
                None => ("?".into(), "?".into()),
            };
            rows.push(vec![
                vm.vm.clone(),
                version,
                since,
                vm.feed.clone().unwrap_or_else(|| "?".into()),
                vm.starts.to_string(),
                format_time(vm.last),
                self.differences(vm).join("; "),
            ]);
        }
        let newest = self
            .newest()
            .map_or("none".into(), |newest| newest.to_string());
        writeln!(f, "{}", columns(&rows))?;
        let count = self.vms.len();
        write!(f, "newest={newest} vms={count} result={}", self.outcome())
    }
}

impl Report for VmsReport {
    fn to_json(&self) -> Value {
        let row = |vm: &VmState| {
            json!({
                "vm": vm.vm,
                "version": vm.config.as_ref().map(|(version, _)| version),
                "since": vm.config.as_ref().map(|(_, since)| format_time(*since)),
                "feed": vm.feed,
                "ready": vm.is_ready,
                "starts": vm.starts,
                "last": format_time(vm.last),
                "differs": self.differences(vm),
            })
        };
        json!({
            "newest": self.newest(),
            "vms": self.vms.iter().map(row).collect::<Value>(),
        })
    }

    fn outcome(&self) -> Outcome {
        let is_different = |vm: &VmState| !vm.is_stopped && !self.differences(vm).is_empty();
        match self.newest() {
            None => Outcome::Unknown,
            Some(_) if self.vms.iter().any(is_different) => Outcome::Failed,
            Some(_) => Outcome::Good,
        }
    }
}
