//! Callers of requests: connections sprayed over the entry VMs, and what came of each request.

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

/// Header by which the system tells the outcome of a request that it answers itself.
const OUTCOME_HEADER: &str = "Bambooseam-Outcome";
/// Time after which a caller gives up on an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time in which a connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests after which a caller opens a new connection.
const REQUESTS_PER_CONNECTION: u32 = 20;
/// Pause after a failed connection.
const FAILURE_BACKOFF: Duration = Duration::from_millis(50);

/// What came of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Outcome {
    /// The whole answer to this request arrived.
    #[display("whole")]
    Complete,
    /// Refused, and the system says that it did not run.
    #[display("not_run")]
    NotRun,
    /// The system says that it may have run.
    #[display("unknown")]
    Unknown,
    /// The connection ended before the whole answer.
    #[display("cut")]
    Truncated,
    /// The answer is not the one to this request.
    #[display("crossed")]
    Mismatched,
    /// Another error was answered.
    #[display("error")]
    Error,
    /// No connection could be opened; nothing was sent.
    #[display("unsent")]
    Unsent,
}

/// One request and what came of it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Request id.
    pub id: String,
    /// What came of it.
    pub outcome: Outcome,
    /// Entry VM that it was sent to.
    pub vm: SocketAddr,
    /// Whether the work was long.
    pub is_long: bool,
    /// Time until the whole answer.
    pub time: Duration,
    /// When it was sent.
    pub sent: Instant,
}

/// Load that callers put on one request port.
#[derive(Debug, Clone)]
pub struct Load {
    /// Start of request ids.
    pub name: String,
    /// Entry VMs, each with the service's request port.
    pub vms: Vec<SocketAddr>,
    /// Callers, each with one request at a time.
    pub callers: usize,
    /// Mean pause between the requests of a caller.
    pub pause: Duration,
    /// Share of long work, 0 to 1.
    pub long_share: f64,
    /// Share of orders (`POST`), 0 to 1; the rest is `GET`.
    pub order_share: f64,
    /// Seed of all choices.
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

/// One caller.
struct Caller {
    shared: Arc<Shared>,
    random: StdRng,
    number: usize,
    open: Option<OpenConnection>,
}

/// An open connection.
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

    /// New connections go to these VMs from now on.
    pub fn set_vms(&self, vms: Vec<SocketAddr>) {
        *lock(&self.shared.vms) = vms;
    }

    /// The calls that ended so far; they are not given again.
    pub fn take_calls(&self) -> Vec<Call> {
        std::mem::take(&mut lock(&self.shared.calls))
    }

    /// Lets each caller finish its request and waits for all.
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

    /// Calls until `stop`, and finishes the call in progress.
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

    /// Sends one request and judges its answer.
    async fn call(&mut self, id: String) -> Call {
        let is_long = self.random.random_bool(self.shared.load.long_share);
        let is_order = self.random.random_bool(self.shared.load.order_share);
        let sent = Instant::now();
        let mut vm = SocketAddr::from(([0, 0, 0, 0], 0));
        let is_reused = self.open.is_some();
        let mut outcome = self.attempt(&id, &mut vm, is_long, is_order).await;
        // A kept connection may end as the request starts; HTTP clients then open another one.
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

    /// Tries the request on one connection.
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

    /// The open connection, or a new one to a VM picked at random.
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

/// Builds the request called `id`.
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
        .expect("parts of the stand-in are valid")
}

/// Sends a request and waits for its whole answer.
async fn exchange(
    open: &mut OpenConnection,
    request: Request<Empty<Bytes>>,
    id: &str,
    is_long: bool,
) -> Outcome {
    let answer = async {
        let response = open.sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok::<_, hyper::Error>(Response::from_parts(parts, body))
    };
    match timeout(RESPONSE_TIMEOUT, answer).await {
        Ok(Ok(response)) => classify(&response, id, is_long),
        // hyper cancels a request only when none of its bytes was written.
        Ok(Err(error)) if error.is_canceled() => Outcome::Unsent,
        Ok(Err(_)) | Err(_) => Outcome::Truncated,
    }
}

/// Judges an answer.
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
