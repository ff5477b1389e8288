//! Feeds: flows that stay open for several requests, with pauses between them, and the check of the
//! rule FLOW for them.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::backend::Arrival;
use crate::bed::Bed;
use crate::client::{Clients, End, Flow};
use crate::record::Record;

/// Deadline of a request, as of `pantry-feed`.
pub const DEADLINE: Duration = Duration::from_millis(2_500);

/// `reorder_ms` of the users' sites.
const REORDER_TIME: Duration = Duration::from_millis(2_000);

/// A feed whose first request was answered.
pub struct Seen {
    flow: Flow,
    /// When the second request was sent, and how it ended.
    asked: Duration,
    end: End,
}

/// Opens a feed, sends a request, pauses until a time and sends another one. Returns `None` if the
/// first request was not answered.
pub async fn ask_again(
    clients: &Arc<Clients>,
    (port, frontend): (u16, SocketAddrV4),
    id: String,
    until: Instant,
    record: &Record,
) -> Option<Seen> {
    let mut flow = clients.open(port, frontend).await?;
    let first = flow.request(&format!("{id}.1"), DEADLINE).await;
    if !matches!(first, End::Answered(_)) {
        record.trace(format!("client {port}: first request: {first:?}"));
        return None;
    }
    if let Some(is_system) = flow.pause(until).await {
        record.trace(format!(
            "client {port}: reset in the pause, by the system: {is_system}"
        ));
        let asked = record.now();
        return Some(Seen {
            flow,
            asked,
            end: End::Reset(is_system),
        });
    }
    let asked = record.now();
    let end = flow.request(&format!("{id}.2"), DEADLINE).await;
    record.trace(format!("client {port}: second request: {end:?}"));
    Some(Seen { flow, asked, end })
}

/// Notes the feeds for which the rule FLOW is broken, ends all of them and returns the number.
pub async fn count_broken(bed: &Bed, round: u32, seen: Vec<Seen>) -> usize {
    sleep(Duration::from_millis(50)).await;
    let arrivals = bed.arrivals();
    let mut broken = 0;
    for Seen { flow, asked, end } in seen {
        if let Some(cause) = judge(bed, &flow, asked, &end, &arrivals) {
            broken += 1;
            bed.record.note(format!(
                "round {round}: client {}: {cause}",
                flow.local.port()
            ));
        }
        flow.drop_flow().await;
    }
    broken
}

/// How the rule FLOW is broken for a flow whose second request was sent at `asked`, if it is.
fn judge(
    bed: &Bed,
    flow: &Flow,
    asked: Duration,
    end: &End,
    arrivals: &[Arrival],
) -> Option<String> {
    let own = bed.backend_name(flow.backend - 1);
    if *end == End::Reset(true) {
        return Some(format!("open at {own}, and reset by the system"));
    }
    if *end == End::Reset(false) {
        return Some(format!("open at {own}, and reset by another backend"));
    }
    // Packets of the flow in the `reorder_ms` after the request was sent.
    let is_counted = |a: &&Arrival| {
        a.client == flow.local && !a.is_opening && a.at >= asked && a.at < asked + REORDER_TIME
    };
    let mut reached: HashMap<&str, usize> = HashMap::new();
    for arrival in arrivals.iter().filter(is_counted) {
        *reached.entry(&arrival.backend).or_default() += 1;
    }
    let at_own = reached.remove(own.as_str()).unwrap_or_default();
    let elsewhere: usize = reached.values().sum();
    (at_own == 0 && elsewhere >= 3 && *end == End::Unanswered).then(|| {
        format!(
            "open at {own}; of its packets in {} ms, {elsewhere} reached {reached:?} and none \
                 {own}; its request was not answered",
            REORDER_TIME.as_millis()
        )
    })
}

/// Flows that ask now and then, so that the VMs have load to compare.
pub fn start_background(bed: &Bed, frontend: SocketAddrV4) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for number in 0..24_u64 {
        let clients = bed.clients.clone();
        tasks.spawn(async move {
            sleep(Duration::from_millis(37 * number)).await;
            loop {
                let port = clients.port(frontend, None);
                if let Some(mut flow) = clients.open(port, frontend).await {
                    for request in 0..4 {
                        let _ = flow
                            .request(&format!("b{number}.{request}"), DEADLINE)
                            .await;
                        sleep(Duration::from_millis(150 + 11 * number)).await;
                    }
                    flow.drop_flow().await;
                }
            }
        });
    }
    tasks
}
