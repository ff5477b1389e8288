//! `wait`: until a revision is in force in each program of each VM.

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

/// Pause between two rounds of questions.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// Timeout when none is given.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Where the revision is in force.
#[derive(Debug)]
pub struct WaitReport {
    /// Revision that was waited for.
    pub revision: Revision,
    /// Time waited.
    pub waited: Duration,
    /// Each program and what it has in force.
    pub programs: Vec<ProgramRevision>,
}

/// Revision that one program has in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramRevision {
    /// The VM.
    pub vm: String,
    /// The program.
    pub program: &'static str,
    /// Revision in force; `None` when the program does not tell.
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
    let timeout = timeout.map_or(TIMEOUT, |timeout| (*timeout).into());
    let report = wait_for(&vms, revision, timeout, response_timeout(matches)).await;
    print(matches, &report)
}

/// Asks all VMs again and again until the revision is in force everywhere or the time is over.
///
/// A question that is open when the time is over still has its `patience`.
pub async fn wait_for(
    vms: &[FleetVm],
    revision: Revision,
    timeout: Duration,
    patience: Duration,
) -> WaitReport {
    let start = Instant::now();
    let bar = progress_bar(vms.len() * PROGRAMS.len(), revision);
    loop {
        let responses = fetch_all(vms, patience).await;
        let report = WaitReport {
            revision,
            waited: start.elapsed(),
            programs: responses.iter().flat_map(list_programs).collect(),
        };
        bar.set_position(report.done() as u64);
        if report.done() == report.programs.len() || start.elapsed() >= timeout {
            bar.finish_and_clear();
            return report;
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

/// Progress on a terminal; hidden elsewhere by the library.
fn progress_bar(programs: usize, revision: Revision) -> ProgressBar {
    let bar = ProgressBar::new(programs as u64);
    let style = ProgressStyle::with_template("{msg} [{bar:30}] {pos}/{len} programs {elapsed}");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar.set_message(format!("revision {revision}"));
    bar
}

/// What the programs of one VM have in force.
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
    /// Programs that have the revision, or a later one, in force.
    fn done(&self) -> usize {
        let is_done = |held: &&ProgramRevision| held.revision >= Some(self.revision);
        self.programs.iter().filter(is_done).count()
    }

    /// Programs that do not have it.
    fn missing(&self) -> impl Iterator<Item = &ProgramRevision> {
        let is_missing = |held: &&ProgramRevision| held.revision < Some(self.revision);
        self.programs.iter().filter(is_missing)
    }
}

impl Display for WaitReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for held in self.missing() {
            let revision = held.revision.map_or("unknown".into(), |r| r.to_string());
            writeln!(
                f,
                "vm={} program={} reached={} revision={revision}",
                held.vm, held.program, held.reached
            )?;
        }
        write!(
            f,
            "revision={} in_force={}/{} waited_s={:.1} result={}",
            self.revision,
            self.done(),
            self.programs.len(),
            self.waited.as_secs_f64(),
            self.outcome()
        )
    }
}

impl Report for WaitReport {
    fn to_json(&self) -> Value {
        let entry = |held: &ProgramRevision| {
            json!({
                "vm": held.vm,
                "program": held.program,
                "reached": held.reached,
                "revision": held.revision.map(Revision::get),
            })
        };
        json!({
            "revision": self.revision.get(),
            "waited_s": self.waited.as_secs_f64(),
            "in_force": self.done(),
            "programs": self.programs.len(),
            "missing": self.missing().map(entry).collect::<Value>(),
        })
    }

    /// A program that is known to be behind outweighs one that does not tell.
    fn outcome(&self) -> Outcome {
        if self.missing().any(|held| held.revision.is_some()) {
            return Outcome::Failed;
        }
        match self.missing().next() {
            Some(_) => Outcome::Unknown,
            None => Outcome::Good,
        }
    }
}
