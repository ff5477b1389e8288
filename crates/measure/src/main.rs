//! Command line of `bambooseam-measure`.

use std::process::ExitCode;

use bambooseam_measure::{control, demo, entry, flows, requests};
use clap::Command;

fn main() -> ExitCode {
    let matches = Command::new("bambooseam-measure")
        .about("Measures bambooseam and prints key=value lines")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(control::command())
        .subcommand(demo::command())
        .subcommand(entry::command())
        .subcommand(flows::command())
        .subcommand(requests::command())
        .get_matches();
    match matches.subcommand() {
        Some(("control", matches)) => control::run(matches),
        Some(("demo", matches)) => demo::run(matches),
        Some(("entry", matches)) => entry::run(matches),
        Some(("flows", matches)) => flows::run(matches),
        Some(("requests", matches)) => requests::run(matches),
        _ => ExitCode::FAILURE,
    }
}
