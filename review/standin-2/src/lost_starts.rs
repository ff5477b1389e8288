//! Backends start again under their ids, and all VMs are killed soon after. The rule FLOW, part (a).

use std::path::PathBuf;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::Outcome;
use crate::client::Host;
use crate::world::{CONTACT, World};

const DEADLINE: Duration = Duration::from_millis(2_500);
/// Time between the restarts of the two backends of a round, 2 of 14: a share below 0.15.
const START_STEP: Duration = Duration::from_millis(30);
const ROUNDS: usize = 4;

pub async fn run(program: PathBuf, path: &str, has_trouble: bool) -> Outcome {
    let mut world = World::new(program, vec![2, 1, 1]).await?;
    let frontend = world.site.add_route("kitchen");
    for (zone, count) in [(0, 5), (1, 5), (2, 4)] {
        world.add_backends("kitchen", zone, count).await?;
    }
    let mut hosts = Vec::new();
    for zone in 0..3 {
        hosts.push(world.add_host(zone, 1).await?);
    }
    world.start_vms().await?;
    for host in &hosts {
        tokio::spawn(keep_opening(Arc::clone(host), frontend));
    }
    sleep(Duration::from_secs(5)).await;
    let mut disrupted: Vec<Duration> = Vec::new();
    for _ in 0..ROUNDS {
        if has_trouble {
            for zone in ["zone-a", "zone-b"] {
                let mut backends = world.backends.iter();
                let Some(at) = backends.position(|b| b.identity.zone == zone) else {
                    continue;
                };
                let identity = world.backends.remove(at).crash().await;
                world.start_backend(identity).await?;
                sleep(START_STEP).await;
            }
            sleep(Duration::from_millis(1_000)).await;
            world.record.add("kill all VMs".into());
            for vm in &mut world.site.vms {
                vm.kill().await;
            }
            sleep(Duration::from_millis(700)).await;
            world.site.start_all()?;
            disrupted.push(world.record.now());
            world.record.add("all VMs started".into());
        } else {
            sleep(Duration::from_millis(1_700)).await;
        }
        sleep(Duration::from_secs(16)).await;
    }
    let breaches = judge(&world, &hosts, &disrupted);
    for breach in &breaches {
        world.record.add(format!("broken {breach}"));
    }
    world.record.write(path)?;
    println!("{} requests ran", world.run_count());
    Ok(breaches)
}

/// Opens some 30 flows a second. Each carries two requests, eight seconds apart.
async fn keep_opening(host: Arc<Host>, frontend: std::net::SocketAddrV4) {
    loop {
        sleep(Duration::from_millis(30)).await;
        let host = Arc::clone(&host);
        tokio::spawn(async move {
            let Ok(mut flow) = host.open(frontend).await else {
                return;
            };
            let name = host.request_name("feed");
            if flow.request(&name, 20, DEADLINE).await.is_err()
                || flow.pause(Duration::from_secs(8)).await.is_err()
            {
                return;
            }
            let name = host.request_name("feed");
            if flow.request(&name, 20, DEADLINE).await.is_ok() {
                flow.close().await;
            }
        });
    }
}

/// Open flows that the system itself reset while their backend lived, with all VMs in touch.
fn judge(world: &World, hosts: &[Arc<Host>], disrupted: &[Duration]) -> Vec<String> {
    let seen = world.seen.lock().unwrap_or_else(PoisonError::into_inner);
    let mut breaches = Vec::new();
    for host in hosts {
        let logs = host.logs.lock().unwrap_or_else(PoisonError::into_inner);
        for (flow, log) in logs.iter() {
            let Some((at, true)) = log.reset else {
                continue;
            };
            let Some((own, opened)) = seen.opened.get(flow) else {
                continue;
            };
            let is_alive = !seen.ended.contains_key(own);
            let is_calm = !disrupted.iter().any(|d| at >= *d && at < *d + CONTACT);
            if is_alive && is_calm {
                breaches.push(format!(
                    "FLOW: flow {} open at {own} since {:.3} was reset by the system at {:.3}",
                    flow.0,
                    opened.as_secs_f64(),
                    at.as_secs_f64(),
                ));
            }
        }
    }
    breaches
}
