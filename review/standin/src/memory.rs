//! Another writer leaves large values in the store. VMs that start ask others for a copy; none of
//! them may exceed the memory of its machine.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, Instant};

use bambooseam_standin::site::{Store, render, zone_name};
use bambooseam_standin::{Network, http};
use serde_json::{Value, json};
use tokio::process::{Child, Command};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{interval, sleep, timeout};

use crate::record::Record;
use crate::{Outcome, paged_store};

const TEMPLATE: &str = include_str!("../../../platform/settings.ini");

/// VMs of each zone; the first three VMs are the seeds.
const VMS: [u8; 3] = [3, 3, 3];
const SEEDS: usize = 3;

/// `memory_mb` of the machines, in KiB.
const MEMORY_KIB: u64 = 60 * 1_024;

/// Values of the other writer, and their size in bytes (`value_bytes` is 1,048,576).
const VALUES: u64 = 16;
const VALUE_BYTES: usize = 1_000_000;
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two looks at the memory, and pause before a process that has ended is restarted.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// Pause between two planned restarts.
const ROLL_PAUSE: Duration = Duration::from_millis(2_500);

/// Ends of one process that count as a fault, on this many machines.
const MIN_ENDS: usize = 3;
const MACHINES: usize = 2;

/// Command to the platform's task of one VM.
enum Order {
    /// SIGTERM, and SIGKILL after `grace_s`; then a new start.
    Roll,
    Stop,
}

pub async fn run(program: &str, record: &Record, has_trouble: bool) -> Outcome {
    let network = Network::reserve();
    let [a, b] = network.prefix();
    let store = Store::default();
    let store_address = SocketAddr::from((Ipv4Addr::new(a, b, 9, 1), 8169));
    let text = |error: std::io::Error| error.to_string();
    paged_store::serve(store.clone(), store_address)
        .await
        .map_err(text)?;
    publish(&store, [a, b]);
    let directory = std::env::temp_dir().join(format!("bambooseam-review-{}", std::process::id()));
    std::fs::create_dir_all(&directory).map_err(text)?;
    let mut addresses = Vec::new();
    for (zone, count) in VMS.iter().enumerate() {
        for number in 0..*count {
            addresses.push((
                zone as u8,
                Ipv4Addr::new(a, b, 10 + zone as u8, 10 + number),
            ));
        }
    }
    let seeds = addresses.iter().take(SEEDS);
    let seeds: Vec<String> = seeds
        .map(|(_, address)| format!("{address}:8166"))
        .collect();
    let mut platform = Vec::new();
    for (number, (zone, address)) in addresses.iter().enumerate() {
        let settings = json!({
            "node_id": format!("front-{}-{number}", zone_name(*zone)), "ip": address,
            "zone": zone_name(*zone), "seeds": seeds,
            "listen_addrs": {
                "datagram_addr": format!("{address}:8172"), "ready": format!("{address}:8167"),
                "control": format!("{address}:8166"),
            },
            "contract_params": {"grace_s": 6},
            "platform": {"address": store_address.to_string()},
        });
        let file = directory.join(format!("{number}.ini"));
        std::fs::write(&file, render(TEMPLATE, &settings)).map_err(text)?;
        let (orders, received) = unbounded_channel();
        let vm = Vm {
            name: settings["node_id"].as_str().unwrap_or_default().to_owned(),
            program: program.into(),
            file,
            record: record.clone(),
        };
        platform.push((orders, tokio::spawn(vm.run(received))));
    }
    let outcome = play(&platform, &addresses, &store, record, has_trouble).await;
    let mut ends = Vec::new();
    for (orders, _) in &platform {
        // A task that has failed reports it below.
        let _ = orders.send(Order::Stop);
    }
    for (_, task) in platform {
        ends.push(
            task.await
                .map_err(|error| error.to_string())?
                .map_err(text)?,
        );
    }
    // A directory that stays is in the system's directory for temporary files.
    let _ = std::fs::remove_dir_all(&directory);
    outcome?;
    let hit = ends.iter().filter(|ends| **ends >= MIN_ENDS).count();
    record.line(&format!(
        "ends of each VM by its memory limit: {ends:?}; {hit} VMs ended three times or more"
    ));
    Ok(hit < MACHINES)
}

type Task = tokio::task::JoinHandle<std::io::Result<usize>>;

async fn play(
    platform: &[(UnboundedSender<Order>, Task)],
    addresses: &[(u8, Ipv4Addr)],
    store: &Store,
    record: &Record,
    has_trouble: bool,
) -> Result<(), String> {
    let limit = Instant::now() + Duration::from_secs(20);
    while ready_count(addresses).await < addresses.len() {
        if Instant::now() > limit {
            return Err("the VMs are not ready".into());
        }
        sleep(Duration::from_millis(200)).await;
    }
    record.line("all VMs are ready, and nothing is disrupted");
    for number in 0..VALUES {
        if has_trouble {
            store.put_bytes(&format!("servers/x-{number:04x}"), noise(number), None);
            record.line(&format!(
                "another writer writes a value of {VALUE_BYTES} bytes"
            ));
        }
        sleep(WRITE_INTERVAL).await;
    }
    sleep(Duration::from_secs(3)).await;
    record.line(&format!(
        "ready before the planned work: {}",
        ready_count(addresses).await
    ));
    for (number, (orders, _)) in platform.iter().enumerate().skip(SEEDS) {
        record.line(&format!(
            "planned work: VM {number} is stopped and started again"
        ));
        orders
            .send(Order::Roll)
            .map_err(|error| error.to_string())?;
        sleep(ROLL_PAUSE).await;
    }
    sleep(Duration::from_secs(12)).await;
    record.line(&format!(
        "ready at the end: {}",
        ready_count(addresses).await
    ));
    Ok(())
}

async fn ready_count(addresses: &[(u8, Ipv4Addr)]) -> usize {
    let mut count = 0;
    for (_, address) in addresses {
        let probe = http::get(SocketAddr::from((*address, 8167)), "/api/readiness");
        let reply = timeout(Duration::from_millis(500), probe).await;
        count += usize::from(matches!(reply, Ok(Ok(reply)) if reply.status == 200));
    }
    count
}

/// A machine of the platform and its process.
struct Vm {
    name: String,
    program: PathBuf,
    file: PathBuf,
    record: Record,
}

impl Vm {
    /// Keeps the process running within its memory. Returns how often it exceeded that.
    async fn run(self, mut orders: UnboundedReceiver<Order>) -> std::io::Result<usize> {
        let mut ends = 0;
        let mut child = self.start()?;
        let mut ticks = interval(CHECK_INTERVAL);
        loop {
            tokio::select! {
                order = orders.recv() => match order {
                    Some(Order::Roll) => {
                        self.terminate(&mut child).await?;
                        sleep(RESTART_PAUSE).await;
                        child = self.start()?;
                    }
                    Some(Order::Stop) | None => {
                        child.kill().await?;
                        return Ok(ends);
                    }
                },
                _ = ticks.tick() => {
                    let peak = peak_memory(&child).unwrap_or_default();
                    if peak <= MEMORY_KIB {
                        continue;
                    }
                    child.kill().await?;
                    ends += 1;
                    self.record.line(&format!(
                        "{} has used {peak} KiB, more than memory_mb, and is killed",
                        self.name
                    ));
                    sleep(RESTART_PAUSE).await;
                    child = self.start()?;
                }
            }
        }
    }

    fn start(&self) -> std::io::Result<Child> {
        Command::new(&self.program)
            .env("BAMBOOSEAM_CONFIG", &self.file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
    }

    async fn terminate(&self, child: &mut Child) -> std::io::Result<()> {
        if let Some(pid) = child.id() {
            let pid = pid.to_string();
            Command::new("kill").args(["-TERM", &pid]).status().await?;
        }
        if timeout(Duration::from_secs(6), child.wait()).await.is_err() {
            child.kill().await?;
        }
        Ok(())
    }
}

/// Largest memory that a process has used, in KiB.
fn peak_memory(child: &Child) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()?)).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Writes the configuration and the entries of a few backends.
fn publish(store: &Store, [a, b]: [u8; 2]) {
    let config = json!({
        "config_version": 7,
        "routes": [{
            "name": "r-0000001", "host": "198.18.0.1", "prefix": "/443/", "route_type": "safe",
            "timeout_ms": 1_500, "latency_goal_ms": 150, "priority": 2, "service": "fillhouse",
            "max_attempts": 2,
        }],
        "services": [], "limits": {"idle_timeout_ms": 15_000},
    });
    store.put("op/config", &config, None);
    for number in 1..=6_u8 {
        let entry: Value = json!({
            "service": "fillhouse", "address": format!("{a}.{b}.64.{number}:8080"),
            "zone": zone_name(number % 3), "config_version": "v1", "capacity": 2,
            "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1_790_000_000_000_u64,
        });
        store.put(&format!("servers/i-7f3a900{number}"), &entry, None);
    }
}

/// Bytes that can't be read as an entry.
fn noise(seed: u64) -> Vec<u8> {
    let mut state = seed + 1;
    let next = |_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 32) as u8
    };
    (0..VALUE_BYTES).map(next).collect()
}
