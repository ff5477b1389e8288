//! One VM is suspended for 1.4 s while feeds open. The routers take it out of rotation, so later
//! copies of opening packets open their flows through the other VM of the zone. The earlier ones wait
//! at the suspended VM, which sends them to a backend of its own choice when it resumes.
//!
//! Checked by the rule FLOW, seconds later, when all machines are in touch again.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::Outcome;
use crate::bed::{Bed, CONTACT_TIME};
use crate::feeds::{Seen, ask_again, count_broken, start_background};
use crate::record::Record;

const FRONTEND: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);

/// Time for which the VM is suspended.
const SUSPENSION: Duration = Duration::from_millis(1_400);

/// First and last opening after the start of the suspension, and the time between two.
const FIRST_OPENING: u64 = 300;
const LAST_OPENING: u64 = 790;
const OPENING_GAP: u64 = 20;

/// Pause of the clients from the end of the suspension to the next request: longer than
/// `contact_ms`, and much shorter than `idle_timeout_ms`.
const PAUSE: Duration = CONTACT_TIME.saturating_add(Duration::from_millis(700));

const ROUNDS: u32 = 6;

const PHASE_STEP: Duration = Duration::from_millis(90);

/// Plays the case.
pub async fn run(record: &Record, has_trouble: bool) -> Outcome {
    let services = [("fillhouse", [5, 5, 4])];
    let bed = Bed::start(record, &[(FRONTEND, "fillhouse")], &services).await?;
    let background = start_background(&bed, FRONTEND);
    let mut broken = 0;
    for round in 1..=ROUNDS {
        broken += play_round(&bed, round, has_trouble).await?;
        // Rounds begin at different times between two probes of the routers.
        sleep(CONTACT_TIME + PHASE_STEP).await;
    }
    drop(background);
    record.note(format!("flows broken against the rule FLOW: {broken}"));
    Ok(broken > 0)
}

async fn play_round(
    bed: &Bed,
    round: u32,
    has_trouble: bool,
) -> Result<usize, Box<dyn std::error::Error>> {
    let vm = &bed.site.vms[0];
    let begun = Instant::now();
    if has_trouble {
        vm.signal("STOP").await?;
        bed.record
            .note(format!("round {round}: {} is suspended", vm.id));
    }
    let resumed = begun + SUSPENSION;
    let mut feeds: JoinSet<Option<Seen>> = JoinSet::new();
    let through = vm.datagrams();
    // The ports are chosen before the routers change their minds.
    for (number, at) in (FIRST_OPENING..=LAST_OPENING)
        .step_by(OPENING_GAP as usize)
        .enumerate()
    {
        let port = bed.clients.port(FRONTEND, Some(through));
        let clients = bed.clients.clone();
        let record = bed.record.clone();
        let opening = begun + Duration::from_millis(at);
        feeds.spawn(async move {
            sleep_until(opening.into()).await;
            ask_again(
                &clients,
                (port, FRONTEND),
                format!("r{round}.{number}"),
                resumed + PAUSE,
                &record,
            )
            .await
        });
    }
    sleep_until(resumed.into()).await;
    if has_trouble {
        vm.signal("CONT").await?;
        bed.record.note(format!("round {round}: {} resumes", vm.id));
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
