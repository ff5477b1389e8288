//! A small HTTP/1.1 server and client for the simulated services.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::bind_with_retry;

/// Error that closes a connection without a response.
pub type ServeError = Box<dyn std::error::Error + Send + Sync>;

/// Complete response that a client received.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Body, decoded as text.
    pub text: String,
}

/// Timeout of a call, from the connection attempt to the last byte of the response.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Binds a listener, with retries while the address is in use.
///
/// # Errors
///
/// Returns an error that names the address if it can't be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = bind_with_retry(|| TcpListener::bind(address)).await;
    listener.map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))
}

/// Serves requests until `stop` is cancelled; then closes all connections at once.
pub async fn serve<H, F, B>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<B>, ServeError>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<ServeError>,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service_fn(handler.clone()));
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                result = connection => {
                    if let Err(error) = result {
                        log::debug!("event=standin_connection_ended cause={:?}", error.to_string());
                    }
                }
            }
        });
    }
}

/// Builds a complete response with a plain-text body.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text.into())));
    *response.status_mut() = status;
    response
}

/// Sends a GET request for `path`.
///
/// # Errors
///
/// Returns an error if no complete response arrives within [`CALL_TIMEOUT`].
pub async fn get(address: SocketAddr, path: &str) -> io::Result<Reply> {
    call(address, Method::GET, path, String::new()).await
}

/// Sends a PUT request with `body` to `path`.
///
/// # Errors
///
/// Returns an error if no complete response arrives within [`CALL_TIMEOUT`].
pub async fn put(address: SocketAddr, path: &str, body: String) -> io::Result<Reply> {
    call(address, Method::PUT, path, body).await
}

/// Sends a POST request with `body` to `path`.
///
/// # Errors
///
/// Returns an error if no complete response arrives within [`CALL_TIMEOUT`].
pub async fn post(address: SocketAddr, path: &str, body: String) -> io::Result<Reply> {
    call(address, Method::POST, path, body).await
}

/// Sends a request on a new connection.
async fn call(address: SocketAddr, method: Method, path: &str, body: String) -> io::Result<Reply> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(io::Error::other)?;
    timeout(CALL_TIMEOUT, exchange(address, request)).await?
}

async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> io::Result<Reply> {
    let stream = TokioIo::new(TcpStream::connect(address).await?);
    let handshake = hyper::client::conn::http1::handshake(stream).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await;
    let response = response.map_err(io::Error::other)?;
    let status = response.status();
    let body = response.into_body().collect().await;
    let bytes = body.map_err(io::Error::other)?.to_bytes();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Ok(Reply { status, text })
}
