//! How VMs differ from the newest revision and from what most agents tell.

use std::fmt::{self, Display, Formatter};

use bambooseam_types::Revision;

use super::PROGRAMS;
use crate::fleet::{Health, ProgramResponse, ProgramStatus, VmResponse};

/// How a VM differs from the rest of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Difference {
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

/// What most agents tell.
pub(super) struct Majority {
    newest: Option<Revision>,
    document: Option<String>,
    health: Vec<Health>,
}

impl Majority {
    pub(super) fn of(responses: &[VmResponse], newest: Option<Revision>) -> Self {
        let agents: Vec<&ProgramStatus> =
            responses.iter().filter_map(|r| r.agent.status()).collect();
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
    pub(super) fn differences(&self, response: &VmResponse) -> Vec<Difference> {
        let mut differences = Vec::new();
        let answers = [&response.agent, &response.forwarder, &response.proxy];
        for (program, answer) in PROGRAMS.into_iter().zip(answers) {
            if let Some(error) = answer.error() {
                differences.push(Difference::Unreachable(program, error.to_string()));
                continue;
            }
            let revision = response.revision_of(program);
            let is_told = matches!(answer, ProgramResponse::Known(_)) || revision.is_some();
            if is_told && revision < self.newest {
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
        for usual in &self.health {
            let Some(own) = health_of(agent, &usual.vm) else {
                continue;
            };
            if own.health != usual.health {
                differences.push(Difference::Health(own.clone()));
            }
        }
        if !agent.refused.is_empty() {
            differences.push(Difference::Refused(agent.refused.len()));
        }
        differences
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

impl Display for Difference {
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
