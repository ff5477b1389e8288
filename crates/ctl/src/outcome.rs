//! Outcome of a subcommand and its exit code.

use std::process::ExitCode;

use derive_more::Display;

/// Outcome of a subcommand; each variant has its own exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Outcome {
    /// The check passed, or the answer is yes.
    #[display("good")]
    Good,
    /// The check failed, or the answer is no.
    #[display("failed")]
    Failed,
    /// The command line, the settings or a document is invalid.
    #[display("bad-input")]
    BadInput,
    /// A program that had to be queried is unreachable or does not report the required status.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Good => 0,
            Self::Failed => 1,
            Self::BadInput => 2,
            Self::Unknown => 3,
        }
    }
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        Self::from(outcome.code())
    }
}
