//! HTTP interface of the store for one VM, with injected faults between the store and that VM.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use super::{Event, Item, Store};
use crate::http::{ServeError, bind, text_response};

/// Maximum number of items of a page; small, so that tests receive several pages.
const PAGE_ITEMS: usize = 10;

/// Fault between the store and a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// No request is answered.
    Silent,
    /// Requests are refused with this status.
    Refused(u16),
    /// Connections are closed without a response.
    Reset,
    /// Each response is delayed by this time.
    Slow(Duration),
    /// Every n-th response is lost, and its connection stays unresponsive.
    Lossy(u64),
}

/// Server of the store's HTTP interface for one VM.
#[derive(Debug)]
pub struct StoreServer {
    store: Store,
    address: SocketAddr,
    fault: Mutex<Fault>,
    calls: AtomicU64,
    connections: AtomicU64,
    /// Connections up to this number are stalled.
    last_stalled: AtomicU64,
}

impl StoreServer {
    /// Starts a server that runs until the runtime ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn start(store: Store, address: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = bind(address).await?;
        let server = Arc::new(Self {
            store,
            address: listener.local_addr()?,
            fault: Mutex::default(),
            calls: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            last_stalled: AtomicU64::new(0),
        });
        tokio::spawn(Arc::clone(&server).serve(listener));
        Ok(server)
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests received.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Sets the fault that applies from now on.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Stalls all open connections permanently; new connections work.
    pub fn stall_connections(&self) {
        let last = self.connections.load(Ordering::Relaxed);
        self.last_stalled.store(last, Ordering::Relaxed);
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let number = self.connections.fetch_add(1, Ordering::Relaxed) + 1;
            let server = Arc::clone(&self);
            let service = service_fn(move |request| Arc::clone(&server).handle(number, request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    }

    async fn handle(
        self: Arc<Self>,
        connection: u64,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, ServeError> {
        let mut response = self.respond(connection, request).await?;
        let headers = response.headers_mut();
        headers.insert("store-era", self.store.era().into());
        Ok(response)
    }

    async fn respond(
        &self,
        connection: u64,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, ServeError> {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        self.apply_fault(connection).await?;
        if let Fault::Refused(status) = self.fault() {
            return Ok(text_response(StatusCode::from_u16(status)?, ""));
        }
        let query = Query::from_request(&request);
        let response = match request.uri().path() {
            "/api/kv-key" => self.key(&query),
            "/api/kv-range" => self.range(&query),
            "/api/kv-watch" => self.watch(&query).await,
            _ => text_response(StatusCode::NOT_FOUND, ""),
        };
        // A fault that began during a long poll applies to the response too.
        self.apply_fault(connection).await?;
        if let Fault::Lossy(nth) = self.fault()
            && call.is_multiple_of(nth)
        {
            std::future::pending::<()>().await;
        }
        let size = response.body().size_hint().exact().unwrap_or_default();
        self.store.carry(size as usize).await;
        Ok(response)
    }

    /// Applies the current fault: delays the request, fails it or never returns.
    async fn apply_fault(&self, connection: u64) -> Result<(), ServeError> {
        if connection <= self.last_stalled.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        match self.fault() {
            Fault::Silent => std::future::pending::<()>().await,
            Fault::Reset => return Err("injected connection reset".into()),
            Fault::Slow(time) => tokio::time::sleep(time / 2).await,
            Fault::None | Fault::Refused(_) | Fault::Lossy(_) => {}
        }
        Ok(())
    }

    fn key(&self, query: &Query) -> Response<Full<Bytes>> {
        let key = query.text("key");
        let history = self.store.lock();
        let Some(item) = history.get(&key) else {
            return text_response(StatusCode::NOT_FOUND, "");
        };
        let mut body = item_json(&key, item);
        body["current_rev"] = json!(history.revision());
        text_response(StatusCode::OK, body.to_string())
    }

    fn range(&self, query: &Query) -> Response<Full<Bytes>> {
        let history = self.store.lock();
        let (mut page, mut has_more) =
            history.range(&query.text("prefix"), &query.text("after"), PAGE_ITEMS);
        if let Some(limit) = self.store.page_bytes() {
            let mut size = 0;
            let is_beyond = |(_, item): &(_, &Item)| {
                size += item.value.len();
                size > limit
            };
            // The first item is returned whatever its size.
            let end = page.iter().position(is_beyond).unwrap_or(page.len());
            let end = end.max(1).min(page.len());
            has_more |= end < page.len();
            page.truncate(end);
        }
        let items: Vec<Value> = page
            .into_iter()
            .map(|(key, item)| item_json(key, item))
            .collect();
        let body = json!({
            "items": items, "has_more": has_more, "current_rev": history.revision(),
        });
        text_response(StatusCode::OK, body.to_string())
    }

    async fn watch(&self, query: &Query) -> Response<Full<Bytes>> {
        let prefix = query.text("prefix");
        let after = query.number("after");
        let era = self.store.era();
        let end = Instant::now() + Duration::from_millis(query.number("wait_ms").min(30_000));
        loop {
            {
                let history = self.store.lock();
                // A watch that was waiting while the store returned from a copy has no history.
                let events = history.since(&prefix, after);
                let Some(events) = events.ok().filter(|_| history.era() == era) else {
                    return text_response(StatusCode::GONE, "");
                };
                if !events.is_empty() || Instant::now() >= end {
                    let events: Vec<Value> = events.into_iter().map(event_json).collect();
                    let body = json!({"events": events, "current_rev": history.revision()});
                    return text_response(StatusCode::OK, body.to_string());
                }
            }
            let remaining = end.saturating_duration_since(Instant::now());
            self.store
                .changed(remaining.min(Duration::from_millis(20)))
                .await;
        }
    }
}

/// Parameters of a query string.
struct Query(HashMap<String, String>);

impl Query {
    fn from_request(request: &Request<Incoming>) -> Self {
        let pairs = request.uri().query().unwrap_or_default().split('&');
        let pairs = pairs.filter_map(|pair| pair.split_once('='));
        Self(
            pairs
                .map(|(key, value)| (key.into(), decode(value)))
                .collect(),
        )
    }

    fn text(&self, field: &str) -> String {
        self.0.get(field).cloned().unwrap_or_default()
    }

    fn number(&self, field: &str) -> u64 {
        self.text(field).parse().unwrap_or_default()
    }
}

/// Decodes a percent-encoded query value.
fn decode(value: &str) -> String {
    let decoded = percent_encoding::percent_decode_str(value);
    decoded.decode_utf8_lossy().into_owned()
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": STANDARD.encode(&item.value), "revision": item.revision,
        "created_rev": item.created, "lease": u8::from(item.expiry.is_some()),
    })
}

fn event_json(event: &Event) -> Value {
    match &event.item {
        Some(item) => item_json(&event.key, item),
        None => json!({"key": event.key, "revision": event.revision, "tombstone": true}),
    }
}
