//! Targets that leave while their entries lapse, behind real VM processes.

use std::time::Duration;

use bambooseam_standin::site::CallerFlow;
use bambooseam_tests::site::{RunningSite, WAIT_TIMEOUT, pause};
use tokio::task::JoinSet;

/// Flows opened by the callers of each zone.
const FLOWS: usize = 16;

/// Timeout of a request: entries are back within two seconds, and callers retransmit for longer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(6_000);

/// Time, in milliseconds, after which the entries of all targets have lapsed.
const LAPSE_MS: u64 = 1_300;

/// Starts two VMs in one zone and one in another, with four targets in each zone.
async fn start() -> (RunningSite, Vec<CallerFlow>) {
    let running = RunningSite::start(&[2, 1], 4).await;
    let mut flows = Vec::new();
    for caller in &running.site.callers {
        for number in 0..FLOWS {
            let mut flow = caller.open(running.orders, None).await.expect("a flow");
            let id = format!("{}-{number}-first", flows.len());
            let answer = flow.request(&id, Duration::ZERO, 10, REQUEST_TIMEOUT).await;
            answer.expect("a response");
            flows.push(flow);
        }
    }
    for target in running.targets.iter().step_by(3) {
        target.drain();
    }
    // The VMs read the announcements.
    pause(800).await;
    (running, flows)
}

/// Sends another request in each flow; each must be answered by the flow's target.
async fn request_all(flows: Vec<CallerFlow>) {
    let mut requests = JoinSet::new();
    for (number, mut flow) in flows.into_iter().enumerate() {
        requests.spawn(async move {
            let target = flow.target().map(str::to_owned);
            let id = format!("{}-{number}-later", target.as_deref().unwrap_or_default());
            let answer = flow.request(&id, Duration::ZERO, 10, REQUEST_TIMEOUT).await;
            answer.expect("a response");
            assert_eq!(flow.target(), target.as_deref());
        });
    }
    requests.join_all().await;
}

/// Issue 46: VMs that had noticed no outage reset the flows of leaving targets as soon as their entries
/// lapsed.
#[tokio::test(flavor = "multi_thread")]
async fn flows_of_leaving_targets_whose_entries_lapse_go_on() {
    let (mut running, mut flows) = start().await;
    running.site.store.set_unavailable(true);
    pause(LAPSE_MS + 300).await;
    // Some flows send while the entries are missing, the others once they are back.
    let quiet = flows.split_off(FLOWS);
    request_all(flows).await;
    running.site.store.set_unavailable(false);
    pause(2_500).await;
    request_all(quiet).await;
    running.check();
}

/// As above, with a VM that is restarted as planned and has its first view while all entries are
/// missing, and a store that drops its history.
#[tokio::test(flavor = "multi_thread")]
async fn flows_of_leaving_targets_go_on_at_a_vm_that_starts_in_the_gap() {
    let (mut running, flows) = start().await;
    running.site.vms[0].signal("TERM").await.expect("a signal");
    let status = running.site.vms[0].wait(WAIT_TIMEOUT).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    running.site.store.set_unavailable(true);
    pause(LAPSE_MS).await;
    running.site.vms[0].start().expect("the VM starts");
    running.site.store.compact();
    pause(300).await;
    running.site.store.set_unavailable(false);
    assert!(running.site.wait_ready(3, WAIT_TIMEOUT).await);
    request_all(flows).await;
    running.check();
}
