//! Measures policies for placing new flows and keeping open flows on their targets.
//!
//! Simulations in virtual time show which flows survive changes and failures, how even the load is
//! and how much control traffic the forwarders exchange. Benchmarks show the time per packet.

use std::process::ExitCode;

use bambooseam_forwarder::Tracking;
use bambooseam_forwarder::pick::{BoundedPick, HashPick, Pick, TwoChoicesPick};
use clap::{Arg, ArgMatches, Command, value_parser};

pub mod balance;
pub mod caller;
pub mod cost;
pub mod fleet;
pub mod loopback;
pub mod scenario;
pub mod speed;
pub mod tally;

use balance::Balance;
use scenario::{Origin, Outcome, Scenario};

/// Number of flows in each run that compares policies.
const COMPARED_FLOWS: usize = 3_000;
/// Number of flows in each planned change under the selected policy: 100,000 over all changes.
const PLANNED_FLOWS: usize = 10_000;
/// Name of the selected policy.
const SELECTED: &str = "owner_shadow_bounded";
/// Parts of the measurement that `--only` accepts.
const PARTS: [&str; 5] = ["policies", "picked", "balance", "cost", "speed"];

/// Command line of this measurement.
pub fn command() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .value_name("N")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help("Seed of the random number generators");
    let only = Arg::new("only")
        .long("only")
        .value_name("PART")
        .value_parser(PARTS)
        .help("Run one part");
    Command::new("flows")
        .about("Measures policies for placing new flows and keeping open ones")
        .arg(seed)
        .arg(only)
}

/// Runs the measurement.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let only = matches.get_one::<String>("only").map(String::as_str);
    let is_selected = |part: &str| only.is_none_or(|only| only == part);
    println!("measurement=flows seed={seed}");
    if is_selected("policies") {
        print_policies(seed);
    }
    if is_selected("balance") {
        print_balances(seed);
    }
    if is_selected("cost") {
        print_costs(seed);
    }
    if is_selected("speed") {
        print_speeds();
    }
    if is_selected("picked") {
        return print_selected(seed);
    }
    ExitCode::SUCCESS
}

/// Prints the outcome of each change and failure under each policy.
fn print_policies(seed: u64) {
    print_policy("stateless_hash", seed, Tracking::Stateless, HashPick);
    print_policy("owner_hash", seed, Tracking::Owner, HashPick);
    print_policy(
        "owner_bounded",
        seed,
        Tracking::Owner,
        BoundedPick::default(),
    );
    print_policy("owner_shadow_hash", seed, Tracking::OwnerShadow, HashPick);
    print_policy(
        "owner_shadow_two_choices",
        seed,
        Tracking::OwnerShadow,
        TwoChoicesPick,
    );
    print_policy(
        SELECTED,
        seed,
        Tracking::OwnerShadow,
        BoundedPick::default(),
    );
}

/// Prints one line for each change and failure under one policy.
fn print_policy<P: Pick + Clone>(name: &str, seed: u64, tracking: Tracking, pick: P) {
    for scenario in Scenario::all() {
        let outcome = scenario.run(COMPARED_FLOWS, seed, tracking, pick.clone());
        print_outcome(name, scenario, &outcome);
    }
}

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

/// Prints the load balance of each placement policy.
fn print_balances(seed: u64) {
    let tracking = Tracking::OwnerShadow;
    print_balance(
        "hash",
        &balance::measure(COMPARED_FLOWS, seed, tracking, HashPick),
    );
    let two_choices = balance::measure(COMPARED_FLOWS, seed, tracking, TwoChoicesPick);
    print_balance("two_choices", &two_choices);
    for slack in [0.0, 0.01, 0.02, 0.03, 0.05, 0.08] {
        let bounded = balance::measure(COMPARED_FLOWS, seed, tracking, BoundedPick { slack });
        print_balance(&format!("bounded_{slack}"), &bounded);
    }
}

fn print_balance(pick: &str, balance: &Balance) {
    println!(
        "pick={pick} max_over_mean={:.3} worst_sample={:.3} variation={:.3} after_join={:.3} \
         after_restart={:.3} exceptions={:.3}",
        balance.steady,
        balance.worst,
        balance.variation,
        balance.after_join,
        balance.after_restart,
        balance.non_default,
    );
}

/// Prints the control traffic at rest, for each new flow and for each membership change.
fn print_costs(seed: u64) {
    for flows in [1_000, 4_000, 16_000] {
        let cost = cost::measure(flows, seed);
        println!(
            "cost flows={flows} rest_bytes_per_s={:.2} bytes_per_new_flow={:.3} \
             bytes_per_join={:.0} bytes_per_leave={:.0} leave_time_s={:.0} \
             bytes_per_s_highest={:.0}",
            cost.idle, cost.new_flow, cost.join, cost.leave, cost.leave_time, cost.peak,
        );
    }
}

/// Prints the packet times, lookup times and memory use of one forwarder.
fn print_speeds() {
    for (forwarders, targets) in [(5, 15), (50, 500), (850, 15), (850, 4_600)] {
        let speed = speed::measure_fleet(forwarders, targets);
        println!(
            "speed forwarders={forwarders} targets={targets} rank_cold_ns={:.0} \
             rank_warm_ns={:.1} known_ns={:.0} relayed_ns={:.0} first_ns={:.0} view_ms={:.1} \
             build_ms={:.0}",
            speed.rank_cold,
            speed.rank_warm,
            speed.known,
            speed.relayed,
            speed.first,
            speed.view,
            speed.build,
        );
    }
    for flows in [1_000_000, 800_000, 100_000, 10_000, 1_000] {
        let speed = speed::measure_table(flows);
        println!(
            "table flows={flows} lookup_ns={:.1} insert_ns={:.1} bytes_per_flow={:.1} \
             resident_bytes_per_flow={:.1}",
            speed.lookup, speed.insert, speed.bytes, speed.resident,
        );
    }
    for flows in [16_000, 100_000, 400_000] {
        let maintenance = speed::measure_maintenance(flows);
        println!(
            "upkeep flows={flows} tick_us={:.2} core_percent={:.4} change_ms={:.2}",
            maintenance.tick,
            maintenance.core_percent(),
            maintenance.change,
        );
    }
    print_loopback("burst_ratio_to_bare_relay", 8);
    print_loopback("ratio_to_bare_relay", 1);
}

/// Prints the forwarder's throughput relative to a bare relay, with `burst` consecutive packets
/// of each flow.
fn print_loopback(name: &str, burst: usize) {
    match loopback::measure(burst) {
        Ok(result) => println!(
            "burst={burst} bare_packets_per_core_s={:.0} forwarder_packets_per_core_s={:.0} \
             delivered={} {name}={:.3}",
            result.bare, result.forwarder, result.delivered, result.ratio,
        ),
        Err(error) => println!("{name}=failed cause={:?}", error.to_string()),
    }
}

/// Prints the results of the selected policy.
///
/// Fails when a planned change breaks a flow, or when any run delivers a packet to a wrong service
/// or violates an invariant.
fn print_selected(seed: u64) -> ExitCode {
    let mut total = Outcome::default();
    let mut broken = [0, 0];
    let mut peak_rate = 0.0_f64;
    for scenario in Scenario::all() {
        let flows = match scenario.origin() {
            Origin::Planned => PLANNED_FLOWS,
            Origin::Unplanned => COMPARED_FLOWS,
        };
        let pick = BoundedPick::default();
        let outcome = scenario.run(flows, seed, Tracking::OwnerShadow, pick);
        print_outcome("picked", scenario, &outcome);
        broken[usize::from(scenario.origin() == Origin::Unplanned)] += outcome.broken;
        peak_rate = peak_rate.max(outcome.control_rate);
        total.add(&outcome);
    }
    let balance = balance::measure(
        COMPARED_FLOWS,
        seed,
        Tracking::OwnerShadow,
        BoundedPick::default(),
    );
    println!("planned_flows={}", Scenario::PLANNED.len() * PLANNED_FLOWS);
    println!("planned_broken_flows={}", broken[0]);
    println!("unplanned_broken_flows={}", broken[1]);
    println!("wrong_service_packets={}", total.wrong_service);
    println!("violations={}", total.violations);
    println!("max_over_mean={:.3}", balance.steady);
    println!("hops_per_packet={:.3}", total.hops_per_packet());
    println!("control_bytes_per_s={peak_rate:.1}");
    match broken[0] + total.wrong_service + total.violations {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
