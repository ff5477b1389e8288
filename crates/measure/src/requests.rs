//! Measures queues, slots, the crest of a swing and the truth of outcomes.

pub mod caller;
pub mod fleet;
pub mod network;
pub mod target;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

/// Command line of this measurement.
pub fn command() -> Command {
    Command::new("requests")
        .about("Measures queues, slots, the crest of a swing and the truth of outcomes")
}

/// Runs the measurement.
pub fn run(_matches: &ArgMatches) -> ExitCode {
    eprintln!("measurement=requests result=not_built");
    ExitCode::FAILURE
}
