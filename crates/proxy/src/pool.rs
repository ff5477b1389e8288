//! Pool of idle connections to targets.
//!
//! A target that sends an answer a second time, when the connection is in use again, would answer the
//! next request with it. A connection is therefore reused only if its answers name their requests.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bambooseam_types::TargetId;
use bambooseam_view::View;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::body::RequestBody;

/// Maximum idle time, after which a connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Maximum age of a connection that may be reused.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Maximum number of idle connections to one target. The target's slots usually bound the number
/// earlier.
const MAX_IDLE_PER_TARGET: usize = 64;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which sent bytes may remain unacknowledged before the connection counts as lost.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time within which a pooled connection, whose last response has ended, must be ready for the
/// next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// A connection to a target that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<RequestBody>,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    /// Whether the last response named its request.
    pub names_request: bool,
    address: SocketAddr,
    target: TargetId,
    opened: Instant,
    idle_since: Instant,
}

/// Idle connections, sorted by target and address.
///
/// The target is part of the key, so that a request to another service's target that now uses the
/// same address is never sent over an old connection.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Vec<(TargetId, SocketAddr, Vec<Connection>)>>,
}

impl Connection {
    /// Connects to a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused or not established within `CONNECT_TIMEOUT`.
    pub async fn open(target: &TargetId, address: SocketAddr) -> std::io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let (sender, connection) = Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            // The request that the connection carries receives the error as well.
            let _ = connection.with_upgrades().await;
        });
        let now = Instant::now();
        Ok(Self {
            sender,
            is_reused: false,
            names_request: false,
            address,
            target: target.clone(),
            opened: now,
            idle_since: now,
        })
    }
}

impl Pool {
    /// Takes a ready connection that has been idle for at most `max_idle`.
    pub async fn take(
        &self,
        target: &TargetId,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Option<Connection> {
        loop {
            let mut connection = self.pop(target, address)?;
            let is_fresh = connection.idle_since.elapsed() <= max_idle.min(MAX_IDLE);
            if !is_fresh || connection.sender.is_closed() {
                continue;
            }
            let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                connection.is_reused = true;
                return Some(connection);
            }
        }
    }

    /// Returns a connection whose response has ended to the pool, unless it may not be reused.
    pub fn put(&self, mut connection: Connection) {
        let is_old = connection.opened.elapsed() > MAX_AGE;
        if !connection.names_request || connection.sender.is_closed() || is_old {
            return;
        }
        connection.idle_since = Instant::now();
        let key = (connection.target.clone(), connection.address);
        let mut idle = self.lock();
        let found = idle.binary_search_by(|entry| (&entry.0, entry.1).cmp(&(&key.0, key.1)));
        let index = found.unwrap_or_else(|index| {
            idle.insert(index, (key.0, key.1, Vec::new()));
            index
        });
        let connections = &mut idle[index].2;
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(connection);
        }
    }

    /// Closes connections that have been idle too long or whose target and address are not in
    /// `view`.
    pub fn evict(&self, view: Option<&View>) {
        let mut idle = self.lock();
        for (_, _, connections) in idle.iter_mut() {
            connections.retain(|connection| connection.idle_since.elapsed() <= MAX_IDLE);
        }
        idle.retain(|(target, address, connections)| {
            let is_known = view.is_none_or(|view| {
                let mut targets = view.targets.iter();
                targets.any(|t| t.entry.id == *target && t.entry.requests == *address)
            });
            is_known && !connections.is_empty()
        });
    }

    fn pop(&self, target: &TargetId, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let found = idle.binary_search_by(|entry| (&entry.0, entry.1).cmp(&(target, address)));
        idle[found.ok()?].2.pop()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(TargetId, SocketAddr, Vec<Connection>)>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
