//! Connections that carry capnp-rpc.
//!
//! capnp-rpc keeps its state on one thread, so it runs in a `LocalSet`. [`spawn_local_thread`]
//! starts a thread with a `LocalSet` for programs whose other work runs on many threads.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use capnp::capability::{Client, FromClientHook};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle as Task, JoinSet, LocalSet, spawn_local};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::PeerError;
use crate::meter::{Activity, Meter, Metered};

/// Most connections that one listener serves at a time.
const CONNECTION_LIMIT: usize = 4_096;

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Time without a received byte after which a metered connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Largest message, in words of 8 bytes: four documents of 1 MiB and their framing.
const MESSAGE_LIMIT_WORDS: usize = (5 << 20) / 8;

/// A connection to an object of another process; closes when dropped.
#[derive(Debug)]
pub struct Link<C> {
    /// Client of the remote object.
    pub client: C,
    system: Task<()>,
}

impl<C> Drop for Link<C> {
    fn drop(&mut self) {
        self.system.abort();
    }
}

/// Starts a thread that runs `work` on its own `LocalSet`.
///
/// # Errors
///
/// Returns an error when the runtime or the thread can't be created.
pub fn spawn_local_thread<F, W>(name: &str, work: W) -> io::Result<JoinHandle<()>>
where
    F: Future<Output = ()>,
    W: FnOnce() -> F + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name(name.into())
        .spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, async move { work().await });
        })
}

/// Connects to the object that a process serves at `address`; must run in a `LocalSet`.
///
/// # Errors
///
/// Returns an error when the connection fails.
pub async fn connect<C: FromClientHook>(address: SocketAddr) -> Result<C, PeerError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let network = network(stream, Side::Client, Arc::default(), Activity::default());
    let mut system = RpcSystem::new(network, None);
    let client = system.bootstrap(Side::Server);
    spawn_local(system);
    Ok(client)
}

/// Connects to the object that a process serves at `address`, from `source` if given. The
/// connection lasts until the link is dropped, and `meter` counts its bytes. Must run in a
/// `LocalSet`.
///
/// # Errors
///
/// Returns an error when the connection fails or the source is not an address of this VM.
pub async fn connect_metered<C: FromClientHook>(
    address: SocketAddr,
    source: Option<IpAddr>,
    meter: Arc<Meter>,
) -> Result<Link<C>, PeerError> {
    let stream = match source {
        Some(source) => connect_from(address, source).await?,
        None => TcpStream::connect(address).await?,
    };
    stream.set_nodelay(true)?;
    let network = network(stream, Side::Client, meter, Activity::default());
    let mut system = RpcSystem::new(network, None);
    let client = system.bootstrap(Side::Server);
    let system = spawn_local(async move {
        // The end of the connection is reported by the calls that it interrupts.
        let _ = system.await;
    });
    Ok(Link { client, system })
}

/// Connects from a given address of this VM.
async fn connect_from(address: SocketAddr, source: IpAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Serves one object on each connection that `listener` accepts; must run in a `LocalSet`.
pub async fn serve<F>(listener: TcpListener, object: F)
where
    F: Fn(SocketAddr) -> Client,
{
    serve_until(listener, Arc::default(), Duration::MAX, object).await;
}

/// Serves like [`serve`], counts the bytes on `meter` and closes idle connections.
pub async fn serve_metered<F>(listener: TcpListener, meter: Arc<Meter>, object: F)
where
    F: Fn(SocketAddr) -> Client,
{
    serve_until(listener, meter, IDLE_TIMEOUT, object).await;
}

/// Serves until dropped; closes a connection after `limit` without a received byte.
async fn serve_until<F>(listener: TcpListener, meter: Arc<Meter>, limit: Duration, object: F)
where
    F: Fn(SocketAddr) -> Client,
{
    let permits = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    let mut connections = JoinSet::new();
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        while connections.try_join_next().is_some() {}
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let activity = Activity::default();
        let network = network(stream, Side::Server, Arc::clone(&meter), activity.clone());
        let system = RpcSystem::new(network, Some(object(address)));
        connections.spawn_local(async move {
            tokio::select! {
                result = system => log_end(address, result),
                () = wait_until_idle(&activity, limit) => {
                    log::debug!("event=peer_connection_ended peer={address} cause=idle");
                }
            }
            drop(permit);
        });
    }
}

/// Logs the end of a served connection.
fn log_end(address: SocketAddr, result: capnp::Result<()>) {
    if let Err(error) = result {
        log::debug!(
            "event=peer_connection_ended peer={address} cause={:?}",
            error.kind
        );
    }
}

/// Waits until a connection has received no byte for `limit`.
async fn wait_until_idle(activity: &Activity, limit: Duration) {
    loop {
        let remaining = limit.saturating_sub(activity.last().elapsed());
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining).await;
    }
}

/// The two-party network over one connection.
fn network(
    stream: TcpStream,
    side: Side,
    meter: Arc<Meter>,
    activity: Activity,
) -> Box<twoparty::VatNetwork<impl futures::AsyncRead>> {
    let stream = Metered::new(stream.compat(), meter, activity);
    let (reader, writer) = stream.split();
    Box::new(twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        side,
        read_limits(),
    ))
}

/// Limits on the size and depth of one message.
pub(crate) fn read_limits() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options
        .traversal_limit_in_words(Some(MESSAGE_LIMIT_WORDS))
        .nesting_limit(32);
    options
}
