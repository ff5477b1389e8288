//! How a subcommand ended.

use std::process::ExitCode;

use derive_more::Display;

/// What a subcommand found; each has an exit code of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Outcome {
    /// Good, or yes.
    #[display("good")]
    Good,
    /// Failed, or no.
    #[display("failed")]
    Failed,
    /// Bad command line, settings or document.
    #[display("bad-input")]
    BadInput,
    /// Somebody who had to be asked could not be reached or does not know.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// The exit code.
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
