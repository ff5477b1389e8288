//! Listeners and clients of capnp messages against bytes that are none.

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

/// Seed of all garbage.
const SEED: u64 = 20_261_203;

/// Connections that send garbage.
const CONNECTIONS: usize = 200;

/// Longest wait for what is to come.
const PATIENCE: Duration = Duration::from_secs(30);

/// Heads of messages that lie about what follows.
const LYING_HEADS: [&[u8]; 4] = [
    // 2^32 segments.
    &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
    // One segment of 2^32 - 1 words.
    &[0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff],
    // One segment of one word: a pointer far outside.
    &[
        0, 0, 0, 0, 1, 0, 0, 0, 0xfc, 0xff, 0xff, 0x7f, 0xff, 0xff, 0xff, 0xff,
    ],
    // One segment of no word.
    &[0, 0, 0, 0, 0, 0, 0, 0],
];

/// A random message: often with the head of a small one.
fn garbage(random: &mut StdRng, index: usize) -> Vec<u8> {
    let words = random.random_range(1..64_u32);
    let mut bytes = match index % 3 {
        0 => LYING_HEADS[random.random_range(0..LYING_HEADS.len())].to_vec(),
        1 => [0, words]
            .iter()
            .flat_map(|part: &u32| part.to_le_bytes())
            .collect(),
        _ => Vec::new(),
    };
    for _ in 0..8 * words {
        // Small bytes give pointers that stay inside more often.
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
async fn view_feed_serves_on_while_garbage_arrives() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a mode");
    let source = Arc::new(Deployment::of(DeploymentKind::Cascade).source(1));
    let (sender, sources) = watch::channel(source);
    spawn_local_thread("test-feed", move || async move {
        let listener = TcpListener::from_std(listener).expect("a listener");
        serve_views(listener, sources, |_: &str, _: ViewNumber| {}).await;
    })
    .expect("a thread");

    let mut views = subscribe(address, "test").expect("a subscription");
    let arrival = views.wait_for(Option::is_some);
    tokio::time::timeout(PATIENCE, arrival)
        .await
        .expect("in time")
        .expect("a view");

    let mut random = StdRng::seed_from_u64(SEED);
    let mut held = Vec::new();
    for index in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        // The listener may close in the middle of it.
        let _ = stream.write_all(&garbage(&mut random, index)).await;
        if index % 4 == 0 {
            held.push(stream);
        }
    }

    sender.send_replace(Arc::new(Deployment::of(DeploymentKind::Cascade).source(2)));
    let arrival = views.wait_for(|view| {
        view.as_ref()
            .is_some_and(|view| view.number == ViewNumber::from(2))
    });
    tokio::time::timeout(PATIENCE, arrival)
        .await
        .expect("in time")
        .expect("a view");
    let mut late = subscribe(address, "late").expect("a subscription");
    let arrival = late.wait_for(Option::is_some);
    tokio::time::timeout(PATIENCE, arrival)
        .await
        .expect("in time")
        .expect("a view");
}

#[tokio::test]
async fn subscriber_outlives_an_agent_that_answers_garbage() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let views = subscribe(address, "test").expect("a subscription");
    let mut random = StdRng::seed_from_u64(SEED);
    for index in 0..6 {
        let accept = tokio::time::timeout(PATIENCE, listener.accept()).await;
        let (mut stream, _) = accept
            .expect("the subscriber comes again")
            .expect("a connection");
        let mut head = [0; 8];
        let _ = stream.read_exact(&mut head).await;
        let _ = stream.write_all(&garbage(&mut random, index)).await;
    }
    assert!(views.borrow().is_none());
}
