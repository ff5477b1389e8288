//! Runs targets in this process that log every request they run and can fail on demand.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Body of a target's response.
type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

/// Size of one frame of a long response, in bytes.
pub const FRAME_BYTES: usize = 16 << 10;

/// Behaviour of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Serves requests, and sheds requests beyond its slots.
    Serve,
    /// Accepts connections but never answers.
    Hang,
    /// Sheds all requests.
    Shed,
    /// Resets each connection after a number of bytes read or written.
    Reset {
        /// Bytes read before the reset.
        read: usize,
        /// Bytes written before the reset.
        write: usize,
    },
    /// Logs the run, then resets the connection without an answer.
    RunAndClose,
}

/// Number of runs that targets have started, by request id.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<BTreeMap<String, u32>>,
}

/// A target that listens at one address.
#[derive(Debug)]
pub struct TestTarget {
    /// Behaviour of the target.
    pub mode: Arc<Mutex<Mode>>,
    /// Maximum number of requests that ran at the same time.
    pub peak_running: Arc<AtomicU32>,
    shared: Arc<Shared>,
    serving: Mutex<Option<JoinSet<()>>>,
}

#[derive(Debug)]
struct Shared {
    name: String,
    address: SocketAddr,
    log: Arc<RunLog>,
    mode: Arc<Mutex<Mode>>,
    slots: Arc<Semaphore>,
    limit: u32,
    running: AtomicU32,
    peak_running: Arc<AtomicU32>,
    /// Current epoch; connections accepted in an earlier epoch do not answer.
    epoch: AtomicU32,
}

impl RunLog {
    /// Records a run of a request.
    pub fn record(&self, id: &str) {
        *lock(&self.runs).entry(id.to_owned()).or_default() += 1;
    }

    /// Returns the number of runs of a request.
    pub fn runs(&self, id: &str) -> u32 {
        lock(&self.runs).get(id).copied().unwrap_or(0)
    }

    /// Returns the number of runs of all requests.
    pub fn total(&self) -> u64 {
        lock(&self.runs).values().map(|runs| u64::from(*runs)).sum()
    }
}

impl TestTarget {
    /// Starts a target named `name` with `limit` slots.
    ///
    /// # Panics
    ///
    /// Panics when the address can't be bound.
    pub async fn start(name: &str, address: SocketAddr, limit: u32, log: Arc<RunLog>) -> Self {
        let mode = Arc::new(Mutex::new(Mode::Serve));
        let peak_running = Arc::new(AtomicU32::new(0));
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            address,
            log,
            mode: Arc::clone(&mode),
            slots: Arc::new(Semaphore::new(limit as usize)),
            limit,
            running: AtomicU32::new(0),
            epoch: AtomicU32::new(0),
            peak_running: Arc::clone(&peak_running),
        });
        let target = Self {
            mode,
            peak_running,
            shared,
            serving: Mutex::new(None),
        };
        target.restart().await;
        target
    }

    /// Changes the behaviour of the target.
    pub fn set_mode(&self, mode: Mode) {
        *lock(&self.mode) = mode;
    }

    /// Stalls all current connections; new connections are served.
    pub fn stall_connections(&self) {
        self.shared.epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes the listener and all connections immediately.
    pub async fn kill(&self) {
        let serving = lock(&self.serving).take();
        if let Some(mut serving) = serving {
            serving.shutdown().await;
        }
    }

    /// Listens again, after a kill.
    ///
    /// # Panics
    ///
    /// Panics when the address can't be bound.
    pub async fn restart(&self) {
        let listener = loop {
            match listen(self.shared.address) {
                Ok(listener) => break listener,
                // Connections of the previous listener may still be closing.
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                Err(error) => panic!("the target can't listen at its address: {error}"),
            }
        };
        let shared = Arc::clone(&self.shared);
        let mut serving = JoinSet::new();
        serving.spawn(accept(listener, shared));
        *lock(&self.serving) = Some(serving);
    }
}

/// Listens with address reuse, since connections of an earlier listener may remain.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1_024)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    // Dropping the set closes all connections.
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        connections.spawn(serve(stream, Arc::clone(&shared)));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let mode = *lock(&shared.mode);
    let (read, write) = match mode {
        Mode::Reset { read, write } => (read, write),
        _ => (usize::MAX, usize::MAX),
    };
    if mode == Mode::Hang {
        std::future::pending::<()>().await;
    }
    let _ = stream.set_nodelay(true);
    if mode != Mode::Serve {
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
    let stream = ResetStream {
        stream,
        read,
        write,
    };
    let epoch = shared.epoch.load(Ordering::Relaxed);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move {
            if shared.epoch.load(Ordering::Relaxed) > epoch {
                std::future::pending::<()>().await;
            }
            let id = request.headers().get("x-request-id").cloned();
            let mut response = shared.respond(request).await?;
            if let Some(id) = id {
                response.headers_mut().insert("x-request-id", id);
            }
            Ok::<_, io::Error>(response)
        }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades()
        .await;
}

impl Shared {
    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, io::Error> {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let uri = request.uri().clone();
        let id = header("x-request-id");
        let timeout = header("request-timeout-ms");
        let trace = header("traceparent");
        let mode = *lock(&self.mode);
        if mode == Mode::Hang {
            std::future::pending::<()>().await;
        }
        let permit = match Arc::clone(&self.slots).try_acquire_owned() {
            Ok(permit) if mode != Mode::Shed => permit,
            _ => return Ok(shed()),
        };
        self.log.record(&id);
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        debug_assert!(running <= self.limit);
        self.peak_running.fetch_max(running, Ordering::Relaxed);
        let guard = RunGuard(Arc::clone(&self));
        if mode == Mode::RunAndClose {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let time = query(&uri, "ms").unwrap_or(0);
        let count = query(&uri, "bytes");
        // A request whose body ends early has still run.
        let _ = request.into_body().collect().await;
        // A sleep of zero would still wait for the next tick of the timer.
        if time > 0 {
            tokio::time::sleep(Duration::from_millis(time)).await;
        }
        let first_line = format!(
            "id={id} target={} timeout={timeout} trace={trace}\n",
            self.name
        );
        let Some(count) = count else {
            drop((guard, permit));
            return Ok(Response::new(
                Full::new(Bytes::from(first_line)).boxed_unsync(),
            ));
        };
        let frames = count as usize / FRAME_BYTES;
        let pause = Duration::from_millis(query(&uri, "pause").unwrap_or(0));
        let body = stream::unfold((0, (guard, permit)), move |(sent, guards)| {
            let first_line = first_line.clone();
            async move {
                if sent > frames {
                    return None;
                }
                let data = if sent == 0 {
                    Bytes::from(first_line)
                } else {
                    tokio::time::sleep(pause).await;
                    Bytes::from(vec![b'x'; FRAME_BYTES])
                };
                Some((Ok::<_, Infallible>(Frame::data(data)), (sent + 1, guards)))
            }
        });
        Ok(Response::new(StreamBody::new(body).boxed_unsync()))
    }
}

/// Builds the response of a target that has not run the request.
fn shed() -> Response<ResponseBody> {
    let mut response = Response::new(Full::default().boxed_unsync());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let outcome = hyper::header::HeaderValue::from_static("not-run");
    response.headers_mut().insert("bambooseam-outcome", outcome);
    response
}

/// Returns a number from the query.
fn query(uri: &hyper::Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values.find(|pair| pair.0 == name)?.1.parse().ok()
}

/// Counts a run in progress; dropping the guard ends the run.
struct RunGuard(Arc<Shared>);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection that fails after a number of bytes.
struct ResetStream {
    stream: TcpStream,
    read: usize,
    write: usize,
}

impl AsyncRead for ResetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let limit = self.read.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let count = part.filled().len();
        buffer.advance(count);
        self.read -= count;
        polled
    }
}

impl AsyncWrite for ResetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.write == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let limit = bytes.len().min(self.write);
        let polled = Pin::new(&mut self.stream).poll_write(cx, &bytes[..limit]);
        if let Poll::Ready(Ok(count)) = polled {
            self.write -= count;
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
