//! Requests of callers through real proxies to simulated targets.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bambooseam_config::{EvacuatedZone, VmState};
use bambooseam_measure::requests::caller::{
    CallResult, CallerConnection, call_once, request, with_header,
};
use bambooseam_measure::requests::fleet::{Fleet, FleetPlan};
use bambooseam_measure::requests::target::Mode;
use bambooseam_standin::deployment::{DOWNLOADS_PORT, ORDERS_PORT};
use bambooseam_view::View;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// A small fleet with one VM in each of three zones.
const PLAN: FleetPlan = FleetPlan {
    vms: 3,
    orders: 3,
    downloads: 3,
    workers: 1,
};

/// Number of slots of each target.
const SLOTS: u32 = 2;

/// Timeout of each step, sufficient for a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

async fn fleet() -> Fleet {
    Fleet::start(PLAN, str::to_owned).await
}

async fn call(fleet: &Fleet, vm: usize, method: &str, path: &str, id: &str) -> CallResult {
    let address = fleet.proxies[vm].address(ORDERS_PORT);
    let call = call_once(address, request(method, path, id));
    timeout(STEP_TIMEOUT, call)
        .await
        .expect("a response in time")
}

/// Sends `bytes` to a proxy and returns everything received until the connection closes.
async fn send_raw(fleet: &Fleet, bytes: &[u8]) -> String {
    let address = fleet.proxies[0].address(ORDERS_PORT);
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let mut text = Vec::new();
    // The proxy may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let read = timeout(STEP_TIMEOUT, stream.read_to_end(&mut text)).await;
    let _ = read.expect("the connection closes in time");
    String::from_utf8_lossy(&text).into_owned()
}

#[tokio::test]
async fn both_versions_reach_the_service_of_the_port() {
    let fleet = fleet().await;
    for (port, kind) in [(ORDERS_PORT, "bay"), (DOWNLOADS_PORT, "file")] {
        let address = fleet.proxies[0].address(port);
        let response = call_once(address, request("GET", "/a", "one")).await;
        assert_eq!(response.status(), Some(200), "{response:?}");
        assert!(
            response.text().contains(&format!("target={kind}-")),
            "{response:?}"
        );
        let connection = CallerConnection::http2(address).await;
        let mut connection = connection.expect("a connection");
        let get = request("GET", "http://service/a?bytes=100000", "two");
        let response = connection.call(get).await;
        assert!(response.is_served(), "{response:?}");
        assert!(response.text().starts_with("id=two"), "{response:?}");
    }
}

#[tokio::test]
async fn deadline_and_trace_are_forwarded() {
    let fleet = fleet().await;
    let address = fleet.proxies[0].address(ORDERS_PORT);
    let get = with_header(request("GET", "/a", "one"), "request-timeout-ms", "5000");
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let response = call_once(address, with_header(get, "traceparent", trace)).await;
    let text = response.text();
    let remaining: u64 = text
        .split_whitespace()
        .find_map(|pair| pair.strip_prefix("timeout=")?.parse().ok())
        .expect("a timeout");
    assert!(remaining <= 5_000, "{text}");
    let kept = "trace=00-0af7651916cd43dd8448eb211c80319c-";
    assert!(text.contains(kept), "{text}");
    assert!(!text.contains("b7ad6b7169203331"), "{text}");
}

#[tokio::test]
async fn malformed_headers_are_refused_and_not_run() {
    let fleet = fleet().await;
    let headers = [
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n",
        "GET http://a/ HTTP/1.1\r\nhost: b\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length : 5\r\n\r\nhello",
        "GET / HTTP/1.1\r\nhost: a\r\nx: b\r\n folded\r\n\r\n",
        "CONNECT a:80 HTTP/1.1\r\nhost: a:80\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\nrequest-attempt: many\r\n\r\n",
    ];
    for header in headers {
        let closing = header.replacen("\r\n", "\r\nconnection: close\r\n", 1);
        let text = send_raw(&fleet, closing.as_bytes()).await;
        assert!(
            text.starts_with("HTTP/1.1 400"),
            "{header:?} was answered with {text:?}"
        );
    }
    assert_eq!(fleet.log.total(), 0);
}

#[tokio::test]
async fn large_headers_and_slow_senders_are_refused() {
    let fleet = fleet().await;
    let large = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "x".repeat(200_000)
    );
    let text = send_raw(&fleet, large.as_bytes()).await;
    assert!(
        text.is_empty() || text.starts_with("HTTP/1.1 431"),
        "{text:?}"
    );
    let start_time = Instant::now();
    for start in ["", "P", "GET / HTTP/1.1\r\nhost:"] {
        send_raw(&fleet, start.as_bytes()).await;
    }
    assert!(start_time.elapsed() < STEP_TIMEOUT);
    assert!(call(&fleet, 0, "GET", "/a", "after").await.is_served());
}

#[tokio::test]
async fn slots_are_exact_over_all_proxies() {
    let fleet = fleet().await;
    let mut calls = JoinSet::new();
    for n in 0..90 {
        let address = fleet.proxies[n % 3].address(ORDERS_PORT);
        calls.spawn(async move {
            call_once(address, request("GET", "/a?ms=10", &format!("r{n}"))).await
        });
    }
    for response in calls.join_all().await {
        assert!(response.is_served(), "{response:?}");
    }
    for target in &fleet.targets[..PLAN.orders] {
        assert!(target.peak_running.load(Ordering::Relaxed) <= SLOTS);
    }
}

#[tokio::test]
async fn refusals_are_immediate_and_contain_a_retry_time() {
    let edit = |text: &str| text.replace("queue-limit = 2000ms", "queue-limit = 300ms");
    let fleet = Fleet::start(PLAN, edit).await;
    for n in 0..12 {
        let response = call(&fleet, n % 3, "POST", "/a?ms=200", &format!("first-{n}")).await;
        assert!(response.is_served(), "{response:?}");
    }
    let mut calls = JoinSet::new();
    for n in 0..90 {
        let address = fleet.proxies[n % 3].address(ORDERS_PORT);
        calls.spawn(async move {
            let id = format!("r{n}");
            let response = call_once(address, request("POST", "/a?ms=200", &id)).await;
            (id, response)
        });
    }
    let mut refused = 0;
    for (id, response) in calls.join_all().await {
        if response.is_served() {
            continue;
        }
        refused += 1;
        assert_eq!(response.status(), Some(503), "{response:?}");
        assert!(response.is_not_run(), "{response:?}");
        let after: u64 = response
            .header("retry-after")
            .and_then(|text| text.parse().ok())
            .expect("a retry-after header");
        assert!(after >= 1);
        assert_eq!(fleet.log.runs(&id), 0);
    }
    assert!(refused > 0);
}

#[tokio::test]
async fn caller_that_disconnects_frees_its_slot_at_the_owner() {
    let plan = FleetPlan {
        vms: 2,
        orders: 1,
        ..PLAN
    };
    let fleet = Fleet::start(plan, str::to_owned).await;
    // The first proxy owns the slots, and the second proxy requests slots from the first.
    for vm in [0, 1] {
        for n in 0..4 {
            let id = format!("left-{vm}-{n}");
            let cancelled = call(&fleet, vm, "POST", "/a?ms=60000", &id);
            let _ = timeout(Duration::from_millis(100), cancelled).await;
        }
        let response = call(&fleet, vm, "GET", "/a", &format!("after-{vm}")).await;
        assert!(response.is_served(), "{response:?}");
    }
}

#[tokio::test]
async fn reset_at_every_byte_never_doubles_or_looks_whole() {
    let plan = FleetPlan {
        vms: 1,
        orders: 1,
        ..PLAN
    };
    let fleet = Fleet::start(plan, str::to_owned).await;
    let target = &fleet.targets[0];
    let modes = (1..420).flat_map(|bytes| {
        let cut = |read, write| Mode::Reset { read, write };
        [cut(bytes, usize::MAX), cut(usize::MAX, bytes)]
    });
    for (n, mode) in modes.enumerate() {
        target.set_mode(mode);
        for method in ["POST", "GET"] {
            let id = format!("{method}-{n}");
            let response = call(&fleet, 0, method, "/a", &id).await;
            let runs = fleet.log.runs(&id);
            assert!(method == "GET" || runs <= 1, "{mode:?} ran {runs} times");
            assert!(!response.is_not_run() || runs == 0, "{mode:?} {response:?}");
            if response.is_served() {
                assert!(
                    response.text().starts_with(&format!("id={id} ")),
                    "{response:?}"
                );
                assert!(response.text().ends_with('\n'), "{response:?}");
            }
        }
    }
}

#[tokio::test]
async fn resend_runs_only_when_its_owner_vouches() {
    let mut fleet = fleet().await;
    let keyed = |attempt: u32, id: &str, key: &str| {
        let call = with_header(request("POST", "/a", id), "idempotency-key", key);
        with_header(call, "request-attempt", &attempt.to_string())
    };
    let address = |fleet: &Fleet, vm: usize| fleet.proxies[vm].address(ORDERS_PORT);
    let set_all = |fleet: &Fleet, mode| fleet.targets.iter().for_each(|t| t.set_mode(mode));

    // A request that was refused as not run is executed when sent again through another VM.
    set_all(&fleet, Mode::Shed);
    let response = call_once(address(&fleet, 0), keyed(1, "a1", "a")).await;
    assert!(response.is_not_run(), "{response:?}");
    set_all(&fleet, Mode::Serve);
    sleep(Duration::from_secs(1)).await;
    let response = call_once(address(&fleet, 1), keyed(2, "a2", "a")).await;
    assert!(response.is_served(), "{response:?}");

    // A request that has been executed is not executed when sent again.
    let response = call_once(address(&fleet, 2), keyed(3, "a3", "a")).await;
    assert_eq!(
        response.header("bambooseam-outcome"),
        Some("unknown"),
        "{response:?}"
    );
    assert_eq!(fleet.log.runs("a3"), 0);

    // An owner that did not receive the first attempt cannot confirm that the attempt was not run.
    set_all(&fleet, Mode::Shed);
    for n in 0..12 {
        let response = call_once(
            address(&fleet, 0),
            keyed(1, &format!("b{n}"), &format!("b{n}")),
        )
        .await;
        assert!(response.is_not_run(), "{response:?}");
    }
    set_all(&fleet, Mode::Serve);
    fleet.announce(1, VmState::Leaving);
    sleep(Duration::from_secs(1)).await;
    let mut unconfirmed = 0;
    for n in 0..12 {
        let id = format!("c{n}");
        let response = call_once(address(&fleet, 0), keyed(2, &id, &format!("b{n}"))).await;
        if !response.is_served() {
            unconfirmed += 1;
            assert_eq!(
                response.header("bambooseam-outcome"),
                Some("unknown"),
                "{response:?}"
            );
            assert_eq!(fleet.log.runs(&id), 0);
        }
    }
    // The leaving VM owned a third of the keys.
    assert!(
        (1..12).contains(&unconfirmed),
        "{unconfirmed} of 12 requests were not confirmed, 1 to 11 expected"
    );
}

#[tokio::test]
async fn frozen_and_dead_owners_are_passed_over() {
    let mut fleet = fleet().await;
    let slot_address = fleet.deployment.vms.0[1].proxy;
    fleet.proxies[1].kill();
    // The kernel accepts connections, but no program answers.
    let unresponsive = loop {
        match TcpListener::bind(slot_address).await {
            Ok(listener) => break listener,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    };
    for n in 0..20 {
        let mut calls = JoinSet::new();
        for m in 0..6 {
            let address = fleet.proxies[2 * (m % 2)].address(ORDERS_PORT);
            let id = format!("r{n}-{m}");
            calls.spawn(async move { call_once(address, request("POST", "/a?ms=5", &id)).await });
        }
        for response in calls.join_all().await {
            assert!(response.is_served(), "{response:?}");
        }
    }
    drop(unresponsive);
    assert!(call(&fleet, 0, "POST", "/a", "last").await.is_served());
}

#[tokio::test]
async fn half_dead_target_is_left_out() {
    let fleet = fleet().await;
    fleet.targets[0].set_mode(Mode::Hang);
    let mut failed = 0;
    for n in 0..60 {
        let address = fleet.proxies[n % 3].address(ORDERS_PORT);
        let get = request("GET", "/a", &format!("r{n}"));
        let response = call_once(address, with_header(get, "request-timeout-ms", "150")).await;
        failed += u64::from(!response.is_served());
    }
    // Only a few requests are sent to the target before it is excluded.
    assert!(
        failed <= 12,
        "{failed} of 60 requests failed, at most 12 allowed"
    );
}

#[tokio::test]
async fn silent_pooled_connection_is_not_blamed_on_the_target() {
    let plan = FleetPlan {
        vms: 1,
        orders: 1,
        ..PLAN
    };
    let fleet = Fleet::start(plan, str::to_owned).await;
    for n in 0..30 {
        // Served requests fill the retry budget, which pays for the retry below.
        let response = call(&fleet, 0, "GET", "/a", &format!("r{n}")).await;
        assert!(response.is_served(), "{response:?}");
    }
    fleet.targets[0].stall_connections();
    let response = call(&fleet, 0, "GET", "/a", "over-old").await;
    assert!(response.is_served(), "{response:?}");
    // A request that must not run twice never uses a connection that was idle for a long time.
    sleep(Duration::from_millis(300)).await;
    fleet.targets[0].stall_connections();
    let response = call(&fleet, 0, "POST", "/a", "order").await;
    assert!(response.is_served(), "{response:?}");
}

#[tokio::test]
async fn leaving_target_gets_no_new_work() {
    let mut fleet = fleet().await;
    let id = fleet.deployment.targets.targets[0].id.clone();
    fleet.deployment.targets.targets[0].state = bambooseam_config::TargetState::Leaving;
    fleet.publish();
    sleep(Duration::from_millis(500)).await;
    for n in 0..30 {
        let response = call(&fleet, n % 3, "GET", "/a", &format!("r{n}")).await;
        assert!(response.is_served(), "{response:?}");
        assert!(!response.text().contains(id.as_str()), "{response:?}");
    }
}

#[tokio::test]
async fn evacuated_zone_gets_no_new_work_until_it_returns() {
    let mut fleet = fleet().await;
    let zone = fleet.deployment.targets.targets[0].zone.clone();
    let ids: Vec<String> = fleet
        .deployment
        .targets
        .targets
        .iter()
        .filter(|target| target.zone == zone)
        .map(|target| target.id.to_string())
        .collect();
    fleet.deployment.targets.evacuated = vec![EvacuatedZone {
        zone,
        since: std::time::SystemTime::UNIX_EPOCH.into(),
        by: None,
    }];
    fleet.publish();
    sleep(Duration::from_millis(500)).await;
    let is_in_zone =
        |response: &CallResult| ids.iter().any(|id| response.text().contains(id.as_str()));
    for n in 0..30 {
        let response = call(&fleet, n % 3, "GET", "/a", &format!("r{n}")).await;
        assert!(response.is_served(), "{response:?}");
        assert!(!is_in_zone(&response), "{response:?}");
    }
    fleet.deployment.targets.evacuated.clear();
    fleet.publish();
    sleep(Duration::from_millis(500)).await;
    let mut is_used = false;
    for n in 30..90 {
        let response = call(&fleet, n % 3, "GET", "/a", &format!("r{n}")).await;
        is_used |= is_in_zone(&response);
    }
    assert!(is_used, "the zone gets no work after its return");
}

#[tokio::test]
async fn planned_stop_cuts_no_request_in_progress() {
    let mut fleet = Fleet::start_with_slots(PLAN, 400, str::to_owned).await;
    let address = fleet.proxies[0].address(ORDERS_PORT);
    let mut calls = JoinSet::new();
    for n in 0..1_050 {
        let path = if n % 50 == 0 {
            "/a?bytes=400000&pause=60"
        } else {
            "/a?ms=1500"
        };
        calls.spawn(
            async move { call_once(address, request("POST", path, &format!("r{n}"))).await },
        );
    }
    while fleet.log.total() < 1_050 {
        sleep(Duration::from_millis(10)).await;
    }
    fleet.proxies[0].stop();
    for response in calls.join_all().await {
        assert!(response.is_served(), "{response:?}");
    }
    timeout(STEP_TIMEOUT, fleet.proxies[0].ended())
        .await
        .expect("the proxy stops in time");
    assert_eq!(
        call(&fleet, 0, "GET", "/a", "after").await,
        CallResult::ConnectFailed
    );
    assert!(call(&fleet, 1, "GET", "/a", "other").await.is_served());
}

#[tokio::test]
async fn two_owners_break_nothing() {
    let fleet = fleet().await;
    // Each VM suspects all other VMs and therefore owns all slots.
    for (vm, proxy) in fleet.proxies.iter().enumerate() {
        let mut source = fleet.deployment.source(2);
        let others = fleet.deployment.vms.0.iter().enumerate();
        source.suspects = others
            .filter(|(index, _)| *index != vm)
            .map(|(_, entry)| entry.id.clone())
            .collect();
        let view = View::build(&source).expect("valid documents");
        proxy.views.send_replace(Some(Arc::new(view)));
    }
    sleep(Duration::from_millis(300)).await;
    let mut served = 0;
    for round in 0..10 {
        let mut calls = JoinSet::new();
        for n in 0..30 {
            let address = fleet.proxies[n % 3].address(ORDERS_PORT);
            let id = format!("r{round}-{n}");
            calls.spawn(async move {
                let response = call_once(address, request("POST", "/a?ms=5", &id)).await;
                (id, response)
            });
        }
        for (id, response) in calls.join_all().await {
            let runs = fleet.log.runs(&id);
            assert!(
                response.is_served() && runs == 1 || response.is_not_run() && runs == 0,
                "{response:?}"
            );
            served += u32::from(response.is_served());
        }
    }
    println!("served={served}");
    assert!(
        served >= 150,
        "{served} of 300 requests were served, at least 150 required"
    );
    for target in &fleet.targets {
        assert!(target.peak_running.load(Ordering::Relaxed) <= SLOTS);
    }
    let full_view = fleet.view();
    for proxy in &fleet.proxies {
        proxy.views.send_replace(Some(Arc::clone(&full_view)));
    }
    sleep(Duration::from_millis(300)).await;
    for n in 0..9 {
        let response = call(&fleet, n % 3, "POST", "/a", &format!("after-{n}")).await;
        assert!(response.is_served(), "{response:?}");
    }
}

#[tokio::test]
async fn feed_passes_both_ways_and_holds_no_slot() {
    let plan = FleetPlan {
        vms: 1,
        orders: 1,
        ..PLAN
    };
    let fleet = Fleet::start(plan, str::to_owned).await;
    fleet.targets[0].kill().await;
    let address = fleet.deployment.targets.targets[0].requests;
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    };
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut header = vec![0; 4_096];
                let _ = stream.read(&mut header).await;
                let response = "HTTP/1.1 101 Switching Protocols\r\n\
                              connection: upgrade\r\nupgrade: feed\r\n\r\n";
                let _ = stream.write_all(response.as_bytes()).await;
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    // The test opens more feeds than the target has slots.
    let mut feeds = Vec::new();
    for _ in 0..3 * SLOTS {
        let address = fleet.proxies[0].address(ORDERS_PORT);
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let header =
            "GET /feed HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: feed\r\n\r\n";
        stream
            .write_all(header.as_bytes())
            .await
            .expect("header sent");
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            let byte = timeout(STEP_TIMEOUT, stream.read_u8()).await;
            text.push(byte.expect("a response in time").expect("a response"));
        }
        assert!(
            text.starts_with(b"HTTP/1.1 101"),
            "{}",
            String::from_utf8_lossy(&text)
        );
        feeds.push(stream);
    }
    for feed in &mut feeds {
        feed.write_all(b"weight=41").await.expect("frame sent");
        let mut echo = [0; 9];
        let read = timeout(STEP_TIMEOUT, feed.read_exact(&mut echo)).await;
        read.expect("an echo in time").expect("an echo");
        assert_eq!(&echo, b"weight=41");
    }
}
