//! What each VM has in force, as its log says.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use serde_json::{Value, json};

use super::LogLine;
use super::line::format_time;
use crate::Outcome;
use crate::report::{Report, columns};

/// The fleet side by side.
#[derive(Debug)]
pub struct VmsReport {
    /// The VMs, by name.
    pub vms: Vec<VmState>,
}

/// What one VM last logged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmState {
    /// Its name.
    pub vm: String,
    /// Time of its last line, since 1970.
    pub last: Duration,
    /// Version of the configuration in force, with since when.
    pub config: Option<(u64, Duration)>,
    /// How it gets changes: from the store, or from a peer.
    pub feed: Option<String>,
    /// Whether it is ready.
    pub is_ready: bool,
    /// Whether its calls to the store fail.
    pub is_store_lost: bool,
    /// Starts of its process.
    pub starts: usize,
    /// Whether its process has ended as planned.
    pub is_stopped: bool,
}

impl VmsReport {
    /// Puts VMs side by side, from lines sorted by time.
    pub fn new(lines: &[LogLine]) -> Self {
        let mut vms: Vec<VmState> = Vec::new();
        for line in lines {
            let at = match vms.binary_search_by(|held| held.vm.cmp(&line.vm)) {
                Ok(at) => at,
                Err(at) => {
                    vms.insert(at, VmState::of(&line.vm));
                    at
                }
            };
            vms[at].take(line);
        }
        Self { vms }
    }

    /// Newest version that any VM has in force.
    pub fn newest(&self) -> Option<u64> {
        let versions = self.vms.iter().filter_map(|vm| Some(vm.config.as_ref()?.0));
        versions.max()
    }

    /// How a VM differs from what it should be; empty when it does not.
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
    fn of(vm: &str) -> Self {
        Self {
            vm: vm.into(),
            ..Self::default()
        }
    }

    fn take(&mut self, line: &LogLine) {
        self.last = line.at;
        match line.event.as_str() {
            "entry_started" => {
                *self = Self {
                    starts: self.starts + 1,
                    last: line.at,
                    ..Self::of(&self.vm)
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
        let head = [
            "VM",
            "VERSION",
            "SINCE",
            "FEED",
            "STARTS",
            "LAST LINE",
            "DIFFERS",
        ];
        let mut rows = vec![head.map(str::to_owned).to_vec()];
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
