//! The entry program with a limit on openings at cold targets: the settings and the configuration
//! reach the decision.

use std::time::{Duration, Instant};

use bambooseam_tests::site::{RunningSite, WAIT_TIMEOUT};
use serde_json::json;

/// Guards against margins or rates that are parsed but not passed on.
#[tokio::test(flavor = "multi_thread")]
async fn share_of_a_cold_target_is_logged_by_the_program() {
    let mut running = RunningSite::prepare(&[1], 2).await;
    running.site.set_cold_limit(1.5, 5.0).expect("settings");
    let frontend = running.orders;
    let config = json!({
        "config_version": 1_000,
        "routes": [{"host": frontend.ip(), "prefix": format!("/{}/", frontend.port()),
                    "timeout_ms": 1_500, "service": "orders"}],
        "services": [{"name": "orders", "warmup_s": 60.0, "warmup_per_s": 20.0}],
    });
    running.site.store.put("op/config", &config, None);
    let entry = json!({
        "service": "orders", "address": "127.0.0.9:9", "zone": "zone-a", "config_version": "v1",
        "capacity": 2, "state": "ready", "warmup_left_ms": 60_000, "sequence": 1, "born": 1,
    });
    running.site.store.put("servers/i-0000c01d", &entry, None);
    running.site.start_all().expect("a VM process");
    assert!(running.site.wait_ready(1, WAIT_TIMEOUT).await);
    let vm = &running.site.vms[0];
    // Before any response, no flow may open there.
    wait_for(|| {
        vm.log()
            .contains("target=i-0000c01d service=orders share_ppm=0 limit=35 slots=6")
    })
    .await;
    let traffic = running.traffic(2, 2);
    wait_for(|| {
        let log = vm.log();
        let mut lines = log.lines().filter(|line| line.contains("event=cold_share"));
        lines.any(|line| !line.contains("share_ppm=0 ") && !line.contains("response_us=0 "))
    })
    .await;
    traffic.stop().await;
    running.check();
}

async fn wait_for(is_met: impl Fn() -> bool) {
    let begun = Instant::now();
    while !is_met() {
        assert!(begun.elapsed() < WAIT_TIMEOUT, "not logged in time");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
