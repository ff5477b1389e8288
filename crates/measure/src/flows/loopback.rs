//! The forwarder beside a bare UDP relay, with the same sockets, over loopback.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bambooseam_forwarder::pick::BoundedPick;
use bambooseam_forwarder::{Forwarder, SendBatch, Socket, SystemClock};
use bambooseam_view::View;

use super::speed::{datagram, view_of};

/// Time of one run.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Flows in the runs.
const FLOWS: u32 = 2_000;
/// Runs of each kind; they alternate, so that other load on the machine hits both.
const ROUNDS: usize = 12;
/// Longest wait for a datagram.
const IDLE_TIME: Duration = Duration::from_millis(50);
/// Position of the last byte of the caller's address in a datagram of the fabric.
const CALLER_BYTE: usize = 8 + 15;
/// Datagrams that the sender hands to the system at a time.
const SEND_BATCH: usize = 64;

/// Packets a second of one core.
#[derive(Debug, Clone, Copy, Default)]
pub struct Comparison {
    /// Of the bare relay.
    pub bare: f64,
    /// Of the forwarder.
    pub forwarder: f64,
    /// Median over the rounds of the forwarder's speed beside that of the bare relay.
    pub ratio: f64,
    /// Packets that the forwarder delivered.
    pub delivered: u64,
}

/// Measures both in turn, with `burst` packets of a flow in a row.
///
/// # Errors
///
/// An error when sockets or threads can't be made.
pub fn measure(burst: usize) -> io::Result<Comparison> {
    let view = view_of(1, 15);
    // Targets' sockets are bound so that packets find a socket; nobody reads them.
    let mut sinks = Vec::new();
    for target in &view.targets {
        sinks.push(UdpSocket::bind(target.entry.flows)?);
    }
    let mut result = Comparison::default();
    let mut ratios = Vec::new();
    for _ in 0..ROUNDS {
        let bare = run_bare(&view, burst)?;
        let (speed, delivered) = run_forwarder(&view, burst)?;
        result.bare += bare / ROUNDS as f64;
        result.forwarder += speed / ROUNDS as f64;
        result.delivered += delivered;
        ratios.push(speed / bare);
    }
    ratios.sort_by(f64::total_cmp);
    result.ratio = ratios[ROUNDS / 2];
    Ok(result)
}

/// Packets a second of one core that a bare relay moves.
fn run_bare(view: &View, burst: usize) -> io::Result<f64> {
    let targets: Vec<SocketAddr> = view.targets.iter().map(|t| t.entry.flows).collect();
    let (speed, _) = run(
        |batch: &mut SendBatch, _, bytes| {
            let caller = usize::from(bytes[CALLER_BYTE]);
            batch.push(targets[caller % targets.len()], &[], bytes);
        },
        |socket, batch| socket.flush(batch),
        |socket| socket.batch(),
        burst,
    )?;
    Ok(speed)
}

/// Packets a second of one core that the forwarder moves.
fn run_forwarder(view: &Arc<View>, burst: usize) -> io::Result<(f64, u64)> {
    let vm = view.vms[0].entry.id.clone();
    let clock = SystemClock::new();
    let (speed, forwarder) = run(
        |forwarder: &mut Forwarder<SendBatch, SystemClock, BoundedPick>, source, bytes| {
            forwarder.receive(source, bytes);
        },
        |socket, forwarder| {
            socket.flush(forwarder.output());
            clock.refresh();
        },
        |socket| {
            let pick = BoundedPick::default();
            let batch = socket.batch();
            let mut forwarder = Forwarder::new(vm.clone(), 100_000, batch, clock.clone(), pick);
            forwarder.set_view(Arc::clone(view));
            let source = SocketAddr::from(([127, 1, 9, 9], 6081));
            for caller in 0..FLOWS {
                forwarder.receive(source, &datagram(caller, true));
            }
            socket.flush(forwarder.output());
            forwarder
        },
        burst,
    )?;
    Ok((speed, forwarder.counters().delivered))
}

/// Runs one mover of packets on this thread against a sender on another.
fn run<M>(
    mut take: impl FnMut(&mut M, SocketAddr, &[u8]),
    mut flush: impl FnMut(&Socket, &mut M),
    start: impl FnOnce(&Socket) -> M,
    burst: usize,
) -> io::Result<(f64, M)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let _guard = runtime.enter();
    let mut socket = Socket::bind(SocketAddr::from(([127, 1, 9, 8], 0)))?;
    let mut mover = start(&socket);
    let is_over = Arc::new(AtomicBool::new(false));
    let sender = spawn_sender(socket.address()?, burst, Arc::clone(&is_over));
    let mut moved = 0;
    let begin = Instant::now();
    let cpu = cpu_time();
    while begin.elapsed() < RUN_TIME {
        let wait =
            runtime.block_on(async { tokio::time::timeout(IDLE_TIME, socket.readable()).await });
        if wait.is_err() {
            continue;
        }
        for _ in 0..64 {
            let Ok(count) = socket.receive(|source, bytes| take(&mut mover, source, bytes)) else {
                break;
            };
            flush(&socket, &mut mover);
            moved += count;
        }
    }
    let used = cpu_time().saturating_sub(cpu);
    is_over.store(true, Ordering::Relaxed);
    sender
        .join()
        .map_err(|_| io::Error::other("the sender failed"))??;
    let speed = moved as f64 / used.as_secs_f64().max(f64::MIN_POSITIVE);
    Ok((speed, mover))
}

/// Sends packets of all flows, in bursts, until it is over.
fn spawn_sender(
    to: SocketAddr,
    burst: usize,
    is_over: Arc<AtomicBool>,
) -> thread::JoinHandle<io::Result<()>> {
    thread::spawn(move || {
        let datagrams: Vec<Vec<u8>> = (0..FLOWS).map(|caller| datagram(caller, false)).collect();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let _guard = runtime.enter();
        let socket = Socket::bind(SocketAddr::from(([127, 1, 9, 9], 0)))?;
        let mut batch = socket.batch();
        let mut at = 0;
        while !is_over.load(Ordering::Relaxed) {
            for _ in 0..SEND_BATCH / burst {
                for _ in 0..burst {
                    batch.push(to, &[], &datagrams[at]);
                }
                at = (at + 1) % datagrams.len();
            }
            socket.flush(&mut batch);
            runtime.block_on(tokio::task::yield_now());
        }
        Ok(())
    })
}

/// Processor time of this thread.
fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}
