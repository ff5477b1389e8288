//! Starts and runs the tasks of an agent.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bambooseam_config::Settings;
use bambooseam_peer::agent::serve_peers;
use bambooseam_peer::feed::serve_views;
use bambooseam_types::Incarnation;
use bambooseam_view::ViewNumber;
use derive_more::{Display, Error, From};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::event::unix_ms;
use crate::exchange::ExchangeHandler;
use crate::peering::Peering;
use crate::platform::Platform;
use crate::reader::{DocumentKind, Reader};
use crate::shared::Shared;
use crate::version::ListKind;

/// How often the gate is checked and pauses are detected.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How often the health of the VMs is updated.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest gap between two ticks that counts as a pause of the process.
const MIN_PAUSE: Duration = Duration::from_secs(2);

/// Why an agent could not start.
#[derive(Debug, Display, Error, From)]
pub enum AgentError {
    /// An address can't be bound.
    #[display("cannot bind an address of the agent: {_0}")]
    Bind(io::Error),
}

/// An agent with its listeners bound.
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
    /// Returns an error when an address can't be bound.
    pub async fn bind(settings: Settings) -> Result<Self, AgentError> {
        let peers = TcpListener::bind(settings.agent.listen).await?;
        let views = TcpListener::bind(settings.agent.views).await?;
        Ok(Self::new(settings, peers, views))
    }

    /// Creates an agent that serves peers on `peers` and local programs on `views`.
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

    /// Address on which the programs of this VM receive their view.
    ///
    /// # Errors
    ///
    /// Returns an error when the system can't report the address.
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
        let lists = ListKind::ALL.map(DocumentKind::List);
        for document in [DocumentKind::Config].into_iter().chain(lists) {
            let reader = Reader::new(platform.clone(), Arc::clone(&shared), document);
            tasks.spawn_local(reader.run());
        }
        let recorder = Arc::clone(&shared);
        let acknowledge =
            move |program: &str, number: ViewNumber| recorder.record_program(program, number);
        tasks.spawn_local(serve_views(views, shared.sources(), acknowledge));
        let meter = Arc::clone(shared.meter());
        let handler = ExchangeHandler {
            shared: Arc::clone(&shared),
        };
        tasks.spawn_local(serve_peers(peers, meter, handler));
        tasks.spawn_local(Peering::new(Arc::clone(&shared)).run());
        tasks.spawn_local(tick(shared));
        while let Some(result) = tasks.join_next().await {
            if let Err(error) = result {
                log::error!("event=agent_task_failed cause={:?}", error.to_string());
                std::panic::resume_unwind(error.into_panic());
            }
        }
    }
}

/// Opens the gate when it is due, updates the health of the VMs, and detects pauses of this
/// process.
async fn tick(shared: Arc<Shared>) {
    let mut time = Instant::now();
    let mut wall = SystemTime::now();
    let mut evaluated = time;
    loop {
        sleep(TICK_INTERVAL).await;
        // The monotonic clock advances while the process is stopped. The wall clock also advances
        // while the whole VM is stopped.
        let wall_elapsed = wall.elapsed().unwrap_or_default();
        let passed = time.elapsed().max(wall_elapsed);
        (time, wall) = (Instant::now(), SystemTime::now());
        if passed >= MIN_PAUSE {
            shared.record_pause(passed);
        }
        shared.try_open();
        if evaluated.elapsed() >= HEALTH_INTERVAL {
            shared.evaluate();
            evaluated = time;
        }
    }
}
