//! Connections that carry capnp-rpc.
//!
//! capnp-rpc keeps its state on one thread, so it runs in a `LocalSet`; [`local_thread`] starts a
//! thread with one for programs whose other work is spread over many threads.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use capnp::capability::{Client, FromClientHook};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{LocalSet, spawn_local};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::PeerError;

/// Most connections that one listener serves at a time.
const CONNECTION_LIMIT: usize = 4_096;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Largest message, in words of 8 bytes: four documents of 1 MiB and their frame.
const MESSAGE_LIMIT_WORDS: usize = (5 << 20) / 8;

/// Starts a thread that runs `work` on a `LocalSet` of its own.
///
/// # Errors
///
/// An error when no runtime or thread can be made.
pub fn local_thread<F, W>(name: &str, work: W) -> io::Result<JoinHandle<()>>
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
/// An error when the connection is refused.
pub async fn connect<C: FromClientHook>(address: SocketAddr) -> Result<C, PeerError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let client = system.bootstrap(Side::Server);
    spawn_local(system);
    Ok(client)
}

/// Serves one object to each connection that `listener` accepts; must run in a `LocalSet`.
pub async fn serve<F>(listener: TcpListener, object: F)
where
    F: Fn(SocketAddr) -> Client,
{
    let open = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    loop {
        let Ok(permit) = Arc::clone(&open).acquire_owned().await else {
            return;
        };
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let system = RpcSystem::new(network(stream, Side::Server), Some(object(address)));
        spawn_local(async move {
            if let Err(error) = system.await {
                log::debug!(
                    "event=peer_connection_ended peer={address} cause={:?}",
                    error.kind
                );
            }
            drop(permit);
        });
    }
}

/// The two-party network over one connection.
fn network(stream: TcpStream, side: Side) -> Box<twoparty::VatNetwork<impl futures::AsyncRead>> {
    let (reader, writer) = stream.compat().split();
    Box::new(twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        side,
        read_limits(),
    ))
}

/// Limits on what one message may hold.
fn read_limits() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options
        .traversal_limit_in_words(Some(MESSAGE_LIMIT_WORDS))
        .nesting_limit(32);
    options
}
