//! `check`: validates settings before use and documents before publication.

mod configuration;
mod difference;

use std::fmt::{self, Display, Formatter};
use std::path::{Path, PathBuf};

use bambooseam_config::{Preset, PresetPointer, TargetList, VmList, check_published};
use bambooseam_types::{Finding, Findings, Location, PresetName};
use bambooseam_view::View;
use clap::ArgMatches;
use serde_json::{Value, json};

use crate::Outcome;
use crate::documents::{FileKind, InputFile, Published, single_finding};
use crate::fleet::{ProgramStatus, VmResponse, fetch_all, read_fleet};
use crate::report::{Report, findings_json, print};
use crate::status::response_timeout;

pub use configuration::check_configuration;
pub use difference::{Change, Difference};
use difference::{compare_configurations, compare_presets};

/// Result of a check.
#[derive(Debug, Default)]
pub struct CheckReport {
    /// Names of the files checked.
    pub files: Vec<String>,
    /// All findings, sorted by location.
    pub findings: Findings,
    /// Differences from the version in force; `None` if no version in force was given.
    pub differences: Option<Vec<Difference>>,
    /// Pointers that are valid on their own.
    pointers: Vec<NamedPointer>,
    /// VMs whose agent could not be reached.
    unreachable: Vec<String>,
}

/// A pointer and the file that contains it.
#[derive(Debug)]
struct NamedPointer {
    file: String,
    pointer: PresetPointer,
}

/// Runs the subcommand.
pub async fn run(matches: &ArgMatches) -> Outcome {
    let paths = matches.get_many::<PathBuf>("files").unwrap_or_default();
    let kind = matches.get_one::<FileKind>("kind").copied();
    let paths: Vec<_> = paths.collect();
    let mut report = check_paths(paths.iter().copied(), kind);
    if let Some(in_force) = matches.get_one::<PathBuf>("in-force") {
        report.compare(&paths, kind, in_force);
    }
    match read_fleet(matches) {
        Ok(vms) => {
            let responses = fetch_all(&vms, response_timeout(matches)).await;
            report.check_revision(&responses);
        }
        Err(findings) => report.findings.append(findings),
    }
    print(matches, &report)
}

/// Checks the settings file given on the command line.
pub fn run_settings(matches: &ArgMatches) -> Outcome {
    let path = matches.get_one::<PathBuf>("settings");
    print(matches, &check_paths(path, Some(FileKind::Settings)))
}

/// Checks files and directories.
pub fn check_paths<'a>(
    paths: impl IntoIterator<Item = &'a PathBuf>,
    kind: Option<FileKind>,
) -> CheckReport {
    let mut report = CheckReport::default();
    for path in paths {
        if path.is_dir() {
            report.check_directory(path);
            continue;
        }
        report.files.push(path.display().to_string());
        match InputFile::read(path, kind) {
            Ok(file) => report.check_file(&file),
            Err(findings) => report.findings.append(findings),
        }
    }
    report
}

impl CheckReport {
    /// Compares the checked file with its version in force.
    pub fn compare(&mut self, paths: &[&PathBuf], kind: Option<FileKind>, in_force: &Path) {
        let differences =
            read_pair(paths, kind, in_force).and_then(|(file, in_force)| match file.kind {
                FileKind::Configuration => compare_configurations(&in_force, &file),
                FileKind::Preset => compare_presets(&in_force, &file),
                kind => Err(single_finding(
                    &in_force.name,
                    format!("a file to check of kind {kind}"),
                    COMPARED,
                    "",
                )),
            });
        match differences {
            Ok((differences, findings)) => {
                self.differences = Some(differences);
                self.findings.append(findings);
            }
            Err(findings) => self.findings.append(findings),
        }
    }

    /// Compares the checked pointers with the newest revision that any agent of the fleet has in
    /// force.
    ///
    /// A pointer is valid if its revision is higher, or if both the revision and the digest are
    /// unchanged.
    pub fn check_revision(&mut self, fleet: &[VmResponse]) {
        let mut newest: Option<&ProgramStatus> = None;
        for response in fleet {
            let Some(agent) = response.agent.status() else {
                self.unreachable.push(response.vm().to_owned());
                continue;
            };
            if newest.is_none_or(|newest| agent.revision > newest.revision) {
                newest = Some(agent);
            }
        }
        let Some((revision, digest)) = newest.and_then(|newest| {
            let digest = newest.digest.clone();
            Some((newest.revision?, digest))
        }) else {
            return;
        };
        for NamedPointer { file, pointer } in &self.pointers {
            let is_same_digest = digest == Some(pointer.digest.to_string());
            if pointer.revision > revision || (pointer.revision == revision && is_same_digest) {
                continue;
            }
            let location = Location::new(file, 0, "in-force.revision");
            let allowed = format!("above {revision}, the revision in force in the fleet");
            let finding = Finding::new(location, pointer.revision.to_string(), allowed);
            self.findings
                .push(finding.with_hint(format!("revision = {}", revision.next())));
        }
    }

    /// Checks one file and keeps the pointer of a valid pointer file.
    fn check_file(&mut self, file: &InputFile) {
        self.findings.append(file.check());
        if file.kind != FileKind::Pointer {
            return;
        }
        if let Ok(pointer) = file.parse() {
            let file = file.name.clone();
            self.pointers.push(NamedPointer { file, pointer });
        }
    }

    /// Checks a directory that holds one complete configuration.
    fn check_directory(&mut self, directory: &Path) {
        let published = match Published::read(directory) {
            Ok(published) => published,
            Err(findings) => return self.findings.append(findings),
        };
        let before = self.findings.len();
        for file in published.files() {
            self.files.push(file.name.clone());
            self.check_file(file);
        }
        if self.findings.len() == before {
            let found = check_consistency(&published).err();
            self.findings.append(found.unwrap_or_default());
        }
    }
}

/// What can be compared with its version in force.
const COMPARED: &str = "one file to check, of kind preset or platform-config";

/// Reads the file to check and its version in force.
fn read_pair(
    paths: &[&PathBuf],
    kind: Option<FileKind>,
    in_force: &Path,
) -> Result<(InputFile, InputFile), Findings> {
    let name = in_force.display().to_string();
    let path = match paths {
        [path] if !path.is_dir() => path,
        _ => {
            let found = format!("{} files or directories", paths.len());
            return Err(single_finding(&name, found, COMPARED, ""));
        }
    };
    // A file that cannot be read already has a finding.
    let file = InputFile::read(path, kind).map_err(|_| Findings::new())?;
    let in_force = InputFile::read(in_force, Some(file.kind))?;
    Ok((file, in_force))
}

/// Checks the consistency of documents that are valid on their own.
fn check_consistency(published: &Published) -> Result<(), Findings> {
    let vms: VmList = published.vms.parse()?;
    let targets: TargetList = published.targets.parse()?;
    let mut presets: Vec<Preset> = Vec::new();
    for file in &published.presets {
        presets.push(file.parse()?);
    }
    let source = published.source(&[])?;
    let mut findings = View::build(&source).err().unwrap_or_default();
    let in_force = in_force_name(published)?;
    findings.append(check_published(&in_force, &presets, &vms, &targets));
    findings.into_result(())
}

/// Returns the name of the preset that the pointer puts in force.
fn in_force_name(published: &Published) -> Result<PresetName, Findings> {
    let pointer: PresetPointer = published.pointer.parse()?;
    Ok(pointer.name)
}

impl Display for CheckReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        for difference in self.differences.iter().flatten() {
            writeln!(f, "{difference}")?;
        }
        for vm in &self.unreachable {
            writeln!(f, "vm={vm} unreachable=true")?;
        }
        let (files, findings) = (self.files.len(), self.findings.len());
        write!(f, "files={files} findings={findings} ")?;
        if let Some(differences) = &self.differences {
            write!(f, "differences={} ", differences.len())?;
        }
        write!(f, "result={}", self.outcome())
    }
}

impl Report for CheckReport {
    fn to_json(&self) -> Value {
        json!({
            "files": self.files,
            "findings": findings_json(&self.findings),
            "differences": self.differences.as_ref().map(|differences| {
                differences.iter().map(Difference::to_json).collect::<Vec<_>>()
            }),
            "unreachable": self.unreachable,
        })
    }

    fn outcome(&self) -> Outcome {
        if !self.findings.is_empty() {
            return Outcome::BadInput;
        }
        match self.unreachable.is_empty() {
            true => Outcome::Good,
            false => Outcome::Unknown,
        }
    }
}
