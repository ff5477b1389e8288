//! Targets that start again under their identifier, behind real VM processes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bambooseam_standin::site::{CallerFlow, CallerHost, FlowError, FlowTarget};
use bambooseam_tests::site::{CONFIG_BOUND, RunningSite, WAIT_TIMEOUT, pause};

/// Timeout of a request. An open flow gets its answer, or a reset, at the first transmission.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after its start, in milliseconds, from which a VM resets unknown tokens.
const SETTLE_MS: u64 = 3_500;

/// Opens flow `number` and sends a first request in it.
async fn open_flow(caller: &Arc<CallerHost>, running: &RunningSite, number: u8) -> CallerFlow {
    let mut flow = caller.open(running.orders, None).await.expect("a flow");
    let id = format!("{number}-first");
    request(&mut flow, &id).await.expect("a response");
    flow
}

async fn request(flow: &mut CallerFlow, id: &str) -> Result<usize, FlowError> {
    flow.request(id, Duration::ZERO, 10, REQUEST_TIMEOUT).await
}

/// Crashes the only target and starts it again, without access to the store.
async fn restart_cut_off(running: &mut RunningSite) -> FlowTarget {
    let target = running.targets.remove(0);
    let plan = target.plan().clone();
    target.crash().await;
    running.site.restart_target(&plan).await.expect("a target")
}

/// Stops a VM as for an update, and starts it again.
async fn replace_vm(running: &mut RunningSite, vm: usize) {
    let count = running.site.vms.len();
    running.site.vms[vm].signal("TERM").await.expect("a signal");
    let status = running.site.vms[vm].wait(WAIT_TIMEOUT).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    running.site.vms[vm].start().expect("the VM starts");
    assert!(running.site.wait_ready(count, WAIT_TIMEOUT).await);
}

/// Waits until every running VM has read `count` different entries of the target.
async fn wait_read(running: &RunningSite, target: &FlowTarget, count: usize) {
    let changed = format!("event=target_changed target={} ", target.plan().id);
    let start_time = Instant::now();
    for vm in &running.site.vms {
        while vm.log().matches(&changed).count() < count {
            let elapsed = start_time.elapsed();
            assert!(elapsed < CONFIG_BOUND, "{}: {}", vm.id, vm.log());
            pause(20).await;
        }
    }
}

/// A site whose only target has accepted flows before any VM has read the entry of its present start.
struct RestartedSite {
    running: RunningSite,
    flows: Vec<CallerFlow>,
    /// Number of flows opened so far.
    opened: u8,
    /// Name of the present start.
    name: String,
}

impl RestartedSite {
    /// Starts three VMs in two zones. All of them have read the later entry when this returns.
    async fn start() -> Self {
        Self::start_vms(&[2, 1]).await
    }

    /// The same with `vms[zone]` VMs in each zone.
    async fn start_vms(vms: &[u8]) -> Self {
        let mut running = RunningSite::start(vms, 0).await;
        let target = running.site.add_target("orders", 0, 1).await;
        running.targets.push(target.expect("a target"));
        wait_read(&running, &running.targets[0], 1).await;
        let mut site = Self {
            running,
            flows: Vec::new(),
            opened: 0,
            name: String::new(),
        };
        site.restart_target().await;
        wait_read(&site.running, &site.running.targets[0], 2).await;
        site
    }

    /// Restarts the target. New flows open at it before any VM has read its entry.
    async fn restart_target(&mut self) {
        let restarted = restart_cut_off(&mut self.running).await;
        let caller = Arc::clone(&self.running.site.callers[0]);
        self.flows.clear();
        for _ in 0..8 {
            self.opened += 1;
            let flow = open_flow(&caller, &self.running, self.opened).await;
            self.flows.push(flow);
        }
        restarted.reconnect();
        self.name = restarted.name();
        self.running.targets.push(restarted);
    }

    /// Kills all VMs, and starts those of `started`.
    async fn lose_all_vms(&mut self, started: &[usize]) {
        for vm in &mut self.running.site.vms {
            vm.kill().await;
        }
        for &vm in started {
            self.running.site.vms[vm].start().expect("the VM starts");
        }
        let site = &self.running.site;
        // The routers notice only after a while that VMs are gone.
        pause(1_500).await;
        assert!(site.wait_ready(started.len(), WAIT_TIMEOUT).await);
    }

    /// Sends a second request in each flow; each must be answered by the same start.
    async fn check(&mut self) {
        self.check_flows().await;
        self.running.check();
    }

    async fn check_flows(&mut self) {
        for (number, flow) in self.flows.iter_mut().enumerate() {
            let id = format!("{}-{number}-second", self.opened);
            request(flow, &id).await.expect("a response");
            assert_eq!(flow.target(), Some(self.name.as_str()));
        }
    }
}

/// Review case 4: the VMs reset open flows that a restarted target had accepted before they read its
/// entry.
#[tokio::test(flavor = "multi_thread")]
async fn flows_accepted_before_the_entry_is_read_stay_open() {
    RestartedSite::start().await.check().await;
}

/// A VM that starts later reads only the later entry, and must not reset flows with the earlier token
/// once it has settled.
#[tokio::test(flavor = "multi_thread")]
async fn flows_accepted_before_the_entry_is_read_survive_the_replacement_of_all_vms() {
    let mut site = RestartedSite::start().await;
    for vm in 0..site.running.site.vms.len() {
        replace_vm(&mut site.running, vm).await;
    }
    pause(SETTLE_MS).await;
    site.check().await;
}

/// As above, but no VM is left that has read the earlier entry.
#[tokio::test(flavor = "multi_thread")]
async fn flows_accepted_before_the_entry_is_read_survive_the_loss_of_all_vms() {
    let mut site = RestartedSite::start().await;
    site.lose_all_vms(&[0, 1, 2]).await;
    pause(SETTLE_MS).await;
    site.check().await;
}

/// VMs that have just started must not fall back to tokens that lead nowhere without them.
#[tokio::test(flavor = "multi_thread")]
async fn flows_accepted_before_the_entry_is_read_survive_two_losses_of_all_vms() {
    let mut site = RestartedSite::start().await;
    site.lose_all_vms(&[0, 1, 2]).await;
    site.restart_target().await;
    site.lose_all_vms(&[0, 1, 2]).await;
    pause(SETTLE_MS).await;
    site.check().await;
}

/// The VMs that are not back may be of any version.
#[tokio::test(flavor = "multi_thread")]
async fn flows_accepted_before_the_entry_is_read_survive_at_the_only_vm_that_is_back() {
    let mut site = RestartedSite::start().await;
    site.lose_all_vms(&[2]).await;
    pause(SETTLE_MS).await;
    site.check_flows().await;
    // It has heard of no other VM, and is lost in turn.
    site.restart_target().await;
    site.lose_all_vms(&[2]).await;
    pause(SETTLE_MS).await;
    site.check_flows().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_accepted_before_the_entry_is_read_survive_the_loss_of_a_lone_vm() {
    let mut site = RestartedSite::start_vms(&[1]).await;
    site.lose_all_vms(&[0]).await;
    pause(SETTLE_MS).await;
    site.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_of_the_earlier_start_are_reset_by_the_target() {
    let mut running = RunningSite::start(&[1], 1).await;
    let caller = Arc::clone(&running.site.callers[0]);
    let mut flow = open_flow(&caller, &running, 0).await;
    // VM and target handle packets in order, so once another flow has opened, the acknowledgement of
    // the response above has arrived. The restarted target would answer it with a reset.
    open_flow(&caller, &running, 1).await;
    let restarted = restart_cut_off(&mut running).await;
    restarted.reconnect();
    wait_read(&running, &restarted, 2).await;
    let error = request(&mut flow, "0-second").await;
    assert_eq!(
        error,
        Err(FlowError::TargetReset),
        "the flow must end with the earlier start of the target"
    );
    let flow = open_flow(&caller, &running, 2).await;
    assert_eq!(flow.target(), Some(restarted.name().as_str()));
    running.targets.push(restarted);
    running.check();
}
