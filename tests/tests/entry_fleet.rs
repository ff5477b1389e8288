//! Fleets of real VM processes: restart of all, and changes while the VM that reads the store falls.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bambooseam_tests::site::{CONFIG_BOUND, RunningSite, WAIT_TIMEOUT, pause};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time in which a change is in force everywhere although the VM that reads the store falls.
const READER_BOUND: Duration = Duration::from_millis(1_500);

/// Time in which all VMs are ready after all were killed.
const RESTART_BOUND: Duration = Duration::from_secs(1);

/// Zones and VMs of the restarted fleet.
const FLEET: [u8; 3] = [8, 8, 8];

/// Number of further entries, so that a full list has the size of the large deployment's.
const ENTRIES: u32 = 600;

/// Bytes that the store's link carries in a second. A full list has about 200 KB, so all VMs would
/// read for 2.4 s if each read everything.
const STORE_LINK: u64 = 2_000_000;

/// Fall of the VM that reads the store.
#[derive(Debug, Clone, Copy)]
enum Fall {
    Killed,
    Suspended,
    StoreSilent,
}

/// Asserts that a change is in force on the other VMs in time although VM 0 falls as it is made.
async fn assert_change_arrives(fall: Fall) {
    use bambooseam_standin::site::Fault;

    let mut running = RunningSite::start(&[2, 2, 2], 2).await;
    // Followers have found the VM with the lowest address.
    pause(2_000).await;
    match fall {
        Fall::Killed => running.site.vms[0].kill().await,
        Fall::Suspended => running.site.vms[0].signal("STOP").await.expect("a signal"),
        Fall::StoreSilent => running.site.vms[0].store_server.set_fault(Fault::Silent),
    }
    let time = running.time_change(&[1, 2, 3, 4, 5]).await;
    println!("fall={fall:?} in_force_ms={}", time.as_millis());
    if let Fall::Suspended = fall {
        running.site.vms[0].signal("CONT").await.expect("a signal");
    }
    assert!(time <= READER_BOUND, "{fall:?}: the change took {time:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_in_force_soon_after_the_reader_is_killed() {
    assert_change_arrives(Fall::Killed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_in_force_soon_after_the_reader_is_suspended() {
    assert_change_arrives(Fall::Suspended).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_in_force_soon_after_the_store_is_silent_towards_the_reader() {
    assert_change_arrives(Fall::StoreSilent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn list_that_has_grown_is_read_whole_after_the_history_was_compacted() {
    let mut running = RunningSite::prepare(&[1], 2).await;
    // No VM is at this address, so that the VM reads the store.
    let seed = "127.0.0.1:9".parse().expect("a valid address");
    running
        .site
        .set_seeds(&[seed])
        .expect("settings are written");
    running.site.start_all().expect("the VM starts");
    assert!(running.site.wait_ready(1, WAIT_TIMEOUT).await);
    // More than a page of the stand-in store.
    put_entries(&running, 40);
    running.site.store.compact();
    let time = running.time_change(&[0]).await;
    assert!(time < CONFIG_BOUND, "the change took {time:?}");
    running.check();
}

/// Publishes entries of targets that take no flows.
fn put_entries(running: &RunningSite, count: u32) {
    for number in 0..count {
        let entry = json!({
            "service": "reserve", "address": format!("10.9.{}.{}:8080", number / 250, number % 250),
            "zone": "zone-1", "config_version": "v1", "capacity": 2, "state": "ready",
            "warmup_left_ms": 0, "sequence": 4, "born": 1_790_000_000_123_u64 + u64::from(number),
        });
        let key = format!("servers/i-{:08x}", number.wrapping_mul(2_654_435_761));
        running.site.store.put(&key, &entry, None);
    }
}

/// Whether a VM answers a readiness probe with success.
async fn is_ready(address: SocketAddr) -> bool {
    let probe = async {
        let mut stream = TcpStream::connect(address).await?;
        let request = "GET /api/readiness HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await?;
        let mut status = [0; 12];
        stream.read_exact(&mut status).await?;
        Ok::<_, std::io::Error>(status.ends_with(b"200"))
    };
    probe.await.unwrap_or(false)
}

#[tokio::test(flavor = "multi_thread")]
async fn fleet_killed_at_once_is_ready_within_a_second_beside_a_store_with_a_narrow_link() {
    let mut running = RunningSite::start(&FLEET, 2).await;
    put_entries(&running, ENTRIES);
    // The followers have received the entries.
    pause(2_000).await;
    for vm in &mut running.site.vms {
        vm.kill().await;
    }
    running.site.store.limit_link(STORE_LINK);
    running.site.start_all().expect("the VMs start");
    let begun = Instant::now();
    for vm in &running.site.vms {
        while !is_ready(vm.ready()).await {
            assert!(begun.elapsed() < WAIT_TIMEOUT, "VM {} is not ready", vm.id);
            pause(5).await;
        }
    }
    let time = begun.elapsed();
    println!("ready_ms={}", time.as_millis());
    assert!(time <= RESTART_BOUND, "all VMs are ready after {time:?}");
    running.check();
}
