//! Outcome of a run: violations, counters, samples over time and log lines.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use derive_more::Display;

/// Span before and after a violation in which the log lines of all programs are printed.
const CONTEXT_TIME: Duration = Duration::from_secs(1);

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("broken={invariant} at_ms={} {detail}", at.as_millis())]
pub struct Violation {
    /// Time since the start of the run.
    pub at: Duration,
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Observation that shows the violation.
    pub detail: String,
}

/// State of the site at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sample {
    /// Time since the start of the run.
    pub at: Duration,
    /// Requests served since the previous sample.
    pub served: u64,
    /// Requests failed since the previous sample.
    pub failed: u64,
    /// Number of VMs in rotation.
    pub ready: usize,
    /// Configuration version that each VM reports; `None` if the VM does not answer.
    pub versions: Vec<Option<u64>>,
}

/// Outcome of a run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Requests served.
    pub served: u64,
    /// Requests failed.
    pub failed: u64,
    /// Number of events applied.
    pub events: usize,
    /// Number of checks of configuration changes and of recovery.
    pub checks: usize,
    /// Violations of invariants.
    pub violations: Vec<Violation>,
    /// Samples over time.
    pub samples: Vec<Sample>,
    /// Log lines of all programs, each with its time since the start of the run and its VM.
    pub lines: Vec<(Duration, String)>,
}

impl Outcome {
    /// Writes a violation with the log lines of all programs around it.
    fn write_violation(&self, f: &mut Formatter<'_>, violation: &Violation) -> fmt::Result {
        writeln!(f, "{violation}")?;
        let (from, to) = (
            violation.at.saturating_sub(CONTEXT_TIME),
            violation.at + CONTEXT_TIME,
        );
        let near = self.lines.iter().filter(|(at, _)| (from..=to).contains(at));
        for (at, line) in near {
            writeln!(f, "  {} {line}", at.as_millis())?;
        }
        Ok(())
    }
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for violation in &self.violations {
            self.write_violation(f, violation)?;
        }
        let result = match self.violations.is_empty() {
            true => "good",
            false => "broken",
        };
        write!(
            f,
            "served={} failed={} events={} checks={} broken={} result={result}",
            self.served,
            self.failed,
            self.events,
            self.checks,
            self.violations.len()
        )
    }
}
