//! Access to the platform over HTTP/1.1, one connection per read.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_config::PlatformSettings;
use bambooseam_peer::{Activity, Meter, Metered};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode, body::Incoming, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::compat::{FuturesAsyncReadCompatExt, TokioAsyncReadCompatExt};

use super::{KeyValue, LongPoll, Platform, PlatformError};

/// Timeout of a plain read; for a long poll, the longest wait is added.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest value that the platform stores, plus room for its framing.
const VALUE_LIMIT: usize = (1 << 20) + (64 << 10);

/// Header with the index of a value.
const INDEX_HEADER: &str = "x-consul-index";

/// Client of the platform's addresses, which are tried in turn.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    addresses: Rc<[SocketAddr]>,
    prefix: Rc<str>,
    current: Rc<Cell<usize>>,
    meter: Arc<Meter>,
}

/// Aborts the task of a connection when the read ends or is cancelled.
struct Connection(JoinHandle<()>);

impl HttpPlatform {
    /// Creates a client from settings; `meter` counts its bytes.
    pub fn new(settings: &PlatformSettings, meter: Arc<Meter>) -> Self {
        Self {
            meter,
            addresses: settings.addresses.as_slice().into(),
            prefix: settings.prefix.trim_end_matches('/').into(),
            current: Rc::new(Cell::new(0)),
        }
    }

    /// Path and query of a read.
    fn target(&self, key: &str, wait: Option<LongPoll>) -> String {
        let path = format!("/v1/kv/{}/{key}?raw", self.prefix);
        match wait {
            Some(LongPoll { index, max_wait }) => {
                format!("{path}&index={index}&wait={}ms", max_wait.as_millis())
            }
            None => path,
        }
    }
}

impl Platform for HttpPlatform {
    async fn get(&self, key: &str, wait: Option<LongPoll>) -> Result<KeyValue, PlatformError> {
        let index = self.current.get() % self.addresses.len();
        let address = self.addresses[index];
        let timeout = READ_TIMEOUT + wait.map_or(Duration::ZERO, |wait| wait.max_wait);
        let meter = Arc::clone(&self.meter);
        let read = read(address, self.target(key, wait), key, meter);
        let result = match tokio::time::timeout(timeout, read).await {
            Ok(result) => result,
            Err(_) => Err(unreachable("no response within the timeout")),
        };
        if matches!(result, Err(PlatformError::Unreachable { .. })) {
            self.current.set(index + 1);
        }
        result
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends one request and reads the response.
async fn read(
    address: SocketAddr,
    target: String,
    key: &str,
    meter: Arc<Meter>,
) -> Result<KeyValue, PlatformError> {
    metrics::counter!("platform_reads").increment(1);
    let stream = TcpStream::connect(address).await.map_err(unreachable)?;
    let stream = Metered::new(stream.compat(), meter, Activity::default()).compat();
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(unreachable)?;
    let _connection = Connection(tokio::task::spawn(async move {
        // A broken connection is reported by the request itself.
        let _ = connection.await;
    }));
    let request = Request::get(target)
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(invalid_response)?;
    let response = sender.send_request(request).await.map_err(unreachable)?;
    match response.status() {
        StatusCode::OK => read_value(response).await,
        StatusCode::NOT_FOUND => Err(PlatformError::NoKey { key: key.into() }),
        StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::RateLimited {
            after: retry_after(&response),
        }),
        status => Err(unreachable(status)),
    }
}

/// Reads index and value of a successful response.
async fn read_value(response: Response<Incoming>) -> Result<KeyValue, PlatformError> {
    let index = response
        .headers()
        .get(INDEX_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .ok_or_else(|| invalid_response("the response has no valid X-Consul-Index header"))?;
    let body = Limited::new(response.into_body(), VALUE_LIMIT);
    let body = body.collect().await.map_err(unreachable)?.to_bytes();
    let text = std::str::from_utf8(&body).map_err(invalid_response)?;
    Ok(KeyValue {
        index,
        text: Arc::from(text),
    })
}

/// Time from the `Retry-After` header, given in seconds.
fn retry_after(response: &Response<Incoming>) -> Option<Duration> {
    let value = response.headers().get(header::RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

fn unreachable(cause: impl ToString) -> PlatformError {
    PlatformError::Unreachable {
        cause: cause.to_string(),
    }
}

fn invalid_response(cause: impl ToString) -> PlatformError {
    PlatformError::InvalidResponse {
        cause: cause.to_string(),
    }
}
