//! Validated status responses of programs.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bambooseam_types::Revision;
use bambooseam_view::ViewNumber;
use derive_more::{Display, Error};
use serde_json::Value;

use super::FetchError;

/// Age of the last report after which a program counts as stopped. Programs report to their agent
/// every 10 s; the timeout is longer because the clocks of VMs differ.
const REPORT_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a body is not a valid status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum StatusError {
    /// The body is not JSON.
    #[display("status is not JSON")]
    NotJson,
    /// The status has no `program`.
    #[display("status has no program name")]
    Nameless,
}

/// Response of one program.
#[derive(Debug)]
pub enum ProgramResponse {
    /// The program returned its status.
    Known(Box<ProgramStatus>),
    /// The status could not be fetched.
    Unreachable(FetchError),
    /// The program was not queried, because no address of the program is configured.
    NotQueried,
}

/// Responses of the programs of one VM.
#[derive(Debug)]
pub struct VmResponse {
    /// Name from the command line, settings or fleet file.
    pub name: String,
    /// Response of the agent.
    pub agent: ProgramResponse,
    /// Response of the forwarder.
    pub forwarder: ProgramResponse,
    /// Response of the proxy.
    pub proxy: ProgramResponse,
}

/// Status of a program; a field that the program does not report is `None` or empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramStatus {
    /// Name of the program.
    pub program: String,
    /// Identifier of the VM.
    pub vm: Option<String>,
    /// Availability zone of the VM.
    pub zone: Option<String>,
    /// Number of the view in force.
    pub view: Option<ViewNumber>,
    /// Revision in force.
    pub revision: Option<Revision>,
    /// Preset in force.
    pub preset: Option<String>,
    /// Digest of the preset in force.
    pub digest: Option<String>,
    /// Time since which the configuration is in force, in milliseconds since the Unix epoch.
    pub since_ms: Option<u64>,
    /// Views in force in the other programs of the VM; reported by agents only.
    pub programs: Vec<ProgramView>,
    /// Health of VMs as observed by this agent, sorted by VM.
    pub health: Vec<Health>,
    /// Evacuated zones, sorted; `None` if the program does not report them.
    pub evacuated: Option<Vec<Evacuated>>,
    /// Findings of refused documents.
    pub refused: Vec<String>,
    /// Most recent decisions, oldest first.
    pub events: Vec<Decision>,
    /// The complete status as received.
    pub raw: Value,
}

/// View in force in a program, as reported by the agent of the same VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramView {
    /// Name of the program.
    pub program: String,
    /// Number of the view.
    pub view: ViewNumber,
    /// Time of the program's last report, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Health of a VM as observed by an agent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Health {
    /// Identifier of the VM.
    pub vm: String,
    /// Health state, in lower case.
    pub health: String,
    /// Cause of the health state.
    pub cause: String,
}

/// An evacuated zone as reported by an agent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evacuated {
    /// Name of the zone.
    pub zone: String,
    /// When the zone was evacuated, as published.
    pub since: String,
    /// Who evacuated the zone, as published; empty if unknown.
    pub by: String,
}

/// A decision as reported by a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Kind of the decision.
    pub kind: String,
    /// Cause of the decision.
    pub cause: String,
    /// Revision in force at the time.
    pub revision: Revision,
}

impl From<Result<ProgramStatus, FetchError>> for ProgramResponse {
    fn from(result: Result<ProgramStatus, FetchError>) -> Self {
        match result {
            Ok(status) => Self::Known(Box::new(status)),
            Err(error) => Self::Unreachable(error),
        }
    }
}

impl ProgramResponse {
    /// Returns the status if the program returned one.
    pub fn status(&self) -> Option<&ProgramStatus> {
        match self {
            Self::Known(status) => Some(status),
            _ => None,
        }
    }

    /// Returns why the status is missing if the program was queried without success.
    pub fn error(&self) -> Option<&FetchError> {
        match self {
            Self::Unreachable(error) => Some(error),
            _ => None,
        }
    }
}

impl VmResponse {
    /// Returns the name that the VM reports, or the configured name if its agent is unreachable.
    pub fn vm(&self) -> &str {
        let reported = self.agent.status().and_then(|status| status.vm.as_deref());
        reported.unwrap_or(&self.name)
    }

    /// Returns the revision that `program` (`agent`, `forwarder` or `proxy`) has in force, if
    /// known.
    ///
    /// For a program that was not queried itself, the result is the agent's revision as soon as the
    /// program has the agent's view in force.
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
    /// Returns the view in force in `program` of the same VM, unless its last report is too old.
    pub fn view_of(&self, program: &str) -> Option<ViewNumber> {
        let mut programs = self.programs.iter();
        let found = programs.find(|other| other.program == program)?;
        let age = since_epoch().saturating_sub(Duration::from_millis(found.time_ms));
        (age < REPORT_TIMEOUT).then_some(found.view)
    }
}

impl TryFrom<Value> for ProgramStatus {
    type Error = StatusError;

    fn try_from(raw: Value) -> Result<Self, StatusError> {
        let text = |key: &str| raw[key].as_str().map(str::to_owned);
        // 0 means none: no view and no revision has the number 0.
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
            programs: parse_programs(&raw["programs"]),
            health: parse_health(&raw["vms"]),
            evacuated: raw["evacuated"].is_array().then(|| parse_evacuated(&raw)),
            refused: parse_refused(&raw["refused"]),
            events: items(&raw["events"]).map(parse_decision).collect(),
            raw,
        })
    }
}

/// Returns the time since the Unix epoch according to the clock of this machine.
pub fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Iterates over the items of a JSON array; empty for any other value.
fn items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Returns a JSON string unquoted, an empty string for null and other values as JSON.
fn text_of(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Parses `programs` of a status.
fn parse_programs(value: &Value) -> Vec<ProgramView> {
    let mut programs = Vec::new();
    for item in items(value) {
        let (Some(program), Some(view)) = (item["program"].as_str(), item["view"].as_u64()) else {
            continue;
        };
        programs.push(ProgramView {
            program: program.to_owned(),
            view: ViewNumber::from(view),
            time_ms: item["time_ms"].as_u64().unwrap_or_default(),
        });
    }
    programs
}

/// Parses `vms` of a status.
fn parse_health(value: &Value) -> Vec<Health> {
    let mut health: Vec<Health> = items(value)
        .map(|item| Health {
            vm: text_of(&item["vm"]),
            health: text_of(&item["health"]).to_lowercase(),
            cause: text_of(&item["cause"]),
        })
        .collect();
    health.sort();
    health
}

/// Parses `evacuated` of a status.
fn parse_evacuated(status: &Value) -> Vec<Evacuated> {
    let mut evacuated: Vec<Evacuated> = items(&status["evacuated"])
        .map(|item| Evacuated {
            zone: text_of(&item["zone"]),
            since: text_of(&item["since"]),
            by: text_of(&item["by"]),
        })
        .collect();
    evacuated.sort();
    evacuated
}

/// Parses `refused` of a status: refused documents, each with its findings.
fn parse_refused(value: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    for document in items(value) {
        let key = text_of(&document["key"]);
        lines
            .extend(items(&document["findings"]).map(|found| format!("{key}: {}", text_of(found))));
    }
    lines
}

/// Parses an item of `events` of a status.
fn parse_decision(value: &Value) -> Decision {
    Decision {
        time_ms: value["time_ms"].as_u64().unwrap_or_default(),
        kind: text_of(&value["kind"]),
        cause: text_of(&value["cause"]),
        revision: Revision::from(value["revision"].as_u64().unwrap_or_default()),
    }
}
