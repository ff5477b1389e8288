//! An agent as a process of its own.

use std::io;
use std::sync::Arc;

use bambooseam_config::Settings;
use bambooseam_observe::{Admin, AdminError, stop_signal};
use derive_more::{Display, Error, From};
use tokio::task::{LocalSet, spawn_local};

use crate::agent::{Agent, AgentError};
use crate::platform::HttpPlatform;

/// Why an agent process failed.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// The runtime or the signal handlers could not be created.
    #[display("cannot create the runtime or the signal handlers: {_0}")]
    Runtime(io::Error),
    /// The admin endpoint could not start.
    Admin(AdminError),
    /// The agent could not start.
    Agent(AgentError),
    /// The tasks ended, although they run until they are dropped.
    #[display("the agent's tasks ended")]
    #[from(ignore)]
    Ended,
}

/// Runs an agent on one thread until a stop signal arrives; logging must have been started.
///
/// # Errors
///
/// Returns an error when an address can't be bound or the tasks end.
pub fn run_process(settings: Settings) -> Result<(), ProcessError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async move {
        let platform = settings.platform.clone();
        let admin = Admin::bind(settings.agent.admin).await?;
        let agent = Agent::bind(settings).await?;
        let shared = agent.shared();
        let platform = HttpPlatform::new(&platform, Arc::clone(shared.platform_meter()));
        let ready = shared.ready();
        spawn_local(admin.serve(ready, move || shared.status()));
        tokio::select! {
            () = agent.run(platform) => Err(ProcessError::Ended),
            signal = stop_signal() => {
                log::info!("event=agent_stopped signal={}", signal?);
                Ok(())
            }
        }
    })
}
