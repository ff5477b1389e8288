//! `status`: what each VM has in force, side by side, with marks on those that differ.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bambooseam_types::Revision;
use clap::ArgMatches;
use serde_json::{Value, json};

use crate::Outcome;
use crate::documents::single;
use crate::fleet::{Health, ProgramStatus, Reading, VmReading, ask_all, read_fleet, since_epoch};
use crate::report::{BadInput, Report, columns, print};

/// Programs of a VM, in the order they are shown.
const PROGRAMS: [&str; 3] = ["agent", "forwarder", "proxy"];

/// The fleet side by side.
#[derive(Debug)]
pub struct StatusReport {
    /// Newest revision that any agent has in force.
    pub newest: Option<Revision>,
    /// The VMs, in the order they were asked for.
    pub vms: Vec<VmRow>,
    events: usize,
}

/// One VM and how it differs.
#[derive(Debug)]
pub struct VmRow {
    /// What its programs told.
    pub reading: VmReading,
    /// How it differs from the rest; empty when it does not.
    pub marks: Vec<Mark>,
}

/// How a VM differs from the rest of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mark {
    /// A program can't be reached.
    Unreachable(&'static str, String),
    /// A program has an older revision than the newest, or none.
    Behind(&'static str, Option<Revision>),
    /// Another document than most agents have under the same revision.
    Document(String),
    /// Sees a VM's health otherwise than most agents.
    Health(Health),
    /// Has refused documents.
    Refused(usize),
}

/// Runs the subcommand.
pub async fn run(matches: &ArgMatches) -> Outcome {
    let vms = match read_fleet(matches) {
        Ok(vms) if vms.is_empty() => return print(matches, &BadInput(nobody_named())),
        Ok(vms) => vms,
        Err(findings) => return print(matches, &BadInput(findings)),
    };
    let readings = ask_all(&vms, patience(matches)).await;
    let events = matches.get_one("events").copied().unwrap_or_default();
    print(matches, &StatusReport::new(readings, events))
}

/// Longest wait for one answer.
pub fn patience(matches: &ArgMatches) -> Duration {
    let given = matches.get_one::<humantime::Duration>("patience");
    given.map_or(Duration::from_secs(2), |given| (*given).into())
}

/// A finding that the command line names no VM.
pub fn nobody_named() -> bambooseam_types::Findings {
    single("command line", "no VM", "--vm, --fleet or --settings", "")
}

impl StatusReport {
    /// Puts readings side by side; the latest `events` decisions of each VM are shown.
    pub fn new(readings: Vec<VmReading>, events: usize) -> Self {
        let newest = readings
            .iter()
            .filter_map(|r| r.agent.status()?.revision)
            .max();
        let common = Common::of(&readings, newest);
        let vms = readings
            .into_iter()
            .map(|reading| VmRow {
                marks: common.marks(&reading),
                reading,
            })
            .collect();
        Self {
            newest,
            vms,
            events,
        }
    }

    /// Whether some program that was asked gave no status.
    fn has_unreachable(&self) -> bool {
        let is_unreachable = |mark: &Mark| matches!(mark, Mark::Unreachable(..));
        self.vms
            .iter()
            .any(|vm| vm.marks.iter().any(is_unreachable))
    }

    /// Whether some VM differs from the rest.
    fn has_difference(&self) -> bool {
        let is_difference = |mark: &Mark| !matches!(mark, Mark::Unreachable(..));
        self.vms.iter().any(|vm| vm.marks.iter().any(is_difference))
    }
}

/// What most agents tell.
struct Common {
    newest: Option<Revision>,
    document: Option<String>,
    health: Vec<Health>,
}

impl Common {
    fn of(readings: &[VmReading], newest: Option<Revision>) -> Self {
        let agents: Vec<&ProgramStatus> =
            readings.iter().filter_map(|r| r.agent.status()).collect();
        let current = agents.iter().filter(|agent| agent.revision == newest);
        let held: Vec<String> = current.filter_map(|agent| document_of(agent)).collect();
        let held: Vec<&str> = held.iter().map(String::as_str).collect();
        let mut health = Vec::new();
        for vm in seen_vms(&agents) {
            let views = agents.iter().filter_map(|agent| health_of(agent, &vm));
            let states: Vec<&str> = views.map(|view| view.health.as_str()).collect();
            health.push(Health {
                health: most_common(&states).unwrap_or_default().into(),
                cause: String::new(),
                vm,
            });
        }
        Self {
            newest,
            document: most_common(&held).map(str::to_owned),
            health,
        }
    }

    /// How one VM differs.
    fn marks(&self, reading: &VmReading) -> Vec<Mark> {
        let mut marks = Vec::new();
        let answers = [&reading.agent, &reading.forwarder, &reading.proxy];
        for (program, answer) in PROGRAMS.into_iter().zip(answers) {
            if let Some(error) = answer.error() {
                marks.push(Mark::Unreachable(program, error.to_string()));
                continue;
            }
            let revision = reading.revision_of(program);
            let is_told = matches!(answer, Reading::Known(_)) || revision.is_some();
            if is_told && revision < self.newest {
                marks.push(Mark::Behind(program, revision));
            }
        }
        let Some(agent) = reading.agent.status() else {
            return marks;
        };
        let document = document_of(agent);
        if agent.revision == self.newest && document != self.document {
            marks.push(Mark::Document(document.unwrap_or_default()));
        }
        for usual in &self.health {
            let Some(own) = health_of(agent, &usual.vm) else {
                continue;
            };
            if own.health != usual.health {
                marks.push(Mark::Health(own.clone()));
            }
        }
        if !agent.refused.is_empty() {
            marks.push(Mark::Refused(agent.refused.len()));
        }
        marks
    }
}

/// Preset and digest that an agent has in force.
fn document_of(agent: &ProgramStatus) -> Option<String> {
    let preset = agent.preset.as_deref()?;
    let digest = agent.digest.as_deref().unwrap_or("no digest");
    Some(format!("{preset}, {digest}"))
}

/// All VMs that any agent speaks of, sorted.
fn seen_vms(agents: &[&ProgramStatus]) -> Vec<String> {
    let all = agents.iter().flat_map(|agent| &agent.health);
    let mut vms: Vec<String> = all.map(|held| held.vm.clone()).collect();
    vms.sort();
    vms.dedup();
    vms
}

fn health_of<'a>(agent: &'a ProgramStatus, vm: &str) -> Option<&'a Health> {
    agent.health.iter().find(|held| held.vm == vm)
}

/// The value that stands most often; the first in order among equals.
fn most_common<'a>(values: &[&'a str]) -> Option<&'a str> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let mut best = None;
    let mut most = 0;
    for run in sorted.chunk_by(|a, b| a == b) {
        if run.len() > most {
            most = run.len();
            best = run.first().copied();
        }
    }
    best
}

impl Display for Mark {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(program, cause) => write!(f, "{program} unreachable ({cause})"),
            Self::Behind(program, Some(revision)) => {
                write!(f, "{program} behind at revision {revision}")
            }
            Self::Behind(program, None) => write!(f, "{program} has no configuration"),
            Self::Document(held) => write!(f, "another document under this revision ({held})"),
            Self::Health(held) => {
                write!(f, "sees {} as {}", held.vm, held.health)?;
                match held.cause.is_empty() {
                    true => Ok(()),
                    false => write!(f, " ({})", held.cause),
                }
            }
            Self::Refused(count) => write!(f, "{count} findings in refused documents"),
        }
    }
}

impl Display for StatusReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut rows = vec![
            [
                "VM",
                "ZONE",
                "PRESET",
                "SINCE",
                "PLATFORM",
                "AGENT",
                "FORWARDER",
                "PROXY",
                "DIFFERS",
            ]
            .map(str::to_owned)
            .to_vec(),
        ];
        rows.extend(self.vms.iter().map(VmRow::cells));
        writeln!(f, "{}", columns(&rows))?;
        for vm in &self.vms {
            vm.write_details(f, self.events)?;
        }
        let newest = self
            .newest
            .map_or("none".into(), |newest| newest.to_string());
        let reached = self
            .vms
            .iter()
            .filter(|vm| vm.reading.agent.status().is_some());
        write!(
            f,
            "newest_revision={newest} vms={} reached={} result={}",
            self.vms.len(),
            reached.count(),
            self.outcome()
        )
    }
}

impl VmRow {
    /// The VM as a row of the table.
    fn cells(&self) -> Vec<String> {
        let agent = self.reading.agent.status();
        let text = |value: Option<&String>| value.cloned().unwrap_or_else(|| "?".into());
        let mut cells = vec![
            self.reading.vm().to_owned(),
            text(agent.and_then(|agent| agent.zone.as_ref())),
            text(agent.and_then(|agent| agent.preset.as_ref())),
            agent
                .and_then(|agent| agent.since_ms)
                .map_or("?".into(), age),
        ];
        let platform = agent.and_then(|agent| agent.raw["platform"].as_str());
        cells.push(platform.unwrap_or("?").to_owned());
        for program in PROGRAMS {
            let revision = self.reading.revision_of(program);
            cells.push(revision.map_or("?".into(), |revision| revision.to_string()));
        }
        let marks: Vec<String> = self.marks.iter().map(Mark::to_string).collect();
        cells.push(marks.join("; "));
        cells
    }

    /// Writes refused documents and the latest decisions.
    fn write_details(&self, f: &mut Formatter<'_>, events: usize) -> fmt::Result {
        let Some(agent) = self.reading.agent.status() else {
            return Ok(());
        };
        let vm = self.reading.vm();
        for line in &agent.refused {
            writeln!(f, "vm={vm} refused={line:?}")?;
        }
        let skip = agent.events.len().saturating_sub(events);
        for event in &agent.events[skip..] {
            writeln!(
                f,
                "vm={vm} event={} ago={} revision={} cause={:?}",
                event.kind,
                age(event.time_ms),
                event.revision,
                event.cause
            )?;
        }
        Ok(())
    }

    fn to_json(&self) -> Value {
        let agent = self.reading.agent.status();
        let marks: Vec<String> = self.marks.iter().map(Mark::to_string).collect();
        let mut value = json!({
            "vm": self.reading.vm(),
            "reached": agent.is_some(),
            "zone": agent.and_then(|agent| agent.zone.as_deref()),
            "preset": agent.and_then(|agent| agent.preset.as_deref()),
            "platform": agent.map_or(&Value::Null, |agent| &agent.raw["platform"]),
            "in_force_since_ms": agent.and_then(|agent| agent.since_ms),
            "differs": marks,
        });
        for program in PROGRAMS {
            let revision = self.reading.revision_of(program);
            value["revisions"][program] = revision.map(Revision::get).into();
        }
        for key in ["vms", "refused", "events"] {
            value[key] = agent.map_or(Value::Null, |agent| agent.raw[key].clone());
        }
        value
    }
}

/// Time since `time_ms`, in whole seconds.
fn age(time_ms: u64) -> String {
    let age = since_epoch().saturating_sub(Duration::from_millis(time_ms));
    humantime::format_duration(Duration::from_secs(age.as_secs())).to_string()
}

impl Report for StatusReport {
    fn to_json(&self) -> Value {
        json!({
            "newest_revision": self.newest.map(Revision::get),
            "vms": self.vms.iter().map(VmRow::to_json).collect::<Value>(),
        })
    }

    /// A difference that is known outweighs a VM that is not.
    fn outcome(&self) -> Outcome {
        if self.has_difference() {
            return Outcome::Failed;
        }
        match self.has_unreachable() || self.newest.is_none() {
            true => Outcome::Unknown,
            false => Outcome::Good,
        }
    }
}
