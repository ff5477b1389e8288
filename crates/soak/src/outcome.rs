//! What a run came to.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use derive_more::Display;

/// Lines of all programs that are shown around a broken promise, before and after it.
const CONTEXT_TIME: Duration = Duration::from_secs(1);

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("broken={invariant} at_ms={} {detail}", at.as_millis())]
pub struct Violation {
    /// When, from the start of the run.
    pub at: Duration,
    /// Name of the promise.
    pub invariant: &'static str,
    /// What was seen.
    pub detail: String,
}

/// How things stood at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sample {
    /// When, from the start of the run.
    pub at: Duration,
    /// Requests served since the sample before.
    pub served: u64,
    /// Requests failed since the sample before.
    pub failed: u64,
    /// VMs in rotation.
    pub ready: usize,
    /// Version of the configuration that each VM shows; `None` when it does not answer.
    pub versions: Vec<Option<u64>>,
}

/// What a run came to.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Requests served.
    pub served: u64,
    /// Requests failed.
    pub failed: u64,
    /// Events that were brought about.
    pub events: usize,
    /// Checks of changes that were made.
    pub checks: usize,
    /// Promises broken.
    pub violations: Vec<Violation>,
    /// How things stood over time.
    pub samples: Vec<Sample>,
    /// Logged lines of all programs, each with its VM and its time from the start of the run.
    pub lines: Vec<(Duration, String)>,
}

impl Outcome {
    /// Writes a broken promise with the lines of all programs around it.
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
