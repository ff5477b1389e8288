//! Command line of the `bambooseam-standin` program, which runs a simulated platform or targets.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use bambooseam_observe::stop_signal;
use bambooseam_standin::{DeploymentKind, Plan, Platform, TargetHost};
use clap::{Arg, ArgMatches, Command, value_parser};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return failed(&error),
    };
    let result = match matches.subcommand() {
        Some(("platform", matches)) => runtime.block_on(run_platform(matches)),
        Some(("target", matches)) => runtime.block_on(run_targets(matches)),
        _ => return ExitCode::from(2),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error),
    }
}

/// Defines the command line.
fn command() -> Command {
    let platform = Command::new("platform")
        .about("Runs a platform that serves the documents of a deployment")
        .arg(address_arg(
            "listen",
            "127.0.0.1:8500",
            "Address of the HTTP service",
        ));
    let zone = Arg::new("zone")
        .long("zone")
        .value_name("ZONE")
        .help("Runs only the targets of this zone");
    let target = Command::new("target")
        .about("Runs the targets of a deployment")
        .arg(address_arg(
            "control",
            "127.0.0.1:8600",
            "Address of the control endpoint",
        ))
        .arg(zone);
    Command::new("bambooseam-standin")
        .about("Simulated platform and targets for tests and demonstrations")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(platform.args(plan_args()))
        .subcommand(target.args(plan_args()))
}

/// Defines an option that takes a socket address.
fn address_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .default_value(default)
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

/// Defines the options that describe a [`Plan`].
fn plan_args() -> [Arg; 3] {
    let deployment = Arg::new("deployment")
        .long("deployment")
        .value_name("PLACE")
        .default_value("cascade")
        .value_parser(|text: &str| text.parse::<DeploymentKind>().map_err(|e| e.to_string()))
        .help("Deployment to simulate: cascade or swanbourne");
    let number = |name, default, help| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u8))
            .help(help)
    };
    [
        deployment,
        number("network", "1", "Second byte of all addresses: 127.N"),
        number("vms", "5", "Number of entry VMs"),
    ]
}

/// Builds the [`Plan`] that the options describe.
fn plan(matches: &ArgMatches) -> Plan {
    let kind = *matches.get_one("deployment").expect("clap sets a default");
    let network: u8 = *matches.get_one("network").expect("clap sets a default");
    let vms: u8 = *matches.get_one("vms").expect("clap sets a default");
    Plan::of(kind)
        .with_network([127, network])
        .with_vms(vms.into())
}

/// Runs the platform until the process receives a stop signal.
async fn run_platform(matches: &ArgMatches) -> io::Result<()> {
    let address = *matches.get_one("listen").expect("clap sets a default");
    let platform = Platform::start(address).await?;
    platform.publish(Plan::PREFIX, &plan(matches).build());
    println!("event=platform_ready address={}", platform.address());
    stop_signal().await?;
    Ok(())
}

/// Runs targets until the process receives a stop signal.
async fn run_targets(matches: &ArgMatches) -> io::Result<()> {
    let control = *matches.get_one("control").expect("clap sets a default");
    let zone: Option<&String> = matches.get_one("zone");
    let plan = plan(matches);
    let mut specs = plan.build().target_specs(&plan);
    specs.retain(|spec| zone.is_none_or(|zone| spec.entry.zone.as_str() == zone));
    let count = specs.len();
    let host = TargetHost::start(control, specs).await?;
    println!(
        "event=targets_ready count={count} control={}",
        host.address()
    );
    stop_signal().await?;
    Ok(())
}

/// Reports an error that ends the process.
fn failed(error: &io::Error) -> ExitCode {
    eprintln!("event=standin_failed cause={:?}", error.to_string());
    ExitCode::FAILURE
}
