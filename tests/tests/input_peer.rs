//! Listeners and clients of capnp messages when the other side sends invalid bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_peer::feed::{serve_views, subscribe};
use bambooseam_peer::spawn_local_thread;
use bambooseam_standin::{Deployment, DeploymentKind};
use bambooseam_view::ViewNumber;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Seed of all random bytes.
const SEED: u64 = 20_261_203;

/// Number of connections that send random bytes.
const CONNECTIONS: usize = 200;

/// Longest time that a test waits for an expected view or connection.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Message headers that do not match the bytes after them.
const INVALID_HEADERS: [&[u8]; 4] = [
    // 2^32 segments.
    &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
    // One segment of 2^32 - 1 words.
    &[0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff],
    // One segment of one word, a pointer far outside the segment.
    &[
        0, 0, 0, 0, 1, 0, 0, 0, 0xfc, 0xff, 0xff, 0x7f, 0xff, 0xff, 0xff, 0xff,
    ],
    // One segment without a word.
    &[0, 0, 0, 0, 0, 0, 0, 0],
];

/// Random bytes after an invalid header, after the header of a small message, or without a header.
fn garbage(random: &mut StdRng, index: usize) -> Vec<u8> {
    let words = random.random_range(1..64_u32);
    let mut bytes = match index % 3 {
        0 => INVALID_HEADERS[random.random_range(0..INVALID_HEADERS.len())].to_vec(),
        1 => [0, words]
            .iter()
            .flat_map(|part: &u32| part.to_le_bytes())
            .collect(),
        _ => Vec::new(),
    };
    for _ in 0..8 * words {
        // Small values give more pointers that stay inside the message.
        let limit = if index.is_multiple_of(2) {
            8
        } else {
            u32::from(u8::MAX) + 1
        };
        bytes.push(u8::try_from(random.random_range(0..limit)).unwrap_or(u8::MAX));
    }
    bytes
}

#[tokio::test]
async fn view_feed_keeps_serving_while_garbage_arrives() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("port bound");
    let address = listener.local_addr().expect("socket address");
    listener
        .set_nonblocking(true)
        .expect("non-blocking mode set");
    let source = Arc::new(Deployment::of(DeploymentKind::Cascade).source(1));
    let (sender, sources) = watch::channel(source);
    spawn_local_thread("test-feed", move || async move {
        let listener = TcpListener::from_std(listener).expect("listener registered");
        serve_views(listener, sources, |_: &str, _: ViewNumber| {}).await;
    })
    .expect("thread started");

    let mut views = subscribe(address, "test").expect("subscribed");
    let arrival = views.wait_for(Option::is_some);
    tokio::time::timeout(WAIT_LIMIT, arrival)
        .await
        .expect("view received in time")
        .expect("view received");

    let mut random = StdRng::seed_from_u64(SEED);
    let mut streams = Vec::new();
    for index in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.expect("connected");
        // The listener may close the connection during the message.
        let _ = stream.write_all(&garbage(&mut random, index)).await;
        if index % 4 == 0 {
            streams.push(stream);
        }
    }

    sender.send_replace(Arc::new(Deployment::of(DeploymentKind::Cascade).source(2)));
    let arrival = views.wait_for(|view| {
        view.as_ref()
            .is_some_and(|view| view.number == ViewNumber::from(2))
    });
    tokio::time::timeout(WAIT_LIMIT, arrival)
        .await
        .expect("view received in time")
        .expect("view received");
    let mut late = subscribe(address, "late").expect("subscribed");
    let arrival = late.wait_for(Option::is_some);
    tokio::time::timeout(WAIT_LIMIT, arrival)
        .await
        .expect("view received in time")
        .expect("view received");
}

#[tokio::test]
async fn subscriber_survives_an_agent_that_sends_garbage() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port bound");
    let address: SocketAddr = listener.local_addr().expect("socket address");
    let views = subscribe(address, "test").expect("subscribed");
    let mut random = StdRng::seed_from_u64(SEED);
    for index in 0..6 {
        let accept = tokio::time::timeout(WAIT_LIMIT, listener.accept()).await;
        let (mut stream, _) = accept
            .expect("subscriber connected again in time")
            .expect("connected");
        let mut header = [0; 8];
        let _ = stream.read_exact(&mut header).await;
        let _ = stream.write_all(&garbage(&mut random, index)).await;
    }
    assert!(views.borrow().is_none());
}
