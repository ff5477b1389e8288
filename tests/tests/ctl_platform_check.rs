//! `bambooseam-ctl check` of the users' configuration document, and comparison with the version in
//! force, also of presets.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

use bambooseam_ctl::check::{CheckReport, check_configuration, check_paths};
use bambooseam_ctl::documents::FileKind;
use bambooseam_ctl::report::Report;
use bambooseam_ctl::{Outcome, command, run};
use bambooseam_platform::outline::Outline;
use bambooseam_tests::inputs::{for_each_bytes, for_each_input};
use bolero::generator::{ValueGenerator, produce};

/// A configuration without findings; each line holds one value or entry.
const VALID: &str = r#"{
  "config_version": 7,
  "routes": [
    {"name": "r-1", "host": "198.18.0.1", "prefix": "/8080/", "route_type": "unsafe",
     "timeout_ms": 3000,
     "latency_goal_ms": 400,
     "priority": 1, "service": "huvo11a", "max_attempts": 2},
    {"name": "r-2", "host": "198.18.0.1", "prefix": "/8443/", "route_type": "safe",
     "timeout_ms": 2500, "latency_goal_ms": 300, "priority": 2,
     "traffic_split": [{"service": "huvo11a", "weight": 90},
                       {"service": "wuno96b", "weight": 10}],
     "max_attempts": 2}
  ],
  "services": [
    {"name": "huvo11a", "health_path": "/health", "warmup_s": 2.0, "warmup_per_s": 0.0},
    {"name": "wuno96b", "health_path": "/health", "warmup_s": 2.0, "warmup_per_s": 0.0}
  ],
  "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000}
}
"#;

const PRESET: &str = "\
[preset]
name = ordinary

[service fill-orders]
vni = 101
address = 10.1.0.1
flow-ports = 7000, 7001
request-port = 8080

[service charts]
vni = 102
address = 10.1.0.2
flow-ports = 7000

[class long-charts]
service = fill-orders
path-prefix = /charts/
class = long
";

/// A temporary directory, removed on drop.
struct Directory(PathBuf);

impl Directory {
    fn new() -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("bambooseam-check-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("directory created");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("file written");
        path
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Findings of a configuration, as text.
fn findings(text: &str) -> Vec<String> {
    let findings = check_configuration("new.json", text);
    findings.iter().map(ToString::to_string).collect()
}

/// Replaces text that must occur in the valid configuration.
fn with(changes: &[(&str, &str)]) -> String {
    changes.iter().fold(VALID.into(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    })
}

fn compare(kind: FileKind, before: &str, after: &str) -> CheckReport {
    let directory = Directory::new();
    let in_force = directory.write("in-force", before);
    let file = directory.write("new", after);
    let mut report = check_paths([&file], Some(kind));
    report.compare(&[&file], Some(kind), &in_force);
    report
}

fn differences(report: &CheckReport) -> Vec<String> {
    let differences = report.differences.iter().flatten();
    differences.map(ToString::to_string).collect()
}

#[test]
fn valid_configuration_has_no_findings() {
    assert_eq!(findings(VALID), [""; 0]);
    let one_line: serde_json::Value = serde_json::from_str(VALID).expect("JSON");
    assert_eq!(findings(&one_line.to_string()), [""; 0]);
}

/// The entry program stops at the first error of a route, and of the document.
#[test]
fn all_errors_of_a_document_are_reported_with_their_location() {
    let text = with(&[
        (r#""config_version": 7"#, r#""config_version": "seven""#),
        (
            r#""host": "198.18.0.1", "prefix": "/8080/""#,
            r#""host": "here", "prefix": "/port/""#,
        ),
        (r#""timeout_ms": 3000"#, r#""timeout_ms": -1"#),
        (r#""priority": 1"#, r#""priority": "high""#),
        (r#""weight": 10"#, r#""weight": 1.5"#),
        (r#""warmup_per_s": 0.0}"#, r#""warmup_per_s": -3}"#),
        (r#""idle_timeout_ms": 15000"#, r#""idle_timeout_ms": null"#),
    ]);
    assert_eq!(
        findings(&text),
        [
            "new.json:2: config_version: found \"seven\", allowed: a non-negative integer",
            "new.json:4: route r-1.host: found \"here\", allowed: an IPv4 address",
            "new.json:4: route r-1.prefix: found \"/port/\", allowed: a port between slashes",
            "new.json:5: route r-1.timeout_ms: found -1, allowed: a whole number of milliseconds, \
             at most a year",
            "new.json:7: route r-1.priority: found \"high\", allowed: a non-negative integer",
            "new.json:11: route r-2.traffic_split[1].weight: found 1.5, allowed: a whole number \
             below 2^32",
            "new.json:15: service huvo11a.warmup_per_s: found -3, allowed: a number of 0 or more",
            "new.json:16: service wuno96b.name: found wuno96b, which no route names, allowed: a \
             service of a route",
            "new.json:18: limits.idle_timeout_ms: found null, allowed: a whole number of \
             milliseconds, at most a year",
        ]
    );
}

#[test]
fn text_that_is_no_object_has_one_finding_with_its_line() {
    let errors = findings("{\n  \"routes\": [,]\n}");
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].starts_with("new.json:2: found "), "{errors:?}");
    assert_eq!(
        findings("[]"),
        ["new.json:1: found no object, allowed: a JSON object"]
    );
    assert_eq!(findings("{}").len(), 2);
}

#[test]
fn entries_that_never_match_are_reported() {
    let cases = [
        (
            with(&[("/8443/", "/8080/")]),
            "new.json:8: route r-2.host: found 198.18.0.1:8080, which route r-1 has, allowed: a \
             frontend of its own",
        ),
        (
            with(&[(r#""name": "r-2""#, r#""name": "r-1""#)]),
            "new.json:8: route r-1: found r-1, which another route has too, allowed: a name of its \
             own",
        ),
        (
            with(&[(r#""weight": 10"#, r#""weight": 0"#)]),
            "new.json:11: route r-2.traffic_split[1].weight: found 0, so that wuno96b gets no new \
             flows, allowed: a weight above 0, or no such share",
        ),
        (
            with(&[
                (r#""weight": 90"#, r#""weight": 0"#),
                (r#""weight": 10"#, r#""weight": 0"#),
            ]),
            "new.json:8: route r-2: found only weights of 0, allowed: at least one share with a \
             weight above 0",
        ),
        (
            with(&[(r#""service": "wuno96b""#, r#""service": "huvo11a""#)]),
            "new.json:16: service wuno96b.name: found wuno96b, which no route names, allowed: a \
             service of a route",
        ),
        (
            with(&[(
                r#""priority": 1, "service": "huvo11a""#,
                r#""service": "other""#,
            )]),
            "new.json:7: route r-1.service: found other, which the list of services lacks, \
             allowed: a listed service",
        ),
        (
            with(&[(
                r#"{"name": "wuno96b""#,
                r#"{"name": "wuno96b"}, {"name": "wuno96b""#,
            )]),
            "new.json:16: service wuno96b.name: found wuno96b, which another entry has too, \
             allowed: a name of its own",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(findings(&text), [expected]);
    }
}

#[test]
fn contradictory_limits_are_reported() {
    let cases = [
        (
            with(&[(r#""latency_goal_ms": 400"#, r#""latency_goal_ms": 3001"#)]),
            "new.json:6: route r-1.latency_goal_ms: found 3s 1ms, allowed: at most the timeout, 3s",
        ),
        (
            with(&[(r#""timeout_ms": 3000"#, r#""timeout_ms": 16000"#)]),
            "new.json:5: route r-1.timeout_ms: found 16s, allowed: at most the idle time, 15s",
        ),
        (
            with(&[(r#""warmup_per_s": 0.0"#, r#""warmup_per_s": 20.0"#)]),
            "new.json:16: service wuno96b.warmup_per_s: found no rate for a warm-up of 2s, so that \
             there is no limit, allowed: a rate above 0, as huvo11a has",
        ),
        (
            with(&[
                (r#""warmup_per_s": 0.0"#, r#""warmup_per_s": 20.0"#),
                (
                    r#""warmup_s": 2.0, "warmup_per_s": 0.0"#,
                    r#""warmup_s": 3"#,
                ),
            ]),
            "new.json:16: service wuno96b.warmup_s: found no rate for a warm-up of 3s, so that \
             there is no limit, allowed: a rate above 0, as huvo11a has",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(findings(&text), [expected]);
    }
    // Without a warm-up, a rate is not needed.
    let text = with(&[
        (r#""warmup_per_s": 0.0"#, r#""warmup_per_s": 20.0"#),
        (
            r#""warmup_s": 2.0, "warmup_per_s": 0.0"#,
            r#""warmup_s": 0"#,
        ),
    ]);
    assert_eq!(findings(&text), [""; 0]);
}

#[test]
fn differences_from_the_version_in_force_show_their_effect_on_open_flows() {
    let text = with(&[
        (r#""config_version": 7"#, r#""config_version": 8"#),
        ("/8080/", "/8081/"),
        (
            r#""timeout_ms": 2500, "latency_goal_ms": 300, "priority": 2"#,
            r#""timeout_ms": 2000"#,
        ),
        (r#""weight": 90"#, r#""weight": 50"#),
        (
            r#""warmup_s": 2.0, "warmup_per_s": 0.0"#,
            r#""warmup_s": 4.0"#,
        ),
        (r#""idle_timeout_ms": 15000"#, r#""idle_timeout_ms": 20000"#),
    ]);
    let report = compare(FileKind::Configuration, VALID, &text);
    assert!(report.findings.is_empty(), "{}", report.findings);
    assert_eq!(
        differences(&report),
        [
            "route r-1 at 198.18.0.1:8080: removed; open flows: reset with their next packet",
            "route r-2 at 198.18.0.1:8443: services: huvo11a 90, wuno96b 10 -> huvo11a 50, \
             wuno96b 10; open flows: stay at their targets",
            "route r-2 at 198.18.0.1:8443: timeout: 2s 500ms -> 2s; open flows: not affected",
            "route r-2 at 198.18.0.1:8443: latency goal: 300ms -> none; open flows: not affected",
            "route r-2 at 198.18.0.1:8443: priority: 2 -> none; open flows: not affected",
            "route r-1 at 198.18.0.1:8081: added; open flows: not affected",
            "service huvo11a: warm-up: 2s -> 4s; open flows: not affected",
            "service huvo11a: warm-up rate: 0 -> none; open flows: not affected",
            "limits: idle time: 15s -> 20s; open flows: not affected",
        ]
    );
    assert_eq!(report.outcome(), Outcome::Good);
    let json = report.to_json();
    assert_eq!(
        json["differences"][0],
        serde_json::json!({
            "subject": "route r-1 at 198.18.0.1:8080", "change": "removed", "field": null,
            "before": null, "after": null, "open_flows": "reset with their next packet",
        })
    );
    assert_eq!(json["differences"][2]["after"], "2s");
    let text = report.to_string();
    assert!(
        text.ends_with("files=1 findings=0 differences=9 result=good"),
        "{text}"
    );
}

#[test]
fn services_that_are_added_and_removed_are_differences() {
    let text = with(&[
        (r#""config_version": 7"#, r#""config_version": 9"#),
        (r#"{"service": "wuno96b""#, r#"{"service": "xixa22c""#),
        (r#"{"name": "wuno96b""#, r#"{"name": "xixa22c""#),
    ]);
    let report = compare(FileKind::Configuration, VALID, &text);
    let differences = differences(&report);
    assert_eq!(
        differences[1..],
        [
            "service wuno96b: removed; open flows: stay at their targets",
            "service xixa22c: added; open flows: not affected",
        ]
    );
}

/// The entry programs keep the configuration in force if the new one has no higher version.
#[test]
fn version_must_rise_if_anything_differs() {
    let report = compare(FileKind::Configuration, VALID, VALID);
    assert_eq!((report.findings.len(), differences(&report).len()), (0, 0));
    for version in ["7", "6"] {
        let version = format!(r#""config_version": {version}"#);
        let text = with(&[
            (r#""config_version": 7"#, &version),
            (r#""weight": 90"#, r#""weight": 91"#),
        ]);
        let report = compare(FileKind::Configuration, VALID, &text);
        let finding = report.findings.iter().next().expect("a finding");
        assert!(finding.location.file.ends_with("new"));
        assert_eq!(
            (finding.location.line, finding.allowed.as_str()),
            (2, "above 7, the version in force")
        );
        assert_eq!(finding.hint, "config_version = 8");
        assert_eq!(report.outcome(), Outcome::BadInput);
        assert_eq!(report.to_json()["findings"][0]["key"], "config_version");
    }
}

#[test]
fn differences_of_a_preset_show_their_effect_on_open_flows() {
    let after = PRESET
        .replace("vni = 101", "vni = 103")
        .replace("7000, 7001", "7000")
        .replace("request-port = 8080", "request-port = 8080\nslots = 4")
        .replace("[service charts]", "[service maps]")
        .replace("class = long", "class = short");
    let report = compare(FileKind::Preset, PRESET, &after);
    assert!(report.findings.is_empty(), "{}", report.findings);
    assert_eq!(
        differences(&report),
        [
            "service charts: removed; open flows: interrupted: their packets are dropped",
            "service fill-orders: vni: 101 -> 103; open flows: interrupted at each target until \
             its filter passes the new identifier",
            "service fill-orders: flow-ports: 7000, 7001 -> 7000; open flows: interrupted at \
             removed ports: their packets are dropped",
            "service fill-orders: slots: 2 -> 4; open flows: not affected",
            "service maps: added; open flows: not affected",
            "class long-charts: class: long -> short; open flows: not affected",
        ]
    );
    assert_eq!(report.outcome(), Outcome::Good);
    let renamed = PRESET.replace("name = ordinary", "name = other");
    let report = compare(FileKind::Preset, PRESET, &renamed);
    let expected = "preset: name: ordinary -> other; open flows: not affected";
    assert_eq!(differences(&report), [expected]);
    let invalid = PRESET.replace("vni = 101", "vni = 0");
    let report = compare(FileKind::Preset, &invalid, PRESET);
    assert_eq!(
        (report.findings.len(), report.differences.is_none()),
        (1, true)
    );
}

/// Runs the command line and returns the outcome.
async fn outcome_of(arguments: &[&str]) -> Outcome {
    let all = ["bambooseam-ctl"].iter().chain(arguments);
    run(&command().get_matches_from(all)).await
}

#[tokio::test]
async fn exit_codes_are_those_of_the_other_checks() {
    let directory = Directory::new();
    let path = |path: &Path| path.display().to_string();
    let valid = path(&directory.write("valid.json", VALID));
    let newer = with(&[
        (r#""config_version": 7"#, r#""config_version": 8"#),
        (r#""weight": 90"#, r#""weight": 80"#),
    ]);
    let newer = path(&directory.write("newer.json", &newer));
    let invalid = path(&directory.write("invalid.json", &VALID.replace("/8080/", "/port/")));
    let preset = path(&directory.write("preset.ini", PRESET));
    let vms = path(&directory.write("vms", "[vm vm-1]\n"));
    let missing = path(&directory.0.join("missing"));
    let kind = ["check", "--kind", "platform-config"];
    let cases = [
        (vec![kind[0], kind[1], kind[2], &valid], 0),
        (vec!["check", "--kind", "configuration", &valid], 0),
        (vec![kind[0], kind[1], kind[2], &invalid], 2),
        (
            vec![kind[0], kind[1], kind[2], "--in-force", &valid, &newer],
            0,
        ),
        (
            vec![kind[0], kind[1], kind[2], "--in-force", &newer, &valid],
            2,
        ),
        (
            vec![kind[0], kind[1], kind[2], "--in-force", &preset, &valid],
            2,
        ),
        (
            vec![kind[0], kind[1], kind[2], "--in-force", &missing, &valid],
            2,
        ),
        (
            vec![kind[0], kind[1], kind[2], "--in-force", &valid, &missing],
            2,
        ),
        (vec!["check", "--in-force", &preset, &preset], 0),
        (vec!["check", "--in-force", &preset, &preset, &preset], 2),
        (vec!["check", "--in-force", &vms, &vms], 2),
        (
            vec!["--format", "json", "check", "--in-force", &preset, &preset],
            0,
        ),
    ];
    for (arguments, code) in cases {
        assert_eq!(outcome_of(&arguments).await.code(), code, "{arguments:?}");
    }
}

#[test]
fn any_text_is_decoded_or_reported() {
    for_each_bytes(512, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        assert!(!check_configuration("any", &text).is_empty());
    });
    let generator = (produce::<u16>(), produce::<u8>()).map_gen(|change| change);
    for_each_input(&generator, |&(at, byte)| {
        let mut bytes = VALID.as_bytes().to_vec();
        let at = usize::from(at) % bytes.len();
        bytes[at] = byte;
        let text = String::from_utf8_lossy(&bytes);
        let lines = text.lines().count();
        for finding in &Outline::decode("any", &text).findings {
            assert!(
                (1..=lines + 1).contains(&finding.location.line),
                "{finding}"
            );
        }
    });
}
