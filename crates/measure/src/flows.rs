//! Measures policies that keep and place flows.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

pub mod caller;
pub mod fleet;
pub mod scenario;
pub mod tally;

use bambooseam_forwarder::Tracking;
use bambooseam_forwarder::pick::{BoundedPick, HashPick, Pick, TwoChoicesPick};
use scenario::{Outcome, Scenario};

/// Command line of this measurement.
pub fn command() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .value_name("N")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help("Seed of all chance");
    let flows = Arg::new("flows")
        .long("flows")
        .value_name("N")
        .default_value("3000")
        .value_parser(value_parser!(u64).range(100..=1_000_000))
        .help("Flows in each run of the table");
    Command::new("flows")
        .about("Measures policies that keep and place flows")
        .arg(seed)
        .arg(flows)
}

/// Runs the measurement.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let flows = matches.get_one::<u64>("flows").copied().unwrap_or(3_000) as usize;
    println!("measurement=flows seed={seed} flows={flows}");
    print_policy("stateless_hash", flows, seed, Tracking::Stateless, HashPick);
    print_policy("owner_hash", flows, seed, Tracking::Owner, HashPick);
    print_policy(
        "owner_shadow_hash",
        flows,
        seed,
        Tracking::OwnerShadow,
        HashPick,
    );
    print_policy("owner_bounded", flows, seed, Tracking::Owner, BoundedPick);
    print_policy(
        "owner_shadow_two_choices",
        flows,
        seed,
        Tracking::OwnerShadow,
        TwoChoicesPick,
    );
    print_policy(
        "owner_shadow_bounded",
        flows,
        seed,
        Tracking::OwnerShadow,
        BoundedPick,
    );
    ExitCode::SUCCESS
}

/// Prints one line for each change and failure under a policy.
fn print_policy<P: Pick + Clone>(name: &str, flows: usize, seed: u64, tracking: Tracking, pick: P) {
    let all = [&Scenario::PLANNED[..], &Scenario::UNPLANNED[..]].concat();
    for scenario in all {
        let start = std::time::Instant::now();
        let outcome = scenario.run(flows, seed, tracking, pick.clone());
        print_outcome(name, scenario, &outcome);
        eprintln!("{:?}", start.elapsed());
    }
}

/// Prints one outcome.
fn print_outcome(policy: &str, scenario: Scenario, outcome: &Outcome) {
    println!(
        "policy={policy} scenario={scenario} flows={} broken={} wrong_service={} \
         new_to_leaving={} max_over_mean={:.3} variation={:.3} hops_per_packet={:.3} \
         control_bytes_per_s={:.1} violations={}",
        outcome.flows,
        outcome.broken,
        outcome.wrong_service,
        outcome.new_to_leaving,
        outcome.max_over_mean,
        outcome.variation,
        outcome.hops_per_packet(),
        outcome.control_rate,
        outcome.violations,
    );
}
