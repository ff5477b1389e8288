//! Requests through proxies to targets.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bambooseam_config::VmState;
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

/// A small fleet: three zones, a VM in each.
const PLAN: FleetPlan = FleetPlan {
    vms: 3,
    orders: 3,
    downloads: 3,
    workers: 1,
};

/// Slots of each target.
const SLOTS: u32 = 2;

/// Longest time that any step may take on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

async fn fleet() -> Fleet {
    Fleet::start(PLAN, str::to_owned).await
}

async fn call(fleet: &Fleet, vm: usize, method: &str, path: &str, id: &str) -> CallResult {
    let address = fleet.proxies[vm].address(ORDERS_PORT);
    let call = call_once(address, request(method, path, id));
    timeout(PATIENCE, call).await.expect("an answer in time")
}

/// Sends bytes and returns all that comes back until the connection closes.
async fn raw(fleet: &Fleet, bytes: &[u8]) -> String {
    let address = fleet.proxies[0].address(ORDERS_PORT);
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let mut text = Vec::new();
    // The proxy may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let read = timeout(PATIENCE, stream.read_to_end(&mut text)).await;
    let _ = read.expect("the connection closes in time");
    String::from_utf8_lossy(&text).into_owned()
}

#[tokio::test]
async fn both_versions_reach_the_service_of_the_port() {
    let fleet = fleet().await;
    for (port, kind) in [(ORDERS_PORT, "bay"), (DOWNLOADS_PORT, "file")] {
        let address = fleet.proxies[0].address(port);
        let told = call_once(address, request("GET", "/a", "one")).await;
        assert_eq!(told.status(), Some(200), "{told:?}");
        assert!(told.text().contains(&format!("target={kind}-")), "{told:?}");
        let connection = CallerConnection::http2(address).await;
        let mut connection = connection.expect("a connection");
        let get = request("GET", "http://service/a?bytes=100000", "two");
        let told = connection.call(get).await;
        assert!(told.is_served(), "{told:?}");
        assert!(told.text().starts_with("id=two"), "{told:?}");
    }
}

#[tokio::test]
async fn deadline_and_trace_are_passed_on() {
    let fleet = fleet().await;
    let address = fleet.proxies[0].address(ORDERS_PORT);
    let get = with_header(request("GET", "/a", "one"), "request-timeout-ms", "5000");
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let told = call_once(address, with_header(get, "traceparent", trace)).await;
    let text = told.text();
    let left: u64 = text
        .split_whitespace()
        .find_map(|pair| pair.strip_prefix("timeout=")?.parse().ok())
        .expect("a timeout");
    assert!(left <= 5_000, "{text}");
    let kept = "trace=00-0af7651916cd43dd8448eb211c80319c-";
    assert!(text.contains(kept), "{text}");
    assert!(!text.contains("b7ad6b7169203331"), "{text}");
}

#[tokio::test]
async fn malformed_heads_are_refused_and_not_run() {
    let fleet = fleet().await;
    let heads = [
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
    for head in heads {
        let closing = head.replacen("\r\n", "\r\nconnection: close\r\n", 1);
        let text = raw(&fleet, closing.as_bytes()).await;
        assert!(text.starts_with("HTTP/1.1 400"), "{head:?} gave {text:?}");
    }
    assert_eq!(fleet.log.total(), 0);
}

#[tokio::test]
async fn large_heads_and_slow_senders_are_refused() {
    let fleet = fleet().await;
    let large = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "x".repeat(200_000)
    );
    let text = raw(&fleet, large.as_bytes()).await;
    assert!(
        text.is_empty() || text.starts_with("HTTP/1.1 431"),
        "{text:?}"
    );
    let began = Instant::now();
    for start in ["", "P", "GET / HTTP/1.1\r\nhost:"] {
        raw(&fleet, start.as_bytes()).await;
    }
    assert!(began.elapsed() < PATIENCE);
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
    for told in calls.join_all().await {
        assert!(told.is_served(), "{told:?}");
    }
    for target in &fleet.targets[..PLAN.orders] {
        assert!(target.peak_running.load(Ordering::Relaxed) <= SLOTS);
    }
}

#[tokio::test]
async fn refusals_come_at_once_with_time_to_come_back() {
    let edit = |text: &str| text.replace("queue-limit = 2000ms", "queue-limit = 300ms");
    let fleet = Fleet::start(PLAN, edit).await;
    for n in 0..12 {
        let told = call(&fleet, n % 3, "POST", "/a?ms=200", &format!("first-{n}")).await;
        assert!(told.is_served(), "{told:?}");
    }
    let mut calls = JoinSet::new();
    for n in 0..90 {
        let address = fleet.proxies[n % 3].address(ORDERS_PORT);
        calls.spawn(async move {
            let id = format!("r{n}");
            let told = call_once(address, request("POST", "/a?ms=200", &id)).await;
            (id, told)
        });
    }
    let mut refused = 0;
    for (id, told) in calls.join_all().await {
        if told.is_served() {
            continue;
        }
        refused += 1;
        assert_eq!(told.status(), Some(503), "{told:?}");
        assert!(told.is_not_run(), "{told:?}");
        let after: u64 = told
            .header("retry-after")
            .and_then(|text| text.parse().ok())
            .expect("a time to come back");
        assert!(after >= 1);
        assert_eq!(fleet.log.runs(&id), 0);
    }
    assert!(refused > 0);
}

#[tokio::test]
async fn caller_that_leaves_frees_its_slot() {
    let plan = FleetPlan {
        vms: 2,
        orders: 1,
        ..PLAN
    };
    let fleet = Fleet::start(plan, str::to_owned).await;
    // The first proxy owns the slots; the second asks it.
    for vm in [0, 1] {
        for n in 0..4 {
            let id = format!("left-{vm}-{n}");
            let left = call(&fleet, vm, "POST", "/a?ms=60000", &id);
            let _ = timeout(Duration::from_millis(100), left).await;
        }
        let told = call(&fleet, vm, "GET", "/a", &format!("after-{vm}")).await;
        assert!(told.is_served(), "{told:?}");
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
            let told = call(&fleet, 0, method, "/a", &id).await;
            let runs = fleet.log.runs(&id);
            assert!(method == "GET" || runs <= 1, "{mode:?} ran {runs} times");
            assert!(!told.is_not_run() || runs == 0, "{mode:?} {told:?}");
            if told.is_served() {
                assert!(told.text().starts_with(&format!("id={id} ")), "{told:?}");
                assert!(told.text().ends_with('\n'), "{told:?}");
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

    // Refused as not run, then sent again through another VM: it runs.
    set_all(&fleet, Mode::Shed);
    let told = call_once(address(&fleet, 0), keyed(1, "a1", "a")).await;
    assert!(told.is_not_run(), "{told:?}");
    set_all(&fleet, Mode::Serve);
    sleep(Duration::from_secs(1)).await;
    let told = call_once(address(&fleet, 1), keyed(2, "a2", "a")).await;
    assert!(told.is_served(), "{told:?}");

    // Once it ran, no resend runs.
    let told = call_once(address(&fleet, 2), keyed(3, "a3", "a")).await;
    assert_eq!(
        told.header("bambooseam-outcome"),
        Some("unknown"),
        "{told:?}"
    );
    assert_eq!(fleet.log.runs("a3"), 0);

    // An owner that did not see the first attempt does not vouch for the second.
    set_all(&fleet, Mode::Shed);
    for n in 0..12 {
        let told = call_once(
            address(&fleet, 0),
            keyed(1, &format!("b{n}"), &format!("b{n}")),
        )
        .await;
        assert!(told.is_not_run(), "{told:?}");
    }
    set_all(&fleet, Mode::Serve);
    fleet.announce(1, VmState::Leaving);
    sleep(Duration::from_secs(1)).await;
    let mut unvouched = 0;
    for n in 0..12 {
        let id = format!("c{n}");
        let told = call_once(address(&fleet, 0), keyed(2, &id, &format!("b{n}"))).await;
        if !told.is_served() {
            unvouched += 1;
            assert_eq!(
                told.header("bambooseam-outcome"),
                Some("unknown"),
                "{told:?}"
            );
            assert_eq!(fleet.log.runs(&id), 0);
        }
    }
    // A third of the keys had the owner that left.
    assert!((1..12).contains(&unvouched), "{unvouched}");
}

#[tokio::test]
async fn frozen_and_dead_owners_are_passed_over() {
    let mut fleet = fleet().await;
    let desk = fleet.deployment.vms.0[1].proxy;
    fleet.proxies[1].kill();
    // Connections are accepted by the kernel and nobody ever answers.
    let frozen = loop {
        match TcpListener::bind(desk).await {
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
        for told in calls.join_all().await {
            assert!(told.is_served(), "{told:?}");
        }
    }
    drop(frozen);
    assert!(call(&fleet, 0, "POST", "/a", "last").await.is_served());
}

#[tokio::test]
async fn half_dead_target_is_left_out() {
    let fleet = fleet().await;
    fleet.targets[0].set_mode(Mode::Hang);
    let mut late = 0;
    for n in 0..60 {
        let address = fleet.proxies[n % 3].address(ORDERS_PORT);
        let get = request("GET", "/a", &format!("r{n}"));
        let told = call_once(address, with_header(get, "request-timeout-ms", "150")).await;
        late += u64::from(!told.is_served());
    }
    // Only some requests meet the target before it is left out.
    assert!(late <= 12, "{late}");
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
        // Pays for the retry.
        let told = call(&fleet, 0, "GET", "/a", &format!("r{n}")).await;
        assert!(told.is_served(), "{told:?}");
    }
    fleet.targets[0].stall_connections();
    let told = call(&fleet, 0, "GET", "/a", "over-old").await;
    assert!(told.is_served(), "{told:?}");
    // Work that must not run twice never uses a connection that was idle for long.
    sleep(Duration::from_millis(300)).await;
    fleet.targets[0].stall_connections();
    let told = call(&fleet, 0, "POST", "/a", "order").await;
    assert!(told.is_served(), "{told:?}");
}

#[tokio::test]
async fn leaving_target_gets_no_new_work() {
    let mut fleet = fleet().await;
    let id = fleet.deployment.targets.0[0].id.clone();
    fleet.deployment.targets.0[0].state = bambooseam_config::TargetState::Leaving;
    fleet.publish();
    sleep(Duration::from_millis(500)).await;
    for n in 0..30 {
        let told = call(&fleet, n % 3, "GET", "/a", &format!("r{n}")).await;
        assert!(told.is_served(), "{told:?}");
        assert!(!told.text().contains(id.as_str()), "{told:?}");
    }
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
    for told in calls.join_all().await {
        assert!(told.is_served(), "{told:?}");
    }
    timeout(PATIENCE, fleet.proxies[0].ended())
        .await
        .expect("it ends");
    assert_eq!(
        call(&fleet, 0, "GET", "/a", "after").await,
        CallResult::ConnectFailed
    );
    assert!(call(&fleet, 1, "GET", "/a", "other").await.is_served());
}

#[tokio::test]
async fn two_owners_break_nothing() {
    let fleet = fleet().await;
    // Each VM takes the others for dead, so each owns all slots.
    for (vm, proxy) in fleet.proxies.iter().enumerate() {
        let mut source = fleet.deployment.source(2);
        let others = fleet.deployment.vms.0.iter().enumerate();
        source.suspects = others
            .filter(|(index, _)| *index != vm)
            .map(|(_, entry)| entry.id.clone())
            .collect();
        let view = View::build(&source).expect("a checked view");
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
                let told = call_once(address, request("POST", "/a?ms=5", &id)).await;
                (id, told)
            });
        }
        for (id, told) in calls.join_all().await {
            let runs = fleet.log.runs(&id);
            assert!(
                told.is_served() && runs == 1 || told.is_not_run() && runs == 0,
                "{told:?}"
            );
            served += u32::from(told.is_served());
        }
    }
    println!("served={served}");
    assert!(served >= 150, "{served}");
    for target in &fleet.targets {
        assert!(target.peak_running.load(Ordering::Relaxed) <= SLOTS);
    }
    let whole = fleet.view();
    for proxy in &fleet.proxies {
        proxy.views.send_replace(Some(Arc::clone(&whole)));
    }
    sleep(Duration::from_millis(300)).await;
    for n in 0..9 {
        let told = call(&fleet, n % 3, "POST", "/a", &format!("after-{n}")).await;
        assert!(told.is_served(), "{told:?}");
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
    let address = fleet.deployment.targets.0[0].requests;
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    };
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = vec![0; 4_096];
                let _ = stream.read(&mut head).await;
                let answer = "HTTP/1.1 101 Switching Protocols\r\n\
                              connection: upgrade\r\nupgrade: feed\r\n\r\n";
                let _ = stream.write_all(answer.as_bytes()).await;
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    // More feeds than the target has slots.
    let mut feeds = Vec::new();
    for _ in 0..3 * SLOTS {
        let address = fleet.proxies[0].address(ORDERS_PORT);
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let head = "GET /feed HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: feed\r\n\r\n";
        stream
            .write_all(head.as_bytes())
            .await
            .expect("a sent head");
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            let byte = timeout(PATIENCE, stream.read_u8()).await;
            text.push(byte.expect("an answer in time").expect("an answer"));
        }
        assert!(
            text.starts_with(b"HTTP/1.1 101"),
            "{}",
            String::from_utf8_lossy(&text)
        );
        feeds.push(stream);
    }
    for feed in &mut feeds {
        feed.write_all(b"weight=41").await.expect("a sent frame");
        let mut echo = [0; 9];
        let read = timeout(PATIENCE, feed.read_exact(&mut echo)).await;
        read.expect("an echo in time").expect("an echo");
        assert_eq!(&echo, b"weight=41");
    }
}
