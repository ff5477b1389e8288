//! Evacuation of a zone against running entry programs on loopback.

use std::time::{Duration, Instant};

use bambooseam_standin::site::{CallerFlow, Fault, FlowError};
use bambooseam_tests::site::{RunningSite, WAIT_TIMEOUT, pause};

/// Time in which an evacuation must be in force on every VM. The users allow 5 s; the goal is 0.5 s
/// at the 99th percentile, which a busy test machine need not reach.
const EVACUATION_BOUND: Duration = Duration::from_millis(1_500);

/// Time limit of the users, with a fault at the moment of the evacuation.
const FAULT_BOUND: Duration = Duration::from_millis(4_500);

/// Number of evacuations while other documents change.
const ROUNDS: u16 = 10;

/// Zone that is evacuated.
const EVACUATED: u8 = 0;

/// Returns the number of flows opened at the targets of a zone so far.
fn openings(running: &RunningSite, zone: u8) -> u64 {
    let name = format!("zone-{}", char::from(b'a' + zone));
    let targets = running.targets.iter();
    let targets = targets.filter(|target| target.plan().zone == name);
    targets.map(|target| target.openings()).sum()
}

/// Returns whether the log of VM `vm` shows the evacuation as the last change.
fn is_evacuated(running: &RunningSite, vm: usize) -> bool {
    let log = running.site.vms[vm].log();
    let last = |event| log.rfind(event).map_or(0, |at| at + 1);
    last("event=zone_evacuated") > last("event=zone_returned")
}

/// Waits until the zone is evacuated or readmitted on `vms`, and returns the time since `start`.
async fn wait_evacuated(
    running: &RunningSite,
    vms: &[usize],
    expected: bool,
    start: Instant,
) -> Duration {
    while !vms.iter().all(|vm| is_evacuated(running, *vm) == expected) {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "the evacuation is not {expected} on all of VMs {vms:?}"
        );
        pause(5).await;
    }
    start.elapsed()
}

/// Opens flows through each VM of `vms`, and asserts that none reaches the evacuated zone.
async fn assert_empty(running: &RunningSite, vms: &[usize]) {
    let before = openings(running, EVACUATED);
    for round in 0..5 {
        for &vm in vms {
            assert!(running.serves(vm, running.orders).await, "VM {vm}, {round}");
        }
    }
    assert_eq!(openings(running, EVACUATED), before);
}

/// Opens a flow through a VM of the evacuated zone to a target of that zone.
async fn open_in_zone(running: &RunningSite) -> CallerFlow {
    let vm = running.site.vms[0].datagrams();
    let before = openings(running, EVACUATED);
    let opened = running.site.callers[0].open(running.orders, Some(vm));
    let flow = opened.await.expect("an open flow");
    assert_eq!(openings(running, EVACUATED), before + 1);
    flow
}

async fn assert_alive(flow: &mut CallerFlow, id: &str) {
    let limit = Duration::from_secs(2);
    let answer = flow.request(id, Duration::from_millis(5), 100, limit).await;
    assert!(answer.is_ok(), "{id}: {answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuation_reaches_every_vm_and_the_zone_returns() {
    let mut running = RunningSite::start(&[2, 1, 1], 2).await;
    let all = [0, 1, 2, 3];
    let mut flow = open_in_zone(&running).await;
    let start = Instant::now();
    running.site.evacuate(EVACUATED).expect("a revision");
    let time = wait_evacuated(&running, &all, true, start).await;
    println!("evacuated_ms={}", time.as_millis());
    assert!(time < EVACUATION_BOUND, "{time:?}");
    assert_empty(&running, &all).await;
    assert_alive(&mut flow, "f-evacuated").await;
    let start = Instant::now();
    assert!(running.site.readmit(EVACUATED));
    let time = wait_evacuated(&running, &all, false, start).await;
    println!("returned_ms={}", time.as_millis());
    assert!(time < EVACUATION_BOUND, "{time:?}");
    assert_alive(&mut flow, "f-returned").await;
    open_in_zone(&running).await;
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuation_arrives_while_other_documents_change() {
    // The reader pauses after each change, and the evacuation must not wait for several pauses.
    let mut running = RunningSite::start(&[2, 2, 2], 2).await;
    let all = [0, 1, 2, 3, 4, 5];
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        for step in 0..4 {
            running.site.publish_entry(round * 4 + step);
            pause(u64::from(round * 37 + step * 71) % 190).await;
        }
        for expected in [true, false] {
            let start = Instant::now();
            match expected {
                true => drop(running.site.evacuate(EVACUATED).expect("a revision")),
                false => assert!(running.site.readmit(EVACUATED)),
            }
            times.push(wait_evacuated(&running, &all, expected, start).await);
        }
    }
    times.sort();
    let (median, last) = (times[times.len() / 2], times[times.len() - 1]);
    println!("changes={} median={median:?} max={last:?}", times.len());
    assert!(last < EVACUATION_BOUND, "{times:?}");
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn traffic_leaves_an_evacuated_zone_without_a_broken_flow() {
    let mut running = RunningSite::start(&[1, 1, 1], 3).await;
    let traffic = running.traffic(4, 3);
    pause(500).await;
    running.site.evacuate(EVACUATED).expect("a revision");
    pause(1_500).await;
    let before = openings(&running, EVACUATED);
    pause(4_500).await;
    assert_eq!(openings(&running, EVACUATED), before);
    assert!(running.site.readmit(EVACUATED));
    pause(1_500).await;
    assert!(openings(&running, EVACUATED) > before);
    traffic.stop().await;
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn vms_killed_and_started_meanwhile_open_nothing_in_the_zone() {
    let mut running = RunningSite::start(&[2, 1], 2).await;
    let all = [0, 1, 2];
    for vm in &mut running.site.vms {
        vm.kill().await;
    }
    running.site.evacuate(EVACUATED).expect("a revision");
    let before = openings(&running, EVACUATED);
    let traffic = running.traffic(4, 2);
    running.site.start_all().expect("the VMs start");
    assert!(running.site.wait_ready(3, WAIT_TIMEOUT).await);
    wait_evacuated(&running, &all, true, Instant::now()).await;
    pause(1_000).await;
    assert_empty(&running, &all).await;
    // Not even the first opening after the start reached the zone.
    assert_eq!(openings(&running, EVACUATED), before);
    traffic.stop().await;
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuation_arrives_when_the_reading_vm_is_killed() {
    let mut running = RunningSite::start(&[2, 1], 2).await;
    // The VM with the lowest address reads the store, and the others follow.
    pause(1_500).await;
    let start = Instant::now();
    running.site.vms[0].kill().await;
    running.site.evacuate(EVACUATED).expect("a revision");
    let time = wait_evacuated(&running, &[1, 2], true, start).await;
    println!("evacuated_ms={}", time.as_millis());
    assert!(time < FAULT_BOUND, "{time:?}");
    assert_empty(&running, &[1, 2]).await;
    running.site.vms[0].start().expect("the VM starts");
    running.wait_served(0).await;
    assert_empty(&running, &[0, 1, 2]).await;
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuation_arrives_when_the_store_is_silent_to_the_reader_and_state_is_kept() {
    let mut running = RunningSite::start(&[2, 1], 2).await;
    let all = [0, 1, 2];
    running.site.vms[0].store_server.set_fault(Fault::Silent);
    let start = Instant::now();
    running.site.evacuate(EVACUATED).expect("a revision");
    let time = wait_evacuated(&running, &all, true, start).await;
    println!("evacuated_ms={}", time.as_millis());
    assert!(time < FAULT_BOUND, "{time:?}");
    // With the store silent to all VMs, each keeps what it knows.
    for vm in &running.site.vms {
        vm.store_server.set_fault(Fault::Silent);
    }
    pause(3_000).await;
    assert_empty(&running, &all).await;
    assert!(running.site.readmit(EVACUATED));
    let start = Instant::now();
    for vm in &running.site.vms {
        vm.store_server.set_fault(Fault::None);
    }
    let time = wait_evacuated(&running, &all, false, start).await;
    assert!(time < FAULT_BOUND, "{time:?}");
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn store_that_returns_from_an_older_copy_does_not_readmit_the_zone() {
    let mut running = RunningSite::start(&[2, 1], 2).await;
    let all = [0, 1, 2];
    pause(2_500).await;
    running.site.evacuate(EVACUATED).expect("a revision");
    wait_evacuated(&running, &all, true, Instant::now()).await;
    running.site.restore_store(Duration::from_millis(2_000));
    running.site.write_config();
    for _ in 0..6 {
        pause(500).await;
        assert_empty(&running, &all).await;
        assert!(all.iter().all(|vm| is_evacuated(&running, *vm)));
    }
    // The operator writes the evacuation again, and it outlives the time limit.
    running.site.evacuate(EVACUATED).expect("a revision");
    pause(8_500).await;
    assert_empty(&running, &all).await;
    assert!(running.site.readmit(EVACUATED));
    wait_evacuated(&running, &all, false, Instant::now()).await;
    running.check();
    for vm in &running.site.vms {
        assert!(vm.log().contains("event=store_era_changed"), "{}", vm.log());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_that_starts_without_the_store_learns_of_the_evacuation_from_its_peers() {
    let mut running = RunningSite::start(&[2, 1], 2).await;
    running.site.vms[0].kill().await;
    running.site.vms[0].store_server.set_fault(Fault::Silent);
    running.site.evacuate(EVACUATED).expect("a revision");
    running.site.vms[0].start().expect("the VM starts");
    let before = openings(&running, EVACUATED);
    running.wait_served(0).await;
    let time = wait_evacuated(&running, &[0, 1, 2], true, Instant::now()).await;
    assert!(time < FAULT_BOUND, "{time:?}");
    println!("openings={}", openings(&running, EVACUATED) - before);
    assert_empty(&running, &[0, 1, 2]).await;
    running.check();
}

/// Pauses a VM while its zone is evacuated. The packets that arrive meanwhile are decided right
/// after the pause.
async fn assert_paused(vm: usize) {
    let mut running = RunningSite::start(&[1, 1], 3).await;
    let traffic = running.traffic(2, 6);
    pause(1_500).await;
    running.site.vms[vm].signal("STOP").await.expect("a signal");
    // Calls to the store and to peers are answered meanwhile, without the evacuation.
    pause(1_300).await;
    running.site.evacuate(vm as u8).expect("a revision");
    pause(6_000).await;
    running.site.vms[vm].signal("CONT").await.expect("a signal");
    let start = Instant::now();
    running.wait_served(vm).await;
    println!("served_ms={}", start.elapsed().as_millis());
    pause(1_000).await;
    traffic.stop().await;
    running.check();
    let log = running.site.vms[vm].log();
    assert!(log.contains("event=pause_found"), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_reader_opens_nothing_in_the_zone() {
    assert_paused(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_follower_opens_nothing_in_the_zone() {
    assert_paused(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn service_with_evacuated_targets_only_is_reset_immediately() {
    let mut running = RunningSite::start(&[1, 1], 1).await;
    // Afterwards the view is settled: a missing target is certain.
    pause(3_000).await;
    let mut flow = open_in_zone(&running).await;
    for zone in [0, 1] {
        running.site.evacuate(zone).expect("a revision");
    }
    wait_evacuated(&running, &[0, 1], true, Instant::now()).await;
    pause(700).await;
    for vm in [0, 1] {
        let address = running.site.vms[vm].datagrams();
        let start = Instant::now();
        let opened = running.site.callers[0].open(running.orders, Some(address));
        let error = opened.await.expect_err("no flow");
        assert_eq!(error, FlowError::SystemReset);
        assert!(
            start.elapsed() < Duration::from_millis(190),
            "no retransmission"
        );
    }
    assert_alive(&mut flow, "f-evacuated").await;
    assert!(running.site.readmit(1));
    running.wait_served(0).await;
    running.check();
}

/// Opens flows through the first VM, four at a time, until `is_met`; the openings of one round end
/// within 1.4 s.
async fn open_until(running: &RunningSite, is_met: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    let vm = running.site.vms[0].datagrams();
    while !is_met() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "{}",
            running.site.vms[0].log()
        );
        let open = || running.site.callers[0].open(running.orders, Some(vm));
        let _ = tokio::join!(open(), open(), open(), open());
    }
    start.elapsed()
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_zone_that_is_cut_off_serves_until_the_store_answers_again() {
    let mut running = RunningSite::start(&[1, 1], 2).await;
    running.site.evacuate(EVACUATED).expect("a revision");
    wait_evacuated(&running, &[0, 1], true, Instant::now()).await;
    assert_empty(&running, &[0]).await;
    // For the VM of the evacuated zone, the other zone and the store are gone. The entries stay.
    for target in running.targets.split_off(2) {
        let key = format!("servers/{}", target.plan().id);
        let item = running.site.store.lock().get(&key).cloned();
        target.crash().await;
        let entry = item.expect("an entry").value;
        running.site.store.put_bytes(&key, entry, None);
    }
    running.site.vms[1].kill().await;
    running.site.vms[0].store_server.set_fault(Fault::Silent);
    let before = openings(&running, EVACUATED);
    let time = open_until(&running, || openings(&running, EVACUATED) > before + 10).await;
    println!("isolated_ms={}", time.as_millis());
    let vm = &running.site.vms[0];
    vm.store_server.set_fault(Fault::None);
    let start = Instant::now();
    while !vm.log().contains("event=isolation_ended") {
        assert!(start.elapsed() < WAIT_TIMEOUT, "{}", vm.log());
        pause(20).await;
    }
    // Nothing new is opened in the zone, although nothing else answers.
    let before = openings(&running, EVACUATED);
    open_until(&running, || start.elapsed() > Duration::from_secs(4)).await;
    assert_eq!(openings(&running, EVACUATED), before);
    running.site.vms[1].start().expect("the VM starts");
    running.check();
}
