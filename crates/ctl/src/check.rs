//! `check`: settings and documents before they are used or published.

use std::fmt::{self, Display, Formatter};
use std::path::{Path, PathBuf};

use bambooseam_config::{Preset, TargetList, VmList, check_published};
use bambooseam_types::{Findings, PresetName};
use bambooseam_view::View;
use clap::ArgMatches;
use serde_json::{Value, json};

use crate::Outcome;
use crate::documents::{InputFile, Kind, Published};
use crate::report::{Report, findings_json, print};

/// What the check found.
#[derive(Debug, Default)]
pub struct CheckReport {
    /// Names of the files checked.
    pub files: Vec<String>,
    /// All findings, sorted by place.
    pub findings: Findings,
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> Outcome {
    let paths = matches.get_many::<PathBuf>("files").unwrap_or_default();
    let kind = matches.get_one::<Kind>("kind").copied();
    print(matches, &check_paths(paths, kind))
}

/// Checks the settings that the command line names.
pub fn run_settings(matches: &ArgMatches) -> Outcome {
    let path = matches.get_one::<PathBuf>("settings");
    print(matches, &check_paths(path, Some(Kind::Settings)))
}

/// Checks files and directories.
pub fn check_paths<'a>(
    paths: impl IntoIterator<Item = &'a PathBuf>,
    kind: Option<Kind>,
) -> CheckReport {
    let mut report = CheckReport::default();
    for path in paths {
        if path.is_dir() {
            report.check_directory(path);
            continue;
        }
        report.files.push(path.display().to_string());
        match InputFile::read(path, kind) {
            Ok(file) => report.findings.append(file.check()),
            Err(found) => report.findings.append(found),
        }
    }
    report
}

impl CheckReport {
    /// Checks a directory as one published configuration.
    fn check_directory(&mut self, directory: &Path) {
        let published = match Published::read(directory) {
            Ok(published) => published,
            Err(found) => return self.findings.append(found),
        };
        let mut findings = Findings::new();
        for file in published.files() {
            self.files.push(file.name.clone());
            findings.append(file.check());
        }
        if findings.is_empty() {
            findings.append(check_together(&published).err().unwrap_or_default());
        }
        self.findings.append(findings);
    }
}

/// Checks documents that are good by themselves against one another.
fn check_together(published: &Published) -> Result<(), Findings> {
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

/// Name of the preset in force.
fn in_force_name(published: &Published) -> Result<PresetName, Findings> {
    let pointer: bambooseam_config::InForce = published.pointer.parse()?;
    Ok(pointer.name)
}

impl Display for CheckReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        let (files, findings) = (self.files.len(), self.findings.len());
        write!(
            f,
            "files={files} findings={findings} result={}",
            self.outcome()
        )
    }
}

impl Report for CheckReport {
    fn to_json(&self) -> Value {
        json!({
            "files": self.files,
            "findings": findings_json(&self.findings),
        })
    }

    fn outcome(&self) -> Outcome {
        match self.findings.is_empty() {
            true => Outcome::Good,
            false => Outcome::BadInput,
        }
    }
}
