//! A route moves from a service whose backend is full to another one while a client opens a flow.
//!
//! Checked by the rule CONFIG: in one incarnation of a machine, a request that was sent more than
//! `downgrade_ms` after a backend saw the effect of a version is not run by the old service.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::Outcome;
use crate::bed::Bed;
use crate::record::Record;

const FRONTEND: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);

/// `downgrade_ms` of the users' sites.
const DOWNGRADE_TIME: Duration = Duration::from_millis(250);

const DEADLINE: Duration = Duration::from_millis(2_500);

/// Clients that open a flow around the change.
const OPENINGS: u64 = 12;

/// Feeds that are open at the old service and go on asking there.
const FEEDS: u64 = 12;

/// Plays the case.
pub async fn run(record: &Record, has_trouble: bool) -> Outcome {
    let services = [("oldhouse", [1, 1, 1]), ("newhouse", [2, 1, 1])];
    let mut bed = Bed::start(record, &[(FRONTEND, "oldhouse")], &services).await?;
    let mut feeds = JoinSet::new();
    for number in 0..FEEDS {
        let clients = bed.clients.clone();
        feeds.spawn(async move {
            let port = clients.port(FRONTEND, None);
            let Some(mut flow) = clients.open(port, FRONTEND).await else {
                return;
            };
            for request in 0.. {
                let _ = flow
                    .request(&format!("b{number}.{request}"), DEADLINE)
                    .await;
                sleep(Duration::from_millis(60)).await;
            }
        });
    }
    sleep(Duration::from_millis(1_000)).await;
    for backend in bed.backends.iter().filter(|b| b.service == "oldhouse") {
        backend.is_full.store(true, Ordering::Relaxed);
    }
    record.note("the backends of oldhouse are full".into());
    let begun = Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0..OPENINGS {
        let clients = bed.clients.clone();
        let record = record.clone();
        tasks.spawn(async move {
            sleep_until((begun + Duration::from_millis(20 * number)).into()).await;
            let port = clients.port(FRONTEND, None);
            if let Some(mut flow) = clients.open(port, FRONTEND).await {
                let end = flow.request(&format!("f{number}"), DEADLINE).await;
                record.trace(format!("client {port}: {end:?}"));
                flow.drop_flow().await;
            }
        });
    }
    // Other clients show when the new version is in effect at each VM.
    for number in 0..120_u64 {
        let clients = bed.clients.clone();
        tasks.spawn(async move {
            sleep_until((begun + Duration::from_millis(20 * number)).into()).await;
            let port = clients.port(FRONTEND, None);
            if let Some(mut flow) = clients.open(port, FRONTEND).await {
                let _ = flow.request(&format!("p{number}"), DEADLINE).await;
                flow.drop_flow().await;
            }
        });
    }
    sleep(Duration::from_millis(20 * OPENINGS)).await;
    if has_trouble {
        bed.write_config(&[(FRONTEND, "newhouse")]);
    }
    sleep_until((begun + Duration::from_millis(450)).into()).await;
    for backend in &bed.backends {
        backend.is_full.store(false, Ordering::Relaxed);
    }
    record.note("the backends of oldhouse have room again".into());
    while tasks.join_next().await.is_some() {}
    feeds.abort_all();
    let broken = judge(&bed);
    record.note(format!(
        "openings taken by the old service against the rule CONFIG: {broken}"
    ));
    Ok(broken > 0)
}

/// Number of opening packets that the old service took although they were sent later than
/// `downgrade_ms` after a backend of the new service saw one through the same VM.
fn judge(bed: &Bed) -> usize {
    let arrivals = bed.arrivals();
    let is_old = |name: &str| name.starts_with("oldhouse");
    let mut broken = 0;
    for vm in &bed.site.vms {
        let through = |client| bed.router.route(client, FRONTEND) == Some(vm.datagrams());
        let mut own: Vec<_> = arrivals
            .iter()
            .filter(|a| a.is_opening && through(a.client))
            .collect();
        own.sort_by_key(|a| a.at);
        let Some(seen) = own.iter().find(|a| a.is_taken && !is_old(&a.backend)) else {
            continue;
        };
        bed.record.note(format!(
            "{}: {} saw the new version at {:.3}",
            vm.id,
            seen.backend,
            seen.at.as_secs_f64()
        ));
        for late in own.iter().filter(|a| {
            // On loopback a packet arrives within a few milliseconds of being sent.
            a.is_taken
                && is_old(&a.backend)
                && a.at > seen.at + DOWNGRADE_TIME + Duration::from_millis(10)
        }) {
            broken += 1;
            bed.record.note(format!(
                "{}: copy {} of client {}'s opening packet was taken by {} at {:.3}",
                vm.id,
                late.copy,
                late.client.port(),
                late.backend,
                late.at.as_secs_f64()
            ));
        }
    }
    broken
}
