//! Simulated callers of requests: they distribute connections over the entry VMs and record the
//! outcome of each request.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::target::{CHECKSUM_HEADER, LONG_PATH, body_of, checksum_of};

/// Header with the outcome of a request that the load balancer answers itself.
const OUTCOME_HEADER: &str = "Bambooseam-Outcome";
/// Timeout for a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of requests after which a caller opens a new connection.
const REQUESTS_PER_CONNECTION: u32 = 20;
/// Pause after a failed connection.
const FAILURE_BACKOFF: Duration = Duration::from_millis(50);

/// Outcome of a request, as the caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Outcome {
    /// The complete response to this request arrived.
    #[display("whole")]
    Complete,
    /// The load balancer refused the request and states that the request did not run.
    #[display("not_run")]
    NotRun,
    /// The load balancer states that the request may have run.
    #[display("unknown")]
    Unknown,
    /// The connection ended before the complete response, or the response timed out.
    #[display("cut")]
    Truncated,
    /// The response does not belong to this request.
    #[display("crossed")]
    Mismatched,
    /// The response had another error status.
    #[display("error")]
    Error,
    /// No connection could be opened; nothing was sent.
    #[display("unsent")]
    Unsent,
}

/// One request and its outcome.
#[derive(Debug, Clone)]
pub struct Call {
    /// Request id.
    pub id: String,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Entry VM that received the request.
    pub vm: SocketAddr,
    /// Whether the request was long.
    pub is_long: bool,
    /// Time until the complete response.
    pub time: Duration,
    /// Time at which the request was sent.
    pub sent: Instant,
}

/// Load of callers on one request port.
#[derive(Debug, Clone)]
pub struct Load {
    /// Prefix of request ids.
    pub name: String,
    /// Entry VMs, each with the request port of the service.
    pub vms: Vec<SocketAddr>,
    /// Number of callers; each has one request in progress at a time.
    pub callers: usize,
    /// Mean pause between two requests of a caller.
    pub pause: Duration,
    /// Share of long requests, 0 to 1.
    pub long_share: f64,
    /// Share of orders (`POST`), 0 to 1; the other requests are `GET`.
    pub order_share: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Running callers of one load.
#[derive(Debug)]
pub struct Callers {
    shared: Arc<Shared>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

#[derive(Debug)]
struct Shared {
    load: Load,
    vms: Mutex<Vec<SocketAddr>>,
    calls: Mutex<Vec<Call>>,
}

/// State of one caller.
struct Caller {
    shared: Arc<Shared>,
    random: StdRng,
    number: usize,
    open: Option<OpenConnection>,
}

/// An open connection to a VM.
struct OpenConnection {
    vm: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    uses: u32,
}

impl Callers {
    /// Starts the callers of a load.
    pub fn start(load: Load) -> Self {
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        let shared = Arc::new(Shared {
            vms: Mutex::new(load.vms.clone()),
            calls: Mutex::default(),
            load,
        });
        for number in 0..shared.load.callers {
            let caller = Caller::new(Arc::clone(&shared), number);
            tasks.spawn(caller.run(stop.clone()));
        }
        tasks.close();
        Self {
            shared,
            stop,
            tasks,
        }
    }

    /// Sets the VMs to which new connections are opened from now on.
    pub fn set_vms(&self, vms: Vec<SocketAddr>) {
        *lock(&self.shared.vms) = vms;
    }

    /// Returns the calls that ended since the last call of this method.
    pub fn take_calls(&self) -> Vec<Call> {
        std::mem::take(&mut lock(&self.shared.calls))
    }

    /// Lets each caller finish its request in progress and waits for all callers.
    pub async fn finish(&self) {
        self.stop.cancel();
        self.tasks.wait().await;
    }
}

impl Caller {
    fn new(shared: Arc<Shared>, number: usize) -> Self {
        let seed = shared.load.seed.wrapping_add(number as u64);
        Self {
            shared,
            random: StdRng::seed_from_u64(seed),
            number,
            open: None,
        }
    }

    /// Sends requests until `stop` is cancelled, and finishes the request in progress.
    async fn run(mut self, stop: CancellationToken) {
        for count in 0.. {
            let pause = self
                .shared
                .load
                .pause
                .mul_f64(self.random.random_range(0.5..1.5));
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(pause) => {}
            }
            let id = format!("{}-{}-{count}", self.shared.load.name, self.number);
            let call = self.call(id).await;
            if matches!(call.outcome, Outcome::Truncated | Outcome::Unsent) {
                tokio::time::sleep(FAILURE_BACKOFF).await;
            }
            lock(&self.shared.calls).push(call);
        }
    }

    /// Sends one request and classifies the response.
    async fn call(&mut self, id: String) -> Call {
        let is_long = self.random.random_bool(self.shared.load.long_share);
        let is_order = self.random.random_bool(self.shared.load.order_share);
        let sent = Instant::now();
        let mut vm = SocketAddr::from(([0, 0, 0, 0], 0));
        let is_reused = self.open.is_some();
        let mut outcome = self.attempt(&id, &mut vm, is_long, is_order).await;
        // A kept-alive connection may be closed as the request starts. HTTP clients then open a new
        // connection, and so does this caller.
        if outcome == Outcome::Unsent && is_reused {
            outcome = self.attempt(&id, &mut vm, is_long, is_order).await;
        }
        Call {
            id,
            outcome,
            vm,
            is_long,
            time: sent.elapsed(),
            sent,
        }
    }

    /// Attempts the request on one connection.
    async fn attempt(
        &mut self,
        id: &str,
        vm: &mut SocketAddr,
        is_long: bool,
        is_order: bool,
    ) -> Outcome {
        let Ok(mut open) = self.connection(vm).await else {
            return Outcome::Unsent;
        };
        let request = build_request(id, open.vm, is_long, is_order);
        let outcome = exchange(&mut open, request, id, is_long).await;
        open.uses += 1;
        let is_usable = !matches!(outcome, Outcome::Truncated | Outcome::Unsent);
        if is_usable && open.uses < REQUESTS_PER_CONNECTION && !open.sender.is_closed() {
            self.open = Some(open);
        }
        outcome
    }

    /// Returns the open connection, or a new connection to a VM that is picked at random.
    async fn connection(&mut self, vm: &mut SocketAddr) -> io::Result<OpenConnection> {
        if let Some(mut open) = self.open.take() {
            *vm = open.vm;
            if open.sender.ready().await.is_ok() {
                return Ok(open);
            }
        }
        let picked = lock(&self.shared.vms).choose(&mut self.random).copied();
        *vm = picked.ok_or(io::ErrorKind::HostUnreachable)?;
        connect(*vm).await
    }
}

/// Opens a connection to a VM.
async fn connect(vm: SocketAddr) -> io::Result<OpenConnection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(vm)).await??;
    stream.set_nodelay(true)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(OpenConnection {
        vm,
        sender,
        uses: 0,
    })
}

/// Builds the request with this id.
fn build_request(id: &str, vm: SocketAddr, is_long: bool, is_order: bool) -> Request<Empty<Bytes>> {
    let path = if is_long {
        format!("{LONG_PATH}{id}")
    } else {
        format!("/work/{id}")
    };
    let mut request = Request::builder()
        .uri(path)
        .header(HOST, vm.to_string())
        .header("X-Request-Id", id);
    if is_order {
        request = request
            .method(Method::POST)
            .header("Idempotency-Key", id)
            .header("Request-Attempt", 1);
    }
    request
        .body(Empty::new())
        .expect("generated request parts are valid")
}

/// Sends a request and waits for the complete response.
async fn exchange(
    open: &mut OpenConnection,
    request: Request<Empty<Bytes>>,
    id: &str,
    is_long: bool,
) -> Outcome {
    let response = async {
        let response = open.sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok::<_, hyper::Error>(Response::from_parts(parts, body))
    };
    match timeout(RESPONSE_TIMEOUT, response).await {
        Ok(Ok(response)) => classify(&response, id, is_long),
        // hyper cancels a request only if no byte of the request was written.
        Ok(Err(error)) if error.is_canceled() => Outcome::Unsent,
        Ok(Err(_)) | Err(_) => Outcome::Truncated,
    }
}

/// Classifies a response.
fn classify(response: &Response<Bytes>, id: &str, is_long: bool) -> Outcome {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok()
    };
    match header(OUTCOME_HEADER) {
        Some("not-run") => return Outcome::NotRun,
        Some(_) => return Outcome::Unknown,
        None => {}
    }
    if response.status() != StatusCode::OK {
        return Outcome::Error;
    }
    let body = body_of(id, is_long);
    let has_valid_checksum = header(CHECKSUM_HEADER) == Some(checksum_of(&body).as_str());
    if has_valid_checksum && response.body() == body.as_bytes() {
        return Outcome::Complete;
    }
    Outcome::Mismatched
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
