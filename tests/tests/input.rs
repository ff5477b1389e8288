//! Text and bytes from outside: every decoder takes anything without a panic, and what it accepts
//! it writes and reads back unchanged.

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

/// Words that documents are put together from.
const WORDS: [&str; 48] = [
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

/// Puts a document together; each byte chooses a word.
fn document_of(choices: &[u8]) -> String {
    let mut text = String::new();
    for choice in choices {
        text.push_str(WORDS[usize::from(*choice) % WORDS.len()]);
        if choice & 0x80 == 0 {
            text.push('\n');
        }
    }
    text
}

/// What is accepted is written as text that gives the same value.
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

/// Checks one text as a document of kind `T`; findings must name a line of the text.
fn read_document<T>(text: &str) -> Option<T>
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

fn read_as_everything(text: &str) {
    read_document::<Settings>(text);
    read_document::<Preset>(text);
    if let Some(pointer) = read_document::<PresetPointer>(text) {
        assert_eq!(
            read_document::<PresetPointer>(&pointer.to_text()),
            Some(pointer)
        );
    }
    if let Some(vms) = read_document::<VmList>(text) {
        assert_eq!(read_document::<VmList>(&vms.to_text()), Some(vms));
    }
    if let Some(targets) = read_document::<TargetList>(text) {
        assert_eq!(
            read_document::<TargetList>(&targets.to_text()),
            Some(targets)
        );
    }
}

#[test]
fn documents_of_any_bytes_are_read_or_refused() {
    for_each_bytes(LIMIT, |bytes| {
        read_as_everything(&String::from_utf8_lossy(bytes))
    });
}

#[test]
fn documents_of_known_words_are_read_or_refused() {
    for_each_bytes(LIMIT, |choices| read_as_everything(&document_of(choices)));
}

#[test]
fn names_and_quantities_of_any_bytes_are_read_or_refused() {
    for_each_bytes(LIMIT, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        // Random bytes are seldom numbers, so the same bytes are read as digits with units too.
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
fn trace_context_of_any_bytes_is_read_or_refused() {
    const HEADER: &[u8] = b"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    for_each_bytes(LIMIT, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        assert_round_trip::<TraceParent>(&text);
        assert_round_trip::<TraceId>(&text);
        assert_round_trip::<SpanId>(&text);
        // The same bytes as changes of a good header, two bytes a change: where and what.
        let mut header = HEADER.to_vec();
        for change in bytes.chunks_exact(2) {
            let at = usize::from(change[0]) % header.len();
            header[at] = change[1];
        }
        assert_round_trip::<TraceParent>(&String::from_utf8_lossy(&header));
    });
}

#[test]
fn status_of_any_json_is_read_or_refused() {
    const PARTS: [&str; 16] = [
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
            .map(|c| PARTS[usize::from(*c) % PARTS.len()])
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
