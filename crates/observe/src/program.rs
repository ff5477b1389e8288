//! Command line that all programs of an entry VM share.

use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

use bambooseam_config::Settings;
use clap::{Arg, ArgAction, Command, value_parser};

use crate::init_logs;
use crate::trace::init_traces;

/// Exit code of a run that failed.
pub const EXIT_FAILED: u8 = 1;

/// Exit code of a bad command line, settings file or document.
pub const EXIT_BAD_INPUT: u8 = 2;

/// A program with `--settings` and `--check`.
#[derive(Debug)]
pub struct Program {
    name: &'static str,
    command: Command,
}

/// What a program's command line asks for.
#[derive(Debug)]
pub enum Start {
    /// Run with these settings; logs and traces are started.
    Run {
        /// The settings.
        settings: Box<Settings>,
        /// The file that they were read from.
        path: PathBuf,
    },
    /// Exit at once with this code; the reason has been printed.
    Exit(ExitCode),
}

impl Program {
    /// Creates a program by name and one-line description.
    pub fn new(name: &'static str, about: &'static str) -> Self {
        let settings = Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("Settings of this VM, in INI");
        let check = Arg::new("check")
            .long("check")
            .action(ArgAction::SetTrue)
            .help("Check the settings and exit: 0 good, 2 bad");
        let command = Command::new(name)
            .about(about)
            .version(env!("CARGO_PKG_VERSION"))
            .arg(settings)
            .arg(check);
        Self { name, command }
    }

    /// Takes the settings file from an environment variable when the command line names none.
    pub fn settings_variable(mut self, variable: &'static str) -> Self {
        self.command = self
            .command
            .mut_arg("settings", |settings| settings.env(variable));
        self
    }

    /// Reads command line and settings and starts logs and traces.
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

/// Ends a program: an error is logged and printed, and the last lines of the log are written.
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
