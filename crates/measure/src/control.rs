//! Measures the time until a change is in force on all agents, and the cost of the control plane.
//!
//! Agents run as processes on loopback, each with its own address. The simulated platform
//! runs in this process, and so does a subscriber to each agent's view feed, in the role of the
//! forwarder and proxy of that VM.

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

/// Options of the command line; the help texts in [`command`] state their units.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    pub(crate) agents: usize,
    pub(crate) zones: usize,
    pub(crate) targets: usize,
    pub(crate) services: usize,
    pub(crate) seed: u64,
    pub(crate) network: u8,
    pub(crate) warm_s: u64,
    pub(crate) rest_s: u64,
    pub(crate) changes: usize,
    pub(crate) interval_ms: u64,
    pub(crate) reaching_zones: usize,
    pub(crate) kills: usize,
    pub(crate) freezes: usize,
    pub(crate) freeze_s: u64,
    pub(crate) cuts: usize,
    pub(crate) regions: usize,
    pub(crate) racks: usize,
    pub(crate) log: String,
}

/// Command line of this measurement.
pub fn command() -> Command {
    Command::new("control")
        .about("Measures the time until a change is in force everywhere, and the control traffic")
        .arg(number("agents", "5", "Number of agents"))
        .arg(number(
            "zones",
            "3",
            "Number of zones over which the agents are spread",
        ))
        .arg(number(
            "targets",
            "20",
            "Number of targets in the published list",
        ))
        .arg(number("services", "2", "Number of services in each preset"))
        .arg(number("seed", "1", "Seed of changes and faults"))
        .arg(number(
            "network",
            "70",
            "Second byte of the loopback addresses",
        ))
        .arg(number(
            "warm",
            "10",
            "Seconds to wait before the measurement at rest",
        ))
        .arg(number("rest", "20", "Seconds of the measurement at rest"))
        .arg(number("changes", "40", "Number of changes to publish"))
        .arg(number(
            "interval",
            "500",
            "Milliseconds between two changes",
        ))
        .arg(number(
            "reach",
            "0",
            "Number of zones that reach the platform; 0 means all",
        ))
        .arg(number(
            "kills",
            "0",
            "Number of times that an agent is killed and restarted during the changes",
        ))
        .arg(number(
            "freezes",
            "0",
            "Number of times that an agent is suspended and resumed during the changes",
        ))
        .arg(number(
            "freeze",
            "6",
            "Seconds for which an agent is suspended",
        ))
        .arg(number(
            "cuts",
            "0",
            "Number of times that a zone is partitioned during the changes",
        ))
        .arg(number(
            "regions",
            "0",
            "Number of times that half of the zones are partitioned during the changes",
        ))
        .arg(number(
            "racks",
            "0",
            "Number of times that half of a zone is killed and restarted during the changes",
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

/// Runs this process as one of the agents, with the settings at `path`.
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
            warm_s: number("warm"),
            rest_s: number("rest").max(1),
            changes: count("changes"),
            interval_ms: number("interval"),
            reaching_zones: count("reach"),
            kills: count("kills"),
            freezes: count("freezes"),
            freeze_s: number("freeze"),
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
