//! Admin endpoint: `/healthz`, `/readyz`, `/status` and `/metrics` over HTTP/1.1.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::LogLimit;
use crate::recorder::Metrics;

/// Maximum number of concurrent admin connections.
const MAX_CONNECTIONS: usize = 64;

/// Longest time from the start of a request until its head is complete.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest accepted request head, in bytes.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Counter and log line of connections that ended with an error.
static FAILED_CONNECTIONS: LogLimit = LogLimit::new("admin_connections_failed", 5);

/// Pause after a failed accept. Without it, the loop would spin while the process has no free file
/// descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Why the admin endpoint could not start.
#[derive(Debug, Display, Error, From)]
pub enum AdminError {
    /// The listen address can't be bound.
    #[display("admin endpoint can't listen: {_0}")]
    Bind(io::Error),
    /// A metrics recorder is already installed in this process.
    #[display("metrics: a recorder is already installed in this process")]
    #[from(ignore)]
    Metrics,
}

/// The HTTP admin endpoint of a program.
#[derive(Debug)]
pub struct Admin {
    listener: TcpListener,
    metrics: Metrics,
}

/// Data from which responses are built.
struct Sources<S> {
    status: S,
    ready: watch::Receiver<bool>,
    metrics: Metrics,
}

impl Admin {
    /// Binds the endpoint and installs the metrics recorder of this process.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound or a recorder is already installed.
    pub async fn bind(address: SocketAddr) -> Result<Self, AdminError> {
        let listener = TcpListener::bind(address).await?;
        let metrics = Metrics::install().map_err(|_| AdminError::Metrics)?;
        Ok(Self { listener, metrics })
    }

    /// Returns the address that the listener is bound to.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system can't report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the program ends; `status` returns the JSON object of `/status`.
    pub async fn serve<S>(self, ready: watch::Receiver<bool>, status: S)
    where
        S: Fn() -> serde_json::Value + Send + Sync + 'static,
    {
        let sources = Arc::new(Sources {
            status,
            ready,
            metrics: self.metrics,
        });
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            let sources = Arc::clone(&sources);
            tokio::spawn(async move {
                serve_connection(stream, sources).await;
                drop(permit);
            });
        }
    }
}

/// Serves one connection until it closes.
async fn serve_connection<S>(stream: TcpStream, sources: Arc<Sources<S>>)
where
    S: Fn() -> serde_json::Value + Send + Sync + 'static,
{
    let service = service_fn(move |request: Request<hyper::body::Incoming>| {
        let sources = Arc::clone(&sources);
        async move { Ok::<_, Infallible>(sources.respond(&request)) }
    });
    let result = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        // Simple clients shut down their sending side after the request and still expect a
        // response.
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        FAILED_CONNECTIONS.report(error);
    }
}

impl<S: Fn() -> serde_json::Value> Sources<S> {
    /// Builds the response to a request.
    fn respond<B>(&self, request: &Request<B>) -> Response<Full<Bytes>> {
        if !matches!(*request.method(), Method::GET | Method::HEAD) {
            let code = StatusCode::METHOD_NOT_ALLOWED;
            return reply(code, "text/plain", "only GET and HEAD\n".into());
        }
        match request.uri().path() {
            "/healthz" => reply(StatusCode::OK, "text/plain", "healthy\n".into()),
            "/readyz" if *self.ready.borrow() => {
                reply(StatusCode::OK, "text/plain", "ready\n".into())
            }
            "/readyz" => reply(
                StatusCode::SERVICE_UNAVAILABLE,
                "text/plain",
                "not ready\n".into(),
            ),
            "/status" => {
                let status = (self.status)().to_string();
                reply(StatusCode::OK, "application/json", status)
            }
            "/metrics" => reply(
                StatusCode::OK,
                "text/plain; version=0.0.4",
                self.metrics.render(),
            ),
            _ => reply(StatusCode::NOT_FOUND, "text/plain", "unknown path\n".into()),
        }
    }
}

/// Builds a response with a complete body.
fn reply(status: StatusCode, kind: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}
