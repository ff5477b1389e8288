//! `status`: compares what each VM has in force and shows the differences.

mod difference;

pub use difference::Difference;

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bambooseam_types::Revision;
use clap::ArgMatches;
use serde_json::{Value, json};

use crate::Outcome;
use crate::documents::single_finding;
use crate::fleet::{Decision, Evacuated, VmResponse, fetch_all, read_fleet, since_epoch};
use crate::report::{BadInput, Report, columns, print};
use difference::Majority;

/// Programs of a VM, in the order of the table columns.
const PROGRAMS: [&str; 3] = ["agent", "forwarder", "proxy"];

/// Comparison of the VMs of a fleet.
#[derive(Debug)]
pub struct StatusReport {
    /// Newest revision in force in any agent.
    pub newest: Option<Revision>,
    /// The VMs, in the order of the query.
    pub vms: Vec<VmRow>,
    events: usize,
}

/// A VM with its differences from the rest of the fleet.
#[derive(Debug)]
pub struct VmRow {
    /// Responses of its programs.
    pub response: VmResponse,
    /// Differences from the rest of the fleet; empty if there are none.
    pub differences: Vec<Difference>,
}

/// A decision and the program that made it.
struct ProgramEvent<'a> {
    program: &'static str,
    event: &'a Decision,
}

/// Runs the subcommand.
pub async fn run(matches: &ArgMatches) -> Outcome {
    let vms = match read_fleet(matches) {
        Ok(vms) if vms.is_empty() => return print(matches, &BadInput(no_vm_finding())),
        Ok(vms) => vms,
        Err(findings) => return print(matches, &BadInput(findings)),
    };
    let responses = fetch_all(&vms, response_timeout(matches)).await;
    let events = matches.get_one("events").copied().unwrap_or_default();
    print(matches, &StatusReport::new(responses, events))
}

/// Returns the timeout for one response from the command line; 2 s by default.
pub fn response_timeout(matches: &ArgMatches) -> Duration {
    let timeout = matches.get_one::<humantime::Duration>("patience");
    timeout.map_or(Duration::from_secs(2), |timeout| (*timeout).into())
}

/// Returns the finding that the command line selects no VM.
pub fn no_vm_finding() -> bambooseam_types::Findings {
    single_finding("command line", "no VM", "--vm, --fleet or --settings", "")
}

impl StatusReport {
    /// Compares the responses of all VMs; the last `events` decisions of each VM are shown.
    pub fn new(responses: Vec<VmResponse>, events: usize) -> Self {
        let newest = responses
            .iter()
            .filter_map(|r| r.agent.status()?.revision)
            .max();
        let majority = Majority::of(&responses, newest);
        let vms = responses
            .into_iter()
            .map(|response| VmRow {
                differences: majority.differences(&response),
                response,
            })
            .collect();
        Self {
            newest,
            vms,
            events,
        }
    }

    /// Returns the evacuations that agents report, each with the VMs of these agents.
    fn evacuated(&self) -> Vec<(&Evacuated, Vec<&str>)> {
        let mut evacuations: Vec<(&Evacuated, Vec<&str>)> = Vec::new();
        for VmRow { response, .. } in &self.vms {
            let reported = response.agent.status().and_then(|s| s.evacuated.as_ref());
            for evacuated in reported.into_iter().flatten() {
                match evacuations.binary_search_by(|(other, _)| (*other).cmp(evacuated)) {
                    Ok(at) => evacuations[at].1.push(response.vm()),
                    Err(at) => evacuations.insert(at, (evacuated, vec![response.vm()])),
                }
            }
        }
        evacuations
    }

    /// Returns whether a queried program is unreachable.
    fn has_unreachable(&self) -> bool {
        let is_unreachable =
            |difference: &Difference| matches!(difference, Difference::Unreachable(..));
        self.vms
            .iter()
            .any(|vm| vm.differences.iter().any(is_unreachable))
    }

    /// Returns whether a VM differs from the rest of the fleet.
    fn has_difference(&self) -> bool {
        let is_difference =
            |difference: &Difference| !matches!(difference, Difference::Unreachable(..));
        self.vms
            .iter()
            .any(|vm| vm.differences.iter().any(is_difference))
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
        for (evacuated, vms) in self.evacuated() {
            let Evacuated { zone, since, by } = evacuated;
            writeln!(
                f,
                "zone={zone} evacuated_since={since} evacuated_by={by:?} vms={}",
                vms.len()
            )?;
        }
        let newest = self
            .newest
            .map_or("none".into(), |newest| newest.to_string());
        let reached = self
            .vms
            .iter()
            .filter(|vm| vm.response.agent.status().is_some());
        write!(
            f,
            "newest_revision={newest} vms={} reached={} result={}",
            self.vms.len(),
            reached.count(),
            self.outcome()
        )
    }
}

impl ProgramEvent<'_> {
    fn to_json(&self) -> Value {
        json!({
            "program": self.program,
            "time_ms": self.event.time_ms,
            "kind": self.event.kind,
            "cause": self.event.cause,
            "revision": self.event.revision.get(),
        })
    }
}

impl VmRow {
    /// Returns the VM as a row of the table.
    fn cells(&self) -> Vec<String> {
        let agent = self.response.agent.status();
        let text = |value: Option<&String>| value.cloned().unwrap_or_else(|| "?".into());
        let mut cells = vec![
            self.response.vm().to_owned(),
            text(agent.and_then(|agent| agent.zone.as_ref())),
            text(agent.and_then(|agent| agent.preset.as_ref())),
            agent
                .and_then(|agent| agent.since_ms)
                .map_or("?".into(), age),
        ];
        let platform = agent.and_then(|agent| agent.raw["platform"].as_str());
        cells.push(platform.unwrap_or("?").to_owned());
        for program in PROGRAMS {
            let revision = self.response.revision_of(program);
            cells.push(revision.map_or("?".into(), |revision| revision.to_string()));
        }
        let differences: Vec<String> = self.differences.iter().map(Difference::to_string).collect();
        cells.push(differences.join("; "));
        cells
    }

    /// Returns the decisions of the VM's programs, oldest first.
    fn events(&self) -> Vec<ProgramEvent<'_>> {
        let response = &self.response;
        let program_responses = [&response.agent, &response.forwarder, &response.proxy];
        let mut events = Vec::new();
        for (program, program_response) in PROGRAMS.into_iter().zip(program_responses) {
            let Some(status) = program_response.status() else {
                continue;
            };
            for event in &status.events {
                events.push(ProgramEvent { program, event });
            }
        }
        events.sort_by_key(|event| event.event.time_ms);
        events
    }

    /// Writes the findings of refused documents and the last `count` decisions.
    fn write_details(&self, f: &mut Formatter<'_>, count: usize) -> fmt::Result {
        let Some(agent) = self.response.agent.status() else {
            return Ok(());
        };
        let vm = self.response.vm();
        for line in &agent.refused {
            writeln!(f, "vm={vm} refused={line:?}")?;
        }
        let events = self.events();
        for ProgramEvent { program, event } in &events[events.len().saturating_sub(count)..] {
            writeln!(
                f,
                "vm={vm} program={program} event={} ago={} revision={} cause={:?}",
                event.kind,
                age(event.time_ms),
                event.revision,
                event.cause
            )?;
        }
        Ok(())
    }

    fn to_json(&self) -> Value {
        let agent = self.response.agent.status();
        let differences: Vec<String> = self.differences.iter().map(Difference::to_string).collect();
        let mut value = json!({
            "vm": self.response.vm(),
            "reached": agent.is_some(),
            "zone": agent.and_then(|agent| agent.zone.as_deref()),
            "preset": agent.and_then(|agent| agent.preset.as_deref()),
            "platform": agent.map_or(&Value::Null, |agent| &agent.raw["platform"]),
            "in_force_since_ms": agent.and_then(|agent| agent.since_ms),
            "differs": differences,
        });
        for program in PROGRAMS {
            let revision = self.response.revision_of(program);
            value["revisions"][program] = revision.map(Revision::get).into();
        }
        for key in ["vms", "refused"] {
            value[key] = agent.map_or(Value::Null, |agent| agent.raw[key].clone());
        }
        value["events"] = self.events().iter().map(ProgramEvent::to_json).collect();
        value
    }
}

/// Formats the time since `time_ms` in whole seconds.
fn age(time_ms: u64) -> String {
    let age = since_epoch().saturating_sub(Duration::from_millis(time_ms));
    humantime::format_duration(Duration::from_secs(age.as_secs())).to_string()
}

impl Report for StatusReport {
    fn to_json(&self) -> Value {
        let evacuated = self.evacuated().into_iter().map(|(evacuated, vms)| {
            let Evacuated { zone, since, by } = evacuated;
            json!({ "zone": zone, "since": since, "by": by, "vms": vms })
        });
        json!({
            "newest_revision": self.newest.map(Revision::get),
            "evacuated": evacuated.collect::<Value>(),
            "vms": self.vms.iter().map(VmRow::to_json).collect::<Value>(),
        })
    }

    /// A known difference takes precedence over an unreachable program.
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
