//! The tasks of an agent and how they are started.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_config::Settings;
use bambooseam_peer::feed::serve_views;
use bambooseam_types::Incarnation;
use bambooseam_view::ViewNumber;
use derive_more::{Display, Error, From};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::event::unix_ms;
use crate::platform::Platform;
use crate::reader::{Followed, Reader};
use crate::shared::Shared;
use crate::version::ListKind;

/// How often the gate is tried.
const TICK: Duration = Duration::from_millis(50);

/// Why an agent could not start.
#[derive(Debug, Display, Error, From)]
pub enum AgentError {
    /// An address can't be bound.
    #[display("agent: {_0}")]
    Bind(io::Error),
}

/// An agent whose addresses are bound.
#[derive(Debug)]
pub struct Agent {
    shared: Arc<Shared>,
    peers: TcpListener,
    views: TcpListener,
}

impl Agent {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// An error when an address is taken.
    pub async fn bind(settings: Settings) -> Result<Self, AgentError> {
        let peers = TcpListener::bind(settings.agent.listen).await?;
        let views = TcpListener::bind(settings.agent.views).await?;
        Ok(Self::new(settings, peers, views))
    }

    /// Creates an agent that serves on these listeners.
    pub fn new(settings: Settings, peers: TcpListener, views: TcpListener) -> Self {
        let count = settings.agent.peers.len();
        let incarnation = Incarnation::from(unix_ms());
        let shared = Arc::new(Shared::new(settings, incarnation, count));
        Self {
            shared,
            peers,
            views,
        }
    }

    /// State of this agent, for status and tests.
    pub fn shared(&self) -> Arc<Shared> {
        Arc::clone(&self.shared)
    }

    /// Where the programs of this VM get their view.
    ///
    /// # Errors
    ///
    /// An error when the system does not tell.
    pub fn views(&self) -> io::Result<SocketAddr> {
        self.views.local_addr()
    }

    /// Runs until dropped; must run in a `LocalSet`.
    pub async fn run<P: Platform>(self, platform: P) {
        let Self {
            shared,
            peers,
            views,
        } = self;
        let mut tasks = JoinSet::new();
        let all = ListKind::ALL.map(Followed::List);
        for followed in [Followed::Config].into_iter().chain(all) {
            let reader = Reader::new(platform.clone(), Arc::clone(&shared), followed);
            tasks.spawn_local(reader.run());
        }
        let noting = Arc::clone(&shared);
        let note = move |program: &str, number: ViewNumber| noting.note_program(program, number);
        tasks.spawn_local(serve_views(views, shared.sources(), note));
        tasks.spawn_local(tick(shared));
        drop(peers);
        while let Some(result) = tasks.join_next().await {
            if let Err(error) = result {
                log::error!("event=agent_task_failed cause={:?}", error.to_string());
                std::panic::resume_unwind(error.into_panic());
            }
        }
    }
}

/// Opens the gate in time.
async fn tick(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        shared.try_open();
    }
}
