//! Measures time until a change is in force everywhere, and what control costs.
//!
//! Agents run as processes on loopback, each with an address of its own; the platform's stand-in
//! runs in this process, and so does a view feed for each agent, as a program beside it would have.

mod cost;
mod faults;
mod feeds;
mod fleet;
pub mod relay;
mod run;

use std::path::PathBuf;
use std::process::ExitCode;

use bambooseam_config::Settings;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// What the command line asks for.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    pub(crate) agents: usize,
    pub(crate) zones: usize,
    pub(crate) targets: usize,
    pub(crate) services: usize,
    pub(crate) seed: u64,
    pub(crate) network: u8,
    pub(crate) warm: u64,
    pub(crate) rest: u64,
    pub(crate) changes: usize,
    pub(crate) interval: u64,
    pub(crate) reach: usize,
    pub(crate) kills: usize,
    pub(crate) freezes: usize,
    pub(crate) freeze: u64,
    pub(crate) cuts: usize,
    pub(crate) regions: usize,
    pub(crate) racks: usize,
    pub(crate) log: String,
}

/// Command line of this measurement.
pub fn command() -> Command {
    Command::new("control")
        .about("Measures time until a change is in force everywhere, and what control costs")
        .arg(number("agents", "5", "Agents to start"))
        .arg(number("zones", "3", "Zones over which they are spread"))
        .arg(number("targets", "20", "Targets in the published list"))
        .arg(number("services", "2", "Services in each preset"))
        .arg(number("seed", "1", "Seed of changes and faults"))
        .arg(number(
            "network",
            "70",
            "Second byte of the loopback addresses",
        ))
        .arg(number(
            "warm",
            "10",
            "Seconds before the measurement at rest",
        ))
        .arg(number("rest", "20", "Seconds of the measurement at rest"))
        .arg(number("changes", "40", "Changes that are published"))
        .arg(number(
            "interval",
            "500",
            "Milliseconds between two changes",
        ))
        .arg(number(
            "reach",
            "0",
            "Zones that reach the platform; 0: all",
        ))
        .arg(number(
            "kills",
            "0",
            "Agents killed and started again meanwhile",
        ))
        .arg(number("freezes", "0", "Agents stopped and woken meanwhile"))
        .arg(number(
            "freeze",
            "6",
            "Seconds for which an agent is stopped",
        ))
        .arg(number(
            "cuts",
            "0",
            "Times that a zone is cut off meanwhile",
        ))
        .arg(number(
            "regions",
            "0",
            "Times that half of the zones are cut off meanwhile",
        ))
        .arg(number(
            "racks",
            "0",
            "Times that half of a zone is killed and started again",
        ))
        .arg(
            Arg::new("log")
                .long("log")
                .default_value("warn")
                .help("Level of the agents' logs"),
        )
        .arg(
            Arg::new("as-agent")
                .long("as-agent")
                .hide(true)
                .action(ArgAction::Set)
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Runs the measurement.
pub fn run(matches: &ArgMatches) -> ExitCode {
    if let Some(path) = matches.get_one::<PathBuf>("as-agent") {
        return run_agent(path);
    }
    let options = Options::from(matches);
    match run::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!(
                "measurement=control result=failed cause={:?}",
                error.to_string()
            );
            ExitCode::FAILURE
        }
    }
}

/// Runs as one of the agents.
fn run_agent(path: &std::path::Path) -> ExitCode {
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::FAILURE;
        }
    };
    let result = bambooseam_observe::init_logs(&settings.log);
    if result.is_err() || bambooseam_agent::run_process(settings).is_err() {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

impl From<&ArgMatches> for Options {
    fn from(matches: &ArgMatches) -> Self {
        let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
        let count = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
        Self {
            agents: count("agents").max(1),
            zones: count("zones").clamp(1, fleet::ZONES.len()),
            targets: count("targets").max(2),
            services: count("services"),
            seed: number("seed"),
            network: u8::try_from(number("network")).unwrap_or(u8::MAX),
            warm: number("warm"),
            rest: number("rest").max(1),
            changes: count("changes"),
            interval: number("interval"),
            reach: count("reach"),
            kills: count("kills"),
            freezes: count("freezes"),
            freeze: number("freeze"),
            cuts: count("cuts"),
            regions: count("regions"),
            racks: count("racks"),
            log: matches.get_one("log").cloned().unwrap_or_default(),
        }
    }
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}
