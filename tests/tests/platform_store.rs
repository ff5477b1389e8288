//! Responses of the platform's store, also with values and fields that this program has no use for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bambooseam_platform::{Store, StoreError};
use bambooseam_replica::{Change, Changes};
use bambooseam_types::Revision;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Entry of a target in Base64, and its bytes.
const ENTRY: &str = "eyJzZXJ2aWNlIjoiaHV2bzExYSJ9";
const ENTRY_BYTES: &[u8] = br#"{"service":"huvo11a"}"#;

/// Size in bytes of the values of another writer.
const LARGE: usize = 1_000_000;

/// How a response is sent.
#[derive(Debug, Clone, Copy)]
struct Pace {
    /// Bytes that are sent at once.
    piece: usize,
    /// Pause between two pieces.
    pause: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            piece: usize::MAX,
            pause: Duration::ZERO,
        }
    }
}

/// Starts a store whose response to a path is `body(path)`, and returns a client of it.
async fn store<F>(pace: Pace, body: F) -> Store
where
    F: Fn(&str) -> Vec<u8> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let body = Arc::new(body);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, pace, Arc::clone(&body)));
        }
    });
    Store::new(address)
}

/// Answers the requests on one connection.
async fn answer<F: Fn(&str) -> Vec<u8>>(mut stream: TcpStream, pace: Pace, body: Arc<F>) {
    let mut request = Vec::new();
    loop {
        while !request.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => request.push(byte),
                Err(_) => return,
            }
        }
        let text = String::from_utf8_lossy(&request).into_owned();
        request.clear();
        let body = body(text.split(' ').nth(1).unwrap_or_default());
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        for piece in body.chunks(pace.piece) {
            if stream.write_all(piece).await.is_err() {
                return;
            }
            tokio::time::sleep(pace.pause).await;
        }
    }
}

/// Value of `size` bytes in Base64.
fn value(size: usize) -> String {
    "QUFB".repeat(size / 3)
}

fn item(key: &str, revision: u64, value: &str) -> Value {
    json!({"key": key, "revision": revision, "created_rev": 1, "lease": 0, "value": value})
}

fn change(key: &str, revision: u64, value: Option<&[u8]>) -> Change {
    Change {
        key: key.into(),
        revision: Revision::from(revision),
        value: value.map(Arc::from),
    }
}

async fn watch(store: &mut Store) -> Result<Changes, StoreError> {
    store.watch(Revision::from(1), Duration::ZERO).await
}

#[tokio::test]
async fn large_values_do_not_hide_the_changes_beside_them() {
    let mut events: Vec<Value> = (0..8)
        .map(|at| item(&format!("servers/x-{at}"), at + 2, &value(LARGE)))
        .collect();
    events.push(item("servers/i-1", 10, ENTRY));
    let body = json!({"events": events, "current_rev": 10}).to_string();
    let mut store = store(Pace::default(), move |_| body.clone().into()).await;
    let changes = watch(&mut store).await.expect("changes");
    assert_eq!(changes.list.len(), 9);
    assert_eq!(changes.upto, Revision::from(10));
    assert_eq!(
        changes.list[8],
        change("servers/i-1", 10, Some(ENTRY_BYTES))
    );
    // The other documents still count as written.
    for large in &changes.list[..8] {
        assert_eq!(large.value.as_deref(), Some(&[][..]));
    }
}

#[tokio::test]
async fn values_of_unknown_kinds_of_documents_are_not_kept() {
    let events = [
        item("other/thing", 2, &value(300)),
        item("op/evacuate/a", 3, ENTRY),
        item("op/config", 4, &value(1 << 20)),
    ];
    let body = json!({"events": events, "current_rev": 4}).to_string();
    let mut store = store(Pace::default(), move |_| body.clone().into()).await;
    let changes = watch(&mut store).await.expect("changes");
    let sizes: Vec<_> = changes
        .list
        .iter()
        .map(|change| change.value.as_ref().map(|value| value.len()))
        .collect();
    assert_eq!(
        sizes,
        [Some(0), Some(ENTRY_BYTES.len()), Some((1 << 20) / 3 * 3)]
    );
}

#[tokio::test]
async fn a_page_for_each_large_value_does_not_end_the_read() {
    const VALUES: usize = 260;
    let mut store = store(Pace::default(), |path| {
        let (_, after) = path.rsplit_once("after=").expect("a start");
        let number = after.rsplit_once("%2D").map_or(0, |(_, number)| {
            number.parse::<usize>().expect("a number") + 1
        });
        let is_target = path.contains("servers");
        let items = match is_target {
            true => vec![item(&format!("servers/x-{number:04}"), 2, &value(60_000))],
            false => Vec::new(),
        };
        let has_more = is_target && number + 1 < VALUES;
        let body = json!({"items": items, "has_more": has_more, "current_rev": 7});
        body.to_string().into()
    })
    .await;
    let changes = store.read_all(|_| (), async || ()).await.expect("changes");
    assert_eq!(changes.list.len(), VALUES);
    assert!(changes.size() < 64 << 10, "{} bytes", changes.size());
}

#[tokio::test]
async fn a_page_that_does_not_advance_ends_the_read() {
    let mut store = store(Pace::default(), |_| {
        let items = [item("servers/i-1", 2, ENTRY)];
        let body = json!({"items": items, "has_more": true, "current_rev": 7});
        body.to_string().into()
    })
    .await;
    let read = store.read_all(|_| (), async || ());
    let read = tokio::time::timeout(Duration::from_secs(10), read).await;
    let error = read.expect("an end").expect_err("an endless range");
    assert!(
        matches!(error, StoreError::InvalidResponse { .. }),
        "{error}"
    );
}

#[tokio::test]
async fn fields_after_a_value_of_any_size_are_read() {
    // The limit of a string, less the fields before it, lies among these sizes.
    for missing in (0..400).step_by(28) {
        let value = "QUFB".repeat(((4 << 20) - missing) / 4);
        let body = format!(
            r#"{{"events":[{{"value":"{value}","key":"servers/x-1","revision":2}}],"current_rev":2}}"#
        );
        let mut store = store(Pace::default(), move |_| body.clone().into()).await;
        let changes = watch(&mut store).await.expect("changes");
        assert_eq!(changes.list, [change("servers/x-1", 2, Some(&[]))]);
    }
}

#[tokio::test]
async fn deeply_nested_fields_of_a_response_are_skipped() {
    let deep = format!("{}{}", "[{\"a\":".repeat(20_000), "0}]".repeat(20_000));
    let body = format!(
        r#"{{"other":{deep},"events":[{{"key":"servers/i-1","note":{deep},"value":"{ENTRY}",
        "revision":2}},{{"key":"servers/i-2","value":{deep},"revision":3}}],"current_rev":3}}"#
    );
    let mut store = store(Pace::default(), move |_| body.clone().into()).await;
    let changes = watch(&mut store).await.expect("changes");
    assert_eq!(
        changes.list,
        [
            change("servers/i-1", 2, Some(ENTRY_BYTES)),
            change("servers/i-2", 3, Some(&[])),
        ]
    );
}

#[tokio::test]
async fn responses_may_arrive_in_pieces_of_any_size() {
    let body = format!(
        r#" {{"text": "\\\"]}}[{{", "events" : [ {{"key": "servers\/i-\u0031",
        "note": "\"}}]\\", "value": "{ENTRY}", "revision": 2 }} ,
        {{"key":"servers/i-2","revision":3,"tombstone":true}}], "events_before": [{{"key": 1}}],
        "current_rev": 3}} "#
    );
    for piece in [1, 2, 3, 5, 17, 4_096] {
        let pace = Pace {
            piece,
            pause: Duration::ZERO,
        };
        let body = body.clone();
        let mut store = store(pace, move |_| body.clone().into()).await;
        let changes = watch(&mut store).await.expect("changes");
        assert_eq!(
            changes.list,
            [
                change("servers/i-1", 2, Some(ENTRY_BYTES)),
                change("servers/i-2", 3, None),
            ]
        );
    }
}

#[tokio::test]
async fn malformed_responses_are_refused() {
    for body in [
        "",
        "[]",
        "null",
        "}",
        "{\"events\":[]",
        "{\"events\":[],\"current_rev\":3",
        "{\"events\":[]}}",
        "{\"events\":[],\"current_rev\":-3}",
        "{\"events\":{},\"current_rev\":3}",
        "{\"events\":[7],\"current_rev\":3}",
        "{\"events\":[{}],\"current_rev\":3}",
        "{\"events\":[{\"key\":\"a\"}],\"current_rev\":3}",
        "{\"events\":[{\"key\":\"a\",\"revision\":2,}],\"current_rev\":3}",
        "{\"events\":[],\"current_rev\":3}{\"events\":[],\"current_rev\":3}",
        "{\"current_rev\":3}",
    ] {
        let mut store = store(Pace::default(), move |_| body.into()).await;
        let error = watch(&mut store).await.expect_err(body);
        assert!(
            matches!(error, StoreError::InvalidResponse { .. }),
            "{body}: {error}"
        );
    }
}

#[tokio::test]
async fn a_long_response_on_a_slow_link_is_not_begun_anew() {
    let events = [item("servers/x-1", 2, &value(LARGE))];
    let body = json!({"events": events, "current_rev": 2}).to_string();
    let pace = Pace {
        piece: body.len() / 15,
        pause: Duration::from_millis(100),
    };
    let mut store = store(pace, move |_| body.clone().into()).await;
    let changes = watch(&mut store).await.expect("changes");
    assert_eq!(changes.list.len(), 1);
}

#[tokio::test]
async fn a_response_that_stops_is_given_up() {
    let events = [item("servers/x-1", 2, &value(3_000))];
    let body = json!({"events": events, "current_rev": 2}).to_string();
    let pace = Pace {
        piece: body.len() / 2,
        pause: Duration::from_secs(60),
    };
    let mut store = store(pace, move |_| body.clone().into()).await;
    let started = Instant::now();
    assert_eq!(watch(&mut store).await, Err(StoreError::TimedOut));
    assert!(started.elapsed() < Duration::from_secs(5));
}
