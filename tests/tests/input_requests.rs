//! Request smuggling: requests that two parsers may frame differently, and bytes that are not HTTP.
//!
//! The proxy refuses each such request or answers it as one request, closes the connection when the
//! framing is ambiguous, and never runs any part of a body as a request.

use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_measure::requests::caller::{call_once, request};
use bambooseam_measure::requests::fleet::{Fleet, FleetPlan};
use bambooseam_standin::deployment::ORDERS_PORT;
use bambooseam_tests::inputs::for_each_bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// One VM and a target of each service.
const PLAN: FleetPlan = FleetPlan {
    vms: 1,
    orders: 1,
    downloads: 1,
    workers: 2,
};

/// Longest time in which a connection must end; the `head-time` of a proxy is 10 s.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of connections that send random bytes.
const GARBAGE_CONNECTIONS: usize = 300;

/// Longest random input in bytes.
const LIMIT: usize = 2_048;

/// Identifier of a request that is sent where the proxy expects a body.
const SMUGGLED: &str = "smuggled";

/// A request that must not run, because it is part of a body.
fn smuggled() -> String {
    format!("POST /b HTTP/1.1\r\nHost: x\r\nX-Request-Id: {SMUGGLED}\r\nContent-Length: 0\r\n\r\n")
}

/// Sends `bytes`, closes the sending side, and returns the whole response.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    // The proxy may have closed the connection during invalid input; its response still counts.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    read_response(&mut stream).await
}

/// Reads the response until the proxy closes the connection.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let read = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut response)).await;
    // A reset ends the connection too.
    let _ = read.expect("proxy closes the connection in time");
    String::from_utf8_lossy(&response).into_owned()
}

/// Status codes of all responses in `text`.
fn statuses(text: &str) -> Vec<&str> {
    let responses = text.split("HTTP/1.1 ").skip(1);
    responses
        .map(|response| &response[..response.len().min(3)])
        .collect()
}

async fn assert_serves(fleet: &Fleet, id: &str) {
    let address = fleet.proxies[0].address(ORDERS_PORT);
    let response = call_once(address, request("GET", "/a", id)).await;
    assert_eq!(response.status(), Some(200), "{response:?}");
}

/// A request line and a header with `lines`.
fn request_header(lines: &str) -> String {
    format!("POST /a HTTP/1.1\r\nX-Request-Id: outer\r\n{lines}\r\n\r\n")
}

#[tokio::test]
async fn ambiguous_headers_are_refused_and_end_the_connection() {
    let fleet = Fleet::start(PLAN, str::to_owned).await;
    let address = fleet.proxies[0].address(ORDERS_PORT);
    let shapes = [
        "Host: x\r\nContent-Length: 0\r\nContent-Length: 6",
        "Host: x\r\nContent-Length: 0, 6",
        "Host: x\r\nContent-Length: +0",
        "Host: x\r\nContent-Length: -1",
        "Host: x\r\nContent-Length: 0x0",
        "Host: x\r\nContent-Length: 99999999999999999999999",
        "Host: x\r\nTransfer-Encoding: identity",
        "Host: x\r\nTransfer-Encoding: chunked, identity",
        "Host: x\r\nTransfer-Encoding: xchunked",
        "Host: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        "Host: x\r\nTransfer-Encoding : chunked",
        "Host: x\r\nX: a\r\n Transfer-Encoding: chunked",
        "Host: x\r\nX: a\r\n\tb",
        "Host : x",
        "Host: x\r\nX: a\0b",
        "Host: x\r\nX: a\rb",
        "Host: x\r\n: empty",
    ];
    for shape in shapes {
        let bytes = format!("{}0\r\n\r\n{}", request_header(shape), smuggled());
        let response = exchange(address, bytes.as_bytes()).await;
        let codes = statuses(&response);
        assert!(matches!(codes[..], [] | ["400"]), "{shape:?}: {response}");
    }
    let lines = [
        "POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST http://y/a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
        "CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\n\r\n",
        "POST /a HTTP/9.9\r\nHost: x\r\n\r\n",
        "POST  /a HTTP/1.1\r\nHost: x\r\n\r\n",
        "PO ST /a HTTP/1.1\r\nHost: x\r\n\r\n",
        "POST /a\r\nHost: x\r\n\r\n",
    ];
    for line in lines {
        let response = exchange(address, format!("{line}{}", smuggled()).as_bytes()).await;
        let codes = statuses(&response);
        assert!(!response.contains("200 OK"), "{line:?}: {response}");
        assert!(matches!(codes[..], [] | ["400"]), "{line:?}: {response}");
    }
    // The end of these invalid requests is unambiguous, so the caller can read the answer.
    for hosts in [
        "Host: x\r\nHost: y",
        "X: no host",
        "Host: x\r\nIdempotency-Key: a b",
    ] {
        let lines = format!("{hosts}\r\nConnection: close");
        let mut stream = TcpStream::connect(address).await.expect("connected");
        stream
            .write_all(request_header(&lines).as_bytes())
            .await
            .expect("request sent");
        let response = read_response(&mut stream).await;
        assert_eq!(statuses(&response), ["400"], "{hosts:?}: {response}");
        assert!(
            response.contains("bambooseam-outcome: not-run"),
            "{response}"
        );
    }
    assert_eq!(fleet.log.total(), 0);
    assert_serves(&fleet, "last").await;
}

#[tokio::test]
async fn both_framings_are_read_as_chunked_and_end_the_connection() {
    let fleet = Fleet::start(PLAN, str::to_owned).await;
    let address = fleet.proxies[0].address(ORDERS_PORT);
    let shapes = [
        "Host: x\r\nContent-Length: 6\r\nTransfer-Encoding: chunked",
        "Host: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 6",
    ];
    for (index, shape) in shapes.into_iter().enumerate() {
        let bytes = format!("{}0\r\n\r\n{}", request_header(shape), smuggled());
        let mut stream = TcpStream::connect(address).await.expect("connected");
        stream
            .write_all(bytes.as_bytes())
            .await
            .expect("request sent");
        let response = read_response(&mut stream).await;
        match statuses(&response)[..] {
            [] | ["400"] => {}
            // RFC 9112 lets chunked take precedence if the connection closes after the response.
            ["200"] => assert!(response.contains("connection: close"), "{response}"),
            _ => panic!("{shape:?}: {response}"),
        }
        assert!(fleet.log.runs("outer") <= 1 + index as u32);
    }
    assert_eq!(fleet.log.runs(SMUGGLED), 0);
}

#[tokio::test]
async fn malformed_bodies_are_aborted_and_nothing_in_them_runs() {
    let fleet = Fleet::start(PLAN, str::to_owned).await;
    let address = fleet.proxies[0].address(ORDERS_PORT);
    let chunks = [
        "zz\r\n",
        "-1\r\nx\r\n0\r\n\r\n",
        "+1\r\nx\r\n0\r\n\r\n",
        "0x1\r\nx\r\n0\r\n\r\n",
        "FFFFFFFFFFFFFFFFF\r\nx\r\n",
        "1\r\nxy\r\n0\r\n\r\n",
        "1\r\nx\r\n0\r\nX: a\0b\r\n\r\n",
        "\r\n\r\n",
        "5\r\nx",
    ];
    for chunk in chunks {
        let bytes = format!(
            "{}{chunk}{}",
            request_header("Host: x\r\nTransfer-Encoding: chunked"),
            smuggled()
        );
        let response = exchange(address, bytes.as_bytes()).await;
        assert!(statuses(&response).len() <= 1, "{chunk:?}: {response}");
        assert!(!response.contains("HTTP/1.1 200"), "{chunk:?}: {response}");
    }
    let body = smuggled();
    let framing = format!(
        "Host: x\r\nConnection: close\r\nContent-Length: {}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let request = format!("{}{body}", request_header(&framing));
    stream
        .write_all(request.as_bytes())
        .await
        .expect("request sent");
    let response = read_response(&mut stream).await;
    assert_eq!(statuses(&response), ["200"], "{response}");
    assert_eq!(fleet.log.runs(SMUGGLED), 0);
    assert_serves(&fleet, "last").await;
}

#[tokio::test]
async fn pipelined_requests_each_get_their_own_answer() {
    let fleet = Fleet::start(PLAN, str::to_owned).await;
    let address = fleet.proxies[0].address(ORDERS_PORT);
    let mut bytes = String::new();
    for id in ["one", "two", "three"] {
        let close = if id == "three" {
            "Connection: close\r\n"
        } else {
            ""
        };
        bytes.push_str(&format!(
            "GET /a HTTP/1.1\r\nHost: x\r\n{close}X-Request-Id: {id}\r\n\r\n"
        ));
    }
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream
        .write_all(bytes.as_bytes())
        .await
        .expect("requests sent");
    let response = read_response(&mut stream).await;
    assert_eq!(statuses(&response), ["200", "200", "200"], "{response}");
    let position = |id: &str| {
        response
            .find(&format!("id={id} "))
            .expect("response received")
    };
    assert!(position("one") < position("two") && position("two") < position("three"));
}

#[tokio::test]
async fn oversized_slow_and_garbage_requests_leave_other_callers_served() {
    let fleet = Fleet::start(PLAN, str::to_owned).await;
    let address = fleet.proxies[0].address(ORDERS_PORT);
    let huge = request_header(&format!("Host: x\r\nX: {}", "x".repeat(4 << 20)));
    let response = exchange(address, huge.as_bytes()).await;
    assert!(
        matches!(statuses(&response)[..], [] | ["431"]),
        "{response}"
    );

    let mut slow = TcpStream::connect(address).await.expect("connected");
    slow.write_all(b"GET /a HTTP/1.1\r\nHost: x\r\nX: ")
        .await
        .expect("partial request sent");
    let mut idle = TcpStream::connect(address).await.expect("connected");
    let mut preface = TcpStream::connect(address).await.expect("connected");
    let frames = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\x01\x04\0\0\0\x01garbage";
    preface
        .write_all(frames)
        .await
        .expect("partial request sent");

    let mut inputs = Vec::new();
    for_each_bytes(LIMIT, |bytes| {
        if inputs.len() < GARBAGE_CONNECTIONS {
            inputs.push(bytes.to_vec());
        }
    });
    for input in inputs {
        let response = exchange(address, &input).await;
        assert!(!response.contains("HTTP/1.1 200"), "{response}");
    }
    assert_serves(&fleet, "between").await;
    for stream in [&mut slow, &mut idle, &mut preface] {
        let response = read_response(stream).await;
        assert!(!response.contains("HTTP/1.1 200"), "{response}");
    }
    assert_serves(&fleet, "last").await;
}

#[tokio::test]
async fn garbage_on_the_peer_port_of_a_proxy_leaves_callers_served() {
    let fleet = Fleet::start(PLAN, str::to_owned).await;
    let peers = fleet.deployment.vms.0[0].proxy;
    let mut inputs = Vec::new();
    for_each_bytes(LIMIT, |bytes| {
        if inputs.len() < GARBAGE_CONNECTIONS {
            inputs.push(bytes.to_vec());
        }
    });
    let mut streams = Vec::new();
    for (index, input) in inputs.iter().enumerate() {
        let mut stream = TcpStream::connect(peers).await.expect("connected");
        // Every other input follows the header of a message of one segment, whose length may be
        // right or too long.
        let words = u32::try_from(input.len() / 8 + index % 3).expect("fits into 32 bits");
        if index.is_multiple_of(2) {
            let _ = stream.write_all(&[0; 4]).await;
            let _ = stream.write_all(&words.to_le_bytes()).await;
        }
        let _ = stream.write_all(input).await;
        if index.is_multiple_of(4) {
            streams.push(stream);
        }
    }
    assert_serves(&fleet, "last").await;
    assert_eq!(fleet.log.total(), 1);
}
