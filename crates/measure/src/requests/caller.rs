//! An HTTP client for callers, and the results that callers receive.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::{http1, http2};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;

/// A caller's request.
pub type CallRequest = Request<Full<Bytes>>;

/// Result of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// A complete response.
    Complete {
        /// Status code.
        status: StatusCode,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// A response whose body ended early.
    Truncated,
    /// The connection failed before a response.
    Failed,
    /// No connection could be established.
    ConnectFailed,
}

/// A caller's connection.
#[derive(Debug)]
pub enum CallerConnection {
    /// HTTP/1.1.
    Http1(http1::SendRequest<Full<Bytes>>),
    /// HTTP/2 with prior knowledge.
    Http2(http2::SendRequest<Full<Bytes>>),
}

impl CallResult {
    /// Returns a header of a complete response.
    pub fn header(&self, name: &str) -> Option<&str> {
        match self {
            Self::Complete { headers, .. } => headers.get(name)?.to_str().ok(),
            _ => None,
        }
    }

    /// Returns the status of a complete response.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Complete { status, .. } => Some(status.as_u16()),
            _ => None,
        }
    }

    /// Returns the body of a complete response; empty when the body is not UTF-8.
    pub fn text(&self) -> &str {
        match self {
            Self::Complete { body, .. } => std::str::from_utf8(body).unwrap_or_default(),
            _ => "",
        }
    }

    /// Whether the response states that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.header("bambooseam-outcome") == Some("not-run")
    }

    /// Whether a target answered with status 200.
    pub fn is_served(&self) -> bool {
        self.status() == Some(200)
    }
}

impl CallerConnection {
    /// Connects over HTTP/1.1.
    pub async fn http1(address: SocketAddr) -> Option<Self> {
        let stream = connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(Self::Http1(sender))
    }

    /// Connects over HTTP/2 with prior knowledge.
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

    /// Sends a request and reads the complete response.
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

/// Sends one request over a new connection.
pub async fn call_once(address: SocketAddr, request: CallRequest) -> CallResult {
    match CallerConnection::http1(address).await {
        Some(mut connection) => connection.call(request).await,
        None => CallResult::ConnectFailed,
    }
}

/// Builds a request with a host and a request id; a POST has a body.
///
/// # Panics
///
/// Panics when a part is not valid in HTTP.
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

/// Adds a header to a request.
///
/// # Panics
///
/// Panics when the value is not valid in HTTP.
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
