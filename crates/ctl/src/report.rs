//! Reports of subcommands, printed as text for people or as JSON for scripts.

use std::fmt::Display;

use clap::ArgMatches;
use derive_more::{Display, FromStr};
use serde_json::{Value, json};

use bambooseam_types::{Finding, Findings};

use crate::Outcome;

/// Output format of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
pub enum Format {
    /// Lines and tables for people.
    #[display("human")]
    Human,
    /// One JSON object.
    #[display("json")]
    Json,
}

/// Result of a subcommand.
pub trait Report: Display {
    /// Returns the report as one JSON object.
    fn to_json(&self) -> Value;

    /// Returns the outcome of the subcommand.
    fn outcome(&self) -> Outcome;
}

/// Report of the findings in an invalid command line or document.
#[derive(Debug, Display)]
pub struct BadInput(pub Findings);

impl Report for BadInput {
    fn to_json(&self) -> Value {
        json!({ "findings": findings_json(&self.0) })
    }

    fn outcome(&self) -> Outcome {
        Outcome::BadInput
    }
}

/// Prints a report in the format that the command line selects and returns its outcome.
pub fn print<R: Report>(matches: &ArgMatches, report: &R) -> Outcome {
    let outcome = report.outcome();
    let format = matches.get_one("format").copied().unwrap_or(Format::Human);
    match format {
        Format::Human => println!("{report}"),
        Format::Json => {
            let mut value = report.to_json();
            value["result"] = outcome.to_string().into();
            println!("{value}");
        }
    }
    outcome
}

/// Returns the findings as an array of JSON objects.
pub fn findings_json(findings: &Findings) -> Value {
    findings.iter().map(finding_json).collect()
}

fn finding_json(finding: &Finding) -> Value {
    json!({
        "file": finding.location.file,
        "line": finding.location.line,
        "key": finding.location.key,
        "found": finding.found,
        "allowed": finding.allowed,
        "hint": finding.hint,
    })
}

/// Formats rows as a table with aligned columns; the first row is the header.
pub fn columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..count).map(width).collect();
    let mut lines = Vec::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:width$}  "));
        }
        lines.push(line.trim_end().to_owned());
    }
    lines.join("\n")
}
