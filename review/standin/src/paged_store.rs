//! The platform's store over HTTP. A range returns at most 500 items and 1 MB of values.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bambooseam_standin::site::{Event, Item, Store};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const MAX_ITEMS: usize = 500;
const MAX_BYTES: usize = 1_000_000;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Interval between two looks for events of a watch that waits.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Serves `store` at `address` until the runtime ends.
pub async fn serve(store: Store, address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let store = store.clone();
            tokio::spawn(async move {
                // The other end has closed the connection, or was killed.
                let _ = serve_connection(store, stream).await;
            });
        }
    });
    Ok(())
}

async fn serve_connection(store: Store, mut stream: TcpStream) -> io::Result<()> {
    let mut received = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = received.windows(4).position(|end| end == b"\r\n\r\n") {
                break at + 4;
            }
            let mut buffer = [0; 4_096];
            let len = stream.read(&mut buffer).await?;
            if len == 0 {
                return Ok(());
            }
            received.extend(&buffer[..len]);
        };
        let head = String::from_utf8_lossy(&received[..end]).into_owned();
        received.drain(..end);
        let target = head.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        sleep(ANSWER_TIME).await;
        let (status, body) = match path {
            "/api/kv-range" => range(&store, &query),
            "/api/kv-watch" => watch(&store, &query).await,
            _ => ("404 Not Found", String::new()),
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body.as_bytes()).await?;
    }
}

fn range(store: &Store, query: &HashMap<String, String>) -> (&'static str, String) {
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let history = store.lock();
    let (found, mut has_more) = history.range(&text("prefix"), &text("after"), MAX_ITEMS);
    let (mut items, mut size) = (Vec::new(), 0);
    for (key, item) in found {
        size += item.value.len();
        if !items.is_empty() && size > MAX_BYTES {
            has_more = true;
            break;
        }
        items.push(item_json(key, item));
    }
    let body = json!({
        "items": items, "has_more": has_more, "current_rev": history.revision(),
    });
    ("200 OK", body.to_string())
}

async fn watch(store: &Store, query: &HashMap<String, String>) -> (&'static str, String) {
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
    let prefix = query.get("prefix").cloned().unwrap_or_default();
    let after: u64 = number("after").unwrap_or_default();
    let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
    loop {
        {
            let history = store.lock();
            let Ok(events) = history.since(&prefix, after) else {
                return ("410 Gone", String::new());
            };
            if !events.is_empty() || Instant::now() >= end {
                let events: Vec<Value> = events.into_iter().map(event_json).collect();
                let body = json!({"events": events, "current_rev": history.revision()});
                return ("200 OK", body.to_string());
            }
        }
        sleep(WATCH_INTERVAL).await;
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": base64(&item.value), "revision": item.revision,
        "created_rev": item.created, "lease": 0,
    })
}

fn event_json(event: &Event) -> Value {
    match &event.item {
        Some(item) => item_json(&event.key, item),
        None => json!({"key": event.key, "revision": event.revision, "tombstone": true}),
    }
}

/// Standard Base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * at)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// Decodes a percent-encoded query value.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let digits = tail.get(..2).filter(|_| byte == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(decoded) => {
                bytes.push(decoded);
                rest = &tail[2..];
            }
            None => {
                bytes.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
