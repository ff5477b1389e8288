//! Simulated configuration service of the platform: an HTTP key-value store with reads and long
//! polls by index.
//!
//! `GET` and `PUT` under `/v1/kv/` behave as in common key-value services. Faults are set through
//! [`Platform::set_mode`] and [`Platform::set_lag`], or by `POST /standin/mode` with the text form
//! of a [`Mode`]. `GET /standin/stats` returns the counters.

mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::Deployment;
use crate::http::{ServeError, bind, serve, text_response};

pub use store::{Mode, ParseModeError, Stats, Value};
use store::{Store, WatchResult};

/// Default limit of reads per second.
pub const READ_LIMIT: u32 = 2_000;
/// Maximum length of a value in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Header that holds the index of a value.
const INDEX_HEADER: &str = "X-Consul-Index";
/// Path prefix of keys.
const KEY_PREFIX: &str = "/v1/kv/";
/// Duration of a long poll whose request sets none.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// A running platform; it stops when the value is dropped.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    store: Arc<Store>,
    stop: CancellationToken,
}

/// Query parameters of a request.
#[derive(Debug, Default)]
struct Query {
    index: Option<u64>,
    wait: Option<Duration>,
    cas: Option<u64>,
}

/// Error that closes a connection without a response while the platform is down.
#[derive(Debug, Clone, Copy, Display)]
#[display("the platform is down")]
struct UnavailableError;

impl std::error::Error for UnavailableError {}

impl Platform {
    /// Starts without keys, limited to [`READ_LIMIT`] reads per second.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        Self::start_limited(address, READ_LIMIT).await
    }

    /// Starts without keys, limited to `reads` reads per second over all callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start_limited(address: SocketAddr, reads: u32) -> io::Result<Self> {
        let listener = bind(address).await?;
        let address = listener.local_addr()?;
        let store = Arc::new(Store::new(reads));
        let stop = CancellationToken::new();
        let handler_store = Arc::clone(&store);
        let server = serve(listener, stop.clone(), move |request| {
            handle(Arc::clone(&handler_store), request)
        });
        tokio::spawn(server);
        Ok(Self {
            address,
            store,
            stop,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes all documents of a deployment under `prefix` (without the trailing `/`), the
    /// pointer last.
    pub fn publish(&self, prefix: &str, deployment: &Deployment) {
        for (key, value) in deployment.documents() {
            self.put(&format!("{prefix}/{key}"), value);
        }
    }

    /// Writes a key and returns its new index; an unchanged value gets a new index too.
    pub fn put(&self, key: &str, value: impl Into<String>) -> u64 {
        self.store.put(key, value.into())
    }

    /// Writes a key if its current index is `index` (0 if the key does not exist); returns whether
    /// the key was written.
    pub fn cas(&self, key: &str, value: impl Into<String>, index: u64) -> bool {
        self.store.cas(key, value.into(), index)
    }

    /// Returns the newest value of a key in every mode.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.store.newest(key)
    }

    /// Sets how requests are answered from now on; pending long polls apply the new mode too.
    pub fn set_mode(&self, mode: Mode) {
        self.store.set_mode(mode);
    }

    /// Delays the visibility of changes to a key by `lag`; zero ends the delay.
    pub fn set_lag(&self, key: &str, lag: Duration) {
        self.store.set_lag(key, lag);
    }

    /// Returns the request counters.
    pub fn stats(&self) -> Stats {
        self.store.stats()
    }

    /// Waits until the platform is stopped.
    pub async fn stopped(&self) {
        self.stop.cancelled().await;
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Query {
    /// Parses the known parameters and ignores all others; `None` if a known parameter is invalid.
    fn parse(text: &str) -> Option<Self> {
        let mut query = Self::default();
        for pair in text.split('&') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            match name {
                "index" => query.index = Some(value.parse().ok()?),
                "cas" => query.cas = Some(value.parse().ok()?),
                "wait" => query.wait = Some(humantime::parse_duration(value).ok()?),
                _ => continue,
            }
        }
        Some(query)
    }
}

/// Handles a request.
async fn handle(
    store: Arc<Store>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ServeError> {
    let path = request.uri().path().to_owned();
    let Some(query) = Query::parse(request.uri().query().unwrap_or_default()) else {
        return Ok(text_response(
            StatusCode::BAD_REQUEST,
            "invalid query parameter; index and cas are numbers, wait is a duration\n",
        ));
    };
    if let Some(key) = path.strip_prefix(KEY_PREFIX) {
        return match *request.method() {
            Method::GET => handle_read(&store, key, &query).await,
            Method::PUT => handle_write(&store, key, &query, request).await,
            _ => Ok(text_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "method not allowed; expected GET or PUT\n",
            )),
        };
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/standin/stats") => {
            Ok(text_response(StatusCode::OK, store.stats().to_string()))
        }
        (&Method::POST, "/standin/mode") => {
            let text = body_text(request).await?;
            Ok(change_mode(&store, text.trim()))
        }
        _ => Ok(text_response(StatusCode::NOT_FOUND, "unknown path\n")),
    }
}

/// Handles a read or a long poll.
async fn handle_read(
    store: &Store,
    key: &str,
    query: &Query,
) -> Result<Response<Full<Bytes>>, ServeError> {
    let is_admitted = store.admit_read(query.index.is_some());
    let mode = store.mode();
    if mode == Mode::Down {
        return Err(Box::new(UnavailableError));
    }
    if !is_admitted {
        let mut refusal = text_response(StatusCode::TOO_MANY_REQUESTS, "read limit exceeded\n");
        refusal
            .headers_mut()
            .insert(hyper::header::RETRY_AFTER, 1.into());
        return Ok(refusal);
    }
    if let Mode::Slow(delay) = mode {
        tokio::time::sleep(delay).await;
    }
    let value = match query.index {
        None => store.visible(key),
        Some(index) => {
            let until = Instant::now() + query.wait.unwrap_or(DEFAULT_WAIT);
            match store.watch(key, index, until).await {
                WatchResult::Visible(value) => value,
                WatchResult::Down => return Err(Box::new(UnavailableError)),
            }
        }
    };
    let Some(value) = value else {
        return Ok(text_response(StatusCode::NOT_FOUND, ""));
    };
    let mut response = text_response(StatusCode::OK, value.text);
    response
        .headers_mut()
        .insert(INDEX_HEADER, value.index.into());
    Ok(response)
}

/// Handles a write.
async fn handle_write(
    store: &Store,
    key: &str,
    query: &Query,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ServeError> {
    if store.mode() == Mode::Down {
        return Err(Box::new(UnavailableError));
    }
    let text = body_text(request).await?;
    let is_written = match query.cas {
        Some(index) => store.cas(key, text, index),
        None => store.put(key, text) > 0,
    };
    Ok(text_response(StatusCode::OK, is_written.to_string()))
}

/// Handles a change of mode: the text form of a [`Mode`], or `lag KEY TIME`.
fn change_mode(store: &Store, text: &str) -> Response<Full<Bytes>> {
    if let Some(lag) = text.strip_prefix("lag ") {
        let parsed = lag.split_once(' ').and_then(|(key, time)| {
            let time = humantime::parse_duration(time).ok()?;
            Some((key, time))
        });
        let Some((key, time)) = parsed else {
            return text_response(StatusCode::BAD_REQUEST, "expected lag KEY TIME\n");
        };
        store.set_lag(key, time);
        return text_response(StatusCode::OK, "");
    }
    match text.parse() {
        Ok(mode) => {
            store.set_mode(mode);
            text_response(StatusCode::OK, "")
        }
        Err(error) => text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

/// Reads a body as text, up to the maximum length of a value.
async fn body_text(request: Request<Incoming>) -> Result<String, ServeError> {
    let body = Limited::new(request.into_body(), MAX_VALUE_BYTES)
        .collect()
        .await?;
    Ok(String::from_utf8(body.to_bytes().to_vec())?)
}
