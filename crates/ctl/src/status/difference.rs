//! Differences of VMs from the newest revision and from the majority of agents.

use std::fmt::{self, Display, Formatter};

use bambooseam_types::Revision;

use super::PROGRAMS;
use crate::fleet::{Health, ProgramResponse, ProgramStatus, VmResponse};

/// Difference of a VM from the rest of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Difference {
    /// A program can't be reached.
    Unreachable(&'static str, String),
    /// A program has an older revision than the newest one, or no configuration.
    Behind(&'static str, Option<Revision>),
    /// The preset or its digest differs from that of most agents under the same revision.
    Document(String),
    /// The agent reports a different health of a VM than most agents do.
    Health(Health),
    /// The agent has other zones evacuated than most agents have.
    Evacuated(String),
    /// The agent has refused documents that have this many findings.
    Refused(usize),
}

/// State reported by most agents.
pub(super) struct Majority {
    newest: Option<Revision>,
    document: Option<String>,
    health: Vec<Health>,
    /// Names of the evacuated zones, separated by commas.
    evacuated: Option<String>,
}

impl Majority {
    pub(super) fn of(responses: &[VmResponse], newest: Option<Revision>) -> Self {
        let agents: Vec<&ProgramStatus> =
            responses.iter().filter_map(|r| r.agent.status()).collect();
        let current = agents.iter().filter(|agent| agent.revision == newest);
        let documents: Vec<String> = current.filter_map(|agent| document_of(agent)).collect();
        let documents: Vec<&str> = documents.iter().map(String::as_str).collect();
        let mut health = Vec::new();
        for vm in reported_vms(&agents) {
            let reports = agents.iter().filter_map(|agent| health_of(agent, &vm));
            let states: Vec<&str> = reports.map(|report| report.health.as_str()).collect();
            health.push(Health {
                health: most_common(&states).unwrap_or_default().into(),
                cause: String::new(),
                vm,
            });
        }
        let evacuated: Vec<String> = agents.iter().filter_map(|agent| zones_of(agent)).collect();
        let evacuated: Vec<&str> = evacuated.iter().map(String::as_str).collect();
        Self {
            newest,
            document: most_common(&documents).map(str::to_owned),
            health,
            evacuated: most_common(&evacuated).map(str::to_owned),
        }
    }

    /// Returns the differences of one VM.
    pub(super) fn differences(&self, response: &VmResponse) -> Vec<Difference> {
        let mut differences = Vec::new();
        let program_responses = [&response.agent, &response.forwarder, &response.proxy];
        for (program, program_response) in PROGRAMS.into_iter().zip(program_responses) {
            if let Some(error) = program_response.error() {
                differences.push(Difference::Unreachable(program, error.to_string()));
                continue;
            }
            let revision = response.revision_of(program);
            let is_known =
                matches!(program_response, ProgramResponse::Known(_)) || revision.is_some();
            if is_known && revision < self.newest {
                differences.push(Difference::Behind(program, revision));
            }
        }
        let Some(agent) = response.agent.status() else {
            return differences;
        };
        let document = document_of(agent);
        if agent.revision == self.newest && document != self.document {
            differences.push(Difference::Document(document.unwrap_or_default()));
        }
        for common in &self.health {
            let Some(reported) = health_of(agent, &common.vm) else {
                continue;
            };
            if reported.health != common.health {
                differences.push(Difference::Health(reported.clone()));
            }
        }
        if let Some(zones) = zones_of(agent)
            && self.evacuated.as_ref() != Some(&zones)
        {
            differences.push(Difference::Evacuated(zones));
        }
        if !agent.refused.is_empty() {
            differences.push(Difference::Refused(agent.refused.len()));
        }
        differences
    }
}

/// Returns the preset and digest in force in an agent.
fn document_of(agent: &ProgramStatus) -> Option<String> {
    let preset = agent.preset.as_deref()?;
    let digest = agent.digest.as_deref().unwrap_or("no digest");
    Some(format!("{preset}, {digest}"))
}

/// Returns the names of the evacuated zones of an agent, separated by commas; `None` if it does not
/// report them.
fn zones_of(agent: &ProgramStatus) -> Option<String> {
    let zones = agent.evacuated.as_ref()?.iter();
    let zones: Vec<&str> = zones.map(|evacuated| evacuated.zone.as_str()).collect();
    Some(zones.join(", "))
}

/// Returns all VMs whose health any agent reports, sorted.
fn reported_vms(agents: &[&ProgramStatus]) -> Vec<String> {
    let all = agents.iter().flat_map(|agent| &agent.health);
    let mut vms: Vec<String> = all.map(|health| health.vm.clone()).collect();
    vms.sort();
    vms.dedup();
    vms
}

fn health_of<'a>(agent: &'a ProgramStatus, vm: &str) -> Option<&'a Health> {
    agent.health.iter().find(|health| health.vm == vm)
}

/// Returns the most frequent value; in a tie, the first in sort order.
fn most_common<'a>(values: &[&'a str]) -> Option<&'a str> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let mut value = None;
    let mut max_count = 0;
    for run in sorted.chunk_by(|a, b| a == b) {
        if run.len() > max_count {
            max_count = run.len();
            value = run.first().copied();
        }
    }
    value
}

impl Display for Difference {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(program, cause) => write!(f, "{program} unreachable ({cause})"),
            Self::Behind(program, Some(revision)) => {
                write!(f, "{program} behind at revision {revision}")
            }
            Self::Behind(program, None) => write!(f, "{program} has no configuration"),
            Self::Document(document) => {
                write!(f, "another document under this revision ({document})")
            }
            Self::Health(health) => {
                write!(f, "sees {} as {}", health.vm, health.health)?;
                match health.cause.is_empty() {
                    true => Ok(()),
                    false => write!(f, " ({})", health.cause),
                }
            }
            Self::Evacuated(zones) if zones.is_empty() => write!(f, "has no zone evacuated"),
            Self::Evacuated(zones) => write!(f, "has evacuated {zones}"),
            Self::Refused(count) => write!(f, "{count} findings in refused documents"),
        }
    }
}
