//! Callers: one request each, and what they were told.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::{http1, http2};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;

/// Request of a caller.
pub type CallRequest = Request<Full<Bytes>>;

/// What a caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// A whole answer.
    Complete {
        /// Status.
        status: StatusCode,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// An answer whose head came and whose body was cut.
    Truncated,
    /// The connection failed before an answer.
    Failed,
    /// No connection could be made.
    ConnectFailed,
}

/// A connection of a caller.
#[derive(Debug)]
pub enum CallerConnection {
    /// HTTP/1.1.
    Http1(http1::SendRequest<Full<Bytes>>),
    /// HTTP/2 with prior knowledge.
    Http2(http2::SendRequest<Full<Bytes>>),
}

impl CallResult {
    /// A header of a whole answer.
    pub fn header(&self, name: &str) -> Option<&str> {
        match self {
            Self::Complete { headers, .. } => headers.get(name)?.to_str().ok(),
            _ => None,
        }
    }

    /// Status of a whole answer.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Complete { status, .. } => Some(status.as_u16()),
            _ => None,
        }
    }

    /// Body of a whole answer.
    pub fn text(&self) -> &str {
        match self {
            Self::Complete { body, .. } => std::str::from_utf8(body).unwrap_or_default(),
            _ => "",
        }
    }

    /// Whether the system said that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.header("bambooseam-outcome") == Some("not-run")
    }

    /// Whether a target answered.
    pub fn is_served(&self) -> bool {
        self.status() == Some(200)
    }
}

impl CallerConnection {
    /// Connects with HTTP/1.1.
    pub async fn http1(address: SocketAddr) -> Option<Self> {
        let stream = connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(Self::Http1(sender))
    }

    /// Connects with HTTP/2.
    pub async fn http2(address: SocketAddr) -> Option<Self> {
        let stream = connect(address).await?;
        let executor = TokioExecutor::new();
        let (sender, connection) = http2::handshake(executor, TokioIo::new(stream))
            .await
            .ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(Self::Http2(sender))
    }

    /// Sends a request and takes the whole answer.
    pub async fn call(&mut self, request: CallRequest) -> CallResult {
        let response = match self {
            Self::Http1(sender) => {
                if sender.ready().await.is_err() {
                    return CallResult::Failed;
                }
                sender.send_request(request).await
            }
            Self::Http2(sender) => {
                if sender.ready().await.is_err() {
                    return CallResult::Failed;
                }
                sender.send_request(request).await
            }
        };
        let Ok(response) = response else {
            return CallResult::Failed;
        };
        let (parts, body) = response.into_parts();
        match body.collect().await {
            Ok(body) => CallResult::Complete {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            },
            Err(_) => CallResult::Truncated,
        }
    }
}

/// Sends one request over a connection of its own.
pub async fn call_once(address: SocketAddr, request: CallRequest) -> CallResult {
    match CallerConnection::http1(address).await {
        Some(mut connection) => connection.call(request).await,
        None => CallResult::ConnectFailed,
    }
}

/// A request with a host and an identifier.
///
/// # Panics
///
/// When a part is not valid in HTTP.
pub fn request(method: &str, path: &str, id: &str) -> CallRequest {
    let builder = Request::builder().method(method).uri(path);
    let builder = builder.header("host", "service").header("x-request-id", id);
    let body = if method == "POST" {
        Full::new(Bytes::from_static(b"order"))
    } else {
        Full::default()
    };
    builder.body(body).expect("a valid request")
}

/// Adds a header.
///
/// # Panics
///
/// When it is not valid in HTTP.
pub fn with_header(mut request: CallRequest, name: &'static str, value: &str) -> CallRequest {
    let value = value.parse().expect("a valid header");
    request.headers_mut().insert(name, value);
    request
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connecting = tokio::time::timeout(Duration::from_secs(5), TcpStream::connect(address));
    let stream = connecting.await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}
