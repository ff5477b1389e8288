//! Command line of the soak test.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bambooseam_soak::regressions::{DEFAULT_SIZE, REGRESSIONS};
use bambooseam_soak::{Plan, PlanSize, Programs, chart, run};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Maximum number of VMs of a run: one byte of an address numbers the VMs, zone by zone.
const MAX_VMS: u64 = 240;

fn main() -> ExitCode {
    run_seeds(&command().get_matches())
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    let seconds = DEFAULT_SIZE.length.as_secs().to_string();
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .action(ArgAction::SetTrue)
            .help(help)
    };
    let path = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("PATH")
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    Command::new("bambooseam-soak")
        .about("Runs real entry programs under random faults and checks invariants")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help("Exit codes: 0 no invariant violated, 1 an invariant violated or a run failed")
        .arg(number("seed", "1", "First seed"))
        .arg(number(
            "seeds",
            "1",
            "Number of seeds to run, one after the other",
        ))
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .default_value(seconds)
                .value_parser(value_parser!(u64).range(20..))
                .help("Length of a run; the last 16 s are without faults"),
        )
        .arg(
            Arg::new("minutes")
                .long("minutes")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .conflicts_with("seconds")
                .help("Length of a run in minutes"),
        )
        .arg(
            Arg::new("vms")
                .long("vms")
                .value_name("N")
                .default_value(DEFAULT_SIZE.vms.to_string())
                .value_parser(value_parser!(u64).range(1..=MAX_VMS))
                .help("Number of VMs, distributed over three zones"),
        )
        .arg(flag(
            "restores",
            "Let the store return from older copies at times",
        ))
        .arg(flag(
            "restarts",
            "Let targets start again under their identifiers at times",
        ))
        .arg(flag(
            "lapses",
            "Let entries lapse in short outages of the store during planned work",
        ))
        .arg(flag("plan", "Print the plan without running it"))
        .arg(flag("replay", "Run all kept regression seeds instead"))
        .arg(path(
            "picture",
            "Write a chart of each run to SEED.svg in this directory",
        ))
        .arg(path(
            "program",
            "Entry program; by default bambooseam-entry next to this program",
        ))
        .arg(path(
            "older",
            "Earlier entry program, which VMs run at first and at every other start",
        ))
}

/// Runs the plans that the command line selects.
fn run_seeds(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| matches.get_one::<u64>(name).copied();
    let minutes = number("minutes").map(|minutes| minutes * 60);
    let seconds = minutes.or(number("seconds"));
    let size = PlanSize {
        length: seconds.map_or(DEFAULT_SIZE.length, Duration::from_secs),
        vms: number("vms").map_or(DEFAULT_SIZE.vms, |vms| vms as usize),
        has_restores: matches.get_flag("restores"),
        has_restarts: matches.get_flag("restarts"),
        has_lapses: matches.get_flag("lapses"),
    };
    let first = number("seed").unwrap_or(1);
    let count = number("seeds").unwrap_or(1);
    let runs: Vec<(u64, PlanSize)> = match matches.get_flag("replay") {
        true => REGRESSIONS
            .iter()
            .map(|regression| (regression.seed, regression.size))
            .collect(),
        false => (first..first + count).map(|seed| (seed, size)).collect(),
    };
    let mut failed_seeds = Vec::new();
    for (seed, size) in &runs {
        let plan = Plan::generate(*seed, *size);
        print!("{plan}");
        if matches.get_flag("plan") {
            continue;
        }
        match run_one(matches, &plan) {
            Ok(Some(true)) => {}
            Ok(Some(false)) => failed_seeds.push(*seed),
            Ok(None) => return ExitCode::FAILURE,
            Err(error) => {
                eprintln!("seed={seed} {error}");
                failed_seeds.push(*seed);
            }
        }
    }
    println!("seeds={} broken_seeds={failed_seeds:?}", runs.len());
    match failed_seeds.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Runs one plan; returns whether no invariant was violated, or `None` if the run was interrupted.
fn run_one(matches: &ArgMatches, plan: &Plan) -> std::io::Result<Option<bool>> {
    let default_program = || {
        let executable = std::env::current_exe()?;
        let directory = executable.parent().unwrap_or(Path::new("."));
        Ok::<_, std::io::Error>(directory.join("bambooseam-entry"))
    };
    let program = match matches.get_one::<PathBuf>("program") {
        Some(program) => program.clone(),
        None => default_program()?,
    };
    let programs = Programs {
        program,
        older: matches.get_one::<PathBuf>("older").cloned(),
    };
    // The simulated services of a run end with its runtime.
    let runtime = tokio::runtime::Runtime::new()?;
    let outcome = runtime.block_on(async {
        tokio::select! {
            outcome = run(plan, programs) => outcome.map(Some),
            // Without a handler, an interrupt would leave the entry programs running.
            _ = tokio::signal::ctrl_c() => Ok(None),
        }
    })?;
    let Some(outcome) = outcome else {
        return Ok(None);
    };
    println!("seed={} {outcome}", plan.seed);
    if let Some(directory) = matches.get_one::<PathBuf>("picture") {
        let path = directory.join(format!("{}.svg", plan.seed));
        std::fs::write(path, chart::draw(plan, &outcome))?;
    }
    Ok(Some(outcome.violations.is_empty()))
}
