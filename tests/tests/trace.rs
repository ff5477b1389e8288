//! Parsing of the trace context, and the spans that hops write.

use bambooseam_config::{Document, Settings};
use bambooseam_observe::trace::{Hop, TraceParent, init_traces};
use serde_json::Value;

/// The `traceparent` example of the W3C Trace Context recommendation.
const HEADER: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

fn parse(text: &str) -> Option<TraceParent> {
    text.parse().ok()
}

#[test]
fn valid_header_is_parsed_and_written_unchanged() {
    let context = parse(HEADER).expect("valid header");
    assert_eq!(context.to_string(), HEADER);
    assert!(context.is_sampled());
    let child = context.child();
    assert_eq!(child.trace, context.trace);
    assert_ne!(child.span, context.span);
}

#[test]
fn later_version_is_parsed_by_its_known_fields() {
    let context = parse(&HEADER.replacen("00", "01", 1).replace("-01", "-01-more"));
    assert_eq!(context, parse(HEADER));
}

#[test]
fn invalid_headers_are_refused() {
    let invalid = [
        "",
        "00",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0x",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more",
        "00_4bf92f3577b34da6a3ce929d0e0e4736_00f067aa0ba902b7_01",
        "00-4bf92f3577b34da6a3ce929d0e0e473-600f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e47é-00f067aa0ba902b7-01",
    ];
    for text in invalid {
        assert_eq!(parse(text), None, "{text}");
    }
}

#[test]
fn each_hop_writes_a_span_of_the_callers_trace() {
    let path = std::env::temp_dir().join(format!("bambooseam-trace-{}", std::process::id()));
    let text = format!(
        "[vm]\nid = vm-1\nzone = north\naddress = 127.0.0.1\n\
         [platform]\naddresses = 127.0.0.1:1\n[trace]\nfile = {}\n",
        path.display()
    );
    let document = Document::parse("vm.ini", &text).expect("valid INI");
    let settings = Settings::try_from(&document).expect("valid settings");
    init_traces(&settings, "test").expect("tracing initialised");

    let caller = parse(HEADER).expect("valid header");
    let first = Hop::begin("receive", Some(caller));
    let second = first.child("dispatch");
    second.record("target", "bay-0001").record("status", 200);
    let unsampled_context = parse(&HEADER.replace("-01", "-00"));
    let unsampled = Hop::begin("unsampled", unsampled_context);
    assert_eq!(unsampled.context().trace, caller.trace);
    drop((second.clone(), unsampled));
    drop(second);
    drop(first.clone());
    drop(first);

    let written = std::fs::read_to_string(&path).expect("trace file exists");
    std::fs::remove_file(&path).expect("trace file exists");
    let spans: Vec<Value> = written
        .lines()
        .map(|line| serde_json::from_str(line).expect("valid JSON"))
        .collect();
    assert_eq!(spans.len(), 2, "{written}");
    for span in &spans {
        assert_eq!(span["trace"], caller.trace.to_string());
        assert_eq!(span["program"], "test");
        assert_eq!(span["vm"], "vm-1");
        assert!(span["start_us"].is_u64() && span["duration_us"].is_u64());
    }
    assert_eq!(spans[0]["name"], "dispatch");
    assert_eq!(spans[0]["target"], "bay-0001");
    assert_eq!(spans[0]["status"], "200");
    assert_eq!(spans[0]["parent"], spans[1]["span"]);
    assert_eq!(spans[1]["parent"], caller.span.to_string());
}
