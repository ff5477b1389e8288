//! Parsing of settings, presets, pointers and lists, and the findings for invalid ones.

use std::time::{Duration, Instant};

use bambooseam_config::{
    Document, EntrySettings, Preset, PresetPointer, Settings, TargetList, VmList, digest_of,
};
use bambooseam_standin::{DeploymentKind, Plan};
use bambooseam_types::Findings;
use bambooseam_view::{View, ViewSource};

/// A preset with one service for flows and requests.
const PRESET: &str = "\
[preset]
name = ordinary

[service fill-orders]
vni = 101
address = 10.1.0.1
flow-ports = 7000, 7001
request-port = 8080

[class charts]
service = fill-orders
path-prefix = /charts/
class = long
";

fn parse_preset(text: &str) -> Result<Preset, bambooseam_types::Findings> {
    Preset::try_from(&Document::parse("presets/ordinary", text)?)
}

#[test]
fn valid_preset_is_parsed() {
    let preset = parse_preset(PRESET).expect("valid preset");
    assert_eq!(preset.services.len(), 1);
    assert_eq!(preset.services[0].slots, 2);
    assert_eq!(preset.rules[0].path_prefix, "/charts/");
}

#[test]
fn all_findings_are_reported_with_their_lines() {
    let text = PRESET
        .replace("vni = 101", "vin = 0\nslots = none")
        .replace("class = long", "class = huge");
    let findings = parse_preset(&text).expect_err("preset has three findings and lacks a key");
    let report = findings.to_string();
    assert!(
        report.contains("presets/ordinary:5: service fill-orders.vin"),
        "{report}"
    );
    assert!(report.contains("did you mean vni?"), "{report}");
    assert!(
        report.contains("presets/ordinary:6: service fill-orders.slots"),
        "{report}"
    );
    assert!(
        report.contains("presets/ordinary:14: class charts.class"),
        "{report}"
    );
}

#[test]
fn settings_report_unknown_keys_and_sections() {
    let text = "[vm]\nid = vm-1\nzone = north\naddress = 127.0.0.1\n\n[platfrom]\naddresses = 127.0.0.1:1\n";
    let document = Document::parse("vm.ini", text).expect("valid INI");
    let report = Settings::try_from(&document)
        .expect_err("settings lack the platform section")
        .to_string();
    assert!(report.contains("vm.ini:6: platfrom"), "{report}");
    assert!(report.contains("did you mean platform?"), "{report}");
}

#[test]
fn switches_are_on_unless_switched_off() {
    let read = |line: &str| {
        let text = format!(
            "[vm]\nid = vm-1\nzone = north\naddress = 127.0.0.1\n[platform]\n\
             addresses = 127.0.0.1:1\n[entry]\nlisten = 127.0.0.1:2\nready = 127.0.0.1:3\n\
             peer = 127.0.0.1:4\n{line}"
        );
        let document = Document::parse("vm.ini", &text).expect("valid INI");
        Settings::try_from(&document)
    };
    type Switch = fn(&EntrySettings) -> bool;
    let target_speed: Switch = |entry| entry.target_speed;
    let last_resort: Switch = |entry| entry.evacuated_last_resort;
    for (key, switch) in [
        ("target-speed", target_speed),
        ("evacuated-last-resort", last_resort),
    ] {
        for (line, is_on) in [
            (String::new(), true),
            (format!("{key} = on"), true),
            (format!("{key} = off"), false),
        ] {
            let entry = read(&line).expect("valid settings").entry;
            assert_eq!(entry.as_ref().map(switch), Some(is_on));
        }
        let report = read(&format!("{key} = yes")).expect_err("not a switch");
        assert!(report.to_string().contains("on or off"), "{report}");
    }
}

/// Guards against VMs that do not start because the platform leaves out a margin of 0.
#[test]
fn margins_of_the_cold_limit_stand_alone() {
    let read = |lines: &str| {
        let text = format!(
            "[vm]\nid = a\nzone = z\naddress = 127.0.0.1\n[platform]\naddresses = 127.0.0.1:1\n\
             [entry]\nlisten = 127.0.0.1:2\nready = 127.0.0.1:3\npeer = 127.0.0.1:4\n\
             admin = 127.0.0.1:5\nseeds = 127.0.0.1:4\nstop-time = 6s\n{lines}\n"
        );
        let document = Document::parse("settings", &text).expect("a document");
        let settings = Settings::try_from(&document).expect("valid settings");
        let limit = settings.entry.expect("an entry section").cold_limit;
        limit.map(|limit| (limit.excess, limit.slack))
    };
    assert_eq!(read(""), None);
    assert_eq!(read("cold-excess = 1.5"), Some((1.5, 0.0)));
    assert_eq!(read("cold-slack = 5"), Some((1.0, 5.0)));
    assert_eq!(read("cold-excess = 1.5\ncold-slack = 5"), Some((1.5, 5.0)));
}

#[test]
fn view_is_refused_when_the_digest_differs() {
    let pointer = PresetPointer {
        revision: 1.into(),
        name: "ordinary".parse().expect("valid name"),
        digest: digest_of("something else"),
    };
    let source = ViewSource {
        pointer: pointer.to_text(),
        preset: PRESET.into(),
        ..ViewSource::default()
    };
    let report = View::build(&source)
        .expect_err("digest differs")
        .to_string();
    assert!(report.contains("in-force.digest"), "{report}");
}

/// Valid settings with all keys.
const SETTINGS: &str = "\
[vm]
id = vm-1
zone = north
address = 10.0.0.1
[platform]
addresses = 10.9.0.1:8500, 10.9.0.2:8500
prefix = firms/cascade
watch-time = 30s
poll-time = 1m
[agent]
listen = 10.0.0.1:7100
views = 127.0.0.1:7101
admin = 127.0.0.1:7110
peers = 10.0.0.2:7100
budget = 3KiB/s
exchanges = 2/s
[forwarder]
listen = 10.0.0.1:6081
admin = 127.0.0.1:7111
flow-limit = 1000
[proxy]
address = 10.0.0.1
listen = 10.0.0.1:7200
admin = 127.0.0.1:7112
connection-limit = 100
head-limit = 64KiB
head-time = 10s
drain-time = 5m
[log]
level = info
file = /tmp/log
[trace]
file = /tmp/trace
";

/// A valid preset with two services and all keys.
const SERVICES: &str = "\
[preset]
name = ordinary
[service a]
vni = 1
address = 10.1.0.1
flow-ports = 7000, 7001
request-port = 8080
slots = 2
connections = 2000
queue-limit = 2s
deadline = 10s
flow-idle = 24h
retry-share = 10
eject-share = 30
ramp-time = 10s
[service b]
vni = 2
address = 10.1.0.1
flow-ports = 7002
[class full]
service = a
path-prefix = /full/
class = long
";

/// A valid list of two VMs.
const VMS: &str = "\
[vm a]
zone = north
state = live
address = 10.0.0.1
agent-port = 7100
forwarder-port = 6082
proxy-port = 7200
[vm b]
zone = south
address = 10.0.0.2
";

/// A valid list of two targets.
const TARGETS: &str = "\
[target a]
service = orders
zone = north
state = leaving
address = 10.2.0.1
flow-port = 6081
request-port = 8080
weight = 50
[target b]
service = orders
zone = south
address = 10.2.0.2
";

/// Findings of the document `base` after `from` has been replaced by `to`.
fn findings_of<T>(base: &str, from: &str, to: &str) -> Vec<String>
where
    T: for<'a> TryFrom<&'a Document, Error = Findings>,
{
    assert!(
        base.contains(from),
        "{from:?} does not occur in the document"
    );
    let text = base.replacen(from, to, 1);
    let result = Document::parse("file", &text).and_then(|document| T::try_from(&document));
    let findings = result.err().unwrap_or_default();
    findings.iter().map(ToString::to_string).collect()
}

/// Checks that each change of a valid document gives one finding, which starts with `expected`.
///
/// A case holds the text to replace, the replacement and the expected start.
fn assert_each_found<T>(base: &str, cases: &[(&str, &str, &str)])
where
    T: for<'a> TryFrom<&'a Document, Error = Findings>,
{
    assert_eq!(findings_of::<T>(base, "", ""), Vec::<String>::new());
    for (from, to, expected) in cases {
        let found = findings_of::<T>(base, from, to);
        assert_eq!(found.len(), 1, "{from:?} -> {to:?}: {found:?}");
        assert!(
            found[0].starts_with(expected),
            "{from:?} -> {to:?}: {found:?}"
        );
    }
}

#[test]
fn each_invalid_setting_is_found_at_its_line() {
    assert_each_found::<Settings>(
        SETTINGS,
        &[
            ("id = vm-1", "id = vm 1", "file:2: vm.id: found \"vm 1\""),
            ("id = vm-1\n", "", "file:1: vm.id: found no such key"),
            ("zone = north", "zone =", "file:3: vm.zone"),
            (
                "address = 10.0.0.1",
                "address = 0.0.0.0",
                "file:4: vm.address",
            ),
            ("address = 10.0.0.1", "address = here", "file:4: vm.address"),
            (
                "addresses = 10.9.0.1:8500, 10.9.0.2:8500",
                "addresses = ,",
                "file:6: platform.addresses",
            ),
            ("10.9.0.2:8500", "10.9.0.2:0", "file:6: platform.addresses"),
            (
                "10.9.0.2:8500",
                "platform:8500",
                "file:6: platform.addresses",
            ),
            ("firms/cascade", "/firms", "file:7: platform.prefix"),
            ("firms/cascade", "", "file:7: platform.prefix"),
            (
                "watch-time = 30s",
                "watch-time = 0s",
                "file:8: platform.watch-time",
            ),
            (
                "watch-time = 30s",
                "watch-time = 30",
                "file:8: platform.watch-time",
            ),
            (
                "poll-time = 1m",
                "poll-time = 2days",
                "file:9: platform.poll-time",
            ),
            (
                "listen = 10.0.0.1:7100",
                "listen = 7100",
                "file:11: agent.listen",
            ),
            (
                "views = 127.0.0.1:7101",
                "views = 10.0.0.1:7101",
                "file:12: agent.views",
            ),
            (
                "admin = 127.0.0.1:7110",
                "admin = 127.0.0.1:7101",
                "file:13: agent.admin",
            ),
            (
                "admin = 127.0.0.1:7112",
                "admin = 127.0.0.1:7111",
                "file:24: proxy.admin",
            ),
            (
                "peers = 10.0.0.2:7100",
                "peers = 10.0.0.2",
                "file:14: agent.peers",
            ),
            (
                "peers = 10.0.0.2:7100",
                "peers = 0.0.0.0:7100",
                "file:14: agent.peers",
            ),
            ("budget = 3KiB/s", "budget = 0B/s", "file:15: agent.budget"),
            ("budget = 3KiB/s", "budget = 3KiB", "file:15: agent.budget"),
            (
                "exchanges = 2/s",
                "exchanges = 0/s",
                "file:16: agent.exchanges",
            ),
            (
                "exchanges = 2/s",
                "exchanges = NaN/s",
                "file:16: agent.exchanges",
            ),
            (
                "listen = 10.0.0.1:6081",
                "listen = x",
                "file:18: forwarder.listen",
            ),
            (
                "flow-limit = 1000",
                "flow-limit = 0",
                "file:20: forwarder.flow-limit",
            ),
            (
                "flow-limit = 1000",
                "flow-limit = -1",
                "file:20: forwarder.flow-limit",
            ),
            (
                "connection-limit = 100",
                "connection-limit = 0",
                "file:25: proxy.connection-limit",
            ),
            (
                "head-limit = 64KiB",
                "head-limit = 1KiB",
                "file:26: proxy.head-limit",
            ),
            (
                "head-limit = 64KiB",
                "head-limit = 64kb",
                "file:26: proxy.head-limit",
            ),
            (
                "head-time = 10s",
                "head-time = 0s",
                "file:27: proxy.head-time",
            ),
            (
                "drain-time = 5m",
                "drain-time = 0s",
                "file:28: proxy.drain-time",
            ),
            ("level = info", "level = loud", "file:30: log.level"),
            ("file = /tmp/log", "file =", "file:31: log.file"),
            ("file = /tmp/trace", "file =", "file:33: trace.file"),
            (
                "level = info",
                "levle = info",
                "file:30: log.levle: found an unknown key",
            ),
            (
                "[trace]",
                "[traces]",
                "file:32: traces: found an unknown section",
            ),
            ("[trace]", "trace", "file:32: found \"trace\""),
            ("[trace]", "[trace", "file:32: found \"[trace\""),
            (
                "[vm]",
                "a = b\n[vm]",
                "file:1: found a key before any section",
            ),
        ],
    );
}

#[test]
fn each_invalid_value_of_a_preset_is_found_at_its_line() {
    assert_each_found::<Preset>(
        SERVICES,
        &[
            ("name = ordinary", "name = a/b", "file:2: preset.name"),
            ("name = ordinary", "name = ..", "file:2: preset.name"),
            (
                "[preset]\n",
                "[preset]\nname = a\n",
                "file:3: preset.name: found the key twice",
            ),
            (
                "[service b]",
                "[service a]",
                "file:16: service a: found the section twice",
            ),
            (
                "[service b]",
                "[service  a]",
                "file:16: service a: found the section twice",
            ),
            ("vni = 1", "vni = 16777216", "file:4: service a.vni"),
            (
                "vni = 2",
                "vni = 1",
                "file:17: service b.vni: found 1, which a has",
            ),
            (
                "address = 10.1.0.1",
                "address = 224.0.0.1",
                "file:5: service a.address",
            ),
            ("7000, 7001", "7000, 0", "file:6: service a.flow-ports"),
            (
                "flow-ports = 7002",
                "flow-ports = 7001",
                "file:19: service b.flow-ports: found 10.1.0.1:7001, which a has",
            ),
            (
                "flow-ports = 7002",
                "",
                "file:16: service b.flow-ports: found no port",
            ),
            (
                "request-port = 8080",
                "request-port = 7002",
                "file:7: service a.request-port: found 10.1.0.1:7002, which b has",
            ),
            (
                "request-port = 8080",
                "request-port = 7000",
                "file:7: service a.request-port: found 10.1.0.1:7000, which a has",
            ),
            (
                "flow-ports = 7002",
                "request-port = 8080",
                "file:19: service b.request-port: found 8080, which a has",
            ),
            ("slots = 2", "slots = 0", "file:8: service a.slots"),
            (
                "slots = 2\nconnections = 2000",
                "slots = 10001\nconnections = 20000",
                "file:8: service a.slots",
            ),
            (
                "connections = 2000",
                "connections = 1",
                "file:8: service a.slots: found 2, allowed: at most the connections",
            ),
            (
                "connections = 2000",
                "connections = many",
                "file:9: service a.connections",
            ),
            (
                "queue-limit = 2s",
                "queue-limit = 0s",
                "file:10: service a.queue-limit",
            ),
            (
                "queue-limit = 2s",
                "queue-limit = 11s",
                "file:11: service a.deadline: found 10s, allowed: at least the queue-limit, 11s",
            ),
            (
                "flow-idle = 24h",
                "flow-idle = 59s",
                "file:12: service a.flow-idle",
            ),
            (
                "retry-share = 10",
                "retry-share = 101",
                "file:13: service a.retry-share",
            ),
            (
                "eject-share = 30",
                "eject-share = 101",
                "file:14: service a.eject-share",
            ),
            (
                "ramp-time = 10s",
                "ramp-time = 2h",
                "file:15: service a.ramp-time",
            ),
            (
                "service = a",
                "service = c",
                "file:21: class full.service: found c, which no section",
            ),
            (
                "service = a",
                "service = b",
                "file:21: class full.service: found b, which has no request-port",
            ),
            ("/full/", "full", "file:22: class full.path-prefix"),
            ("/full/", "/full/?x", "file:22: class full.path-prefix"),
            (
                "class = long",
                "class = medium",
                "file:23: class full.class",
            ),
            (
                "class = long",
                "class = long\n[class again]\nservice = a\npath-prefix = /full/\nclass = short",
                "file:26: class again.path-prefix: found /full/ of a, which full has",
            ),
            (
                "[class full]",
                "[class]",
                "file:20: class: found [class], allowed: [class NAME]",
            ),
        ],
    );
    let empty = findings_of::<Preset>("[preset]\nname = empty\n", "", "");
    assert_eq!(
        empty,
        ["file: service: found no service, allowed: at least one [service NAME]"]
    );
}

#[test]
fn each_invalid_value_of_the_lists_is_found_at_its_line() {
    assert_each_found::<VmList>(
        VMS,
        &[
            ("[vm a]", "[vm a/b]", "file:1: vm a/b.name"),
            (
                "[vm a]",
                "[vm]",
                "file:1: vm: found [vm], allowed: [vm NAME]",
            ),
            ("zone = north\n", "", "file:1: vm a.zone: found no such key"),
            ("state = live", "state = gone", "file:3: vm a.state"),
            ("address = 10.0.0.1", "address = ::", "file:4: vm a.address"),
            (
                "agent-port = 7100",
                "agent-port = 0",
                "file:5: vm a.agent-port",
            ),
            (
                "agent-port = 7100",
                "agent-port = 7200",
                "file:7: vm a.proxy-port: found 10.0.0.1:7200, which a has",
            ),
            (
                "address = 10.0.0.2",
                "address = 10.0.0.1\nagent-port = 1\nproxy-port = 2",
                "file:8: vm b.forwarder-port: found 10.0.0.1:6082, which a has",
            ),
        ],
    );
    assert_eq!(findings_of::<VmList>(VMS, "10.0.0.2", "10.0.0.1").len(), 3);
    assert_each_found::<TargetList>(
        TARGETS,
        &[
            ("service = orders", "service =", "file:2: target a.service"),
            (
                "state = leaving",
                "state = joining",
                "file:4: target a.state",
            ),
            (
                "address = 10.2.0.1",
                "address = 255.255.255.255",
                "file:5: target a.address",
            ),
            (
                "flow-port = 6081",
                "flow-port = 65536",
                "file:6: target a.flow-port",
            ),
            ("weight = 50", "weight = 10001", "file:8: target a.weight"),
            (
                "address = 10.2.0.2",
                "address = 10.2.0.1\nrequest-port = 1",
                "file:9: target b.flow-port: found 10.2.0.1:6081 for flows of orders, which a has",
            ),
        ],
    );
    let other_service = TARGETS.replace(
        "service = orders\nzone = south",
        "service = charts\nzone = south",
    );
    let reused = findings_of::<TargetList>(&other_service, "10.2.0.2", "10.2.0.1");
    assert_eq!(
        reused,
        Vec::<String>::new(),
        "targets of two services may share an address, as their VNIs differ"
    );
}

#[test]
fn invalid_pointer_is_refused() {
    let digest = digest_of(PRESET);
    let pointer = format!("[in-force]\nrevision = 1\nname = ordinary\ndigest = {digest}\n");
    let hex = digest.to_string();
    assert_each_found::<PresetPointer>(
        &pointer,
        &[
            (
                "revision = 1",
                "revision = 0",
                "file:2: in-force.revision: found 0",
            ),
            ("revision = 1", "revision = -1", "file:2: in-force.revision"),
            ("name = ordinary", "name =", "file:3: in-force.name"),
            (&hex, "12", "file:4: in-force.digest"),
            (
                "[in-force]",
                "; pointer\n[in-force]\nnote = x",
                "file:3: in-force.note",
            ),
        ],
    );
}

#[test]
fn evacuated_zones_are_parsed_and_written() {
    let text = format!(
        "[zone south]\nevacuated-since = 2026-03-01T08:30:00Z\nevacuated-by = night shift\n\
         [zone north]\nevacuated-since = 2026-03-02 08:30:00\n{TARGETS}"
    );
    let document = Document::parse("targets", &text).expect("valid INI");
    let list = TargetList::try_from(&document).expect("a valid list");
    let zones: Vec<&str> = list
        .evacuated
        .iter()
        .map(|zone| zone.zone.as_str())
        .collect();
    assert_eq!((list.targets.len(), zones), (2, vec!["north", "south"]));
    assert!(list.is_evacuated(&list.targets[0].zone));
    assert_eq!(list.evacuated[1].by.as_deref(), Some("night shift"));
    let document = Document::parse("targets", &list.to_text()).expect("valid INI");
    assert_eq!(TargetList::try_from(&document), Ok(list));
}

#[test]
fn invalid_evacuated_zones_are_reported() {
    let long = "x".repeat(65);
    let invalid = [
        ("[zone north]\n", "zone north.evacuated-since"),
        ("[zone north]\nevacuated-since = soon\n", "found \"soon\""),
        (
            "[zone a b]\nevacuated-since = 2026-03-01T08:30:00Z\n",
            "zone a b.name",
        ),
        (
            "[zone north]\nevacuated-since = 2026-03-01T08:30:00Z\nevacuated = yes\n",
            "evacuated",
        ),
        (
            &format!(
                "[zone north]\nevacuated-since = 2026-03-01T08:30:00Z\nevacuated-by = {long}\n"
            ),
            "at most 64 bytes",
        ),
    ];
    for (section, expected) in invalid {
        let document = Document::parse("targets", &format!("{section}{TARGETS}"));
        let findings = TargetList::try_from(&document.expect("valid INI"));
        let findings = findings.expect_err(section).to_string();
        assert!(findings.contains(expected), "{findings}");
    }
}

#[test]
fn line_numbers_are_right_after_comments_blank_lines_and_repeated_keys() {
    let text = "; zone = a\n\r\n[vm a]\r\nzone = n\n# address = 1.1.1.1\naddress: x\n\n[vm b]\nzone = n\naddress = y\n";
    let found = findings_of::<VmList>(text, "", "");
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(
        found[0].starts_with("file:6: vm a.address: found \"x\""),
        "{found:?}"
    );
    assert!(
        found[1].starts_with("file:10: vm b.address: found \"y\""),
        "{found:?}"
    );
}

#[test]
fn text_that_is_not_ini_is_reported_at_an_existing_line() {
    for prefix in ["\u{feff}", "\u{a0}"] {
        let found = findings_of::<VmList>(VMS, "[vm a]", &format!("{prefix}[vm a]"));
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(found[0].starts_with("file:1: found"), "{found:?}");
    }
    for text in ["[vm a]\nzone = \"north\n", "[vm a]\n\0:\r\0\n"] {
        let findings = Document::parse("file", text).expect_err("text is invalid");
        let line = findings.iter().map(|finding| finding.location.line).max();
        assert!(
            line.is_some_and(|line| line <= text.lines().count()),
            "{findings}"
        );
    }
}

/// Longest time to parse a document of a megabyte, well below the 8 s in which a change must be in
/// force on all VMs.
const PARSE_LIMIT: Duration = Duration::from_secs(4);

#[test]
fn document_of_a_megabyte_is_parsed_fast_with_right_lines() {
    let mut list = Plan::of(DeploymentKind::Cascade)
        .with_targets(4_800, 100)
        .build()
        .targets;
    for target in &mut list.targets {
        target.id = format!("{}-{}", target.id, "x".repeat(53))
            .parse()
            .expect("valid name");
    }
    let mut text = list.to_text();
    text.push_str("[target last]\nservice = fill-charts\nzone = skagit\naddress = x\n");
    let lines = text.lines().count();
    assert!(
        text.len() > 900_000,
        "document has only {} bytes",
        text.len()
    );
    let start = Instant::now();
    let document = Document::parse("targets", &text).expect("valid INI");
    let findings = TargetList::try_from(&document).expect_err("address is invalid");
    let elapsed = start.elapsed();
    assert_eq!(findings.len(), 1);
    let location = &findings.iter().next().expect("one finding").location;
    assert_eq!(location.line, lines);
    assert!(
        elapsed < PARSE_LIMIT,
        "parsing took {elapsed:?}, less than {PARSE_LIMIT:?} allowed"
    );
}

#[test]
fn coordination_address_is_optional_and_checked() {
    let parse = |line: &str| {
        let text = format!(
            "[vm]\nid = vm-1\nzone = a\naddress = 10.0.0.1\n[platform]\naddresses = 10.0.0.9:80\n\
             [entry]\nlisten = 10.0.0.1:1\nready = 10.0.0.1:2\npeer = 10.0.0.1:3\n{line}\n"
        );
        Settings::try_from(&Document::parse("settings", &text).expect("valid INI"))
    };
    let coordination = |line: &str| {
        let settings = parse(line).expect("valid settings");
        settings.entry.expect("a section").coordination
    };
    assert_eq!(coordination(""), None);
    let address = "10.0.0.1:7734".parse().expect("an address");
    assert_eq!(coordination("coordination = 10.0.0.1:7734"), Some(address));
    for line in ["10.0.0.1", "10.0.0.1:0", "0.0.0.0:7734", "[::1]:7734"] {
        let findings = parse(&format!("coordination = {line}")).expect_err(line);
        assert_eq!(findings.iter().count(), 1, "{findings}");
    }
}
