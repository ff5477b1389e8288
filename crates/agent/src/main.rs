//! The program `bambooseam-agent`.

use std::process::ExitCode;

use bambooseam_observe::{Program, Start, finish};

fn main() -> ExitCode {
    let program = Program::new("bambooseam-agent", "Control program of an entry VM");
    let settings = match program.start() {
        Start::Run { settings, .. } => settings,
        Start::Exit(code) => return code,
    };
    finish(bambooseam_agent::run_process(*settings))
}
