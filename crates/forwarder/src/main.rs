//! Command line of the packet program.

use std::process::ExitCode;

use bambooseam_forwarder::run;
use bambooseam_observe::{Program, Start, finish};

fn main() -> ExitCode {
    let program = Program::new("bambooseam-forwarder", "Packet program of an entry VM");
    let settings = match program.start() {
        Start::Run { settings, .. } => *settings,
        Start::Exit(code) => return code,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => Err(error.into()),
    };
    finish(result)
}
