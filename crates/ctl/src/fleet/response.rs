//! What programs tell of themselves, checked.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bambooseam_types::Revision;
use bambooseam_view::ViewNumber;
use derive_more::{Display, Error};
use serde_json::Value;

use super::FetchError;

/// Silence after which a program counts as gone; it speaks to its agent every 10 s, and clocks of
/// VMs differ.
const SILENCE_LIMIT: Duration = Duration::from_secs(60);

/// A body that is no status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum StatusError {
    /// Not JSON.
    #[display("the status is not JSON")]
    NotJson,
    /// No program is named.
    #[display("the status names no program")]
    Nameless,
}

/// The answer of one program.
#[derive(Debug)]
pub enum ProgramResponse {
    /// It told its status.
    Known(Box<ProgramStatus>),
    /// It gave none.
    Unreachable(FetchError),
    /// Its address is not given.
    NotQueried,
}

/// The answers of the programs of one VM.
#[derive(Debug)]
pub struct VmResponse {
    /// Name under which the VM was listed.
    pub name: String,
    /// The agent's answer.
    pub agent: ProgramResponse,
    /// The forwarder's answer.
    pub forwarder: ProgramResponse,
    /// The proxy's answer.
    pub proxy: ProgramResponse,
}

/// Status of a program; what it does not tell is absent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramStatus {
    /// Name of the program.
    pub program: String,
    /// The VM.
    pub vm: Option<String>,
    /// The availability zone.
    pub zone: Option<String>,
    /// Number of the view in force.
    pub view: Option<ViewNumber>,
    /// Revision in force.
    pub revision: Option<Revision>,
    /// Preset in force.
    pub preset: Option<String>,
    /// Digest of the preset in force.
    pub digest: Option<String>,
    /// Since when, in milliseconds since 1970.
    pub since_ms: Option<u64>,
    /// What the programs beside it have in force; agents tell it.
    pub programs: Vec<ProgramView>,
    /// Health of VMs as this agent sees it, sorted by VM.
    pub health: Vec<Health>,
    /// Findings of refused documents.
    pub refused: Vec<String>,
    /// Latest decisions, oldest first.
    pub events: Vec<Decision>,
    /// Everything that the program told.
    pub raw: Value,
}

/// The view that a program beside an agent has in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramView {
    /// The program.
    pub program: String,
    /// Number of the view.
    pub view: ViewNumber,
    /// When the program last said so, in milliseconds since 1970.
    pub time_ms: u64,
}

/// Health of a VM as an agent sees it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Health {
    /// The VM.
    pub vm: String,
    /// Its health.
    pub health: String,
    /// Why.
    pub cause: String,
}

/// A decision as a program tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// When, in milliseconds since 1970.
    pub time_ms: u64,
    /// What was decided.
    pub kind: String,
    /// Why.
    pub cause: String,
    /// Revision in force at the time.
    pub revision: Revision,
}

impl From<Result<ProgramStatus, FetchError>> for ProgramResponse {
    fn from(answer: Result<ProgramStatus, FetchError>) -> Self {
        match answer {
            Ok(status) => Self::Known(Box::new(status)),
            Err(error) => Self::Unreachable(error),
        }
    }
}

impl ProgramResponse {
    /// The status, if the program told it.
    pub fn status(&self) -> Option<&ProgramStatus> {
        match self {
            Self::Known(status) => Some(status),
            _ => None,
        }
    }

    /// Why there is no status, if the program was asked.
    pub fn error(&self) -> Option<&FetchError> {
        match self {
            Self::Unreachable(error) => Some(error),
            _ => None,
        }
    }
}

impl VmResponse {
    /// The VM's own name, else the one under which it was listed.
    pub fn vm(&self) -> &str {
        let own = self.agent.status().and_then(|status| status.vm.as_deref());
        own.unwrap_or(&self.name)
    }

    /// Revision that `program` (`agent`, `forwarder` or `proxy`) has in force, if known.
    ///
    /// A program that was not asked itself has the agent's revision once it has the agent's view.
    pub fn revision_of(&self, program: &str) -> Option<Revision> {
        let agent = self.agent.status();
        let response = match program {
            "forwarder" => &self.forwarder,
            "proxy" => &self.proxy,
            _ => return agent?.revision,
        };
        match response {
            ProgramResponse::Known(status) => status.revision,
            ProgramResponse::Unreachable(_) => None,
            ProgramResponse::NotQueried => {
                let agent = agent?;
                let view = agent.view_of(program)?;
                (Some(view) == agent.view).then_some(agent.revision)?
            }
        }
    }
}

impl ProgramStatus {
    /// The view that `program` of the same VM has in force, unless it has been silent for long.
    pub fn view_of(&self, program: &str) -> Option<ViewNumber> {
        let mut programs = self.programs.iter();
        let held = programs.find(|held| held.program == program)?;
        let age = since_epoch().saturating_sub(Duration::from_millis(held.time_ms));
        (age < SILENCE_LIMIT).then_some(held.view)
    }
}

impl TryFrom<Value> for ProgramStatus {
    type Error = StatusError;

    fn try_from(raw: Value) -> Result<Self, StatusError> {
        let text = |key: &str| raw[key].as_str().map(str::to_owned);
        // 0 stands for none: neither views nor revisions count from it.
        let number = |key: &str| raw[key].as_u64().filter(|number| *number > 0);
        let program = text("program").ok_or(StatusError::Nameless)?;
        Ok(Self {
            program,
            vm: text("vm"),
            zone: text("zone"),
            view: number("view").map(ViewNumber::from),
            revision: number("revision").map(Revision::from),
            preset: text("preset"),
            digest: text("digest"),
            since_ms: number("in_force_since_ms"),
            programs: read_programs(&raw["programs"]),
            health: read_health(&raw["vms"]),
            refused: read_refused(&raw["refused"]),
            events: items(&raw["events"]).map(read_decision).collect(),
            raw,
        })
    }
}

/// Time since 1970 by the clock of this machine.
pub fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Items of a JSON array; none for anything else.
fn items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Text of a JSON value.
fn text_of(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Reads `programs`.
fn read_programs(value: &Value) -> Vec<ProgramView> {
    let mut programs = Vec::new();
    for held in items(value) {
        let (Some(program), Some(view)) = (held["program"].as_str(), held["view"].as_u64()) else {
            continue;
        };
        programs.push(ProgramView {
            program: program.to_owned(),
            view: ViewNumber::from(view),
            time_ms: held["time_ms"].as_u64().unwrap_or_default(),
        });
    }
    programs
}

/// Reads `vms`.
fn read_health(value: &Value) -> Vec<Health> {
    let mut health: Vec<Health> = items(value)
        .map(|held| Health {
            vm: text_of(&held["vm"]),
            health: text_of(&held["health"]).to_lowercase(),
            cause: text_of(&held["cause"]),
        })
        .collect();
    health.sort();
    health
}

/// Reads `refused`: documents, each with its findings.
fn read_refused(value: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    for document in items(value) {
        let key = text_of(&document["key"]);
        lines
            .extend(items(&document["findings"]).map(|found| format!("{key}: {}", text_of(found))));
    }
    lines
}

/// Reads one of `events`.
fn read_decision(value: &Value) -> Decision {
    Decision {
        time_ms: value["time_ms"].as_u64().unwrap_or_default(),
        kind: text_of(&value["kind"]),
        cause: text_of(&value["cause"]),
        revision: Revision::from(value["revision"].as_u64().unwrap_or_default()),
    }
}
