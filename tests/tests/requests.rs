//! Requests through proxies to targets.

use bambooseam_measure::requests::caller::{CallerConnection, call_once, request, with_header};
use bambooseam_measure::requests::fleet::{Fleet, FleetPlan};
use bambooseam_standin::deployment::{DOWNLOADS_PORT, ORDERS_PORT};

/// A small fleet: three zones, a VM in each.
const PLAN: FleetPlan = FleetPlan {
    vms: 3,
    orders: 3,
    downloads: 3,
    workers: 1,
};

async fn fleet() -> Fleet {
    Fleet::start(PLAN, str::to_owned).await
}

#[tokio::test]
async fn both_versions_reach_the_service_of_the_port() {
    let fleet = fleet().await;
    for (port, kind) in [(ORDERS_PORT, "bay"), (DOWNLOADS_PORT, "file")] {
        let address = fleet.proxies[0].address(port);
        let told = call_once(address, request("GET", "/a", "one")).await;
        assert_eq!(told.status(), Some(200), "{told:?}");
        assert!(told.text().contains(&format!("target={kind}-")), "{told:?}");
        let mut connection = CallerConnection::http2(address)
            .await
            .expect("a connection");
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
    assert!(
        text.contains("trace=00-0af7651916cd43dd8448eb211c80319c-"),
        "{text}"
    );
    assert!(!text.contains("b7ad6b7169203331"), "{text}");
}
