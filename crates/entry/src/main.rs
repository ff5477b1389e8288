//! The program `bambooseam-entry`.

use std::process::ExitCode;

use bambooseam_observe::{Program, Start, finish};
use bambooseam_platform::SETTINGS_VARIABLE;

fn main() -> ExitCode {
    let about = "Forwards callers' packets to the targets that the packets name";
    let program = Program::new("bambooseam-entry", about).settings_variable(SETTINGS_VARIABLE);
    let (settings, path) = match program.start() {
        Start::Run { settings, path } => (settings, path),
        Start::Exit(code) => return code,
    };
    finish(bambooseam_entry::run_process(*settings, path))
}
