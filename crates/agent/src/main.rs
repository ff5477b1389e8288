//! The program `bambooseam-agent`.

use std::process::ExitCode;

use bambooseam_observe::{EXIT_FAILED, Program, Start};

fn main() -> ExitCode {
    let program = Program::new("bambooseam-agent", "Control program of an entry VM");
    let settings = match program.start() {
        Start::Run { settings, .. } => settings,
        Start::Exit(code) => return code,
    };
    match bambooseam_agent::run_process(*settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=agent_failed cause={:?}", error.to_string());
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
