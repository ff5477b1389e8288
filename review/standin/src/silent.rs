//! One open flow goes silent for good: what its backend sends no longer reaches the client. The other
//! open flows of that backend have to go on.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use bambooseam_standin::site::{Site, SitePlan, zone_name};
use tokio::sync::Mutex;
use tokio::time::{sleep, sleep_until};

use crate::Outcome;
use crate::backend::{Backend, Plan};
use crate::client::{Failure, Flow, Host};
use crate::record::Record;
use crate::routers::Routers;

/// VMs of each zone, as in the smallest deployment.
const VMS: [u8; 3] = [2, 1, 1];

/// Backends of each zone.
const BACKENDS: u8 = 3;

/// Zone of the clients; it has one VM.
const CLIENT_ZONE: u8 = 1;

/// Long flows, and the time between two requests of one flow.
const FLOWS: u16 = 24;
const PAUSE: Duration = Duration::from_secs(3);

/// Port of the flow that goes silent.
const SILENT_PORT: u16 = 20_000;

/// Time from the silence to the next request of the silent flow: more than `contact_ms` (4 s), less
/// than `idle_timeout_ms` (15 s).
const IDLE: Duration = Duration::from_millis(5_500);

/// Time after that request for which the other flows go on.
const TAIL: Duration = Duration::from_secs(5);

/// Work and deadline of a request, as on the sheet.
const WORK_MS: u64 = 26;
const DEADLINE: Duration = Duration::from_millis(1_500);

/// `contact_ms` of the settings.
const CONTACT: f64 = 4.0;

pub async fn run(program: &str, record: &Record, has_trouble: bool) -> Outcome {
    let plan = SitePlan {
        program: program.into(),
        vms: VMS.into(),
    };
    let text = |error: std::io::Error| error.to_string();
    let mut site = Site::new(&plan).await.map_err(text)?;
    let frontend = site.add_route("fillhouse");
    let network = site.vms[0].datagrams().ip().to_string();
    let network: Ipv4Addr = network.parse().map_err(|_| "no IPv4 address")?;
    let [a, b, ..] = network.octets();
    let mut backends = Vec::new();
    for zone in 0..VMS.len() as u8 {
        for number in 1..=BACKENDS {
            let plan = Plan {
                id: format!(
                    "i-{:08x}",
                    0x7f3a_9000 + 16 * u32::from(zone) + u32::from(number)
                ),
                service: "fillhouse".into(),
                zone: zone_name(zone),
                address: SocketAddrV4::new(Ipv4Addr::new(a, b, 64 + zone, number), 8080),
            };
            let is_cut = Arc::new(AtomicBool::new(false));
            let started = Backend::start(&plan, &is_cut, &site.store, record).await;
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
    let host = Host::start(socket, &routers, &zone_name(CLIENT_ZONE), record);
    sleep(Duration::from_secs(5)).await;
    record.line("all VMs are ready, and nothing is disrupted");

    let begun = Instant::now();
    let silence = begun + 2 * PAUSE;
    let end = silence + IDLE + TAIL;
    let silent_at = Arc::new(Mutex::new(None));
    let mut tasks = Vec::new();
    for number in 0..FLOWS {
        let first = begun + PAUSE * u32::from(number) / u32::from(FLOWS);
        let port = SILENT_PORT + number;
        let resumes = (port == SILENT_PORT).then_some(silence + IDLE);
        let span = (first, resumes, end);
        tasks.push(tokio::spawn(feed(
            Arc::clone(&host),
            (port, frontend),
            span,
            Arc::clone(&silent_at),
            record.clone(),
        )));
    }
    sleep_until(silence.into()).await;
    let silent_since = record.seconds();
    let name = silent_at.lock().await.clone().ok_or("no flow is open")?;
    if has_trouble {
        host.silence(SILENT_PORT);
        record.line(&format!(
            "from now on the packets of {name} to flow {SILENT_PORT} are lost; all others arrive"
        ));
    }
    let (mut served, mut reset, mut other) = (0, 0, 0);
    for (number, task) in tasks.into_iter().enumerate() {
        let port = SILENT_PORT + number as u16;
        let ended = task.await.map_err(|error| error.to_string())?;
        served += ended.served;
        let Some((failure, time, backend)) = ended.failure else {
            continue;
        };
        if has_trouble && port == SILENT_PORT {
            record.line(&format!("the silent flow ends: {failure:?}"));
            continue;
        }
        if failure != Failure::SystemReset || time < silent_since + CONTACT {
            other += 1;
            continue;
        }
        reset += 1;
        record.line(&format!(
            "BROKEN: the system reset the open flow {port} of {backend}, {:.2} s after the other \
             flow went silent",
            time - silent_since
        ));
    }
    let is_running = site.vms.iter_mut().all(|vm| vm.is_running());
    record.line(&format!(
        "{served} requests served; of {} other open flows, the system reset {reset}, and {other} \
         failed otherwise; all VMs run: {is_running}",
        FLOWS - 1
    ));
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(reset == 0)
}

/// How a feed has ended.
struct Ended {
    served: u32,
    /// Failure, its time and the backend of the flow.
    failure: Option<(Failure, f64, String)>,
}

/// Opens a flow and sends a request in it at regular intervals. A flow that goes silent pauses until
/// `resumes`.
async fn feed(
    host: Arc<Host>,
    (port, frontend): (u16, SocketAddrV4),
    (first, resumes, end): (Instant, Option<Instant>, Instant),
    silent_at: Arc<Mutex<Option<String>>>,
    record: Record,
) -> Ended {
    let mut ended = Ended {
        served: 0,
        failure: None,
    };
    sleep_until(first.into()).await;
    record.line(&format!("flow {port} is opened on {frontend}"));
    let mut flow = match Flow::open(&host, port, frontend).await {
        Ok(flow) => flow,
        Err(failure) => {
            ended.failure = Some((failure, record.seconds(), "no backend".into()));
            return ended;
        }
    };
    let mut backend = String::new();
    let mut next = first;
    while next < end {
        sleep_until(next.into()).await;
        let id = format!("feed-{port}-{}", ended.served + 1);
        record.line(&format!(
            "client sends {id} in the open flow of {backend:?}"
        ));
        match flow.request(&id, WORK_MS, DEADLINE).await {
            Ok(name) => {
                record.line(&format!("{id}: answered by {name}"));
                ended.served += 1;
                backend = name;
            }
            Err(failure) => {
                record.line(&format!("{id}: {failure:?}"));
                ended.failure = Some((failure, record.seconds(), backend));
                return ended;
            }
        }
        next += PAUSE;
        if let Some(resumes) = resumes {
            *silent_at.lock().await = Some(backend.clone());
            next = next.max(resumes);
        }
    }
    ended
}
