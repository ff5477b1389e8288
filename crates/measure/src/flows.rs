//! Measures policies that keep and place flows.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

/// Command line of this measurement.
pub fn command() -> Command {
    Command::new("flows").about("Measures policies that keep and place flows")
}

/// Runs the measurement.
pub fn run(_matches: &ArgMatches) -> ExitCode {
    eprintln!("measurement=flows result=not_built");
    ExitCode::FAILURE
}
