//! Start of a VM whose seeds do not answer: what it reads from the store, and when.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_entry::starter::{ReadPermit, Starter};
use bambooseam_entry::{Node, Peers};
use bambooseam_peer::Meter;
use bambooseam_peer::replica::PeerInfo;
use bambooseam_tests::steering::steering;
use socket2::{Domain, Socket, Type};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// A seed on loopback.
struct Seed {
    socket: Socket,
    /// Connections that fill its queue.
    _queued: Vec<TcpStream>,
}

impl Seed {
    fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&address.into()).expect("an address");
        socket.listen(1).expect("a listener");
        Self {
            socket,
            _queued: Vec::new(),
        }
    }

    /// Returns a seed to which connections hang, as to a machine without power.
    fn without_power() -> Self {
        let mut seed = Self::start();
        let connect = || TcpStream::connect_timeout(&seed.address(), Duration::from_millis(200));
        let queued = std::iter::from_fn(|| connect().ok()).collect();
        seed._queued = queued;
        seed
    }

    fn address(&self) -> SocketAddr {
        let address = self.socket.local_addr().expect("an address");
        address.as_socket().expect("an IP address")
    }
}

/// Returns the time after which a VM with this seed may read the whole store.
async fn time_until_read(seed: &Seed) -> Duration {
    let own = PeerInfo {
        address: SocketAddr::from(([127, 0, 0, 2], 7_720)),
        zone: "a".parse().expect("a zone"),
    };
    let node = Rc::new(RefCell::new(Node::new(steering([]))));
    let peers = Rc::new(RefCell::new(Peers::new(own, &[seed.address()])));
    let (permit, mut permitted) = watch::channel(ReadPermit::Nothing);
    let starter = Starter::new(node, peers, Arc::new(Meter::default()), permit);
    let begun = Instant::now();
    let read = permitted.wait_for(|permit| *permit == ReadPermit::All);
    tokio::select! {
        _ = starter.run() => panic!("the seed has answered"),
        read = timeout(Duration::from_secs(2), read) => {
            read.expect("a permit within 2 s").expect("a permit");
        }
    }
    begun.elapsed()
}

#[tokio::test(start_paused = true)]
async fn seed_without_power_delays_reading_for_a_moment_only() {
    let seed = Seed::without_power();
    let time = tokio::task::LocalSet::new()
        .run_until(time_until_read(&seed))
        .await;
    assert!(time <= Duration::from_millis(30), "{time:?}");
}

#[tokio::test(start_paused = true)]
async fn seed_that_is_busy_has_time_to_answer() {
    // Its kernel accepts the connection, and its process does not answer yet.
    let seed = Seed::start();
    let time = tokio::task::LocalSet::new()
        .run_until(time_until_read(&seed))
        .await;
    assert!(time >= Duration::from_millis(150), "{time:?}");
}
