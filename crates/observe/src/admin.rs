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

/// Most admin connections at a time.
const CONNECTION_LIMIT: usize = 64;

/// Time in which a request head must arrive.
const HEAD_TIME: Duration = Duration::from_secs(5);

/// Largest request head in bytes.
const HEAD_LIMIT: usize = 16 << 10;

/// Connections that ended with an error.
static FAILED: LogLimit = LogLimit::new("admin_connections_failed", 5);

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Why the admin endpoint could not start.
#[derive(Debug, Display, Error, From)]
pub enum AdminError {
    /// The address can't be bound.
    #[display("admin endpoint: {_0}")]
    Bind(io::Error),
    /// The metrics recorder was installed before.
    #[display("metrics: a recorder is installed already")]
    #[from(ignore)]
    Metrics,
}

/// The admin endpoint of a program.
#[derive(Debug)]
pub struct Admin {
    listener: TcpListener,
    metrics: Metrics,
}

/// What the endpoint answers from.
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
    /// An error when the address is taken or a recorder is installed already.
    pub async fn bind(address: SocketAddr) -> Result<Self, AdminError> {
        let listener = TcpListener::bind(address).await?;
        let metrics = Metrics::install().map_err(|_| AdminError::Metrics)?;
        Ok(Self { listener, metrics })
    }

    /// The address that is bound.
    ///
    /// # Errors
    ///
    /// An error when the system does not tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the program ends; `status` gives the JSON object of `/status`.
    pub async fn serve<S>(self, ready: watch::Receiver<bool>, status: S)
    where
        S: Fn() -> serde_json::Value + Send + Sync + 'static,
    {
        let sources = Arc::new(Sources {
            status,
            ready,
            metrics: self.metrics,
        });
        let open = Arc::new(Semaphore::new(CONNECTION_LIMIT));
        loop {
            let Ok(permit) = Arc::clone(&open).acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
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

/// Serves one connection until its end.
async fn serve_connection<S>(stream: TcpStream, sources: Arc<Sources<S>>)
where
    S: Fn() -> serde_json::Value + Send + Sync + 'static,
{
    let service = service_fn(move |request: Request<hyper::body::Incoming>| {
        let sources = Arc::clone(&sources);
        async move { Ok::<_, Infallible>(sources.answer(&request)) }
    });
    let result = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(HEAD_LIMIT)
        // Simple tools close their sending side behind the request.
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        FAILED.report(error);
    }
}

impl<S: Fn() -> serde_json::Value> Sources<S> {
    /// Answers one request.
    fn answer<B>(&self, request: &Request<B>) -> Response<Full<Bytes>> {
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

/// A whole answer.
fn reply(status: StatusCode, kind: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}
