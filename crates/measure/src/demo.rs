//! Measures the whole system as processes on loopback.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

/// Command line of this measurement.
pub fn command() -> Command {
    Command::new("demo").about("Measures the whole system as processes on loopback")
}

/// Runs the measurement.
pub fn run(_matches: &ArgMatches) -> ExitCode {
    eprintln!("measurement=demo result=not_built");
    ExitCode::FAILURE
}
