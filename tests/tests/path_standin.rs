//! Behaviour of the simulated components (platform, targets, callers and fabric) that the
//! end-to-end tests rely on: the components must behave as the real ones do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_standin::caller::{Callers, Load, Outcome};
use bambooseam_standin::http::{get, put};
use bambooseam_standin::target::RunOutcome;
use bambooseam_standin::{
    Deployment, DeploymentKind, Fabric, Feed, Mode, Plan, Platform, Target, TargetMode, TargetSpec,
};
use hyper::StatusCode;
use tokio::time::Instant;

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

async fn platform() -> Platform {
    Platform::start(ANY_PORT).await.expect("a free port")
}

/// Starts a target of the orders service on ports that the system chooses.
async fn target() -> Target {
    let plan = Plan::of(DeploymentKind::Cascade).with_targets(1, 0);
    let mut spec: TargetSpec = plan.build().target_specs(&plan).remove(0);
    spec.entry.requests = ANY_PORT;
    spec.entry.flows = ANY_PORT;
    Target::start(spec).await.expect("free ports")
}

fn load(target: &Target, callers: usize) -> Load {
    Load {
        name: "call".into(),
        vms: vec![target.entry().requests],
        callers,
        pause: Duration::ZERO,
        long_share: 0.0,
        order_share: 0.5,
        seed: 1,
    }
}

#[tokio::test]
async fn platform_serves_a_deployment() {
    let platform = platform().await;
    let deployment = Deployment::of(DeploymentKind::Cascade);
    platform.publish(Plan::PREFIX, &deployment);
    let reply = get(platform.address(), "/v1/kv/bambooseam/preset-in-force?raw").await;
    let reply = reply.expect("a response");
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.text, deployment.pointer.to_text());
    let reply = get(platform.address(), "/v1/kv/bambooseam/nothing?raw").await;
    assert_eq!(reply.expect("a response").status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn watch_waits_for_a_change() {
    let platform = platform().await;
    let index = platform.put("a", "old");
    let path = format!("/v1/kv/a?raw&index={index}&wait=60s");
    let address = platform.address();
    let watch = tokio::spawn(async move { get(address, &path).await });
    while platform.stats().watches == 0 {
        tokio::task::yield_now().await;
    }
    platform.put("a", "new");
    let reply = watch.await.expect("no panic").expect("a response");
    assert_eq!(reply.text, "new");
    let path = format!("/v1/kv/a?raw&index={}&wait=10ms", index + 1);
    let reply = get(address, &path).await.expect("a response");
    assert_eq!(
        reply.text, "new",
        "a watch without a change returns the current value"
    );
}

#[tokio::test]
async fn compare_and_set_accepts_one_of_two() {
    let platform = platform().await;
    let index = platform.put("a", "first");
    let path = format!("/v1/kv/a?cas={index}");
    for (text, expected) in [("second", "true"), ("third", "false")] {
        let reply = put(platform.address(), &path, text.into()).await;
        assert_eq!(reply.expect("a response").text, expected);
    }
    assert_eq!(platform.get("a").expect("a value").text, "second");
}

#[tokio::test]
async fn modes_change_the_visible_values() {
    let platform = platform().await;
    let read = || get(platform.address(), "/v1/kv/a?raw");
    platform.put("a", "old");
    platform.set_mode(Mode::Stale);
    platform.put("a", "new");
    assert_eq!(read().await.expect("a response").text, "old");
    platform.set_mode(Mode::Down);
    assert!(read().await.is_err());
    platform.set_mode(Mode::Refusing);
    let status = read().await.expect("a response").status;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
    platform.set_mode(Mode::Ok);
    assert_eq!(read().await.expect("a response").text, "new");
    platform.set_lag("a", Duration::from_secs(3600));
    platform.put("a", "newest");
    let reply = read().await.expect("a response");
    assert_eq!(
        reply.status,
        StatusCode::NOT_FOUND,
        "with a lag of one hour, no value is visible yet"
    );
}

#[tokio::test]
async fn reads_beyond_the_rate_are_refused() {
    let platform = Platform::start_limited(ANY_PORT, 3)
        .await
        .expect("a free port");
    platform.put("a", "x");
    let start = Instant::now();
    let mut admitted = 0;
    for _ in 0..20 {
        let reply = get(platform.address(), "/v1/kv/a?raw").await;
        admitted += u64::from(reply.expect("a response").status == StatusCode::OK);
    }
    let limit = 3 + 3 * (start.elapsed().as_secs() + 1);
    assert!(
        (3..=limit).contains(&admitted),
        "{admitted} reads were admitted, at most {limit} are allowed"
    );
    let stats = platform.stats();
    assert_eq!((stats.reads, stats.refused), (20, 20 - admitted));
}

#[tokio::test]
async fn target_sheds_beyond_its_slots_and_logs_runs() {
    let target = target().await;
    let callers = Callers::start(load(&target, 6));
    tokio::time::sleep(Duration::from_millis(300)).await;
    callers.finish().await;
    let calls = callers.take_calls();
    let count_of = |outcome| calls.iter().filter(|call| call.outcome == outcome).count();
    let (complete, shed) = (count_of(Outcome::Complete), count_of(Outcome::Error));
    assert!(complete > 0 && shed > 0);
    assert_eq!(complete + shed, calls.len(), "{calls:?}");
    let work = target.work_stats();
    assert_eq!((work.peak, work.finished), (2, complete as u64));
    let runs = target.runs();
    for call in calls
        .iter()
        .filter(|call| call.outcome == Outcome::Complete)
    {
        let run = runs
            .iter()
            .find(|run| run.request == call.id)
            .expect("a run");
        assert_eq!(run.outcome, RunOutcome::Finished);
    }
    target.set_mode(TargetMode::Drain);
    let reply = get(target.entry().requests, "/work/x").await;
    assert_eq!(
        reply.expect("a response").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
}

#[tokio::test]
async fn caller_that_disconnects_frees_its_slot() {
    let target = target().await;
    let mut long_work = load(&target, 1);
    long_work.long_share = 1.0;
    let callers = Callers::start(long_work);
    while target.work_stats().busy == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let path = "/full/x";
    let cancelled = tokio::time::timeout(
        Duration::from_millis(50),
        get(target.entry().requests, path),
    );
    assert!(cancelled.await.is_err());
    callers.finish().await;
    while target.work_stats().busy > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(
        target.work_stats().cancelled <= 1,
        "{}",
        target.work_stats()
    );
    assert_eq!(
        callers.take_calls().len(),
        target.work_stats().finished as usize
    );
}

#[tokio::test]
async fn target_drops_packets_of_another_service() {
    let target = target().await;
    // Packets directly from the fabric carry no service, so a target must drop them.
    let fabric = Fabric::open(ANY_PORT, vec![target.entry().flows], 1).await;
    let fabric = Arc::new(fabric.expect("a free port"));
    let service = "127.1.0.1:7000".parse().expect("an address");
    let feed = Feed::open(fabric, ANY_PORT, service, Duration::from_millis(5)).await;
    let feed = feed.expect("a free port");
    while target.flow_stats().unexpected_vni < 3 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(feed.report().answered, 0);
    assert_eq!(target.flow_stats().packets, 0);
}
