//! The admin endpoint against clients that misbehave.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_observe::Admin;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Longest time in which a bad client must be gone; its head may take 5 s, and two crowds wait.
const PATIENCE: Duration = Duration::from_secs(60);

/// Connections that are held open at once, twice what the endpoint serves.
const CROWD: usize = 128;

/// Sends `bytes`, closes the sending side, and gives all that is answered.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The endpoint may have closed in the middle of bad input; what it answered still counts.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    read_answer(&mut stream).await
}

/// All that is answered until the endpoint closes.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer)).await;
    match read.expect("the endpoint closes in time") {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {}
        Err(error) => panic!("{error}"),
    }
    String::from_utf8_lossy(&answer).into_owned()
}

async fn assert_alive(address: SocketAddr) {
    let answer = exchange(address, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// The endpoint installs the recorder of this process, so one test drives all of it.
#[tokio::test]
async fn bad_clients_are_answered_or_dropped_and_good_ones_served() {
    let admin = Admin::bind(([127, 0, 0, 1], 0).into())
        .await
        .expect("an endpoint");
    let address = admin.address().expect("an address");
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
    let many = format!(
        "GET / HTTP/1.1\r\nHost: x\r\n{}\r\n",
        "A: b\r\n".repeat(500)
    );
    assert!(exchange(address, many.as_bytes()).await.contains(" 431 "));
    assert_alive(address).await;

    let mut slow = TcpStream::connect(address).await.expect("a connection");
    slow.write_all(b"GET /hea")
        .await
        .expect("the start of a head");
    let mut crowd = Vec::new();
    for _ in 0..CROWD {
        crowd.push(TcpStream::connect(address).await.expect("a connection"));
    }
    read_answer(&mut slow).await;
    assert_alive(address).await;
    drop(crowd);

    let metrics = exchange(address, get("/metrics").as_bytes()).await;
    assert!(metrics.contains("admin_connections_failed"), "{metrics}");
}
