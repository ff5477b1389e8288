//! Compares the proxy with a bare hyper pass-through and with a direct connection in one run.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bambooseam_standin::deployment::ORDERS_PORT;
use bytes::Bytes;
use http_body_util::{Either, Empty};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use super::caller::{CallerConnection, request};
use super::fleet::{Fleet, FleetPlan};
use super::schedule::percentile;
use super::{Bound, print_bound};

/// Body of the pass-through's response; empty after an upstream error.
type MaybeBody = Either<Incoming, Empty<Bytes>>;

/// Number of callers' connections.
const CONNECTIONS: usize = 32;

/// Duration of one measurement.
const RUN_TIME: Duration = Duration::from_millis(400);

/// Number of measurements of each server. The best counts, since other load on the machine can
/// only reduce the throughput.
const ROUNDS: usize = 8;

/// Number of worker threads for callers and targets.
const WORKERS: usize = 4;

/// Number of slots of the target, more than there are connections.
const SLOTS: u32 = 64;

/// One proxy with one worker thread.
const PLAN: FleetPlan = FleetPlan {
    vms: 1,
    orders: 1,
    downloads: 1,
    workers: 1,
};

/// Runs and prints the comparison; returns whether its bound is met.
pub fn print(_seed: u64) -> bool {
    let callers = runtime(WORKERS);
    let bare = runtime(1);
    callers.block_on(async {
        let fleet = Fleet::start_with_slots(PLAN, SLOTS, str::to_owned).await;
        let target = fleet.deployment.targets.targets[0].requests;
        let proxy = fleet.proxies[0].address(ORDERS_PORT);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let bare_address = listener.local_addr().expect("an address");
        bare.spawn(pass_through(listener, target));
        let (mut bare_rate, mut proxy_rate): (f64, f64) = (0.0, 0.0);
        for _ in 0..ROUNDS {
            bare_rate = bare_rate.max(throughput(bare_address).await);
            proxy_rate = proxy_rate.max(throughput(proxy).await);
        }
        println!("bare_requests_per_core_s={bare_rate:.0}");
        println!("proxy_requests_per_core_s={proxy_rate:.0}");
        let rate = proxy_rate / 2.0;
        let direct = latency(target, rate).await;
        let proxied = latency(proxy, rate).await;
        println!(
            "direct_p50_us={:.0} direct_p99_us={:.0}",
            direct.0, direct.1
        );
        println!(
            "added_p50_us={:.0} added_p99_us={:.0}",
            proxied.0 - direct.0,
            proxied.1 - direct.1
        );
        print_bound(
            "ratio_to_bare_proxy",
            proxy_rate / bare_rate,
            Bound::AtLeast(0.6),
        )
    })
}

fn runtime(workers: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Measures the requests per second when each caller sends its next request as soon as the
/// previous one is answered.
async fn throughput(address: SocketAddr) -> f64 {
    let count = Arc::new(AtomicU64::new(0));
    let began = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let count = Arc::clone(&count);
        callers.spawn(async move {
            let connection = CallerConnection::http1(address).await;
            let mut connection = connection.expect("a connection");
            while began.elapsed() < RUN_TIME {
                let result = connection.call(request("GET", "/a", "speed")).await;
                if result.is_served() {
                    count.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    callers.join_all().await;
    count.load(Ordering::Relaxed) as f64 / began.elapsed().as_secs_f64()
}

/// Measures the median and 99th percentile latency in microseconds at a rate in requests per
/// second.
async fn latency(address: SocketAddr, rate: f64) -> (f64, f64) {
    let gap = Duration::from_secs_f64(CONNECTIONS as f64 / rate);
    let mut callers = JoinSet::new();
    for caller in 0..CONNECTIONS {
        callers.spawn(async move {
            let connection = CallerConnection::http1(address).await;
            let mut connection = connection.expect("a connection");
            let mut times = Vec::new();
            let start = Instant::now() + gap.mul_f64(caller as f64 / CONNECTIONS as f64);
            for turn in 0..(RUN_TIME.as_secs_f64() / gap.as_secs_f64()) as u32 {
                let due = start + gap * turn;
                tokio::time::sleep_until(due.into()).await;
                let began = Instant::now();
                connection.call(request("GET", "/a", "speed")).await;
                times.push(began.elapsed().as_secs_f64() * 1e6);
            }
            times
        });
    }
    let mut times: Vec<f64> = callers.join_all().await.into_iter().flatten().collect();
    times.sort_by(f64::total_cmp);
    (percentile(&times, 0.5), percentile(&times, 0.99))
}

/// Runs a pass-through that opens one connection to the target per caller's connection.
async fn pass_through(listener: TcpListener, target: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let upstream = TcpStream::connect(target).await.expect("a connection");
            let _ = upstream.set_nodelay(true);
            let connecting = hyper::client::conn::http1::handshake(TokioIo::new(upstream));
            let (sender, connection) = connecting.await.expect("a connection");
            tokio::spawn(connection);
            let sender = Arc::new(Mutex::new(sender));
            let service = service_fn(move |request: Request<Incoming>| {
                let sender = Arc::clone(&sender);
                async move {
                    let mut sender = sender.lock().await;
                    let ready = sender.ready().await;
                    let response = match ready {
                        Ok(()) => sender.send_request(request).await,
                        Err(error) => Err(error),
                    };
                    let relayed: Response<MaybeBody> = match response {
                        Ok(response) => response.map(Either::Left),
                        Err(_) => {
                            let mut failed = Response::new(Either::Right(Empty::new()));
                            *failed.status_mut() = StatusCode::BAD_GATEWAY;
                            failed
                        }
                    };
                    Ok::<_, Infallible>(relayed)
                }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
