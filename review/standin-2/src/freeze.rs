//! One VM of a zone with two stands still for 1.4 s, some seconds apart. The rule FLOW, part (b).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::Outcome;
use crate::client::Host;
use crate::world::{CONTACT, World};

/// `reorder_ms`, and the number of packets at other backends that breaks the rule.
const REORDER: Duration = Duration::from_millis(2_000);
const MISDIRECTED: usize = 3;

const FREEZE: Duration = Duration::from_millis(1_400);
const FREEZES: u32 = 7;
const INTERVAL: Duration = Duration::from_millis(9_000);
const PHASE_STEP: Duration = Duration::from_millis(70);
/// Deadline of the requests: that of `pantry-feed` of the deployment.
const DEADLINE: Duration = Duration::from_millis(2_500);
const CLIENTS: usize = 160;
/// Least and largest pause between two requests of a flow, in milliseconds: less than
/// `idle_timeout_ms`, and more than `contact_ms`.
const MIN_PAUSE: u64 = 4_600;
const MAX_PAUSE: u64 = 6_600;

pub async fn run(program: PathBuf, path: &str, has_trouble: bool) -> Outcome {
    let mut world = World::new(program, vec![2, 1, 1]).await?;
    let frontend = world.site.add_route("kitchen");
    for (zone, count) in [(0, 5), (1, 5), (2, 4)] {
        world.add_backends("kitchen", zone, count).await?;
    }
    let host = world.add_host(0, 1).await?;
    world.start_vms().await?;
    for number in 0..CLIENTS {
        tokio::spawn(keep_asking(Arc::clone(&host), frontend, number));
    }
    sleep(Duration::from_secs(8)).await;
    let mut frozen: Vec<(Duration, Duration, SocketAddr)> = Vec::new();
    for number in 0..FREEZES {
        let vm = &world.site.vms[(number % 2) as usize];
        if has_trouble {
            let begun = world.record.now();
            world.record.add(format!("freeze {}", vm.id));
            vm.signal("STOP").await?;
            sleep(FREEZE).await;
            vm.signal("CONT").await?;
            world.record.add(format!("wake {}", vm.id));
            frozen.push((begun, world.record.now(), vm.datagrams()));
        } else {
            sleep(FREEZE).await;
        }
        // The freezes begin at different times between two probes.
        sleep(INTERVAL - FREEZE + PHASE_STEP).await;
    }
    sleep(Duration::from_secs(6)).await;
    let breaches = judge(&world, &host, &frozen);
    for breach in &breaches {
        world.record.add(format!("broken {breach}"));
    }
    world.record.write(path)?;
    println!("{} requests ran", world.run_count());
    Ok(breaches)
}

/// Opens flows one after the other. Each carries two requests, with a pause.
async fn keep_asking(host: Arc<Host>, frontend: std::net::SocketAddrV4, number: usize) {
    sleep(Duration::from_millis(61 * number as u64)).await;
    let mut draw = number as u64;
    loop {
        // The pauses differ, so that openings come at all times.
        draw = draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let pause = MIN_PAUSE + (draw >> 33) % (MAX_PAUSE - MIN_PAUSE);
        let Ok(mut flow) = host.open(frontend).await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let mut is_open = true;
        for pause in [pause, 0] {
            let name = host.request_name("feed");
            is_open = flow.request(&name, 26, DEADLINE).await.is_ok()
                && flow.pause(Duration::from_millis(pause)).await.is_ok();
            if !is_open {
                break;
            }
        }
        if is_open {
            flow.close().await;
        }
    }
}

/// Flows of which three or more packets reached other backends within `REORDER`, and none its own,
/// through VMs in touch.
fn judge(world: &World, host: &Host, frozen: &[(Duration, Duration, SocketAddr)]) -> Vec<String> {
    let seen = world.seen.lock().unwrap_or_else(PoisonError::into_inner);
    let logs = host.logs.lock().unwrap_or_else(PoisonError::into_inner);
    let mut arrivals: HashMap<_, Vec<_>> = HashMap::new();
    for arrival in &seen.arrivals {
        arrivals.entry(arrival.flow).or_default().push(arrival);
    }
    let is_in_touch = |vm: SocketAddr, at: Duration| {
        !frozen
            .iter()
            .any(|(begun, woken, frozen)| *frozen == vm && at >= *begun && at < *woken + CONTACT)
    };
    let mut breaches = Vec::new();
    for (flow, (own, opened)) in &seen.opened {
        let (Some(log), Some(list)) = (logs.get(flow), arrivals.get(flow)) else {
            continue;
        };
        // A flow that its client has given up is not open any more.
        let closed = log.closed.unwrap_or(Duration::MAX);
        for first in list.iter().filter(|a| a.backend != *own && a.at >= *opened) {
            let end = first.at + REORDER;
            if end > closed || end > world.record.now() {
                continue;
            }
            let window = || list.iter().filter(|a| a.at >= first.at && a.at <= end);
            let others: Vec<_> = window().filter(|a| a.backend != *own).collect();
            let is_counted = others.iter().all(|arrival| {
                let sent = log.sent.iter().rev().find(|(at, _)| *at <= arrival.at);
                sent.is_some_and(|(at, vm)| is_in_touch(*vm, *at))
            });
            let is_own_reached = window().any(|a| a.backend == *own);
            if others.len() >= MISDIRECTED && !is_own_reached && is_counted {
                breaches.push(format!(
                    "FLOW: flow {} is open at {own} since {:.3}; from {:.3} on {} of its packets \
                     reached {} and none its own for 2 s",
                    flow.0,
                    opened.as_secs_f64(),
                    first.at.as_secs_f64(),
                    others.len(),
                    others[0].backend,
                ));
                break;
            }
        }
    }
    breaches
}
