//! Command line for operators: checks configuration and queries the fleet.
//!
//! Each subcommand of `bambooseam-ctl` has a module: [`check`], [`status`], [`wait`], [`explain`],
//! [`can_stop`] and [`logs`]. A subcommand builds a typed report, which [`report`] prints for
//! people or for scripts, and ends with an [`Outcome`]. The fleet is queried through the admin
//! endpoints of its programs ([`fleet`]).

pub mod can_stop;
pub mod check;
mod command;
pub mod documents;
pub mod explain;
pub mod fleet;
pub mod logs;
mod outcome;
pub mod report;
pub mod status;
pub mod wait;

pub use command::command;
pub use outcome::Outcome;

use clap::ArgMatches;

/// Runs the subcommand that the command line selects.
pub async fn run(matches: &ArgMatches) -> Outcome {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches).await,
        Some(("status", matches)) => status::run(matches).await,
        Some(("wait", matches)) => wait::run(matches).await,
        Some(("explain", matches)) => explain::run(matches).await,
        Some(("can-stop", matches)) => can_stop::run(matches).await,
        Some(("logs", matches)) => logs::run(matches),
        _ if matches.get_flag("check") => check::run_settings(matches),
        _ => {
            eprintln!("no subcommand given; see --help");
            Outcome::BadInput
        }
    }
}
