//! Entries of another writer, read by real VM processes.

use std::sync::Arc;
use std::time::Duration;

use bambooseam_standin::site::{CallerFlow, CallerHost, FlowError};
use bambooseam_tests::odd_entries::{contradicting_entries, own_entry, unreadable_entries};
use bambooseam_tests::site::{RunningSite, WAIT_TIMEOUT, pause};
use serde_json::Value;

/// Timeout of a request, with retransmissions on a busy machine.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Size in bytes of the entries that are written before the VMs have read them.
const MAX_UNREAD_BYTES: usize = 500_000;

/// Targets in the zone.
const TARGETS: u8 = 4;

async fn request(flow: &mut CallerFlow, id: &str) -> Result<usize, FlowError> {
    flow.request(id, Duration::ZERO, 10, REQUEST_TIMEOUT).await
}

/// Opens flows until each target has one.
async fn open_flows(
    running: &RunningSite,
    caller: &Arc<CallerHost>,
    name: &str,
) -> Vec<CallerFlow> {
    let mut flows: Vec<CallerFlow> = Vec::new();
    for number in 0..200 {
        let mut flow = caller.open(running.orders, None).await.expect("a flow");
        let id = format!("{name}-{number}");
        request(&mut flow, &id).await.expect("a response");
        if !flows.iter().any(|other| other.target() == flow.target()) {
            flows.push(flow);
        }
        if flows.len() == usize::from(TARGETS) {
            return flows;
        }
    }
    panic!("only {} targets have a flow", flows.len());
}

/// Waits until every VM has read all that was written, and a version of the configuration after it.
async fn wait_read(running: &mut RunningSite) {
    let revision = running.site.publish().expect("the store is available");
    let line = format!(" revision={revision} routes=");
    for vm in &running.site.vms {
        let waited = async {
            while !vm.log().contains(&line) {
                pause(20).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_TIMEOUT, waited).await;
        assert!(waited.is_ok(), "{} does not follow: {}", vm.id, vm.log());
    }
}

/// Site with four targets of `orders` and an open flow at each.
struct OddSite {
    running: RunningSite,
    caller: Arc<CallerHost>,
    flows: Vec<CallerFlow>,
    /// Number of requests so far.
    requests: u32,
}

impl OddSite {
    /// Starts three VMs in two zones. All of them know the targets when this returns.
    async fn start() -> Self {
        let mut running = RunningSite::start(&[2, 1], 0).await;
        for number in 1..=TARGETS {
            let target = running.site.add_target("orders", 0, number).await;
            running.targets.push(target.expect("a target"));
        }
        wait_read(&mut running).await;
        let caller = Arc::clone(&running.site.callers[0]);
        let flows = open_flows(&running, &caller, "first").await;
        Self {
            running,
            caller,
            flows,
            requests: 0,
        }
    }

    /// Returns the key and the entry of the first target.
    fn first_entry(&self) -> (String, Value) {
        let plan = self.running.targets[0].plan();
        let mut own = own_entry(&plan.address.to_string());
        own["zone"] = plan.zone.as_str().into();
        (format!("servers/{}", plan.id), own)
    }

    fn write(&self, key: &str, value: &[u8]) {
        self.running.site.store.put_bytes(key, value.into(), None);
    }

    async fn wait_read(&mut self) {
        wait_read(&mut self.running).await;
    }

    /// Sends a request in each flow.
    async fn request_all(&mut self, name: &str) {
        for flow in &mut self.flows {
            self.requests += 1;
            let id = format!("{}-{:?}", self.requests, flow.target());
            let response = request(flow, &id).await;
            assert!(
                response.is_ok(),
                "{name}, {:?}: {response:?}",
                flow.target()
            );
        }
    }

    /// Asserts that all VMs run and follow the store, and that each target takes new flows.
    async fn check(mut self) {
        self.wait_read().await;
        open_flows(&self.running, &self.caller, "last").await;
        self.running.check();
    }
}

/// Other operators' machines ended, or stopped following the list, when one entry was nested deeply,
/// or had a number too large or a port out of range.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_under_free_keys_end_no_vm_and_break_no_flow() {
    let mut site = OddSite::start().await;
    let (_, own) = site.first_entry();
    let mut size = 0;
    let mut keys = Vec::new();
    for (at, odd) in unreadable_entries(&own).iter().enumerate() {
        let key = format!("servers/i-{:08x}", 0x0dd0_0000 + at);
        site.write(&key, &odd.value);
        keys.push(key);
        size += odd.value.len();
        if size < MAX_UNREAD_BYTES {
            continue;
        }
        site.wait_read().await;
        site.request_all(&odd.name).await;
        size = 0;
        for key in keys.drain(..) {
            site.running.site.store.remove(&key);
        }
    }
    site.request_all("all").await;
    site.check().await;
}

/// Review case 5, for all forms of entries: they reset flows of the target whose key they took.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_under_the_key_of_a_target_end_no_vm_and_break_no_flow() {
    let mut site = OddSite::start().await;
    let (key, own) = site.first_entry();
    let mut odd = contradicting_entries(&own);
    odd.extend(unreadable_entries(&own).into_iter().step_by(12));
    for odd in odd {
        site.write(&key, &odd.value);
        site.wait_read().await;
        site.request_all(&odd.name).await;
        site.running.targets[0].reconnect();
        site.wait_read().await;
        site.request_all(&odd.name).await;
    }
    site.check().await;
}

/// A VM reads the other writer's entry before that of the target, and gets flows that were opened
/// through another VM.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entry_that_a_vm_reads_at_its_start_breaks_no_flow() {
    let mut site = OddSite::start().await;
    let (key, own) = site.first_entry();
    let count = site.running.site.vms.len();
    for odd in contradicting_entries(&own).iter().step_by(3) {
        site.write(&key, &odd.value);
        let vm = &mut site.running.site.vms[1];
        vm.kill().await;
        vm.start().expect("a VM");
        assert!(site.running.site.wait_ready(count, WAIT_TIMEOUT).await);
        site.running.targets[0].reconnect();
        for _ in 0..3 {
            site.request_all(&odd.name).await;
            pause(1_000).await;
        }
    }
    site.check().await;
}
