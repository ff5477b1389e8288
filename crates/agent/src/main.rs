//! The program `bambooseam-agent`.

use std::process::ExitCode;

use bambooseam_agent::{Agent, HttpPlatform};
use bambooseam_config::Settings;
use bambooseam_observe::{Admin, EXIT_FAILED, Program, Start, stop_signal};
use tokio::task::LocalSet;

/// Any error that ends the program.
type AnyError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let program = Program::new("bambooseam-agent", "Control program of an entry VM");
    let settings = match program.start() {
        Start::Run(settings) => settings,
        Start::Exit(code) => return code,
    };
    match run(*settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=agent_failed cause={:?}", error.to_string());
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs the agent on one thread until a stop signal comes.
fn run(settings: Settings) -> Result<(), AnyError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async move {
        let platform = HttpPlatform::new(&settings.platform);
        let admin = Admin::bind(settings.agent.admin).await?;
        let agent = Agent::bind(settings).await?;
        let shared = agent.shared();
        let ready = shared.ready();
        tokio::task::spawn_local(admin.serve(ready, move || shared.status()));
        tokio::select! {
            () = agent.run(platform) => Err("the agent's tasks ended".into()),
            signal = stop_signal() => {
                log::info!("event=agent_stopped signal={}", signal?);
                Ok(())
            }
        }
    })
}
