//! Runs the whole system as processes on loopback and measures the effect of changes and faults.
//!
//! Each step prints one line of key=value pairs, and the last line is the result. All processes are
//! stopped at the end, including after an error or a signal.

mod check;
mod cost;
mod platform;
mod process;
mod step;
mod system;
mod traffic;

use std::io::{self, IsTerminal};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bambooseam_observe::stop_signal;
use bambooseam_standin::{DeploymentKind, Network};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use platform::PlatformDemo;
use step::Steps;
use system::{System, SystemPlan};
use traffic::TrafficPlan;

/// Name of the users' platform on the command line; all other names are deployments on
/// the load balancer's own interface.
const PLATFORM: &str = "platform";

/// Deployment to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DeploymentArg {
    /// A deployment on the load balancer's own interface.
    Native(DeploymentKind),
    /// The users' platform.
    Platform,
}

/// Options of a demonstration on the load balancer's own interface.
#[derive(Debug)]
struct Demo {
    system: SystemPlan,
    network: Option<u8>,
    traffic: TrafficPlan,
    period: Duration,
    is_short: bool,
}

/// Command line of this measurement.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .help(help)
    };
    Command::new("demo")
        .about("Measures the whole system as processes on loopback")
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("PLACE")
                .default_value("cascade")
                .value_parser(|text: &str| match text {
                    PLATFORM => Ok(DeploymentArg::Platform),
                    kind => kind
                        .parse()
                        .map(DeploymentArg::Native)
                        .map_err(|e| e.to_string()),
                })
                .help(
                    "Deployment to run: cascade, swanbourne, or platform for the users' platform",
                ),
        )
        .arg(
            number("seed", "1", "Seed of the random number generators")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("network")
                .long("network")
                .value_name("N")
                .value_parser(value_parser!(u8))
                .help("Second byte N of all addresses, 127.N; a free one by default"),
        )
        .arg(number("vms", "5", "Number of entry VMs").value_parser(value_parser!(u8)))
        .arg(number("feeds", "450", "Number of open feeds").value_parser(value_parser!(usize)))
        .arg(
            number(
                "callers",
                "12",
                "Number of callers of orders; downloads have half as many",
            )
            .value_parser(value_parser!(usize)),
        )
        .arg(
            number(
                "step-time",
                "4",
                "Minimum seconds for which each step is observed",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("short")
                .long("short")
                .action(ArgAction::SetTrue)
                .help("Run steady load only, without changes and faults"),
        )
}

/// Runs the measurement.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return failed(&error),
    };
    if matches.get_one("deployment") == Some(&DeploymentArg::Platform) {
        return runtime.block_on(run_platform(matches));
    }
    match Demo::try_from(matches) {
        Ok(demo) => runtime.block_on(demo.run()),
        Err(error) => failed(&error),
    }
}

/// Runs the steps on the users' platform and prints the result.
async fn run_platform(matches: &ArgMatches) -> ExitCode {
    let binaries = match binaries() {
        Ok(binaries) => binaries,
        Err(error) => return failed(&error),
    };
    let seed = *matches.get_one("seed").expect("has a default");
    let result = tokio::select! {
        result = PlatformDemo::run(
            &binaries,
            period(matches),
            matches.get_flag("short"),
            seed,
        ) => result,
        _ = stop_signal() => Err(io::ErrorKind::Interrupted.into()),
    };
    let failures = match result {
        Ok(failures) => failures,
        Err(error) => return failed(&error),
    };
    for failure in &failures {
        println!("event=demo_failure {failure}");
    }
    match failures.is_empty() {
        true => {
            println!("measurement=demo deployment={PLATFORM} result=good");
            ExitCode::SUCCESS
        }
        false => {
            println!(
                "measurement=demo deployment={PLATFORM} result=failed failures={}",
                failures.len()
            );
            ExitCode::FAILURE
        }
    }
}

/// Returns the directory of the programs, which is that of this program.
fn binaries() -> io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    Ok(executable.parent().unwrap_or(Path::new(".")).into())
}

/// Returns the minimum time for which each step is observed.
fn period(matches: &ArgMatches) -> Duration {
    Duration::from_secs(*matches.get_one("step-time").expect("has a default"))
}

impl TryFrom<&ArgMatches> for Demo {
    type Error = io::Error;

    fn try_from(matches: &ArgMatches) -> Result<Self, io::Error> {
        let Some(&DeploymentArg::Native(kind)) = matches.get_one("deployment") else {
            return Err(io::Error::other(
                "the deployment platform does not use the load balancer's own interface",
            ));
        };
        Ok(Self {
            system: SystemPlan {
                kind,
                vms: *matches.get_one("vms").expect("has a default"),
                binaries: binaries()?,
            },
            network: matches.get_one("network").copied(),
            traffic: TrafficPlan {
                feeds: *matches.get_one("feeds").expect("has a default"),
                callers: *matches.get_one("callers").expect("has a default"),
                seed: *matches.get_one("seed").expect("has a default"),
            },
            period: period(matches),
            is_short: matches.get_flag("short"),
        })
    }
}

impl Demo {
    /// Runs all steps, stops everything and prints the result.
    async fn run(self) -> ExitCode {
        let directory = match make_directory() {
            Ok(directory) => directory,
            Err(error) => return failed(&error),
        };
        let network = self.network.is_none().then(Network::reserve);
        let number = network.as_ref().map(|network| network.prefix()[1]);
        let number = self.network.or(number).unwrap_or_default();
        let mut system = System::new(&self.system, number, &directory);
        let result = tokio::select! {
            result = self.run_steps(&mut system) => result,
            _ = stop_signal() => Err(io::ErrorKind::Interrupted.into()),
        };
        progress("stopping all processes");
        system.stop().await;
        let kind = self.system.kind;
        let failures = match result {
            Ok(failures) => failures,
            Err(error) => vec![format!("cause={:?}", error.to_string())],
        };
        for failure in &failures {
            println!("event=demo_failure {failure}");
        }
        if failures.is_empty() {
            println!("measurement=demo deployment={kind} result=good");
            // The logs are needed only after a failure.
            let _removed = std::fs::remove_dir_all(&directory);
            return ExitCode::SUCCESS;
        }
        println!(
            "measurement=demo deployment={kind} result=failed failures={} logs={}",
            failures.len(),
            directory.display()
        );
        ExitCode::FAILURE
    }

    /// Starts the system and runs the steps; returns the failures found.
    async fn run_steps(&self, system: &mut System) -> io::Result<Vec<String>> {
        progress("starting platform, targets and programs");
        system.start(self.system.kind).await?;
        progress("all programs are ready; starting the load");
        let steps = Steps::start(system, self.traffic, self.period).await?;
        steps.run(self.is_short).await
    }
}

/// Prints a progress message when standard error is a terminal.
fn progress(text: &str) {
    if io::stderr().is_terminal() {
        eprintln!("{text} ...");
    }
}

/// Creates a directory for the settings and logs of this run.
fn make_directory() -> io::Result<PathBuf> {
    let name = format!("bambooseam-demo-{}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}

/// Prints an error as the result and returns the exit code.
fn failed(error: &io::Error) -> ExitCode {
    println!(
        "measurement=demo result=failed cause={:?}",
        error.to_string()
    );
    ExitCode::FAILURE
}
