//! Runs the entry program as processes on loopback, against a simulated platform.

use std::time::{Duration, Instant};

use bambooseam_standin::http;
use bambooseam_standin::site::{Counters, FlowError};
use bambooseam_tests::site::{CONFIG_BOUND, RunningSite, WAIT_TIMEOUT, pause};
use hyper::StatusCode;

/// Share of requests, in percent, that may fail under low load. The program fails none, but on a
/// busy test machine the callers themselves may be late.
const LOW_LOAD_LOSS_PERCENT: u64 = 2;

fn assert_served(running: &RunningSite, min_served: u64, loss_percent: u64) {
    let (served, failed) = running.counts();
    assert!(
        served >= min_served,
        "{served} requests were served and {failed} failed, at least {min_served} served required"
    );
    assert!(
        failed * 100 <= (served + failed) * loss_percent,
        "{served} requests were served and {failed} failed, at most {loss_percent} % may fail"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn low_load_is_served() {
    let mut running = RunningSite::start(&[2, 1], 3).await;
    let traffic = running.traffic(6, 3);
    pause(3_000).await;
    traffic.stop().await;
    running.check();
    assert_served(&running, 200, LOW_LOAD_LOSS_PERCENT);
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_vms_stopped_in_turn() {
    let mut running = RunningSite::start(&[2, 1], 3).await;
    let traffic = running.traffic(6, 3);
    pause(500).await;
    for vm in 0..3 {
        let start_time = Instant::now();
        running.site.vms[vm].signal("TERM").await.expect("a signal");
        let status = running.site.vms[vm].wait(Duration::from_secs(6)).await;
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        assert!(
            start_time.elapsed() >= Duration::from_secs(1),
            "the VM stopped while the routers still sent packets"
        );
        running.site.vms[vm].start().expect("the VM starts");
        assert!(running.site.wait_ready(3, WAIT_TIMEOUT).await);
    }
    traffic.stop().await;
    running.check();
    assert_served(&running, 400, LOW_LOAD_LOSS_PERCENT);
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_a_killed_vm() {
    let mut running = RunningSite::start(&[2], 4).await;
    let traffic = running.traffic(8, 2);
    pause(500).await;
    running.site.vms[0].kill().await;
    pause(2_500).await;
    running.site.vms[0].start().expect("the VM starts");
    assert!(running.site.wait_ready(2, WAIT_TIMEOUT).await);
    pause(1_000).await;
    traffic.stop().await;
    running.check();
    assert_served(&running, 150, 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn vms_killed_at_once_serve_again_after_restart() {
    let mut running = RunningSite::start(&[2, 1], 3).await;
    let traffic = running.traffic(4, 2);
    pause(500).await;
    for vm in &mut running.site.vms {
        vm.kill().await;
    }
    running.site.start_all().expect("the VMs start");
    let start_time = Instant::now();
    let (before, _) = running.counts();
    while running.counts().0 == before {
        assert!(
            start_time.elapsed() < WAIT_TIMEOUT,
            "no request is served within {WAIT_TIMEOUT:?}"
        );
        pause(10).await;
    }
    pause(1_000).await;
    traffic.stop().await;
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_in_force_everywhere_within_its_bound() {
    let mut running = RunningSite::start(&[2, 1], 2).await;
    let time = running.time_change(&[0, 1, 2]).await;
    assert!(
        time < CONFIG_BOUND,
        "the change took {time:?}, less than {CONFIG_BOUND:?} allowed"
    );
    let removed = running.orders;
    running.site.remove_route(removed);
    let start_time = Instant::now();
    for vm in 0..3 {
        while running.serves(vm, removed).await {
            assert!(
                start_time.elapsed() < CONFIG_BOUND,
                "VM {vm} still serves the removed route"
            );
        }
    }
    running.check();
}

mod store_faults {
    use bambooseam_standin::site::Fault;

    use super::*;

    /// Asserts that a change reaches every VM within its bound while the store fails for VM 0.
    async fn assert_change_arrives(fault: Fault) {
        let mut running = RunningSite::start(&[2, 1], 2).await;
        running.site.vms[0].store_server.set_fault(fault);
        pause(100).await;
        let time = running.time_change(&[0, 1, 2]).await;
        assert!(
            time < CONFIG_BOUND,
            "{fault:?}: the change took {time:?}, less than {CONFIG_BOUND:?} allowed"
        );
        running.site.vms[0].store_server.set_fault(Fault::None);
        running.check();
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn unresponsive_store_is_replaced_by_peers() {
        assert_change_arrives(Fault::Silent).await;
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn store_that_refuses_a_vm_is_replaced_by_peers() {
        assert_change_arrives(Fault::Refused(503)).await;
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn rate_limit_is_replaced_by_peers() {
        assert_change_arrives(Fault::Refused(429)).await;
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn reset_connections_are_replaced_by_peers() {
        assert_change_arrives(Fault::Reset).await;
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn slow_responses_are_awaited() {
        assert_change_arrives(Fault::Slow(Duration::from_millis(240))).await;
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn lost_responses_are_requested_again() {
        assert_change_arrives(Fault::Lossy(2)).await;
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn unresponsive_connection_is_replaced() {
        let mut running = RunningSite::start(&[1], 2).await;
        running.site.vms[0].store_server.stall_connections();
        let time = running.time_change(&[0]).await;
        assert!(
            time < CONFIG_BOUND,
            "the change took {time:?}, less than {CONFIG_BOUND:?} allowed"
        );
        running.check();
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn store_is_listed_again_after_its_history_was_compacted() {
        let mut running = RunningSite::start(&[1, 1], 2).await;
        for vm in &running.site.vms {
            vm.store_server.set_fault(Fault::Silent);
        }
        let added = running
            .site
            .add_target("orders", 0, 9)
            .await
            .expect("a target");
        running.site.store.compact();
        for vm in &running.site.vms {
            vm.store_server.set_fault(Fault::None);
        }
        let time = running.time_change(&[0, 1]).await;
        assert!(
            time < CONFIG_BOUND,
            "the change took {time:?}, less than {CONFIG_BOUND:?} allowed"
        );
        let id = added.plan().id.clone();
        pause(500).await;
        assert!(
            running.site.vms.iter().all(|vm| vm.log().contains(&id)),
            "a VM did not receive the added target"
        );
        running.check();
    }

    /// Returns the store to a copy while its VMs cannot reach it.
    async fn restore(running: &mut RunningSite, age: Duration) {
        for vm in &running.site.vms {
            vm.store_server.set_fault(Fault::Silent);
        }
        running.site.store.set_unavailable(true);
        pause(300).await;
        running.site.restore_store(age);
        for vm in &running.site.vms {
            vm.store_server.set_fault(Fault::None);
        }
        // The operator writes the configuration again after some time.
        pause(200).await;
        running.site.write_config();
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn store_that_returns_from_a_copy_undoes_no_change() {
        let mut running = RunningSite::start(&[1, 1], 3).await;
        let traffic = running.traffic(4, 2);
        pause(2_500).await;
        let added = running.site.add_route("orders");
        running.targets[0].drain();
        let left = running.targets.remove(1);
        left.drain();
        pause(700).await;
        left.leave().await;
        for vm in [0, 1] {
            assert!(running.serves(vm, added).await, "VM {vm}");
        }
        // The copies lack the route and both announcements; the second one comes soon after.
        for _ in 0..2 {
            restore(&mut running, Duration::from_millis(2_000)).await;
            for _ in 0..10 {
                pause(150).await;
                for vm in [0, 1] {
                    assert!(running.serves(vm, added).await, "VM {vm}");
                }
            }
        }
        let time = running.time_change(&[0, 1]).await;
        assert!(
            time < CONFIG_BOUND,
            "the change took {time:?}, less than {CONFIG_BOUND:?} allowed"
        );
        pause(2_500).await;
        traffic.stop().await;
        running.check();
        assert_served(&running, 200, LOW_LOAD_LOSS_PERCENT);
        for vm in &running.site.vms {
            assert!(vm.log().contains("event=store_era_changed"), "{}", vm.log());
        }
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn vm_that_cannot_reach_the_store_learns_of_its_return_from_peers() {
        let mut running = RunningSite::start(&[1, 1], 2).await;
        pause(2_500).await;
        running.site.add_route("orders");
        pause(1_000).await;
        restore(&mut running, Duration::from_millis(2_000)).await;
        running.site.vms[0].store_server.set_fault(Fault::Silent);
        let time = running.time_change(&[0, 1]).await;
        assert!(
            time < CONFIG_BOUND,
            "the change took {time:?}, less than {CONFIG_BOUND:?} allowed"
        );
        running.check();
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn vm_that_starts_after_a_restore_reads_the_copy_and_what_peers_know() {
        let mut running = RunningSite::start(&[2, 1], 2).await;
        pause(2_500).await;
        let added = running.site.add_route("orders");
        pause(1_000).await;
        running.site.vms[0].kill().await;
        // The operator does not write the configuration again.
        running.site.store.restore(Duration::from_millis(2_000));
        pause(500).await;
        running.site.vms[0].start().expect("the VM starts");
        running.wait_served(0).await;
        pause(1_500).await;
        for vm in [0, 1, 2] {
            assert!(running.serves(vm, added).await, "VM {vm}");
        }
        running.check();
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn vm_that_starts_without_the_store_gets_its_copy_from_peers() {
        let mut running = RunningSite::start(&[2, 1], 2).await;
        running.site.vms[0].kill().await;
        for vm in &running.site.vms {
            vm.store_server.set_fault(Fault::Silent);
        }
        pause(1_200).await;
        running.site.vms[0].start().expect("the VM starts");
        running.wait_served(0).await;
        running.check();
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn entries_that_lapse_with_the_store_away_break_no_flow() {
        let mut running = RunningSite::start(&[1, 1], 4).await;
        let traffic = running.traffic(6, 2);
        pause(500).await;
        for vm in &running.site.vms {
            vm.store_server.set_fault(Fault::Silent);
        }
        running.site.store.set_unavailable(true);
        pause(2_500).await;
        running.site.store.set_unavailable(false);
        for vm in &running.site.vms {
            vm.store_server.set_fault(Fault::None);
        }
        pause(3_500).await;
        traffic.stop().await;
        running.check();
        assert_served(&running, 200, LOW_LOAD_LOSS_PERCENT);
    }

    #[tokio::test(flavor = "multi_thread")]
    async fn entries_that_lapse_while_vms_read_the_store_break_no_flow() {
        let mut running = RunningSite::start(&[1, 1], 4).await;
        let traffic = running.traffic(6, 2);
        pause(500).await;
        running.site.store.set_unavailable(true);
        pause(5_000).await;
        running.site.store.set_unavailable(false);
        pause(3_500).await;
        traffic.stop().await;
        running.check();
        assert_served(&running, 200, LOW_LOAD_LOSS_PERCENT);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_are_found_through_stale_and_late_seeds() {
    use bambooseam_standin::site::Fault;
    let mut running = RunningSite::prepare(&[2, 1], 2).await;
    // One seed at which no VM listens, and the seed that VMs 1 and 2 need.
    let unreachable = "127.0.0.9:9".parse().expect("an address");
    let seed = running.site.vms[0].control();
    running
        .site
        .set_seeds(&[unreachable, seed])
        .expect("settings");
    running.site.vms[2].store_server.set_fault(Fault::Silent);
    running.site.start_all().expect("the VMs start");
    assert!(running.site.wait_ready(3, WAIT_TIMEOUT).await);
    // A VM without a reachable seed is called by the peers that know the VM.
    running.site.vms[1].kill().await;
    running.site.vms[1]
        .store_server
        .set_fault(Fault::Refused(503));
    running.site.set_seeds(&[unreachable]).expect("settings");
    running.site.vms[1].start().expect("the VM starts");
    running.wait_served(1).await;
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn later_seeds_are_loaded_on_sighup() {
    use bambooseam_standin::site::Fault;
    let mut running = RunningSite::prepare(&[1, 1], 2).await;
    let unreachable = "127.0.0.9:9".parse().expect("an address");
    let seed = running.site.vms[0].control();
    running.site.set_seeds(&[unreachable]).expect("settings");
    running.site.vms[1]
        .store_server
        .set_fault(Fault::Refused(503));
    running.site.start_all().expect("the VMs start");
    assert!(running.site.wait_ready(1, WAIT_TIMEOUT).await);
    pause(1_000).await;
    assert!(!running.serves(1, running.orders).await);
    running.site.set_seeds(&[seed]).expect("settings");
    running.site.vms[1].signal("HUP").await.expect("a signal");
    assert!(running.site.wait_ready(2, WAIT_TIMEOUT).await);
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_are_loaded_without_a_signal_and_invalid_ones_are_refused() {
    let mut running = RunningSite::start(&[1], 2).await;
    let vm = &running.site.vms[0];
    vm.write_raw_settings("[vm]\nid = none of this fits\n")
        .expect("settings");
    let start_time = Instant::now();
    // Each signal is answered before the next step: a signal that is handled after the settings
    // have changed again would load them, and the check of the file would find nothing new.
    for answers in 1..=2 {
        running.site.vms[0].signal("HUP").await.expect("a signal");
        while running.site.vms[0].log().matches("cause=SIGHUP").count() < answers {
            assert!(
                start_time.elapsed() < WAIT_TIMEOUT,
                "{}",
                running.site.vms[0].log()
            );
            pause(20).await;
        }
    }
    assert!(
        running.site.vms[0].log().contains("event=settings_refused"),
        "{}",
        running.site.vms[0].log()
    );
    let seed = "127.0.0.9:9".parse().expect("an address");
    running.site.set_seeds(&[seed]).expect("settings");
    while !running.site.vms[0]
        .log()
        .contains("event=settings_reloaded cause=file")
    {
        assert!(
            start_time.elapsed() < WAIT_TIMEOUT,
            "{}",
            running.site.vms[0].log()
        );
        pause(20).await;
    }
    assert!(running.serves(0, running.orders).await);
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_target_gets_no_late_flow() {
    let mut running = RunningSite::start(&[1, 1], 3).await;
    let traffic = running.traffic(6, 3);
    pause(500).await;
    running.targets[0].drain();
    running.targets[4].drain();
    pause(4_000).await;
    for at in [4, 0] {
        running.targets.remove(at).leave().await;
    }
    pause(1_000).await;
    traffic.stop().await;
    running.check();
    assert_served(&running, 300, LOW_LOAD_LOSS_PERCENT);
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_of_a_target_that_falls_silent_are_reset_while_the_target_is_listed() {
    let mut running = RunningSite::start(&[1], 4).await;
    // A single caller's flow may be silent although its target is running.
    let second = running.site.add_caller(0, 1).await.expect("a caller");
    let callers = [std::sync::Arc::clone(&running.site.callers[0]), second];
    let silent = running.targets.remove(0);
    let timeout = Duration::from_secs(8);
    let (mut stalled, mut others) = ([None, None], Vec::new());
    for number in 0.. {
        if stalled.iter().all(Option::is_some) && others.len() >= 3 {
            break;
        }
        let caller = number % callers.len();
        let opened = callers[caller].open(running.orders, None).await;
        let mut flow = opened.expect("a flow");
        let id = format!("first-{number}");
        flow.request(&id, Duration::ZERO, 10, timeout)
            .await
            .expect("a response");
        match flow.target() == Some(silent.name().as_str()) {
            true => stalled[caller] = Some(flow),
            false => others.push(flow),
        }
    }
    let key = format!("servers/{}", silent.plan().id);
    let item = running.site.store.lock().get(&key).cloned();
    silent.crash().await;
    // Without a lifetime the entry stays.
    let entry = item.expect("the entry").value;
    running.site.store.put_bytes(&key, entry, None);
    // The other flows show that the VM reaches the other targets.
    let feed = tokio::spawn(async move {
        for number in 0.. {
            for (at, flow) in others.iter_mut().enumerate() {
                let id = format!("feed-{at}-{number}");
                let response = flow.request(&id, Duration::ZERO, 10, timeout).await;
                response.expect("a response");
            }
            pause(50).await;
        }
    });
    let [mut first, mut second] = stalled.map(|flow| flow.expect("a flow of the silent target"));
    let errors = tokio::join!(
        first.request("last-0", Duration::ZERO, 10, timeout),
        second.request("last-1", Duration::ZERO, 10, timeout)
    );
    feed.abort();
    let vm = &running.site.vms[0];
    let reset = Err(FlowError::SystemReset);
    assert_eq!(errors, (reset, reset), "{}", vm.log());
    // The program writes its log asynchronously.
    let deadline = Instant::now() + Duration::from_secs(5);
    while !vm.log().contains("cause=target_stalled") {
        assert!(Instant::now() < deadline, "{}", vm.log());
        pause(50).await;
    }
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn address_used_again_by_another_service_gets_none_of_its_flows() {
    let mut running = RunningSite::start(&[1, 1], 3).await;
    running.site.add_route("charts");
    let traffic = running.traffic(6, 3);
    pause(500).await;
    running.targets.remove(0).crash().await;
    pause(800).await;
    let reused = running.site.add_target("charts", 0, 1).await;
    running.targets.push(reused.expect("a target"));
    pause(3_000).await;
    traffic.stop().await;
    running.check();
    assert_served(&running, 200, 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_entries_and_unrelated_keys_are_ignored() {
    let mut running = RunningSite::start(&[1], 2).await;
    let traffic = running.traffic(4, 2);
    let store = running.site.store.clone();
    for (key, bytes) in [
        ("servers/i-dead", &b"\xff\xfe"[..]),
        ("servers/", b"{}"),
        (
            "servers/i-beef",
            b"{\"service\":\"orders\",\"state\":\"ready\"}",
        ),
        ("servers/a b?&", b"[]"),
        ("op/other", b"none of ours"),
        ("else/where", b""),
    ] {
        store
            .put_bytes(key, bytes.into(), None)
            .expect("the store is available");
    }
    let time = running.time_change(&[0]).await;
    assert!(
        time < CONFIG_BOUND,
        "the change took {time:?}, less than {CONFIG_BOUND:?} allowed"
    );
    // The restarted VM reads the store in pages, whose last key may be an invalid key.
    store.compact();
    running.site.vms[0].kill().await;
    running.site.vms[0].start().expect("the VM starts");
    assert!(running.site.wait_ready(1, WAIT_TIMEOUT).await);
    pause(500).await;
    traffic.stop().await;
    running.check();
    assert!(
        running.site.vms[0]
            .log()
            .contains("event=documents_unreadable")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_vm_catches_up_when_it_resumes() {
    let mut running = RunningSite::start(&[1, 1], 3).await;
    let traffic = running.traffic(4, 2);
    running.site.vms[0].signal("STOP").await.expect("a signal");
    running.targets.remove(0).leave().await;
    let frontend = running.site.add_route("orders");
    pause(3_000).await;
    running.site.vms[0].signal("CONT").await.expect("a signal");
    let start_time = Instant::now();
    while !running.serves(0, frontend).await {
        assert!(
            start_time.elapsed() < CONFIG_BOUND,
            "the change is not in force within {CONFIG_BOUND:?}"
        );
    }
    pause(500).await;
    traffic.stop().await;
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn open_flow_continues_before_the_configuration_is_read() {
    use bambooseam_standin::site::Fault;
    let mut running = RunningSite::start(&[1], 1).await;
    let opened = running.site.callers[0].open(running.orders, None).await;
    let mut flow = opened.expect("a flow");
    let work = Duration::from_millis(1);
    let response = flow.request("f1", work, 100, WAIT_TIMEOUT).await;
    response.expect("a response");
    let vm = &mut running.site.vms[0];
    vm.kill().await;
    // The targets arrive after 0.5 s, and the configuration after another 0.5 s.
    vm.store_server
        .set_fault(Fault::Slow(Duration::from_millis(500)));
    vm.start().expect("the VM starts");
    let response = flow.request("f2", work, 100, WAIT_TIMEOUT).await;
    response.expect("a response");
    let reply = http::get(running.site.vms[0].ready(), "/api/readiness").await;
    let status = reply.expect("a response").status;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    flow.close().await;
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn packet_received_before_the_view_is_served_once_the_view_is_read() {
    use bambooseam_standin::site::{Fault, Flags, Packet};
    let mut running = RunningSite::prepare(&[1], 1).await;
    running.site.vms[0]
        .store_server
        .set_fault(Fault::Slow(Duration::from_millis(300)));
    running.site.start_all().expect("the VMs start");
    let vm = running.site.vms[0].datagrams();
    let caller = running.site.caller_socket().await.expect("a socket");
    let start_time = Instant::now();
    while !running.site.vms[0].log().contains("event=entry_started") {
        assert!(start_time.elapsed() < WAIT_TIMEOUT);
        pause(5).await;
    }
    // The program binds its address shortly after it has written the first log line.
    pause(50).await;
    let std::net::SocketAddr::V4(caller_address) = caller.local_addr().expect("an address") else {
        panic!("the caller socket is not bound to an IPv4 address");
    };
    let opening = Packet::new(caller_address, running.orders, Flags::SYN);
    caller
        .send_to(&opening.encode(), vm)
        .await
        .expect("a packet");
    let mut buffer = [0; 2_048];
    let reply = tokio::time::timeout(WAIT_TIMEOUT, caller.recv(&mut buffer)).await;
    let len = reply
        .expect("no reply: the only opening packet was dropped")
        .expect("a packet");
    let reply = Packet::parse(&buffer[..len]).expect("a packet");
    assert!(reply.flags.contains(Flags::SYN.union(Flags::ACK)));
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn openings_that_cannot_be_served_are_refused_at_once() {
    let mut running = RunningSite::start(&[1], 1).await;
    let without_target = running.site.add_route("charts");
    pause(1_000).await;
    let unrouted = "198.18.7.7:7".parse().expect("an address");
    for (frontend, millis) in [(unrouted, 0), (unrouted, 2_000), (without_target, 0)] {
        // Entries that lapsed before the start of a VM may be published again until 2.5 s after the
        // start, so the VM refuses flows to a service without targets only after that time.
        pause(millis).await;
        let start_time = Instant::now();
        let opened = running.site.callers[0].open(frontend, None).await;
        assert_eq!(opened.map(drop), Err(FlowError::SystemReset));
        assert!(
            start_time.elapsed() < Duration::from_millis(200),
            "the refusal took {:?}, less than 200 ms allowed",
            start_time.elapsed()
        );
    }
    assert_eq!(Counters::value(&running.site.counters.refused), 3);
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_log_blocks_no_packet() {
    let mut running = RunningSite::prepare(&[1], 4).await;
    running.site.vms[0]
        .start_with_unread_output()
        .expect("a program");
    assert!(running.site.wait_ready(1, WAIT_TIMEOUT).await);
    // A pipe holds 64 KiB, and each flow of an order is one log line.
    let traffic = running.traffic(0, 40);
    let start_time = Instant::now();
    let dropped = async || {
        let reply = http::get(running.site.vms[0].admin(), "/metrics").await;
        reply
            .expect("a response")
            .text
            .contains("log_lines_dropped")
    };
    while !dropped().await {
        assert!(
            start_time.elapsed() < WAIT_TIMEOUT,
            "no log line was dropped within {WAIT_TIMEOUT:?}"
        );
        pause(100).await;
    }
    let (before, _) = running.counts();
    pause(1_000).await;
    let (after, _) = running.counts();
    assert!(
        after > before,
        "no request is served after log lines were dropped"
    );
    traffic.stop().await;
    running.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_and_readiness_are_served() {
    let running = RunningSite::start(&[1], 1).await;
    let vm = &running.site.vms[0];
    let reply = http::get(vm.ready(), "/api/readiness")
        .await
        .expect("a response");
    assert_eq!(reply.status, StatusCode::OK);
    let reply = http::get(vm.ready(), "/else").await.expect("a response");
    assert_eq!(reply.status, StatusCode::NOT_FOUND);
    let traffic = running.traffic(1, 1);
    // The histogram `view_age_seconds` is recorded twice a second.
    pause(1_000).await;
    traffic.stop().await;
    let reply = http::get(vm.admin(), "/metrics").await.expect("a response");
    for name in [
        "store_calls",
        "store_call_seconds",
        "config_version",
        "view_age_seconds",
        "flows_placed",
        "target_changes",
    ] {
        assert!(reply.text.contains(name), "{}", reply.text);
    }
}
