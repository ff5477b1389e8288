//! A VM is killed and started again while the store is slow, or is frozen for some time. Copies of
//! one SYN must not go to two backends, because the packets of the flow then follow the answer that
//! came last.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use bambooseam_standin::site::{Fault, Site, SitePlan, zone_name};
use serde_json::{Value, json};
use tokio::time::{sleep, sleep_until};

use crate::Outcome;
use crate::backend::{Arrivals, Backend, Plan};
use crate::client::{Failure, Flow, Host};
use crate::record::Record;
use crate::routers::Routers;

/// VMs of each zone, as in the smallest deployment. The first three are seeds.
const VMS: [u8; 3] = [2, 1, 1];

/// Backends of each zone.
const BACKENDS: u8 = 3;

/// Routes without traffic, after two changes that added 350 each.
pub const IDLE_ROUTES: u16 = 708;

/// Latency of the slow store: 60 times 4 ms.
const SLOW: Duration = Duration::from_millis(240);

/// Times after the begin of the disruption: the kill, the start of the process after a short delay,
/// and the end of the slowness.
const KILL: Duration = Duration::from_millis(750);
const START: Duration = Duration::from_millis(1_250);
const CALM: Duration = Duration::from_millis(4_500);

/// Begin of the freeze, after the begin of the openings.
const FREEZE_BEGIN: Duration = Duration::from_millis(300);

/// Begin of the openings and the interval between them.
const FIRST_OPENING: Duration = Duration::from_millis(200);
const OPENINGS: u16 = 220;
const OPEN_INTERVAL: Duration = Duration::from_millis(10);

/// Flows that were open before and go on all the while, and the interval between two requests of each:
/// 100 requests a second, as in the largest zone of the smallest deployments.
const FEEDS: u16 = 60;
const FEED_INTERVAL: Duration = Duration::from_millis(600);

/// Time of the second request: more than `contact_ms` (4 s) after the end of all disruption, and
/// within `idle_timeout_ms` (15 s) after the first request.
const SECOND_REQUEST: Duration = Duration::from_millis(9_500);

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// `reorder_ms` of the settings, and the number of packets in it.
const REORDER: f64 = 2.0;
const MIN_PACKETS: usize = 3;

/// Length of the freeze.
const FREEZE: Duration = Duration::from_millis(4_000);

/// What is disrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// A VM is killed and started again while the store is slow.
    Kill,
    /// A VM stands still for [`FREEZE`].
    Freeze,
}

pub async fn run(program: &str, record: &Record, trouble: Trouble, idle_routes: u16) -> Outcome {
    let plan = SitePlan {
        program: program.into(),
        vms: VMS.into(),
    };
    let text = |error: std::io::Error| error.to_string();
    let mut site = Site::new(&plan).await.map_err(text)?;
    let frontend = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    publish(&site, frontend, idle_routes);
    let network: Ipv4Addr = site.vms[0].datagrams().ip().to_string().parse().map_err(|_| "IPv4")?;
    let [a, b, ..] = network.octets();
    let arrivals = Arrivals::default();
    let mut backends = Vec::new();
    for zone in 0..VMS.len() as u8 {
        for number in 1..=BACKENDS {
            let plan = Plan {
                id: format!("i-{:08x}", 0x7f3a_9000 + 16 * u32::from(zone) + u32::from(number)),
                service: "fillhouse".into(),
                zone: zone_name(zone),
                address: SocketAddrV4::new(Ipv4Addr::new(a, b, 64 + zone, number), 8080),
            };
            let is_cut = Arc::new(AtomicBool::new(false));
            let started = Backend::start(&plan, &is_cut, &site.store, record, &arrivals).await;
            backends.push(started.map_err(text)?);
        }
    }
    site.start_all().map_err(text)?;
    let count = VMS.iter().map(|count| usize::from(*count)).sum();
    let routers = Routers::start(&site.vms, record);
    let limit = Instant::now() + Duration::from_secs(20);
    while routers.in_rotation() < count {
        if Instant::now() > limit {
            return Err("the VMs are not ready".into());
        }
        sleep(Duration::from_millis(20)).await;
    }
    let socket = site.caller_socket().await.map_err(text)?;
    let host = Host::start(socket, &routers, &zone_name(0), record);
    for number in 0..FEEDS {
        tokio::spawn(feed(Arc::clone(&host), 10_000 + number, frontend));
    }
    sleep(Duration::from_secs(5)).await;
    record.line("all VMs are ready, and nothing is disrupted");

    let begun = Instant::now();
    let at = |time: Duration| sleep_until((begun + time).into());
    let second = begun + SECOND_REQUEST;
    let clients = tokio::spawn(open_flows(host, frontend, begun, second, record.clone()));
    match trouble {
        Trouble::None => {}
        Trouble::Kill => {
            record.line("the store becomes slow");
            for vm in &site.vms {
                vm.store_server.set_fault(Fault::Slow(SLOW));
            }
            at(KILL).await;
            record.line(&format!("SIGKILL of {}", site.vms[1].id));
            site.vms[1].kill().await;
            at(START).await;
            site.vms[1].start().map_err(text)?;
            record.line(&format!("{} starts again", site.vms[1].id));
            at(CALM).await;
            for vm in &site.vms {
                vm.store_server.set_fault(Fault::None);
            }
            record.line("the store answers as usual; all disruption ends");
        }
        Trouble::Freeze => {
            at(FREEZE_BEGIN).await;
            record.line(&format!("SIGSTOP of {}", site.vms[1].id));
            site.vms[1].signal("STOP").await.map_err(text)?;
            at(FREEZE_BEGIN + FREEZE).await;
            record.line(&format!("SIGCONT of {}; all disruption ends", site.vms[1].id));
            site.vms[1].signal("CONT").await.map_err(text)?;
        }
    }
    let results = clients.await.map_err(|error| error.to_string())?;
    sleep(Duration::from_millis(200)).await;
    let (mut served, mut broken, mut failed) = (0, 0, 0);
    for Served { port, backend, sent, result } in results {
        if result.is_ok() {
            served += 1;
            continue;
        }
        let seen = arrivals.of(port);
        let window = seen.iter().filter(|(time, _)| (sent..sent + REORDER).contains(time));
        let mut counts: HashMap<&str, usize> = HashMap::new();
        for (_, name) in window {
            *counts.entry(name).or_default() += 1;
        }
        let own = counts.remove(backend.as_str()).unwrap_or_default();
        let others: usize = counts.values().sum();
        let is_broken = own == 0 && others >= MIN_PACKETS;
        broken += usize::from(is_broken);
        failed += usize::from(!is_broken);
        record.line(&format!(
            "{}flow {port} of {backend}: {result:?}; from {sent:.4} on, {others} packets in 2 s \
             reached {:?} and {own} its own backend",
            if is_broken { "BROKEN: " } else { "" },
            counts.keys(),
        ));
    }
    let is_running = site.vms.iter_mut().all(|vm| vm.is_running());
    record.line(&format!(
        "second requests: {served} served, {broken} in flows whose packets went to another backend, \
         {failed} otherwise failed; all VMs run: {is_running}"
    ));
    if served == 0 {
        return Err("no flow was served".into());
    }
    Ok(broken == 0)
}

/// Writes a configuration with one route that has traffic.
fn publish(site: &Site, frontend: SocketAddrV4, idle_routes: u16) {
    let route = |frontend: SocketAddrV4, service: &str| {
        json!({
            "name": format!("r-{:07x}", u32::from(*frontend.ip())), "host": frontend.ip(),
            "prefix": format!("/{}/", frontend.port()), "route_type": "safe", "timeout_ms": 2_500,
            "latency_goal_ms": 400, "priority": 2, "service": service, "max_attempts": 2,
        })
    };
    let mut routes: Vec<Value> = vec![route(frontend, "fillhouse")];
    for number in 0..idle_routes {
        let [high, low] = number.to_be_bytes();
        let address = Ipv4Addr::new(198, 18, 1 + high, low);
        routes.push(route(SocketAddrV4::new(address, 443), "fillhouse"));
    }
    let config = json!({
        "config_version": 7, "routes": routes, "services": [],
        "limits": {"idle_timeout_ms": 15_000},
    });
    site.store.put("op/config", &config, None);
}

/// Opens a flow and sends requests in it until one fails.
async fn feed(host: Arc<Host>, port: u16, frontend: SocketAddrV4) {
    let begun = Instant::now() + FEED_INTERVAL * u32::from(port - 10_000) / u32::from(FEEDS);
    sleep_until(begun.into()).await;
    let Ok(mut flow) = Flow::open(&host, port, frontend).await else {
        return;
    };
    for number in 0.. {
        let next = begun + FEED_INTERVAL * number;
        let id = format!("background-{port}-{number}");
        if flow.pause(next).await.is_err() || flow.request(&id, 26, DEADLINE).await.is_err() {
            return;
        }
    }
}

/// Result of the second request of a flow.
struct Served {
    port: u16,
    backend: String,
    sent: f64,
    result: Result<String, Failure>,
}

/// Opens flows one after the other; each sends a request at once, and another one later.
async fn open_flows(
    host: Arc<Host>,
    frontend: SocketAddrV4,
    begun: Instant,
    second: Instant,
    record: Record,
) -> Vec<Served> {
    let mut tasks = Vec::new();
    for number in 0..OPENINGS {
        sleep_until((begun + FIRST_OPENING + OPEN_INTERVAL * u32::from(number)).into()).await;
        let (host, record) = (Arc::clone(&host), record.clone());
        tasks.push(tokio::spawn(async move {
            let port = 20_000 + number;
            let mut flow = match Flow::open(&host, port, frontend).await {
                Ok(flow) => flow,
                Err(failure) => {
                    record.line(&format!("flow {port} doesn't open: {failure:?}"));
                    return None;
                }
            };
            let id = format!("feed-{port}-1");
            let backend = match flow.request(&id, 26, DEADLINE).await {
                Ok(backend) => backend,
                Err(failure) => {
                    record.line(&format!("{id}: {failure:?}"));
                    return None;
                }
            };
            record.line(&format!("{id}: answered by {backend}"));
            let paused = flow.pause(second).await;
            let sent = record.seconds();
            let id = format!("feed-{}-2", flow.port());
            record.line(&format!("flow {port} sends {id}"));
            let result = match paused {
                Ok(()) => flow.request(&id, 26, DEADLINE).await,
                Err(failure) => Err(failure),
            };
            record.line(&format!("{id}: {result:?}"));
            Some(Served { port, backend, sent, result })
        }));
    }
    let mut results = Vec::new();
    for task in tasks {
        results.extend(task.await.ok().flatten());
    }
    results
}
