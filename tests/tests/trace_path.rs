//! One trace from caller to target, and the span that a proxy writes of its hop.

use bambooseam_config::{Document, Settings};
use bambooseam_measure::requests::caller::{call_once, request, with_header};
use bambooseam_measure::requests::fleet::{Fleet, FleetPlan};
use bambooseam_observe::trace::{TraceParent, init_traces};
use bambooseam_standin::deployment::ORDERS_PORT;
use serde_json::Value;

/// A small fleet.
const PLAN: FleetPlan = FleetPlan {
    vms: 2,
    orders: 2,
    downloads: 1,
    workers: 1,
};

/// What the caller gives.
const GIVEN: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

/// Context that a target was given, as its answer tells.
fn context_of(answer: &str) -> TraceParent {
    let pairs = answer.split_whitespace();
    let trace = pairs.filter_map(|pair| pair.strip_prefix("trace=")).next();
    trace
        .and_then(|trace| trace.parse().ok())
        .expect("a context")
}

#[tokio::test]
async fn each_request_has_a_span_between_caller_and_target() {
    let name = format!("bambooseam-trace-path-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let text = format!(
        "[vm]\nid = vm-1\nzone = north\naddress = 127.0.0.1\n\
         [platform]\naddresses = 127.0.0.1:1\n[trace]\nfile = {}\n",
        path.display()
    );
    let document = Document::parse("vm.ini", &text).expect("INI");
    let settings = Settings::try_from(&document).expect("good settings");
    init_traces(&settings, "proxy").expect("traces start once");

    let fleet = Fleet::start(PLAN, str::to_owned).await;
    let mut passed = Vec::new();
    for proxy in &fleet.proxies {
        let get = with_header(request("GET", "/a", "one"), "traceparent", GIVEN);
        let told = call_once(proxy.address(ORDERS_PORT), get).await;
        assert_eq!(told.status(), Some(200), "{told:?}");
        passed.push(context_of(told.text()));
    }
    let bad = with_header(request("GET", "/a", "two"), "traceparent", "00-0-0-00");
    let told = call_once(fleet.proxies[0].address(ORDERS_PORT), bad).await;
    let begun = context_of(told.text());
    passed.push(begun);
    let silent = GIVEN.replace("-01", "-00");
    let silent = with_header(request("GET", "/a", "three"), "traceparent", &silent);
    let told = call_once(fleet.proxies[0].address(ORDERS_PORT), silent).await;
    assert!(!context_of(told.text()).is_sampled());

    let given: TraceParent = GIVEN.parse().expect("a good header");
    assert_eq!(passed[0].trace, given.trace);
    assert_ne!(begun.trace, given.trace, "a bad context begins a new trace");
    let written = std::fs::read_to_string(&path).expect("the trace file");
    std::fs::remove_file(&path).expect("the trace file");
    let spans: Vec<Value> = written
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    assert_eq!(spans.len(), passed.len(), "{written}");
    for (span, context) in spans.iter().zip(&passed) {
        assert_eq!(span["trace"], context.trace.to_string());
        assert_eq!(span["span"], context.span.to_string());
        assert_eq!(span["service"], "fill-orders");
        assert_eq!(span["status"], "200");
        assert!(
            span["target"]
                .as_str()
                .is_some_and(|target| target.starts_with("bay-"))
        );
    }
    assert_eq!(spans[0]["parent"], given.span.to_string());
    assert!(spans[2].get("parent").is_none());
}
