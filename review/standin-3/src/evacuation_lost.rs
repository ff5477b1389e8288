//! The store returns from a copy that is older than an evacuation. The operator writes it again, but
//! takes some time over it.
//!
//! Checked by the rule EVAC: no request reaches a backend of the zone later than `evacuate_ms` after
//! the evacuation was acknowledged and before it is taken back.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use bambooseam_standin::site::Fault;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::Outcome;
use crate::bed::Bed;
use crate::record::Record;

const FRONTEND: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);

/// `evacuate_ms` and `contact_ms` of the site.
const EVACUATE_TIME: Duration = Duration::from_millis(5_000);
const CONTACT_TIME: Duration = Duration::from_millis(5_000);

/// Time from the evacuation to the drill, for which the store is away, and the age of the copy.
const BEFORE_DRILL: Duration = Duration::from_millis(2_000);
const AWAY_TIME: Duration = Duration::from_millis(500);
const COPY_AGE: Duration = Duration::from_millis(4_000);

/// Time from the return of the store to the operator's writes of the configuration and of the
/// evacuation.
const CONFIG_TIME: Duration = Duration::from_millis(1_000);
const REWRITE_TIME: Duration = Duration::from_millis(18_000);

/// Orders a second, a flow each.
const ORDERS: u64 = 30;
const DEADLINE: Duration = Duration::from_millis(2_000);

/// Plays the case.
pub async fn run(record: &Record, has_trouble: bool) -> Outcome {
    let services = [("fillhouse", [5, 5, 4])];
    let routes = [(FRONTEND, "fillhouse")];
    let mut bed = Bed::start(record, &routes, &services).await?;
    let orders = start_orders(&bed);
    sleep(Duration::from_secs(3)).await;
    let zone = bed.site.vms[0].zone.clone();
    let key = format!("op/evacuate/{zone}");
    let revision = bed.site.store.put(&key, &json!({}), None);
    let acknowledged = record.now();
    record.note(format!(
        "operator: the evacuation of {zone} is acknowledged at revision {revision:?}"
    ));
    sleep(BEFORE_DRILL).await;
    if has_trouble {
        set_fault(&bed, Fault::Reset);
        bed.site.store.set_unavailable(true);
        record.note("drill: the store is away".into());
        sleep(AWAY_TIME).await;
        bed.site.store.restore(COPY_AGE);
        bed.site.store.set_unavailable(false);
        set_fault(&bed, Fault::None);
        record.note(format!(
            "drill: the store is back, era {}",
            bed.site.store.era()
        ));
    }
    let returned = record.now();
    sleep(CONFIG_TIME).await;
    if has_trouble {
        bed.rewrite_config(&routes);
    }
    sleep(REWRITE_TIME - CONFIG_TIME).await;
    let revision = bed.site.store.put(&key, &json!({}), None);
    record.note(format!(
        "operator: the evacuation of {zone} is written again at revision {revision:?}"
    ));
    sleep(Duration::from_secs(6)).await;
    drop(orders);
    bed.check_running()?;
    let from = (acknowledged + EVACUATE_TIME).max(returned + CONTACT_TIME);
    let arrivals = bed.arrivals();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|a| a.is_opening && a.is_taken && a.zone == zone && a.at > from)
        .collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.note(format!(
            "openings taken in {zone} from {:.3} to {:.3}; the first by {}",
            first.at.as_secs_f64(),
            last.at.as_secs_f64(),
            first.backend
        ));
    }
    let count = late.len();
    record.note(format!(
        "openings taken in {zone} against the rule EVAC: {count}"
    ));
    Ok(count > 0)
}

fn set_fault(bed: &Bed, fault: Fault) {
    for vm in &bed.site.vms {
        vm.store_server.set_fault(fault);
    }
}

/// Sends orders until the tasks are dropped.
fn start_orders(bed: &Bed) -> JoinSet<()> {
    let clients = bed.clients.clone();
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let begun = Instant::now();
        let mut orders = JoinSet::new();
        for number in 0.. {
            let at = begun + Duration::from_micros(1_000_000 / ORDERS * number);
            sleep_until(at.into()).await;
            let clients = clients.clone();
            orders.spawn(async move {
                let port = clients.port(FRONTEND, None);
                if let Some(mut flow) = clients.open(port, FRONTEND).await {
                    let _ = flow.request(&format!("o{number}"), DEADLINE).await;
                    flow.drop_flow().await;
                }
            });
        }
    });
    tasks
}
