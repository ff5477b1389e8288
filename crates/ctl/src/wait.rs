//! `wait`: waits until a revision is in force in all programs of all VMs.

use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

use bambooseam_types::Revision;
use clap::ArgMatches;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::{Value, json};

use crate::Outcome;
use crate::fleet::{FleetVm, VmResponse, fetch_all, read_fleet};
use crate::report::{BadInput, Report, print};
use crate::status::{no_vm_finding, response_timeout};

/// Programs that must have the revision in force.
const PROGRAMS: [&str; 3] = ["agent", "forwarder", "proxy"];

/// Pause between two polls of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Default timeout of the wait.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Result of a wait.
#[derive(Debug)]
pub struct WaitReport {
    /// Revision that was waited for.
    pub revision: Revision,
    /// Duration of the wait.
    pub waited: Duration,
    /// Revision in force in each program.
    pub programs: Vec<ProgramRevision>,
}

/// Revision in force in one program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramRevision {
    /// Identifier of the VM.
    pub vm: String,
    /// Name of the program.
    pub program: &'static str,
    /// Revision in force; `None` if unknown.
    pub revision: Option<Revision>,
    /// Whether the VM's agent could be reached.
    pub reached: bool,
}

/// Runs the subcommand.
pub async fn run(matches: &ArgMatches) -> Outcome {
    let vms = match read_fleet(matches) {
        Ok(vms) if vms.is_empty() => return print(matches, &BadInput(no_vm_finding())),
        Ok(vms) => vms,
        Err(findings) => return print(matches, &BadInput(findings)),
    };
    let revision = matches.get_one("revision").copied().unwrap_or_default();
    let timeout = matches.get_one::<humantime::Duration>("timeout");
    let timeout = timeout.map_or(DEFAULT_TIMEOUT, |timeout| (*timeout).into());
    let report = wait_for(&vms, revision, timeout, response_timeout(matches)).await;
    print(matches, &report)
}

/// Polls all VMs until the revision is in force in all programs or `timeout` has passed.
///
/// A poll in progress is not cancelled when `timeout` passes: each response still has up to
/// `response_timeout` to arrive.
pub async fn wait_for(
    vms: &[FleetVm],
    revision: Revision,
    timeout: Duration,
    response_timeout: Duration,
) -> WaitReport {
    let start = Instant::now();
    let bar = progress_bar(vms.len() * PROGRAMS.len(), revision);
    loop {
        let responses = fetch_all(vms, response_timeout).await;
        let report = WaitReport {
            revision,
            waited: start.elapsed(),
            programs: responses.iter().flat_map(list_programs).collect(),
        };
        bar.set_position(report.in_force() as u64);
        if report.in_force() == report.programs.len() || start.elapsed() >= timeout {
            bar.finish_and_clear();
            return report;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Creates the progress bar; the library hides it when the output is not a terminal.
fn progress_bar(programs: usize, revision: Revision) -> ProgressBar {
    let bar = ProgressBar::new(programs as u64);
    let style = ProgressStyle::with_template("{msg} [{bar:30}] {pos}/{len} programs {elapsed}");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar.set_message(format!("revision {revision}"));
    bar
}

/// Returns the revision in force in each program of a VM.
fn list_programs(response: &VmResponse) -> Vec<ProgramRevision> {
    let entry = |program| ProgramRevision {
        vm: response.vm().to_owned(),
        program,
        revision: response.revision_of(program),
        reached: response.agent.status().is_some(),
    };
    PROGRAMS.into_iter().map(entry).collect()
}

impl WaitReport {
    /// Returns the number of programs that have the revision, or a later one, in force.
    fn in_force(&self) -> usize {
        let is_in_force = |program: &&ProgramRevision| program.revision >= Some(self.revision);
        self.programs.iter().filter(is_in_force).count()
    }

    /// Iterates over the programs with an older or unknown revision.
    fn missing(&self) -> impl Iterator<Item = &ProgramRevision> {
        let is_missing = |program: &&ProgramRevision| program.revision < Some(self.revision);
        self.programs.iter().filter(is_missing)
    }
}

impl Display for WaitReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for program in self.missing() {
            let revision = program.revision.map_or("unknown".into(), |r| r.to_string());
            writeln!(
                f,
                "vm={} program={} reached={} revision={revision}",
                program.vm, program.program, program.reached
            )?;
        }
        write!(
            f,
            "revision={} in_force={}/{} waited_s={:.1} result={}",
            self.revision,
            self.in_force(),
            self.programs.len(),
            self.waited.as_secs_f64(),
            self.outcome()
        )
    }
}

impl Report for WaitReport {
    fn to_json(&self) -> Value {
        let entry = |program: &ProgramRevision| {
            json!({
                "vm": program.vm,
                "program": program.program,
                "reached": program.reached,
                "revision": program.revision.map(Revision::get),
            })
        };
        json!({
            "revision": self.revision.get(),
            "waited_s": self.waited.as_secs_f64(),
            "in_force": self.in_force(),
            "programs": self.programs.len(),
            "missing": self.missing().map(entry).collect::<Value>(),
        })
    }

    /// A program with a known older revision takes precedence over a program with an unknown
    /// revision.
    fn outcome(&self) -> Outcome {
        if self.missing().any(|program| program.revision.is_some()) {
            return Outcome::Failed;
        }
        match self.missing().next() {
            Some(_) => Outcome::Unknown,
            None => Outcome::Good,
        }
    }
}
