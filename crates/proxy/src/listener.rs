//! Listeners on request ports, and the connections of callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::exchange::handle_request;
use crate::proxy::Proxy;

/// Pause after a failed accept.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Minimum read buffer that hyper accepts, in bytes.
const MIN_READ_BUFFER: usize = 8 << 10;

/// Maximum number of concurrent requests per HTTP/2 connection.
const STREAM_LIMIT: u32 = 128;

/// Flow-control window of an HTTP/2 stream, in bytes.
const STREAM_WINDOW: u32 = 256 << 10;

/// Flow-control window of an HTTP/2 connection, in bytes.
const CONNECTION_WINDOW: u32 = 1 << 20;

/// Maximum number of bytes buffered for sending per HTTP/2 stream.
const SEND_BUFFER: usize = 256 << 10;

/// Interval between HTTP/2 pings.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// An open request port.
#[derive(Debug)]
pub struct OpenPort {
    /// Port number.
    pub port: u16,
    accepting: JoinHandle<()>,
}

impl OpenPort {
    /// Binds `address` and starts to accept connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn open(proxy: &Arc<Proxy>, address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let port = listener.local_addr()?.port();
        log::info!("event=port_opened address={address}");
        let accepting = tokio::spawn(accept(Arc::clone(proxy), listener, port));
        Ok(Self { port, accepting })
    }
}

impl Drop for OpenPort {
    fn drop(&mut self) {
        log::info!("event=port_closed port={}", self.port);
        self.accepting.abort();
    }
}

/// Accepts connections until the task is aborted.
async fn accept(proxy: Arc<Proxy>, listener: TcpListener, port: u16) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&proxy.permits).try_acquire_owned() else {
            metrics::counter!("connections_refused", "cause" => "limit").increment(1);
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let serving = serve_connection(Arc::clone(&proxy), stream, port, permit);
        proxy.connections.spawn(serving);
    }
}

/// Serves one connection until it ends.
async fn serve_connection(
    proxy: Arc<Proxy>,
    stream: TcpStream,
    port: u16,
    permit: OwnedSemaphorePermit,
) {
    let head_time = proxy.settings.head_time;
    let has_request = Arc::new(AtomicBool::new(false));
    let builder = builder(&proxy);
    let service = {
        let proxy = Arc::clone(&proxy);
        let has_request = Arc::clone(&has_request);
        service_fn(move |request: Request<Incoming>| {
            has_request.store(true, Ordering::Relaxed);
            let proxy = Arc::clone(&proxy);
            async move { Ok::<_, Infallible>(handle_request(proxy, port, request).await) }
        })
    };
    let connection = builder.serve_connection_with_upgrades(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = proxy.closing.subscribe();
    let mut first_head = std::pin::pin!(sleep(head_time));
    let mut is_closing = false;
    let mut is_head_timed = true;
    let result = loop {
        tokio::select! {
            result = &mut connection => break result,
            // The first request head must arrive in time, whichever HTTP version the caller uses.
            () = &mut first_head, if is_head_timed => {
                is_head_timed = false;
                if !has_request.load(Ordering::Relaxed) {
                    metrics::counter!("connections_refused", "cause" => "slow_head").increment(1);
                    return;
                }
            }
            _ = closing.wait_for(|closing| *closing), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = result {
        let cause = failure_name(error.as_ref());
        metrics::counter!("connections_failed", "cause" => cause).increment(1);
        log::debug!("event=connection_failed port={port} cause={cause}");
    }
    drop(permit);
}

/// Builds the HTTP server with the limits of a connection.
fn builder(proxy: &Proxy) -> Builder<TokioExecutor> {
    let head_limit = usize::try_from(proxy.settings.head_limit.get()).unwrap_or(usize::MAX);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(proxy.settings.head_time)
        .max_buf_size(head_limit.max(MIN_READ_BUFFER));
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .max_concurrent_streams(STREAM_LIMIT)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_send_buf_size(SEND_BUFFER)
        .max_header_list_size(u32::try_from(head_limit).unwrap_or(u32::MAX));
    builder
}

/// Returns the value of the `cause` label for a failed connection.
fn failure_name(error: &(dyn std::error::Error + 'static)) -> &'static str {
    let Some(error) = error.downcast_ref::<hyper::Error>() else {
        return "io";
    };
    if error.is_parse_too_large() {
        return "head_too_large";
    }
    if error.is_parse() {
        return "malformed";
    }
    if error.is_timeout() {
        return "slow_head";
    }
    if error.is_incomplete_message() {
        return "cut";
    }
    "other"
}
