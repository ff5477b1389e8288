//! Compares the forwarder with a bare UDP relay over loopback.
//!
//! Both use the same sockets and batches, so the ratio shows the cost of the forwarder's own work.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bambooseam_forwarder::pick::BoundedPick;
use bambooseam_forwarder::{Forwarder, SendBatch, Socket, SystemClock};
use bambooseam_view::View;

use super::speed::{build_view, datagram};

/// Length of one run.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Number of flows in each run.
const FLOWS: u32 = 2_000;
/// Number of runs of each kind. Relay and forwarder alternate, so that other load on the machine
/// affects both equally.
const ROUNDS: usize = 12;
/// Timeout for the next datagram.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);
/// Offset of the last byte of the caller's address in a datagram of the fabric.
const CALLER_BYTE: usize = 8 + 15;
/// Number of datagrams that the sender passes to the kernel in one batch.
const SEND_BATCH: usize = 64;

/// Throughput in packets per second of processor time on one core.
#[derive(Debug, Clone, Copy, Default)]
pub struct Comparison {
    /// Mean throughput of the bare relay.
    pub bare: f64,
    /// Mean throughput of the forwarder.
    pub forwarder: f64,
    /// Median over the rounds of the forwarder's throughput divided by that of the bare relay.
    pub ratio: f64,
    /// Number of packets that the forwarder delivered.
    pub delivered: u64,
}

/// Measures relay and forwarder in turn, with `burst` consecutive packets of each flow.
///
/// # Errors
///
/// Returns an error when a socket, a runtime or a thread fails.
pub fn measure(burst: usize) -> io::Result<Comparison> {
    let view = build_view(1, 15);
    // The targets' addresses are bound so that packets arrive at a socket; nothing reads them.
    let mut sinks = Vec::new();
    for target in &view.targets {
        sinks.push(UdpSocket::bind(target.entry.flows)?);
    }
    let mut result = Comparison::default();
    let mut ratios = Vec::new();
    for _ in 0..ROUNDS {
        let bare = run_bare(&view, burst)?;
        let (throughput, delivered) = run_forwarder(&view, burst)?;
        result.bare += bare / ROUNDS as f64;
        result.forwarder += throughput / ROUNDS as f64;
        result.delivered += delivered;
        ratios.push(throughput / bare);
    }
    ratios.sort_by(f64::total_cmp);
    result.ratio = ratios[ROUNDS / 2];
    Ok(result)
}

/// Measures the throughput of a bare relay.
fn run_bare(view: &View, burst: usize) -> io::Result<f64> {
    let targets: Vec<SocketAddr> = view.targets.iter().map(|t| t.entry.flows).collect();
    let (throughput, _) = run(
        |batch: &mut SendBatch, _, bytes| {
            let caller = usize::from(bytes[CALLER_BYTE]);
            batch.push(targets[caller % targets.len()], &[], bytes);
        },
        |socket, batch| socket.flush(batch),
        |socket| socket.batch(),
        burst,
    )?;
    Ok(throughput)
}

/// Measures the throughput of the forwarder; returns also the number of delivered packets.
fn run_forwarder(view: &Arc<View>, burst: usize) -> io::Result<(f64, u64)> {
    let vm = view.vms[0].entry.id.clone();
    let clock = SystemClock::new();
    let (throughput, forwarder) = run(
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
    Ok((throughput, forwarder.counters().delivered))
}

/// Runs a packet handler on this thread against a sender on another thread.
///
/// Returns the packets handled per second of processor time, and the handler.
fn run<H>(
    mut receive: impl FnMut(&mut H, SocketAddr, &[u8]),
    mut flush: impl FnMut(&Socket, &mut H),
    start: impl FnOnce(&Socket) -> H,
    burst: usize,
) -> io::Result<(f64, H)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let _guard = runtime.enter();
    let mut socket = Socket::bind(SocketAddr::from(([127, 1, 9, 8], 0)))?;
    let mut handler = start(&socket);
    let is_over = Arc::new(AtomicBool::new(false));
    let sender = spawn_sender(socket.address()?, burst, Arc::clone(&is_over));
    let mut handled = 0;
    let begin = Instant::now();
    let cpu = cpu_time();
    while begin.elapsed() < RUN_TIME {
        let wait = runtime
            .block_on(async { tokio::time::timeout(RECEIVE_TIMEOUT, socket.readable()).await });
        if wait.is_err() {
            continue;
        }
        for _ in 0..64 {
            let Ok(count) = socket.receive(|source, bytes| receive(&mut handler, source, bytes))
            else {
                break;
            };
            flush(&socket, &mut handler);
            handled += count;
        }
    }
    let used = cpu_time().saturating_sub(cpu);
    is_over.store(true, Ordering::Relaxed);
    sender
        .join()
        .map_err(|_| io::Error::other("the sender thread panicked"))??;
    let throughput = handled as f64 / used.as_secs_f64().max(f64::MIN_POSITIVE);
    Ok((throughput, handler))
}

/// Spawns a thread that sends packets of all flows in bursts until `is_over` is set.
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
        let mut next = 0;
        while !is_over.load(Ordering::Relaxed) {
            for _ in 0..SEND_BATCH / burst {
                for _ in 0..burst {
                    batch.push(to, &[], &datagrams[next]);
                }
                next = (next + 1) % datagrams.len();
            }
            socket.flush(&mut batch);
            runtime.block_on(tokio::task::yield_now());
        }
        Ok(())
    })
}

/// Returns the processor time used by this thread.
fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}
