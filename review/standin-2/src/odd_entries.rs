//! Another writer writes entries without `born` while the VMs are restarted in turn. The rule
//! ROUTE.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bambooseam_standin::site::Store;
use serde_json::json;
use tokio::time::sleep;

use crate::Outcome;
use crate::backend::Identity;
use crate::client::Host;
use crate::record::Record;
use crate::world::World;

const DEADLINE: Duration = Duration::from_millis(2_000);
/// Interval between two rounds of the other writer.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_000);
const ROUNDS: usize = 3;
const GRACE: Duration = Duration::from_secs(6);

pub async fn run(program: PathBuf, path: &str, has_trouble: bool) -> Outcome {
    let mut world = World::new(program, vec![2, 1, 1]).await?;
    let orders = world.site.add_route("fillhouse");
    let charts = world.site.add_route("chartroom");
    for (zone, count) in [(0, 5), (1, 5), (2, 4)] {
        world.add_backends("fillhouse", zone, count).await?;
    }
    for (zone, count) in [(0, 2), (1, 1), (2, 1)] {
        world.add_backends("chartroom", zone, count).await?;
    }
    let identities = world
        .backends
        .iter()
        .map(|backend| backend.identity.clone());
    let identities: Vec<Identity> = identities.filter(|i| i.service == "fillhouse").collect();
    for zone in 0..3 {
        let host = world.add_host(zone, 1).await?;
        tokio::spawn(keep_asking(Arc::clone(&host), orders, "order", 40));
        tokio::spawn(keep_asking(host, charts, "chart", 60));
    }
    world.start_vms().await?;
    sleep(Duration::from_secs(5)).await;
    let is_writing = Arc::new(AtomicBool::new(has_trouble));
    let writer = write_odd_entries(
        world.site.store.clone(),
        identities,
        Arc::clone(&is_writing),
        world.record.clone(),
    );
    tokio::spawn(writer);
    for _ in 0..ROUNDS {
        for index in 0..world.site.vms.len() {
            let vm = &mut world.site.vms[index];
            world.record.add(format!("term {}", vm.id));
            vm.signal("TERM").await?;
            if vm.wait(GRACE).await.is_none() {
                vm.kill().await;
            }
            sleep(Duration::from_millis(300)).await;
            vm.start()?;
            world.record.add(format!("start {}", vm.id));
            sleep(Duration::from_millis(1_300)).await;
        }
    }
    is_writing.store(false, Ordering::Relaxed);
    sleep(Duration::from_secs(2)).await;
    let breaches = world.foreign_runs(|request| match request.split('-').next() {
        Some("order") => Some("fillhouse"),
        Some("chart") => Some("chartroom"),
        _ => None,
    });
    let breaches: Vec<String> = breaches.iter().map(|b| format!("ROUTE: {b}")).collect();
    for breach in &breaches {
        world.record.add(format!("broken {breach}"));
    }
    world.record.write(path)?;
    println!("{} requests ran", world.run_count());
    Ok(breaches)
}

/// Opens a flow for each request.
async fn keep_asking(
    host: Arc<Host>,
    frontend: std::net::SocketAddrV4,
    kind: &'static str,
    pause_ms: u64,
) {
    loop {
        sleep(Duration::from_millis(pause_ms)).await;
        let host = Arc::clone(&host);
        tokio::spawn(async move {
            if let Ok(mut flow) = host.open(frontend).await {
                let name = host.request_name(kind);
                if flow.request(&name, 20, DEADLINE).await.is_ok() {
                    flow.close().await;
                }
            }
        });
    }
}

/// Writes entries under the keys of running backends: with another service, and without the field
/// `born`. Each backend writes its own entry again with its next heartbeat.
async fn write_odd_entries(
    store: Store,
    identities: Vec<Identity>,
    is_writing: Arc<AtomicBool>,
    record: Record,
) {
    while is_writing.load(Ordering::Relaxed) {
        record.add("another writer writes entries without born".into());
        for identity in &identities {
            let entry = json!({
                "service": "chartroom", "address": identity.address.to_string(),
                "zone": identity.zone, "config_version": "v1", "capacity": 2, "state": "ready",
                "warmup_left_ms": 0, "sequence": 1,
            });
            store.put(&identity.key(), &entry, Some(Duration::from_millis(2_310)));
        }
        sleep(WRITE_INTERVAL).await;
    }
}
