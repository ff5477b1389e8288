//! Measures request handling: slot scheduling, overload at the crest, the correctness of reported
//! outcomes, and the throughput of the proxy.

pub mod caller;
pub mod comparison;
pub mod crest;
pub mod fleet;
pub mod network;
pub mod schedule;
pub mod speed;
pub mod target;
pub mod truth;

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

/// Runs and prints one part for a seed; returns whether its bounds are met.
type Part = fn(u64) -> bool;

/// Parts of the measurement, in execution order.
const PARTS: [(&str, Part); 4] = [
    ("schedule", comparison::print),
    ("crest", crest::print),
    ("truth", truth::print),
    ("speed", speed::print),
];

/// Command line of this measurement.
pub fn command() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Seed of the random number generators");
    let part = Arg::new("part")
        .long("part")
        .value_name("NAME")
        .value_parser(PARTS.map(|(name, _)| name))
        .help("Run one part only");
    Command::new("requests")
        .about("Measures slot scheduling, overload, the correctness of outcomes and throughput")
        .arg(seed)
        .arg(part)
}

/// Runs the measurement; fails when a bound is not met.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let only = matches.get_one::<String>("part");
    println!("seed={seed}");
    let mut is_met = true;
    for (name, print) in PARTS {
        if only.is_some_and(|only| only != name) {
            continue;
        }
        is_met &= print(seed);
    }
    if is_met {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Prints a value with its bound; returns whether the bound is met.
pub fn print_bound(name: &str, value: f64, bound: Bound) -> bool {
    let (is_met, sign, limit) = match bound {
        Bound::AtMost(limit) => (value <= limit, "<=", limit),
        Bound::AtLeast(limit) => (value >= limit, ">=", limit),
    };
    let result = if is_met { "met" } else { "missed" };
    println!("{name}={value:.3} bound={sign}{limit} result={result}");
    is_met
}

/// Bound of a measured value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Bound {
    /// The value must be at most this.
    AtMost(f64),
    /// The value must be at least this.
    AtLeast(f64),
}
