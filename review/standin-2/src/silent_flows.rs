//! A flow goes silent, in the direction to its client. Another flow at the same backend, of which
//! nothing is lost, has a request that takes longer than 200 ms. The rule FLOW, part (a).

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::Outcome;
use crate::client::{Failure, Flow, Host};
use crate::world::{CONTACT, World};

const ROUNDS: usize = 3;
const FLOWS: usize = 30;
/// Deadline of `bay-feed`, its mean work and its longest work.
const DEADLINE: Duration = Duration::from_millis(1_500);
const MEAN_WORK: u64 = 26;
const LONGEST_WORK: u64 = 270;
/// Time from the request on the silent flow to the one on the other flow.
const DELAY: Duration = Duration::from_millis(450);

/// The backend whose other flows have no request at present.
type Quiet = Arc<Mutex<Option<String>>>;

pub async fn run(program: PathBuf, path: &str, has_trouble: bool) -> Outcome {
    let mut world = World::new(program, vec![2, 1, 1]).await?;
    let frontend = world.site.add_route("fillhouse");
    for (zone, count) in [(0, 5), (1, 5), (2, 4)] {
        world.add_backends("fillhouse", zone, count).await?;
    }
    let mut hosts = Vec::new();
    for number in 1..=3 {
        hosts.push(world.add_host(1, number).await?);
    }
    world.start_vms().await?;
    let quiet = Quiet::default();
    for _ in 0..FLOWS {
        tokio::spawn(keep_asking(
            Arc::clone(&hosts[2]),
            frontend,
            Arc::clone(&quiet),
        ));
    }
    let mut pools = Vec::new();
    for host in &hosts[..2] {
        pools.push(open_flows(host, frontend).await);
    }
    let mut breaches = Vec::new();
    for _ in 0..ROUNDS {
        let names: Vec<String> = pools[0].keys().cloned().collect();
        let mut pairs = Vec::new();
        for name in names {
            let flows: Option<Vec<Flow>> = pools
                .iter_mut()
                .map(|pool| pool.get_mut(&name)?.pop())
                .collect();
            if let Some(flows) = flows {
                pairs.push((name, flows));
            }
        }
        for (_, flows) in &pairs {
            if has_trouble {
                hosts[0].silence(flows[0].id);
            }
        }
        // Contact is complete again long before the first request.
        sleep(CONTACT + Duration::from_millis(600)).await;
        for (name, mut flows) in pairs {
            set_quiet(&quiet, Some(name.clone()));
            sleep(Duration::from_millis(150)).await;
            let (Some(other), Some(silent)) = (flows.pop(), flows.pop()) else {
                continue;
            };
            let (_, failure) = tokio::join!(
                ask(&hosts[0], silent, Duration::ZERO, MEAN_WORK),
                ask(&hosts[1], other, DELAY, LONGEST_WORK),
            );
            if failure == Some(Failure::SystemReset) {
                let breach = format!(
                    "FLOW: a flow open at {name}, of which nothing was lost, was reset by the system"
                );
                world.record.add(format!("broken {breach}"));
                breaches.push(breach);
            }
            set_quiet(&quiet, None);
        }
    }
    world.record.write(path)?;
    println!("{} requests ran", world.run_count());
    Ok(breaches)
}

fn set_quiet(quiet: &Quiet, backend: Option<String>) {
    *quiet.lock().unwrap_or_else(PoisonError::into_inner) = backend;
}

async fn ask(host: &Host, mut flow: Flow, delay: Duration, work: u64) -> Option<Failure> {
    sleep(delay).await;
    let name = host.request_name("feed");
    let failure = flow.request(&name, work, DEADLINE).await.err();
    if failure.is_none() {
        flow.close().await;
    }
    failure
}

/// Opens flows with a request each; returns them by backend.
async fn open_flows(host: &Arc<Host>, frontend: SocketAddrV4) -> HashMap<String, Vec<Flow>> {
    let mut flows: HashMap<String, Vec<Flow>> = HashMap::new();
    for _ in 0..FLOWS {
        let Ok(mut flow) = host.open(frontend).await else {
            continue;
        };
        let name = host.request_name("feed");
        if let Ok(backend) = flow.request(&name, MEAN_WORK, DEADLINE).await {
            flows.entry(backend).or_default().push(flow);
        }
    }
    flows
}

/// Keeps a flow open and sends a request every 0.3 s, unless its backend is quiet.
async fn keep_asking(host: Arc<Host>, frontend: SocketAddrV4, quiet: Quiet) {
    while let Ok(mut flow) = host.open(frontend).await {
        let mut backend = None;
        loop {
            let is_quiet = {
                let quiet = quiet.lock().unwrap_or_else(PoisonError::into_inner);
                backend.is_some() && *quiet == backend
            };
            if !is_quiet {
                let name = host.request_name("feed");
                match flow.request(&name, MEAN_WORK, DEADLINE).await {
                    Ok(name) => backend = Some(name),
                    Err(_) => break,
                }
            }
            if flow.pause(Duration::from_millis(300)).await.is_err() {
                break;
            }
        }
    }
}
