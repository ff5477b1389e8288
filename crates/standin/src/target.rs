//! A target: an HTTP server with slots, and the end of Geneve flows.
//!
//! Work beyond the slots is shed: 503 with `Target-Shed: 1`, which says that nothing ran. Bodies
//! name the request and carry their checksum in `Body-Checksum`, so that a caller can tell a whole
//! answer to its own request. Every run is logged with its request id.

mod answer;
mod flows;
mod work;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_config::TargetEntry;
use bambooseam_types::ServiceId;
use derive_more::{Display, FromStr};
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use crate::http::{bind, serve};

pub use answer::{CHECKSUM_HEADER, LONG_PATH, SHED_HEADER, body_of, checksum_of};
pub use flows::FlowStats;
use work::Worker;
pub use work::{Run, RunOutcome, WorkStats};

/// How a target does its work.
#[derive(Debug, Clone)]
pub struct TargetSpec {
    /// Name and addresses.
    pub entry: TargetEntry,
    /// Network identifier of its service; packets of others are dropped.
    pub vni: ServiceId,
    /// Requests that run at a time.
    pub slots: usize,
    /// Service time of short work.
    pub short: Duration,
    /// Service time of long work, whose path starts with [`LONG_PATH`].
    pub long: Duration,
    /// Time in which a cold target reaches its usual speed.
    pub ramp: Duration,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr)]
pub enum TargetMode {
    /// Takes work.
    #[default]
    #[display("ok")]
    Ok,
    /// Finishes what runs and sheds what is new.
    #[display("drain")]
    Drain,
}

/// A running target; it stops when dropped.
#[derive(Debug)]
pub struct Target {
    entry: TargetEntry,
    worker: Arc<Worker>,
    flows: Arc<flows::Flows>,
    stop: CancellationToken,
}

impl TargetSpec {
    /// A target with two slots, 5 ms for short work and 250 ms for long, warm from the start.
    pub fn new(entry: TargetEntry, vni: ServiceId) -> Self {
        Self {
            entry,
            vni,
            slots: 2,
            short: Duration::from_millis(5),
            long: Duration::from_millis(250),
            ramp: Duration::ZERO,
        }
    }

    /// Sets the service times.
    pub fn with_times(mut self, short: Duration, long: Duration) -> Self {
        self.short = short;
        self.long = long;
        self
    }

    /// Sets the time in which the target gets warm.
    pub fn with_ramp(mut self, ramp: Duration) -> Self {
        self.ramp = ramp;
        self
    }
}

impl Target {
    /// Starts both servers of a target.
    ///
    /// # Errors
    ///
    /// An error when an address can't be bound.
    pub async fn start(spec: TargetSpec) -> io::Result<Self> {
        let listener = bind(spec.entry.requests).await?;
        let socket = UdpSocket::bind(spec.entry.flows).await?;
        let mut entry = spec.entry.clone();
        entry.requests = listener.local_addr()?;
        entry.flows = socket.local_addr()?;
        let stop = CancellationToken::new();
        let flows = Arc::new(flows::Flows::new(entry.id.clone(), spec.vni));
        let worker = Arc::new(Worker::new(&spec));
        let shared = Arc::clone(&worker);
        tokio::spawn(serve(listener, stop.clone(), move |request| {
            answer::handle(Arc::clone(&shared), request)
        }));
        let (stop_token, shared) = (stop.clone(), Arc::clone(&flows));
        tokio::spawn(async move {
            tokio::select! {
                () = stop_token.cancelled() => {}
                () = shared.serve(socket) => {}
            }
        });
        Ok(Self {
            entry,
            worker,
            flows,
            stop,
        })
    }

    /// Name and addresses, with the ports that were bound.
    pub fn entry(&self) -> &TargetEntry {
        &self.entry
    }

    /// Sets whether new work is taken.
    pub fn set_mode(&self, mode: TargetMode) {
        self.worker.set_mode(mode);
    }

    /// Closes both servers and all connections at once; counts and runs stay.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// All runs so far, in the order they began.
    pub fn runs(&self) -> Vec<Run> {
        self.worker.runs()
    }

    /// Counts of the work so far.
    pub fn work_stats(&self) -> WorkStats {
        self.worker.stats()
    }

    /// Counts of the flows so far.
    pub fn flow_stats(&self) -> FlowStats {
        self.flows.stats()
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
