//! Trace context and the spans of hops.

use bambooseam_config::{Document, Settings};
use bambooseam_observe::trace::{Hop, TraceParent, init_traces};
use serde_json::Value;

/// A header of the W3C recommendation.
const HEADER: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

fn parse(text: &str) -> Option<TraceParent> {
    text.parse().ok()
}

#[test]
fn good_header_is_read_and_written_unchanged() {
    let context = parse(HEADER).expect("a good header");
    assert_eq!(context.to_string(), HEADER);
    assert!(context.is_sampled());
    let child = context.child();
    assert_eq!(child.trace, context.trace);
    assert_ne!(child.span, context.span);
}

#[test]
fn later_version_is_read_by_its_known_parts() {
    let context = parse(&HEADER.replacen("00", "01", 1).replace("-01", "-01-more"));
    assert_eq!(context, parse(HEADER));
}

#[test]
fn bad_headers_are_refused() {
    let bad = [
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
    for text in bad {
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
    let document = Document::parse("vm.ini", &text).expect("INI");
    let settings = Settings::try_from(&document).expect("good settings");
    init_traces(&settings, "test").expect("traces start once");

    let caller = parse(HEADER).expect("a good header");
    let first = Hop::begin("receive", Some(caller));
    let second = first.child("dispatch");
    second.record("target", "bay-0001").record("status", 200);
    let unrecorded = parse(&HEADER.replace("-01", "-00"));
    let silent = Hop::begin("silent", unrecorded);
    assert_eq!(silent.context().trace, caller.trace);
    drop((second.clone(), silent));
    drop(second);
    drop(first.clone());
    drop(first);

    let written = std::fs::read_to_string(&path).expect("the trace file");
    std::fs::remove_file(&path).expect("the trace file");
    let spans: Vec<Value> = written
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
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
