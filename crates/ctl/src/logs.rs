//! `logs`: analysis of the logs of a fleet, for operators who can't reach the ports of its
//! programs.
//!
//! [`read_logs`] merges the lines of all VMs into one list, sorted by time. Each report has a
//! module: the outcome of a flow ([`flow`]), why a target receives no new flows ([`target`]), and
//! what each VM has in force ([`vms`]).

pub mod flow;
pub mod line;
pub mod target;
pub mod vms;

pub use line::{LogLine, ParseLineError};

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::{Path, PathBuf};

use bambooseam_steer::FlowId;
use bambooseam_types::{Findings, TargetId};
use clap::ArgMatches;
use indicatif::{ProgressBar, ProgressStyle};

use crate::Outcome;
use crate::documents::single_finding;
use crate::report::{BadInput, print};
use flow::FlowReport;
use target::TargetReport;
use vms::VmsReport;

/// File name that stands for standard input.
const STDIN: &str = "-";

/// Log lines of a fleet, sorted by time.
#[derive(Debug, Default)]
pub struct Logs {
    /// Lines that were parsed.
    pub lines: Vec<LogLine>,
    /// Number of lines that are not in the log format of this product.
    pub unrecognised: usize,
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> Outcome {
    let Some((report, matches)) = matches.subcommand() else {
        return Outcome::BadInput;
    };
    let paths = matches.get_many::<PathBuf>("files").unwrap_or_default();
    let logs = match read_logs(paths) {
        Ok(logs) => logs,
        Err(findings) => return print(matches, &BadInput(findings)),
    };
    let lines = &logs.lines;
    match report {
        "vms" => print(matches, &VmsReport::new(lines)),
        "flow" => match matches.get_one::<FlowId>("flow") {
            Some(flow) => print(matches, &FlowReport::new(lines, *flow)),
            None => Outcome::BadInput,
        },
        "target" => match matches.get_one::<TargetId>("target") {
            Some(target) => print(matches, &TargetReport::new(lines, target)),
            None => Outcome::BadInput,
        },
        _ => Outcome::BadInput,
    }
}

/// Reads the logs of a fleet: one file per VM, or files whose lines start with the VM name.
///
/// # Errors
///
/// Returns a finding for each file that can't be read, or one if no line is in the log format of
/// this product.
pub fn read_logs<'a>(paths: impl IntoIterator<Item = &'a PathBuf>) -> Result<Logs, Findings> {
    let mut logs = Logs::default();
    let mut findings = Findings::new();
    for path in paths {
        if let Err(error) = logs.read(path) {
            let name = path.display().to_string();
            findings.append(single_finding(
                &name,
                error.to_string(),
                "a readable log file",
                "",
            ));
        }
    }
    if findings.is_empty() && logs.lines.is_empty() {
        let found = format!("{} lines, none with time= and event=", logs.unrecognised);
        findings.append(single_finding(
            "logs",
            found,
            "at least one line with time= and event=",
            "",
        ));
    }
    logs.lines.sort_by_key(|line| line.at);
    findings.into_result(logs)
}

impl Logs {
    /// Adds the lines of one file.
    fn read(&mut self, path: &Path) -> std::io::Result<()> {
        if path.as_os_str() == STDIN {
            return self.add_lines(stdin().lock(), STDIN);
        }
        let file = File::open(path)?;
        let bar = ProgressBar::new(file.metadata()?.len());
        if let Ok(style) = ProgressStyle::with_template("{bytes}/{total_bytes} {bar:30} {msg}") {
            bar.set_style(style);
        }
        bar.set_message(path.display().to_string());
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let read = self.add_lines(BufReader::new(bar.wrap_read(file)), &name);
        bar.finish_and_clear();
        read
    }

    /// Adds the lines of a reader; `vm` applies to lines without a VM name.
    fn add_lines(&mut self, reader: impl BufRead, vm: &str) -> std::io::Result<()> {
        for line in reader.lines() {
            match LogLine::parse(&line?, vm) {
                Ok(line) => self.lines.push(line),
                Err(_) => self.unrecognised += 1,
            }
        }
        Ok(())
    }
}
