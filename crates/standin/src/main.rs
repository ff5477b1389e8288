//! Command line of the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use bambooseam_standin::{DeploymentKind, Plan, Platform};
use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::signal::unix::{SignalKind, signal};

/// Start of all keys.
const PREFIX: &str = "bambooseam";

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return failed(&error),
    };
    let result = match matches.subcommand() {
        Some(("platform", matches)) => runtime.block_on(run_platform(matches)),
        _ => return ExitCode::from(2),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error),
    }
}

/// The command line.
fn command() -> Command {
    let deployment = Arg::new("deployment")
        .long("deployment")
        .value_name("PLACE")
        .default_value("cascade")
        .value_parser(|text: &str| text.parse::<DeploymentKind>().map_err(|e| e.to_string()))
        .help("Places to stand in for: cascade or swanbourne");
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .default_value("127.0.0.1:8500")
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the service");
    Command::new("bambooseam-standin")
        .about("Stand-ins for platform and targets")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Serves the published documents of a deployment")
                .arg(deployment)
                .arg(listen),
        )
}

/// Runs the platform until a signal.
async fn run_platform(matches: &ArgMatches) -> io::Result<()> {
    let address = *matches.get_one("listen").expect("clap sets a default");
    let kind = *matches.get_one("deployment").expect("clap sets a default");
    let platform = Platform::start(address).await?;
    platform.publish(PREFIX, &Plan::of(kind).build());
    println!("event=platform_ready address={}", platform.address());
    stop_signal().await
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Reports an error of the whole run.
fn failed(error: &io::Error) -> ExitCode {
    eprintln!("event=standin_failed cause={:?}", error.to_string());
    ExitCode::FAILURE
}
