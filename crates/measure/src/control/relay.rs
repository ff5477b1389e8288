//! A relay before an agent that can cut it off from other VMs.
//!
//! It tells who connects by the source address. Bytes of a connection that is cut wait, as packets
//! that a network loses would, until the cut ends or a side gives up.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// How often a connection that is cut is looked at again.
const CUT_TIME: Duration = Duration::from_millis(50);

/// Bytes that are passed on at a time.
const BUFFER_BYTES: usize = 16 << 10;

/// Pairs of VMs that can't reach each other.
#[derive(Debug, Clone, Default)]
pub struct Partitions {
    groups: Arc<Mutex<Vec<Cut>>>,
}

/// A cut between two groups of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Cut {
    one: Vec<IpAddr>,
    other: Vec<IpAddr>,
}

/// A relay; it ends when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl Partitions {
    /// Partitions two groups of VMs off from each other.
    pub fn add(&self, one: &[IpAddr], other: &[IpAddr]) {
        self.lock().push(Cut {
            one: one.to_vec(),
            other: other.to_vec(),
        });
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.lock().clear();
    }

    /// Whether two VMs can't reach each other.
    pub fn is_partitioned(&self, one: IpAddr, other: IpAddr) -> bool {
        self.lock().iter().any(|cut| {
            let is_between = |a: &[IpAddr], b: &[IpAddr]| a.contains(&one) && b.contains(&other);
            is_between(&cut.one, &cut.other) || is_between(&cut.other, &cut.one)
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Cut>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Relay {
    /// Listens on `address` and passes connections on to `target`.
    ///
    /// # Errors
    ///
    /// An error when the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        target: SocketAddr,
        partitions: Partitions,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, partitions));
        Ok(Self {
            address,
            _tasks: tasks,
        })
    }

    /// The address that is bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Accepts connections and passes each on.
async fn accept(listener: TcpListener, target: SocketAddr, partitions: Partitions) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, source)) = listener.accept().await else {
            continue;
        };
        let way = Way {
            source: source.ip(),
            target,
            partitions: partitions.clone(),
        };
        connections.spawn(async move {
            // The end of a connection needs no answer: both sides see it.
            let _ = way.pass(stream).await;
        });
    }
}

/// Who talks to whom over a connection.
#[derive(Debug, Clone)]
struct Way {
    source: IpAddr,
    target: SocketAddr,
    partitions: Partitions,
}

impl Way {
    async fn pass(self, stream: TcpStream) -> io::Result<()> {
        self.wait().await;
        let onward = TcpStream::connect(self.target).await?;
        onward.set_nodelay(true)?;
        stream.set_nodelay(true)?;
        let (from_source, to_source) = stream.into_split();
        let (from_target, to_target) = onward.into_split();
        tokio::select! {
            result = self.pump(from_source, to_target) => result,
            result = self.pump(from_target, to_source) => result,
        }
    }

    /// Passes bytes one way, as long as nothing is cut.
    async fn pump(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buffer).await?;
            if count == 0 {
                return Ok(());
            }
            self.wait().await;
            to.write_all(&buffer[..count]).await?;
        }
    }

    /// Waits while the two are cut off.
    async fn wait(&self) {
        while self
            .partitions
            .is_partitioned(self.source, self.target.ip())
        {
            tokio::time::sleep(CUT_TIME).await;
        }
    }
}
