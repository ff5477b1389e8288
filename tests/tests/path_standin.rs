//! The stand-ins that prove the path behave as docs/DESIGN.md says of the real things.

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

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

async fn platform() -> Platform {
    Platform::start(ANY).await.expect("a free port")
}

/// First target of the orders, on ports from the system.
async fn target() -> Target {
    let plan = Plan::of(DeploymentKind::Cascade).with_targets(1, 0);
    let mut spec: TargetSpec = plan.build().target_specs(&plan).remove(0);
    spec.entry.requests = ANY;
    spec.entry.flows = ANY;
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
    let reply = reply.expect("an answer");
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.text, deployment.pointer.to_text());
    let reply = get(platform.address(), "/v1/kv/bambooseam/nothing?raw").await;
    assert_eq!(reply.expect("an answer").status, StatusCode::NOT_FOUND);
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
    let reply = watch.await.expect("no panic").expect("an answer");
    assert_eq!(reply.text, "new");
    let path = format!("/v1/kv/a?raw&index={}&wait=10ms", index + 1);
    let reply = get(address, &path).await.expect("an answer");
    assert_eq!(
        reply.text, "new",
        "a watch without news gives what is there"
    );
}

#[tokio::test]
async fn compare_and_set_takes_one_of_two() {
    let platform = platform().await;
    let index = platform.put("a", "first");
    let path = format!("/v1/kv/a?cas={index}");
    for (text, taken) in [("second", "true"), ("third", "false")] {
        let reply = put(platform.address(), &path, text.into()).await;
        assert_eq!(reply.expect("an answer").text, taken);
    }
    assert_eq!(platform.get("a").expect("a value").text, "second");
}

#[tokio::test]
async fn modes_hide_what_they_should() {
    let platform = platform().await;
    let read = || get(platform.address(), "/v1/kv/a?raw");
    platform.put("a", "old");
    platform.set_mode(Mode::Stale);
    platform.put("a", "new");
    assert_eq!(read().await.expect("an answer").text, "old");
    platform.set_mode(Mode::Down);
    assert!(read().await.is_err());
    platform.set_mode(Mode::Refusing);
    let status = read().await.expect("an answer").status;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
    platform.set_mode(Mode::Ok);
    assert_eq!(read().await.expect("an answer").text, "new");
    platform.set_lag("a", Duration::from_secs(3600));
    platform.put("a", "newest");
    let reply = read().await.expect("an answer");
    assert_eq!(
        reply.status,
        StatusCode::NOT_FOUND,
        "no value is an hour old"
    );
}

#[tokio::test]
async fn reads_beyond_the_rate_are_refused() {
    let platform = Platform::start_limited(ANY, 3).await.expect("a free port");
    platform.put("a", "x");
    let start = Instant::now();
    let mut admitted = 0;
    for _ in 0..20 {
        let reply = get(platform.address(), "/v1/kv/a?raw").await;
        admitted += u64::from(reply.expect("an answer").status == StatusCode::OK);
    }
    let most = 3 + 3 * (start.elapsed().as_secs() + 1);
    assert!(
        (3..=most).contains(&admitted),
        "{admitted} of at most {most}"
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
    let of = |outcome| calls.iter().filter(|call| call.outcome == outcome).count();
    let (whole, shed) = (of(Outcome::Complete), of(Outcome::Error));
    assert!(whole > 0 && shed > 0);
    assert_eq!(whole + shed, calls.len(), "{calls:?}");
    let work = target.work_stats();
    assert_eq!((work.peak, work.finished), (2, whole as u64));
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
        reply.expect("an answer").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
}

#[tokio::test]
async fn caller_that_leaves_frees_the_slot() {
    let target = target().await;
    let mut slow = load(&target, 1);
    slow.long_share = 1.0;
    let callers = Callers::start(slow);
    while target.work_stats().busy == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let path = "/full/x";
    let left = tokio::time::timeout(
        Duration::from_millis(50),
        get(target.entry().requests, path),
    );
    assert!(left.await.is_err());
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
async fn target_drops_a_foreign_service() {
    let target = target().await;
    // The fabric's own packets bear no service, so that a target must drop them.
    let fabric = Fabric::open(ANY, vec![target.entry().flows], 1).await;
    let fabric = Arc::new(fabric.expect("a free port"));
    let service = "127.1.0.1:7000".parse().expect("an address");
    let feed = Feed::open(fabric, ANY, service, Duration::from_millis(5)).await;
    let feed = feed.expect("a free port");
    while target.flow_stats().unexpected_vni < 3 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(feed.report().answered, 0);
    assert_eq!(target.flow_stats().packets, 0);
}
