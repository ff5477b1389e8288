//! A fleet whose VMs are replaced one by one by another build, and set back, under open flows.
//!
//! With `BAMBOOSEAM_OLDER_PROGRAM` set to the path of an earlier `bambooseam-entry`, both builds run side
//! by side; the fleet then waits a minute until it writes numbered tokens. Without it, the present
//! build is replaced by itself.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bambooseam_standin::site::{CallerFlow, Counters};
use bambooseam_tests::programs::program;
use bambooseam_tests::site::{RunningSite, WAIT_TIMEOUT, pause};

/// Timeout of a request; covers the retransmissions of a caller whose VM stops.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after which VMs of an earlier build no longer count, with a reserve.
const OLDER_TIMEOUT: Duration = Duration::from_secs(75);

/// Idle flows of each round, in each zone.
const IDLE_FLOWS: usize = 6;

/// Seed of the callers that pause for 2 to 8 s between two requests.
const SEED: u64 = 5;

fn older_program() -> Option<PathBuf> {
    std::env::var_os("BAMBOOSEAM_OLDER_PROGRAM").map(PathBuf::from)
}

/// Flows that send a request when they open and others seconds later.
struct IdleFlows {
    flows: Vec<CallerFlow>,
    round: usize,
}

impl IdleFlows {
    /// Opens flows from all zones; each sends a first request.
    async fn open(running: &RunningSite, round: usize) -> Self {
        let mut flows = Vec::new();
        for caller in &running.site.callers {
            for number in 0..IDLE_FLOWS {
                let flow = Arc::clone(caller).open(running.orders, None).await;
                let mut flow = flow.expect("a flow");
                let id = format!("{round}-{number}-first-{}", flows.len());
                let answer = flow.request(&id, Duration::ZERO, 10, REQUEST_TIMEOUT);
                answer.await.expect("a response");
                flows.push(flow);
            }
        }
        Self { flows, round }
    }

    /// Sends another request in each flow; each must be answered by the target that holds the flow.
    async fn check(&mut self, step: &str) {
        for (number, flow) in self.flows.iter_mut().enumerate() {
            let id = format!("{}-{number}-{step}", self.round);
            let answer = flow.request(&id, Duration::ZERO, 10, REQUEST_TIMEOUT).await;
            let round = self.round;
            assert_eq!(answer, Ok(10), "flow {number} of round {round}, {step}");
        }
    }
}

/// Restarts the target that has run longest. Flows open at it before any VM has read its entry.
async fn restart_target(running: &mut RunningSite, round: usize) -> IdleFlows {
    let target = running.targets.remove(0);
    let plan = target.plan().clone();
    target.crash().await;
    let restarted = running.site.restart_target(&plan).await.expect("a target");
    let idle = IdleFlows::open(running, round).await;
    restarted.reconnect();
    running.targets.push(restarted);
    idle
}

/// Replaces a VM by `program`, as for an upgrade. Flows that open at a restarted target before send a
/// request through the other VMs while this one is away, and one after it has started and the time has
/// passed in which it resets no unknown tokens.
async fn replace_vm(running: &mut RunningSite, at: usize, program: PathBuf, round: usize) {
    let mut idle = restart_target(running, round).await;
    let count = running.site.vms.len();
    let vm = &mut running.site.vms[at];
    vm.signal("TERM").await.expect("a signal");
    let status = vm.wait(WAIT_TIMEOUT).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    pause(1_200).await;
    idle.check("away").await;
    let vm = &mut running.site.vms[at];
    vm.set_program(program);
    vm.start().expect("the VM starts");
    assert!(running.site.wait_ready(count, WAIT_TIMEOUT).await);
    pause(3_500).await;
    idle.check("back").await;
}

/// Replaces all VMs by `program`, the first of them twice, so that its flows move from the one build to
/// the other.
async fn replace_all(running: &mut RunningSite, program: &Path, rounds: &mut usize) {
    for at in [0, 0, 1, 2] {
        *rounds += 1;
        replace_vm(running, at, program.into(), *rounds).await;
    }
}

async fn wait_numbered(running: &RunningSite) {
    let start = Instant::now();
    for vm in &running.site.vms {
        let changes = |log: &str| {
            let mut lines = log.lines().filter(|line| line.contains("event=token_form"));
            lines.next_back().map(|line| line.contains("form=numbered"))
        };
        while changes(&vm.log()) != Some(true) {
            assert!(start.elapsed() < OLDER_TIMEOUT, "{}", vm.log());
            pause(100).await;
        }
    }
}

/// Issue 36: programs that do not read numbered tokens reset the flows that carry one, and planned work
/// must reset none.
#[tokio::test(flavor = "multi_thread")]
async fn replacing_all_vms_and_setting_them_back_resets_no_flow() {
    let present = program("bambooseam-entry");
    let older = older_program().unwrap_or_else(|| present.clone());
    let mut running = RunningSite::prepare(&[2, 1], 2).await;
    for vm in &mut running.site.vms {
        vm.set_program(older.clone());
    }
    running.site.start_all().expect("VM processes start");
    assert!(running.site.wait_ready(3, WAIT_TIMEOUT).await);
    let mut traffic = running.traffic(2, 2);
    traffic.add_pausing(&running.site, running.orders, 6, SEED);
    let mut rounds = 0;
    replace_all(&mut running, &present, &mut rounds).await;
    wait_numbered(&running).await;
    replace_all(&mut running, &older, &mut rounds).await;
    traffic.stop().await;
    let counters = &running.site.counters;
    println!(
        "rounds={rounds} served={} failed={} broken_flows={}",
        Counters::value(&counters.served),
        Counters::value(&counters.failed),
        Counters::value(&counters.broken_flows),
    );
    running.check();
}
