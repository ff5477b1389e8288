//! A TCP relay in front of an agent that simulates network partitions.
//!
//! The relay identifies the connecting VM by its source address. While two VMs are partitioned,
//! bytes between them are held back, as in a network that loses packets, until the partition heals
//! or an endpoint closes the connection.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Interval at which a partitioned connection checks whether the partition has healed.
const HEAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size of the copy buffer.
const BUFFER_BYTES: usize = 16 << 10;

/// Active partitions, shared by all relays.
#[derive(Debug, Clone, Default)]
pub struct Partitions {
    list: Arc<Mutex<Vec<Partition>>>,
}

/// A partition between two groups of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Partition {
    first: Vec<IpAddr>,
    second: Vec<IpAddr>,
}

/// A relay, which stops when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl Partitions {
    /// Partitions two groups of VMs from each other.
    pub fn add(&self, first: &[IpAddr], second: &[IpAddr]) {
        self.lock().push(Partition {
            first: first.to_vec(),
            second: second.to_vec(),
        });
    }

    /// Heals all partitions.
    pub fn heal(&self) {
        self.lock().clear();
    }

    /// Whether a partition separates two VMs.
    pub fn is_partitioned(&self, first: IpAddr, second: IpAddr) -> bool {
        self.lock().iter().any(|partition| {
            let is_between = |a: &[IpAddr], b: &[IpAddr]| a.contains(&first) && b.contains(&second);
            is_between(&partition.first, &partition.second)
                || is_between(&partition.second, &partition.first)
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Partition>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Relay {
    /// Listens on `address` and relays connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
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

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Accepts connections and relays each in a task of its own.
async fn accept(listener: TcpListener, target: SocketAddr, partitions: Partitions) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, source)) = listener.accept().await else {
            continue;
        };
        let connection = Connection {
            source: source.ip(),
            target,
            partitions: partitions.clone(),
        };
        connections.spawn(async move {
            // Both endpoints see the end of their connection, so an error needs no handling here.
            let _ = connection.run(stream).await;
        });
    }
}

/// A relayed connection from one VM to another.
#[derive(Debug, Clone)]
struct Connection {
    source: IpAddr,
    target: SocketAddr,
    partitions: Partitions,
}

impl Connection {
    async fn run(self, stream: TcpStream) -> io::Result<()> {
        self.wait_for_heal().await;
        let upstream = TcpStream::connect(self.target).await?;
        upstream.set_nodelay(true)?;
        stream.set_nodelay(true)?;
        let (from_source, to_source) = stream.into_split();
        let (from_target, to_target) = upstream.into_split();
        tokio::select! {
            result = self.copy(from_source, to_target) => result,
            result = self.copy(from_target, to_source) => result,
        }
    }

    /// Copies bytes in one direction, paused while the VMs are partitioned.
    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buffer).await?;
            if count == 0 {
                return Ok(());
            }
            self.wait_for_heal().await;
            to.write_all(&buffer[..count]).await?;
        }
    }

    /// Waits until no partition separates the two VMs.
    async fn wait_for_heal(&self) {
        while self
            .partitions
            .is_partitioned(self.source, self.target.ip())
        {
            tokio::time::sleep(HEAL_POLL_INTERVAL).await;
        }
    }
}
