//! Fuzz tests of the text parsers: no parser panics on arbitrary input, and every accepted value is
//! the same after it has been written and parsed again.

use std::fmt::{Debug, Display};
use std::str::FromStr;

use bambooseam_config::{Document, Preset, PresetPointer, Settings, TargetList, VmList};
use bambooseam_ctl::fleet::ProgramStatus;
use bambooseam_observe::trace::{SpanId, TraceId, TraceParent};
use bambooseam_tests::inputs::for_each_bytes;
use bambooseam_types::{
    ByteCount, ByteRate, Digest, EventRate, Findings, FlowPort, Incarnation, Revision, ServiceId,
    ServiceName, VmId, Weight,
};
use bambooseam_view::ViewNumber;

/// Longest input in bytes.
const LIMIT: usize = 512;

/// Fragments from which documents are generated.
const FRAGMENTS: [&str; 48] = [
    "[vm a]",
    "[vm b]",
    "[vm]",
    "[target a]",
    "[service a]",
    "[class a]",
    "[preset]",
    "[in-force]",
    "[platform]",
    "[agent]",
    "[proxy]",
    "[trace]",
    "[",
    "]",
    "=",
    ":",
    " ",
    "\n",
    "\r\n",
    "\"",
    "'",
    "\\",
    "; ",
    "# ",
    "id = vm-1",
    "zone = north",
    "address = 10.0.0.1",
    "address = ::1",
    "state = leaving",
    "service = a",
    "name = a",
    "revision = 1",
    "digest = 00",
    "vni = 7",
    "flow-ports = 1,2",
    "request-port = 8",
    "queue-limit = 9999999999999999999y",
    "slots = 2",
    "addresses = 127.0.0.1:1",
    "weight = 10000",
    "deadline = 1ns",
    "budget = 99999999999GiB/s",
    "head-limit = 18446744073709551615GiB",
    "exchanges = 1e999/s",
    "path-prefix = /",
    "\u{feff}",
    "\0",
    "é",
];

/// Generates a document; each byte chooses a fragment.
fn document_of(choices: &[u8]) -> String {
    let mut text = String::new();
    for choice in choices {
        text.push_str(FRAGMENTS[usize::from(*choice) % FRAGMENTS.len()]);
        if choice & 0x80 == 0 {
            text.push('\n');
        }
    }
    text
}

/// Checks that an accepted text, once written, parses to the same value.
fn assert_round_trip<T>(text: &str)
where
    T: FromStr + Display + PartialEq + Debug,
{
    let Ok(value) = text.parse::<T>() else {
        return;
    };
    let written = value.to_string();
    assert_eq!(
        written.parse::<T>().ok(),
        Some(value),
        "{text:?} -> {written:?}"
    );
}

/// Parses a text as a document of type `T`, and checks that each finding names a line of the text.
fn parse_document<T>(text: &str) -> Option<T>
where
    T: for<'a> TryFrom<&'a Document, Error = Findings>,
{
    let result = Document::parse("file", text).and_then(|document| T::try_from(&document));
    let findings = match result {
        Ok(value) => return Some(value),
        Err(findings) => findings,
    };
    assert!(!findings.is_empty());
    let lines = text.lines().count();
    for finding in &findings {
        assert!(
            finding.location.line <= lines.max(1),
            "{finding} of {lines} lines"
        );
        assert!(!finding.allowed.is_empty());
    }
    None
}

fn parse_as_every_kind(text: &str) {
    parse_document::<Settings>(text);
    parse_document::<Preset>(text);
    if let Some(pointer) = parse_document::<PresetPointer>(text) {
        assert_eq!(
            parse_document::<PresetPointer>(&pointer.to_text()),
            Some(pointer)
        );
    }
    if let Some(vms) = parse_document::<VmList>(text) {
        assert_eq!(parse_document::<VmList>(&vms.to_text()), Some(vms));
    }
    if let Some(targets) = parse_document::<TargetList>(text) {
        assert_eq!(
            parse_document::<TargetList>(&targets.to_text()),
            Some(targets)
        );
    }
}

#[test]
fn documents_of_any_bytes_are_parsed_or_refused() {
    for_each_bytes(LIMIT, |bytes| {
        parse_as_every_kind(&String::from_utf8_lossy(bytes))
    });
}

#[test]
fn documents_of_known_words_are_parsed_or_refused() {
    for_each_bytes(LIMIT, |choices| parse_as_every_kind(&document_of(choices)));
}

#[test]
fn names_and_quantities_of_any_bytes_are_parsed_or_refused() {
    for_each_bytes(LIMIT, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        // Random bytes are seldom numbers, so the same bytes are also parsed as digits with a unit.
        let digits: String = bytes
            .iter()
            .map(|byte| char::from(b'0' + byte % 10))
            .collect();
        let units = ["", "B", "KiB", "GiB", "/s", "KiB/s", "e9/s"];
        let unit = units[bytes.len() % units.len()];
        for text in [text.as_ref(), &digits, &format!("{digits}{unit}")] {
            assert_round_trip::<VmId>(text);
            assert_round_trip::<ServiceName>(text);
            assert_round_trip::<ServiceId>(text);
            assert_round_trip::<FlowPort>(text);
            assert_round_trip::<Revision>(text);
            assert_round_trip::<Incarnation>(text);
            assert_round_trip::<ViewNumber>(text);
            assert_round_trip::<Digest>(text);
            assert_round_trip::<ByteCount>(text);
            assert_round_trip::<ByteRate>(text);
            assert_round_trip::<EventRate>(text);
            assert_round_trip::<Weight>(text);
        }
    });
}

#[test]
fn trace_context_of_any_bytes_is_parsed_or_refused() {
    const HEADER: &[u8] = b"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    for_each_bytes(LIMIT, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        assert_round_trip::<TraceParent>(&text);
        assert_round_trip::<TraceId>(&text);
        assert_round_trip::<SpanId>(&text);
        // The same bytes modify a valid header; each pair of bytes is a position and a new value.
        let mut header = HEADER.to_vec();
        for change in bytes.chunks_exact(2) {
            let at = usize::from(change[0]) % header.len();
            header[at] = change[1];
        }
        assert_round_trip::<TraceParent>(&String::from_utf8_lossy(&header));
    });
}

#[test]
fn status_of_any_json_is_parsed_or_refused() {
    const TOKENS: [&str; 16] = [
        "{",
        "}",
        "[",
        "]",
        ",",
        ":",
        "\"program\"",
        "\"vms\"",
        "\"programs\"",
        "\"events\"",
        "\"view\"",
        "1",
        "-1",
        "1e400",
        "null",
        "\"x\"",
    ];
    for_each_bytes(LIMIT, |choices| {
        let text: String = choices
            .iter()
            .map(|c| TOKENS[usize::from(*c) % TOKENS.len()])
            .collect();
        let object = format!("{{\"program\":\"agent\",\"vms\":{text}}}");
        for text in [text, object] {
            let Ok(value) = serde_json::from_str::<serde_json::Value>(&text) else {
                continue;
            };
            let _ = ProgramStatus::try_from(value);
        }
    });
}
