//! One trace from the caller to the target, and the span that a proxy writes for its hop.

use bambooseam_config::{Document, Settings};
use bambooseam_measure::requests::caller::{call_once, request, with_header};
use bambooseam_measure::requests::fleet::{Fleet, FleetPlan};
use bambooseam_observe::trace::{TraceParent, init_traces};
use bambooseam_standin::deployment::ORDERS_PORT;
use serde_json::Value;

/// Two VMs and targets of each service.
const PLAN: FleetPlan = FleetPlan {
    vms: 2,
    orders: 2,
    downloads: 1,
    workers: 1,
};

/// Trace context that the caller sends.
const CALLER_CONTEXT: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

/// Returns the trace context that a target received, which the target repeats in its response.
fn context_of(text: &str) -> TraceParent {
    let pairs = text.split_whitespace();
    let trace = pairs.filter_map(|pair| pair.strip_prefix("trace=")).next();
    trace
        .and_then(|trace| trace.parse().ok())
        .expect("valid trace context")
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
    let document = Document::parse("vm.ini", &text).expect("valid INI");
    let settings = Settings::try_from(&document).expect("valid settings");
    init_traces(&settings, "proxy").expect("tracing initialised");

    let fleet = Fleet::start(PLAN, str::to_owned).await;
    let mut forwarded = Vec::new();
    for proxy in &fleet.proxies {
        let get = with_header(request("GET", "/a", "one"), "traceparent", CALLER_CONTEXT);
        let response = call_once(proxy.address(ORDERS_PORT), get).await;
        assert_eq!(response.status(), Some(200), "{response:?}");
        forwarded.push(context_of(response.text()));
    }
    let invalid = with_header(request("GET", "/a", "two"), "traceparent", "00-0-0-00");
    let response = call_once(fleet.proxies[0].address(ORDERS_PORT), invalid).await;
    let new_context = context_of(response.text());
    forwarded.push(new_context);
    let unsampled = CALLER_CONTEXT.replace("-01", "-00");
    let unsampled = with_header(request("GET", "/a", "three"), "traceparent", &unsampled);
    let response = call_once(fleet.proxies[0].address(ORDERS_PORT), unsampled).await;
    assert!(!context_of(response.text()).is_sampled());

    let caller: TraceParent = CALLER_CONTEXT.parse().expect("valid header");
    assert_eq!(forwarded[0].trace, caller.trace);
    assert_ne!(
        new_context.trace, caller.trace,
        "an invalid context starts a new trace"
    );
    let written = std::fs::read_to_string(&path).expect("trace file exists");
    std::fs::remove_file(&path).expect("trace file exists");
    let spans: Vec<Value> = written
        .lines()
        .map(|line| serde_json::from_str(line).expect("valid JSON"))
        .collect();
    assert_eq!(spans.len(), forwarded.len(), "{written}");
    for (span, context) in spans.iter().zip(&forwarded) {
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
    assert_eq!(spans[0]["parent"], caller.span.to_string());
    assert!(spans[2].get("parent").is_none());
}
