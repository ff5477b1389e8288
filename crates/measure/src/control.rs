//! Measures time until a change is in force everywhere, and what control costs.

pub mod relay;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

/// Command line of this measurement.
pub fn command() -> Command {
    Command::new("control")
        .about("Measures time until a change is in force everywhere, and what control costs")
}

/// Runs the measurement.
pub fn run(_matches: &ArgMatches) -> ExitCode {
    eprintln!("measurement=control result=not_built");
    ExitCode::FAILURE
}
