//! Large values of another writer in the store, which no VM has a use for.

use std::time::{Duration, Instant};

use bambooseam_tests::site::{CONFIG_BOUND, RunningSite, WAIT_TIMEOUT, pause};

/// Memory of the smallest machines, in KiB.
const MEMORY_KIB: u64 = 60 << 10;

/// Size of the pages of the store in bytes.
const PAGE_BYTES: usize = 1_000_000;

/// Writes `count` values of `size` bytes that can't be read.
fn write_values(running: &RunningSite, count: usize, size: usize) {
    let noise = noise(size);
    for number in 0..count {
        write_value(running, number, noise.clone());
    }
}

fn write_value(running: &RunningSite, number: usize, value: Vec<u8>) {
    let key = format!("servers/x-{number:04x}");
    let written = running.site.store.put_bytes(&key, value, None);
    assert!(written.is_some(), "{key} is not written");
}

/// Bytes that can't be compressed.
fn noise(size: usize) -> Vec<u8> {
    (0..size).map(|_| rand::random()).collect()
}

/// Asserts that no VM has exceeded the memory of its machine.
fn assert_memory(running: &RunningSite) {
    for vm in &running.site.vms {
        let peak = vm.peak_memory().expect("the peak memory of a running VM");
        println!("vm={} peak_kib={peak}", vm.id);
        assert!(peak < MEMORY_KIB, "VM {} used {peak} KiB", vm.id);
    }
}

/// Asserts that changes after such values are in force in time.
async fn assert_changes_arrive(count: usize, size: usize) {
    let mut running = RunningSite::start(&[2, 1], 1).await;
    pause(2_000).await;
    write_values(&running, count, size);
    pause(1_000).await;
    let time = running.time_change(&[0, 1, 2]).await;
    println!("in_force_ms={}", time.as_millis());
    assert!(time < CONFIG_BOUND, "a change took {time:?}");
    assert_memory(&running);
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_after_large_values_are_in_force_in_time() {
    assert_changes_arrive(8, 1_000_000).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_after_many_smaller_values_are_in_force_in_time() {
    assert_changes_arrive(300, 50_000).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_that_starts_beside_large_values_exhausts_no_memory() {
    let mut running = RunningSite::start(&[2, 2, 2], 1).await;
    running.site.store.limit_pages(PAGE_BYTES);
    pause(2_000).await;
    let noise = noise(1_000_000);
    for number in 0..16 {
        write_value(&running, number, noise.clone());
        // The VMs take each value with a call of its own.
        pause(400).await;
    }
    for vm in [3, 4, 5] {
        running.site.vms[vm].kill().await;
        running.site.vms[vm].start().expect("a VM process");
        let started = Instant::now();
        while !running.serves(vm, running.orders).await {
            assert!(started.elapsed() < WAIT_TIMEOUT, "VM {vm} serves no flow");
        }
        println!("vm={vm} served_ms={}", started.elapsed().as_millis());
        assert!(started.elapsed() < Duration::from_secs(3));
        assert_memory(&running);
    }
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn all_vms_start_beside_large_values() {
    let mut running = RunningSite::prepare(&[2, 1], 1).await;
    running.site.store.limit_pages(PAGE_BYTES);
    write_values(&running, 16, 1_000_000);
    running.site.start_all().expect("VM processes start");
    assert!(running.site.wait_ready(3, WAIT_TIMEOUT).await, "not ready");
    let time = running.time_change(&[0, 1, 2]).await;
    assert!(time < CONFIG_BOUND, "a change took {time:?}");
    assert_memory(&running);
    running.check();
}
