//! Another writer has left copies of entries, without `born`, under other keys; then these backends
//! drain. The rule DRAIN.

use std::path::PathBuf;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::Outcome;
use crate::client::Host;
use crate::world::World;

/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(3_000);
const DEADLINE: Duration = Duration::from_millis(2_000);
/// Backends that drain: 2 of 14, a share below 0.15.
const LEAVING: usize = 2;
/// Time for which they go on serving after the store has acknowledged the report.
const SERVING: Duration = Duration::from_secs(12);

pub async fn run(program: PathBuf, path: &str, has_trouble: bool) -> Outcome {
    let mut world = World::new(program, vec![2, 1, 1]).await?;
    let frontend = world.site.add_route("fillhouse");
    for (zone, count) in [(0, 5), (1, 5), (2, 4)] {
        world.add_backends("fillhouse", zone, count).await?;
    }
    for zone in 0..3 {
        let host = world.add_host(zone, 1).await?;
        tokio::spawn(keep_asking(host, frontend));
    }
    world.start_vms().await?;
    sleep(Duration::from_secs(6)).await;
    if has_trouble {
        for backend in &world.backends[..LEAVING] {
            let identity = &backend.identity;
            let mut entry = identity.entry("ready", 1);
            if let Some(fields) = entry.as_object_mut() {
                fields.remove("born");
            }
            let key = identity.key().replace("servers/i-", "servers/copy-");
            world.site.store.put(&key, &entry, None);
            world
                .record
                .add(format!("another writer writes {key} without born"));
        }
    }
    sleep(Duration::from_secs(6)).await;
    for backend in &world.backends[..LEAVING] {
        backend.drain();
    }
    sleep(SERVING).await;
    for _ in 0..LEAVING {
        let identity = world.backends.remove(0).crash().await;
        world.site.store.remove(&identity.key());
    }
    sleep(Duration::from_secs(2)).await;
    let breaches = judge(&world);
    for breach in &breaches {
        world.record.add(format!("broken {breach}"));
    }
    world.record.write(path)?;
    println!("{} requests ran", world.run_count());
    Ok(breaches)
}

/// Opens a flow for each request, 25 a second.
async fn keep_asking(host: Arc<Host>, frontend: std::net::SocketAddrV4) {
    loop {
        sleep(Duration::from_millis(40)).await;
        let host = Arc::clone(&host);
        tokio::spawn(async move {
            if let Ok(mut flow) = host.open(frontend).await {
                let name = host.request_name("order");
                if flow.request(&name, 33, DEADLINE).await.is_ok() {
                    flow.close().await;
                }
            }
        });
    }
}

/// Flows that opened at a draining backend, and whose opening packet it took later than `DRAIN`
/// after the store's acknowledgement.
fn judge(world: &World) -> Vec<String> {
    let seen = world.seen.lock().unwrap_or_else(PoisonError::into_inner);
    let mut breaches = Vec::new();
    for (at, backend, flow) in &seen.taken {
        let Some(acknowledged) = seen.draining.get(backend) else {
            continue;
        };
        let is_open = seen.opened.get(flow).is_some_and(|(own, _)| own == backend);
        if is_open && *at > *acknowledged + DRAIN {
            breaches.push(format!(
                "DRAIN: flow {} opened at {backend} {:.3} s after the store acknowledged that it \
                 drains",
                flow.0,
                (*at - *acknowledged).as_secs_f64(),
            ));
        }
    }
    breaches
}
