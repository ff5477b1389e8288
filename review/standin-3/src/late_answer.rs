//! A backend is paused for a second while feeds open, so copies of their opening packets open them at
//! other backends. The paused backend answers the first copies when it resumes, and the clients repeat
//! its echo. Then the VM that knows where the flows are open is stopped and started as planned work.
//!
//! Checked by the rule FLOW, seconds later, when all machines but the restarted one are in touch again.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::Outcome;
use crate::bed::{Bed, CONTACT_TIME};
use crate::feeds::{Seen, ask_again, count_broken, start_background};
use crate::record::Record;

const FRONTEND: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);

/// Time for which the backend is paused.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Feeds that open at the start of the pause, and the time between two.
const FEEDS: u64 = 30;
const OPENING_GAP: u64 = 5;

/// Time from the end of the pause to the next request of each feed.
const QUIET: Duration = CONTACT_TIME.saturating_add(Duration::from_millis(3_000));

const ROUNDS: u32 = 4;

/// Plays the case.
pub async fn run(record: &Record, has_trouble: bool) -> Outcome {
    let services = [("fillhouse", [5, 5, 4])];
    let mut bed = Bed::start(record, &[(FRONTEND, "fillhouse")], &services).await?;
    let background = start_background(&bed, FRONTEND);
    let mut broken = 0;
    for round in 1..=ROUNDS {
        broken += play_round(&mut bed, round, has_trouble).await?;
        sleep(CONTACT_TIME).await;
    }
    drop(background);
    record.note(format!("flows broken against the rule FLOW: {broken}"));
    Ok(broken > 0)
}

async fn play_round(
    bed: &mut Bed,
    round: u32,
    has_trouble: bool,
) -> Result<usize, Box<dyn std::error::Error>> {
    let begun = Instant::now();
    let paused = bed.backends[round as usize - 1].clone();
    if has_trouble {
        paused.is_paused.store(true, Ordering::Relaxed);
        bed.record
            .note(format!("round {round}: {} is paused", paused.name));
    }
    let through = bed.site.vms[0].datagrams();
    let mut feeds: JoinSet<Option<Seen>> = JoinSet::new();
    for number in 0..FEEDS {
        let port = bed.clients.port(FRONTEND, Some(through));
        let clients = bed.clients.clone();
        let record = bed.record.clone();
        let opening = begun + Duration::from_millis(OPENING_GAP * number);
        feeds.spawn(async move {
            sleep_until(opening.into()).await;
            let id = format!("r{round}.{number}");
            ask_again(
                &clients,
                (port, FRONTEND),
                id,
                begun + PAUSE + QUIET,
                &record,
            )
            .await
        });
    }
    sleep_until((begun + PAUSE).into()).await;
    if has_trouble {
        paused.is_paused.store(false, Ordering::Relaxed);
        bed.record
            .note(format!("round {round}: {} resumes", paused.name));
        sleep(Duration::from_millis(300)).await;
        restart(bed, round).await?;
    }
    let mut seen = Vec::new();
    while let Some(feed) = feeds.join_next().await {
        seen.extend(feed?);
    }
    let opened = seen.len();
    let broken = count_broken(bed, round, seen).await;
    bed.record.note(format!(
        "round {round}: {opened} flows were open, {broken} of them broke"
    ));
    Ok(broken)
}

/// Stops and starts the VM as the platform does for planned work.
async fn restart(bed: &mut Bed, round: u32) -> Result<(), Box<dyn std::error::Error>> {
    let record = bed.record.clone();
    let vm = &mut bed.site.vms[0];
    record.note(format!("round {round}: {} gets SIGTERM", vm.id));
    vm.signal("TERM").await?;
    let status = vm.wait(Duration::from_secs(6)).await;
    record.note(format!(
        "round {round}: {} ended with {status:?}, and starts again",
        vm.id
    ));
    vm.start()?;
    Ok(())
}
