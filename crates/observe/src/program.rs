//! Command line, start-up and exit shared by all programs of an entry VM.

use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

use bambooseam_config::Settings;
use clap::{Arg, ArgAction, Command, value_parser};

use crate::init_logs;
use crate::trace::init_traces;

/// Exit code of a failed run.
pub const EXIT_FAILED: u8 = 1;

/// Exit code for an invalid command line, settings file or document.
pub const EXIT_BAD_INPUT: u8 = 2;

/// A program that accepts the options `--settings` and `--check`.
#[derive(Debug)]
pub struct Program {
    name: &'static str,
    command: Command,
}

/// Result of parsing the command line and initialising the process.
#[derive(Debug)]
pub enum Start {
    /// Run with these settings; logging and tracing are initialised.
    Run {
        /// The parsed settings.
        settings: Box<Settings>,
        /// File that the settings were read from.
        path: PathBuf,
    },
    /// Exit immediately with this code; the reason has already been printed.
    Exit(ExitCode),
}

impl Program {
    /// Creates a program with a name and a one-line description for its help text.
    pub fn new(name: &'static str, about: &'static str) -> Self {
        let settings = Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("Settings file of this VM, in INI format");
        let check = Arg::new("check")
            .long("check")
            .action(ArgAction::SetTrue)
            .help("Check the settings file and exit with 0 if it is valid, 2 if not");
        let command = Command::new(name)
            .about(about)
            .version(env!("CARGO_PKG_VERSION"))
            .arg(settings)
            .arg(check);
        Self { name, command }
    }

    /// Reads the path of the settings file from an environment variable when `--settings` is
    /// absent.
    pub fn settings_variable(mut self, variable: &'static str) -> Self {
        self.command = self
            .command
            .mut_arg("settings", |settings| settings.env(variable));
        self
    }

    /// Parses the command line, loads the settings and initialises logging and tracing.
    pub fn start(self) -> Start {
        let matches = self.command.get_matches();
        let Some(path) = matches.get_one::<PathBuf>("settings") else {
            return Start::Exit(ExitCode::from(EXIT_BAD_INPUT));
        };
        let settings = match Settings::load(path) {
            Ok(settings) => settings,
            Err(findings) => {
                eprintln!("{findings}");
                return Start::Exit(ExitCode::from(EXIT_BAD_INPUT));
            }
        };
        if matches.get_flag("check") {
            println!("settings={} result=good", path.display());
            return Start::Exit(ExitCode::SUCCESS);
        }
        if let Err(error) = init_logs(&settings.log) {
            eprintln!("{error}");
            return Start::Exit(ExitCode::from(EXIT_FAILED));
        }
        if let Err(error) = init_traces(&settings, self.name) {
            eprintln!("{error}");
            return Start::Exit(ExitCode::from(EXIT_FAILED));
        }
        Start::Run {
            settings: Box::new(settings),
            path: path.clone(),
        }
    }
}

/// Logs and prints the error of a run, flushes the log and returns the exit code.
pub fn finish<E: Display>(result: Result<(), E>) -> ExitCode {
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=failed cause={:?}", error.to_string());
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    };
    log::logger().flush();
    code
}
