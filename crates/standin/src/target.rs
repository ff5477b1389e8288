//! A simulated target: an HTTP server with a limited number of slots, and an endpoint of Geneve
//! flows.
//!
//! Requests beyond the slots are shed with status 503 and `Target-Shed: 1`, which states that the
//! request did not run. A response body contains the request id, and `Body-Checksum` holds its
//! checksum, so that a caller can verify that it received the complete response to its own request.
//! Every run is recorded with its request id.

mod flows;
mod response;
mod worker;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_config::TargetEntry;
use bambooseam_types::ServiceId;
use derive_more::{Display, FromStr};
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use crate::http::{bind, serve};

pub use flows::FlowStats;
pub use response::{CHECKSUM_HEADER, LONG_PATH, SHED_HEADER, body_of, checksum_of};
use worker::Worker;
pub use worker::{Run, RunOutcome, WorkStats};

/// Specification of a target.
#[derive(Debug, Clone)]
pub struct TargetSpec {
    /// Name and addresses.
    pub entry: TargetEntry,
    /// Network identifier of the target's service; packets with another identifier are dropped.
    pub vni: ServiceId,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Service time of short requests.
    pub short: Duration,
    /// Service time of long requests, whose path starts with [`LONG_PATH`].
    pub long: Duration,
    /// Time after the start in which the target reaches its full speed.
    pub ramp: Duration,
}

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr)]
pub enum TargetMode {
    /// Accepts requests.
    #[default]
    #[display("ok")]
    Ok,
    /// Finishes running requests and sheds new ones.
    #[display("drain")]
    Drain,
}

/// A running target; it stops when the value is dropped.
#[derive(Debug)]
pub struct Target {
    entry: TargetEntry,
    worker: Arc<Worker>,
    flows: Arc<flows::Flows>,
    stop: CancellationToken,
}

impl TargetSpec {
    /// Creates a specification with two slots, 5 ms for short and 250 ms for long requests, and no
    /// warm-up.
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

    /// Sets the service times of short and long requests.
    pub fn with_times(mut self, short: Duration, long: Duration) -> Self {
        self.short = short;
        self.long = long;
        self
    }

    /// Sets the duration of the warm-up.
    pub fn with_ramp(mut self, ramp: Duration) -> Self {
        self.ramp = ramp;
        self
    }
}

impl Target {
    /// Starts the HTTP server and the flow endpoint of a target.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
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
            response::handle(Arc::clone(&shared), request)
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

    /// Returns the name and the addresses, with the bound ports.
    pub fn entry(&self) -> &TargetEntry {
        &self.entry
    }

    /// Sets whether new requests are accepted.
    pub fn set_mode(&self, mode: TargetMode) {
        self.worker.set_mode(mode);
    }

    /// Closes the HTTP server, the flow endpoint and all connections at once; counters and runs are
    /// kept.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Returns all runs, in the order of their start.
    pub fn runs(&self) -> Vec<Run> {
        self.worker.runs()
    }

    /// Returns the request counters.
    pub fn work_stats(&self) -> WorkStats {
        self.worker.stats()
    }

    /// Returns the flow counters.
    pub fn flow_stats(&self) -> FlowStats {
        self.flows.stats()
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
