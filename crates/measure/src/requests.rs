//! Measures queues, slots, the crest of a swing and the truth of outcomes.

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

/// Prints a part for a seed; tells whether its bounds are met.
type Part = fn(u64) -> bool;

/// Parts of the measurement, in the order in which they run.
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
        .help("Seed of all random draws");
    let part = Arg::new("part")
        .long("part")
        .value_name("NAME")
        .value_parser(PARTS.map(|(name, _)| name))
        .help("Run one part only");
    Command::new("requests")
        .about("Measures queues, slots, the crest of a swing and the truth of outcomes")
        .arg(seed)
        .arg(part)
}

/// Runs the measurement; fails when a bound is missed.
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

/// Prints one figure with its bound; returns whether it is met.
pub fn print_bound(name: &str, value: f64, bound: Bound) -> bool {
    let (is_met, sign, limit) = match bound {
        Bound::Most(limit) => (value <= limit, "<=", limit),
        Bound::Least(limit) => (value >= limit, ">=", limit),
    };
    let result = if is_met { "met" } else { "missed" };
    println!("{name}={value:.3} bound={sign}{limit} result={result}");
    is_met
}

/// What a figure must keep to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Bound {
    /// At most this.
    Most(f64),
    /// At least this.
    Least(f64),
}
