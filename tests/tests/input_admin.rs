//! The admin endpoint with clients that send invalid, oversized or incomplete requests.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_observe::Admin;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Longest time in which the endpoint must close the connection of a misbehaving client.
///
/// A request header may take 5 s to arrive, and the test opens twice as many connections as the
/// endpoint serves at once, so that half of the connections wait for the other half.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Connections that the test holds open at once, twice as many as the endpoint serves.
const CONNECTIONS: usize = 128;

/// Sends `bytes`, closes the sending side, and returns the whole response.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    // The endpoint may have closed the connection during invalid input; its response still counts.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    read_response(&mut stream).await
}

/// Reads the response until the endpoint closes the connection.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let read = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut response)).await;
    match read.expect("endpoint closes the connection in time") {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {}
        Err(error) => panic!("{error}"),
    }
    String::from_utf8_lossy(&response).into_owned()
}

async fn assert_alive(address: SocketAddr) {
    let response = exchange(address, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// One test covers the whole endpoint, because the endpoint installs the metrics recorder of the
/// process, of which there can be only one.
#[tokio::test]
async fn misbehaving_clients_are_answered_or_dropped_and_valid_ones_served() {
    let admin = Admin::bind(([127, 0, 0, 1], 0).into())
        .await
        .expect("endpoint bound");
    let address = admin.address().expect("socket address");
    let (ready, receiver) = watch::channel(false);
    tokio::spawn(admin.serve(receiver, || json!({ "program": "test" })));

    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    let status = exchange(address, get("/status").as_bytes()).await;
    assert!(status.ends_with("{\"program\":\"test\"}"), "{status}");
    assert!(
        exchange(address, get("/readyz").as_bytes())
            .await
            .contains(" 503 ")
    );
    ready.send_replace(true);
    assert!(
        exchange(address, get("/readyz").as_bytes())
            .await
            .contains(" 200 ")
    );
    assert!(
        exchange(address, get("/nothing").as_bytes())
            .await
            .contains(" 404 ")
    );

    let post = b"POST /status HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    assert!(exchange(address, post).await.contains(" 405 "));
    let garbage = exchange(address, b"\x16\x03\x01 hello\r\n\r\n").await;
    assert!(garbage.contains(" 400 "), "{garbage}");
    let smuggled = b"GET /status HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\
        Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    let smuggled = exchange(address, smuggled).await;
    assert!(!smuggled.contains("healthy"), "{smuggled}");
    let huge = format!(
        "GET / HTTP/1.1\r\nHost: x\r\nX: {}\r\n\r\n",
        "x".repeat(1 << 20)
    );
    let huge = exchange(address, huge.as_bytes()).await;
    assert!(huge.is_empty() || huge.contains(" 431 "), "{huge}");
    let many_headers = format!(
        "GET / HTTP/1.1\r\nHost: x\r\n{}\r\n",
        "A: b\r\n".repeat(500)
    );
    assert!(
        exchange(address, many_headers.as_bytes())
            .await
            .contains(" 431 ")
    );
    assert_alive(address).await;

    let mut slow = TcpStream::connect(address).await.expect("connected");
    slow.write_all(b"GET /hea")
        .await
        .expect("partial request sent");
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.push(TcpStream::connect(address).await.expect("connected"));
    }
    read_response(&mut slow).await;
    assert_alive(address).await;
    drop(connections);

    let metrics = exchange(address, get("/metrics").as_bytes()).await;
    assert!(metrics.contains("admin_connections_failed"), "{metrics}");
}
