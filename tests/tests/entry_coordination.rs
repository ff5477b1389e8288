//! VMs as processes that coordinate the load of their zone.

use std::ops::Range;
use std::time::Instant;

use bambooseam_standin::http;
use bambooseam_standin::site::Counters;
use bambooseam_tests::site::{RunningSite, WAIT_TIMEOUT, pause};

/// Share of requests, in percent, that may fail while all VMs run.
const LOSS_PERCENT: u64 = 2;

/// Value of a metric of a VM; 0 if the VM does not report it.
async fn metric(running: &RunningSite, vm: usize, name: &str) -> u64 {
    let Ok(reply) = http::get(running.site.vms[vm].admin(), "/metrics").await else {
        return 0;
    };
    let mut lines = reply.text.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.trim().parse::<f64>().ok());
    value.unwrap_or_default() as u64
}

/// Number of questions of all VMs with an outcome.
async fn questions(running: &RunningSite, outcome: &str) -> u64 {
    let name = format!("coordination_questions{{outcome=\"{outcome}\"}}");
    let mut sum = 0;
    for vm in 0..running.site.vms.len() {
        sum += metric(running, vm, &name).await;
    }
    sum
}

/// Number of openings that the VMs `vms` have placed for others.
async fn placed(running: &RunningSite, vms: Range<usize>) -> u64 {
    let mut sum = 0;
    for vm in vms {
        sum += metric(running, vm, "coordination_answers{outcome=\"placed\"}").await;
    }
    sum
}

/// Waits until `count` more answers have been applied than `before`.
async fn wait_applied(running: &RunningSite, before: u64, count: u64) {
    let start_time = Instant::now();
    while questions(running, "applied").await < before + count {
        assert!(
            start_time.elapsed() < WAIT_TIMEOUT,
            "fewer than {count} answers were applied within {WAIT_TIMEOUT:?}"
        );
        pause(50).await;
    }
}

fn assert_served(running: &RunningSite, loss_percent: u64) {
    let (served, failed) = running.counts();
    assert!(
        failed * 100 <= (served + failed) * loss_percent,
        "{served} requests were served and {failed} failed, at most {loss_percent} % may fail"
    );
}

/// Asserts that no opening packet reached two targets.
fn assert_opened_once(running: &RunningSite) {
    let split = Counters::value(&running.site.counters.split_openings);
    assert_eq!(split, 0, "opening packets reached two targets");
}

#[tokio::test(flavor = "multi_thread")]
async fn vms_of_a_loaded_zone_ask_one_coordinator() {
    // Two targets with two slots each, and about five requests in progress.
    let mut running = RunningSite::start(&[4], 2).await;
    let traffic = running.traffic(0, 24);
    // VMs that do not know each other yet may ask different ones. On a busy machine a coordinator
    // may be excluded at times.
    let start_time = Instant::now();
    loop {
        let others = placed(&running, 1..4).await;
        let before = placed(&running, 0..1).await;
        while placed(&running, 0..1).await < before + 50 && start_time.elapsed() < WAIT_TIMEOUT {
            pause(50).await;
        }
        if placed(&running, 1..4).await == others {
            break;
        }
        assert!(
            start_time.elapsed() < WAIT_TIMEOUT,
            "the VMs do not all ask VM 0 within {WAIT_TIMEOUT:?}"
        );
    }
    traffic.stop().await;
    running.check();
    assert_opened_once(&running);
    assert_served(&running, LOSS_PERCENT);
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_with_three_vms_and_low_load_ask_nobody() {
    // Two callers are at most 17 % of the twelve slots of each zone.
    let mut running = RunningSite::start(&[3, 4], 6).await;
    let traffic = running.traffic(1, 1);
    pause(2_000).await;
    traffic.stop().await;
    running.check();
    for vm in 0..3 {
        let sent = metric(&running, vm, "coordination_bytes_sent").await;
        assert_eq!(sent, 0, "VM {vm} of three has sent {sent} bytes");
    }
    assert_eq!(questions(&running, "applied").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_coordinator_is_replaced() {
    let mut running = RunningSite::start(&[4], 2).await;
    let traffic = running.traffic(0, 24);
    wait_applied(&running, 0, 50).await;
    running.site.vms[0].kill().await;
    let before = questions(&running, "applied").await;
    wait_applied(&running, before, 50).await;
    assert!(
        placed(&running, 1..4).await > 0,
        "another VM coordinates instead"
    );
    running.site.vms[0].start().expect("the VM starts");
    assert!(running.site.wait_ready(4, WAIT_TIMEOUT).await);
    traffic.stop().await;
    running.check();
    assert_opened_once(&running);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_coordinator_is_replaced_and_answers_nothing_old() {
    let mut running = RunningSite::start(&[4], 2).await;
    let traffic = running.traffic(0, 24);
    wait_applied(&running, 0, 50).await;
    running.site.vms[0].signal("STOP").await.expect("a signal");
    let before = questions(&running, "applied").await;
    wait_applied(&running, before, 50).await;
    running.site.vms[0].signal("CONT").await.expect("a signal");
    let before = questions(&running, "applied").await;
    wait_applied(&running, before, 50).await;
    assert_eq!(questions(&running, "dropped").await, 0);
    traffic.stop().await;
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_asking_vm_sends_no_old_opening() {
    let mut running = RunningSite::start(&[4], 2).await;
    let traffic = running.traffic(0, 24);
    wait_applied(&running, 0, 50).await;
    for _ in 0..5 {
        running.site.vms[2].signal("STOP").await.expect("a signal");
        pause(300).await;
        running.site.vms[2].signal("CONT").await.expect("a signal");
        pause(200).await;
    }
    traffic.stop().await;
    running.check();
    assert_opened_once(&running);
}

#[tokio::test(flavor = "multi_thread")]
async fn vms_killed_at_once_ask_again_after_restart() {
    let mut running = RunningSite::start(&[4], 2).await;
    let traffic = running.traffic(0, 24);
    wait_applied(&running, 0, 50).await;
    for vm in &mut running.site.vms {
        vm.kill().await;
    }
    running.site.start_all().expect("the VMs start");
    wait_applied(&running, 0, 50).await;
    traffic.stop().await;
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn full_zones_learn_the_load_of_each_other() {
    let mut running = RunningSite::start(&[4, 4], 2).await;
    let traffic = running.traffic(0, 24);
    let start_time = Instant::now();
    // The coordinators are the first VM of each zone.
    for (vm, other) in [(0, "zone-b"), (4, "zone-a")] {
        loop {
            let reply = http::get(running.site.vms[vm].admin(), "/status").await;
            let text = reply.map(|reply| reply.text).unwrap_or_default();
            if text.contains(&format!("\"remote_zones\":[\"{other}\"]")) {
                break;
            }
            assert!(
                start_time.elapsed() < WAIT_TIMEOUT,
                "VM {vm} does not learn the load of {other} within {WAIT_TIMEOUT:?}: {text}"
            );
            pause(20).await;
        }
    }
    traffic.stop().await;
    running.check();
    assert_opened_once(&running);
    assert_served(&running, LOSS_PERCENT);
}
