//! Checks that the documentation lists every key, event, cause and metric of the programs, and that
//! the sources follow rules that the compiler does not check.

use std::fs;
use std::path::{Path, PathBuf};

use bambooseam_config::{Document, Settings};

/// Keys of settings and documents.
const KEYS: [&str; 58] = [
    "id",
    "zone",
    "address",
    "addresses",
    "prefix",
    "watch-time",
    "poll-time",
    "listen",
    "views",
    "admin",
    "peers",
    "budget",
    "exchanges",
    "flow-limit",
    "connection-limit",
    "head-limit",
    "head-time",
    "drain-time",
    "level",
    "file",
    "name",
    "vni",
    "flow-ports",
    "request-port",
    "slots",
    "connections",
    "queue-limit",
    "deadline",
    "flow-idle",
    "retry-share",
    "eject-share",
    "ramp-time",
    "service",
    "path-prefix",
    "class",
    "state",
    "agent-port",
    "forwarder-port",
    "proxy-port",
    "flow-port",
    "weight",
    "vm",
    "platform",
    "agent",
    "forwarder",
    "proxy",
    "log",
    "trace",
    "preset",
    "ready",
    "peer",
    "seeds",
    "coordination",
    "stop-time",
    "cold-excess",
    "cold-slack",
    "target-speed",
    "evacuated-last-resort",
];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join(name)).expect("page read")
}

#[test]
fn manual_lists_every_key() {
    let manual = page("docs/OPERATIONS.md");
    for key in KEYS {
        let is_listed = [format!("`{key}`"), format!("`{key} NAME`")]
            .iter()
            .any(|word| manual.contains(word));
        assert!(is_listed, "docs/OPERATIONS.md does not list {key}");
    }
}

#[test]
fn keys_of_the_settings_are_all_in_the_list() {
    // The finding for an unknown key lists the allowed keys of the section.
    let text = "[vm]\nx = 1\n[platform]\nx = 1\n[agent]\nx = 1\n[forwarder]\nx = 1\n\
                [proxy]\nx = 1\n[entry]\nx = 1\n[log]\nx = 1\n[trace]\nx = 1\n";
    let document = Document::parse("settings", text).expect("valid INI");
    let findings = Settings::try_from(&document).expect_err("settings have unknown keys");
    let unknown = findings
        .iter()
        .filter(|finding| finding.found == "an unknown key");
    let mut sections = 0;
    for finding in unknown {
        sections += 1;
        for key in finding.allowed.split(", ") {
            assert!(
                KEYS.contains(&key),
                "KEYS lacks {key} of {}",
                finding.location
            );
        }
    }
    assert_eq!(sections, 8);
}

/// Names in the `display` attributes of the enum variants of a source file.
fn display_names(source: &str) -> Vec<String> {
    let source = page(source);
    let names = source.lines().filter_map(|line| {
        let rest = line.trim().strip_prefix("#[display(\"")?;
        rest.strip_suffix("\")]")
    });
    let plain = names.filter(|name| !name.contains('{'));
    plain.map(str::to_owned).collect()
}

#[test]
fn manual_lists_every_drop_cause_and_every_event() {
    let manual = page("docs/OPERATIONS.md");
    let causes = display_names("crates/forwarder/src/counters.rs");
    assert!(causes.len() > 10, "{causes:?}");
    for cause in causes {
        let row = format!("| `{cause}` |");
        assert!(manual.contains(&row), "docs/OPERATIONS.md lacks {cause}");
    }
    for cause in display_names("crates/steer/src/decision.rs") {
        let words = [format!("`{cause}`"), format!("`flow_{cause}`")];
        let is_listed = words.iter().any(|word| manual.contains(word));
        assert!(is_listed, "docs/OPERATIONS.md lacks {cause}");
    }
    let programs = ["entry", "steer"].map(|name| root().join("crates").join(name).join("src"));
    for source in programs.iter().flat_map(|program| sources(program)) {
        for rest in source.split("event=").skip(1) {
            let event = rest.split(|c: char| !c.is_alphabetic() && c != '_').next();
            let event = event.unwrap_or_default();
            let is_listed = event == "flow_" || manual.contains(&format!("`{event}`"));
            assert!(is_listed, "docs/OPERATIONS.md lacks {event}");
        }
    }
    let events = display_names("crates/agent/src/event.rs");
    assert!(events.len() > 10, "{events:?}");
    for event in events {
        let word = format!("`{event}`");
        assert!(manual.contains(&word), "docs/OPERATIONS.md lacks {event}");
    }
}

/// Contents of all files below `directory`.
fn sources(directory: &Path) -> Vec<String> {
    let mut sources = Vec::new();
    for entry in fs::read_dir(directory).expect("directory read") {
        let path = entry.expect("directory entry read").path();
        if path.is_dir() {
            sources.extend(self::sources(&path));
        } else {
            sources.push(fs::read_to_string(&path).expect("source file read"));
        }
    }
    sources
}

#[test]
fn manual_lists_every_metric() {
    const PREFIXES: [&str; 4] = [
        "counter!(\"",
        "gauge!(\"",
        "histogram!(\"",
        "LogLimit::new(\"",
    ];
    let manual = page("docs/OPERATIONS.md");
    let mut count = 0;
    for program in ["agent", "entry", "forwarder", "observe", "peer", "proxy"] {
        for source in sources(&root().join("crates").join(program).join("src")) {
            for prefix in PREFIXES {
                for rest in source.split(prefix).skip(1) {
                    let name = rest.split('"').next().unwrap_or_default();
                    let is_listed = [format!("`{name}`"), format!("`{name}{{")]
                        .iter()
                        .any(|word| manual.contains(word));
                    assert!(is_listed, "docs/OPERATIONS.md lacks {name}");
                    count += 1;
                }
            }
        }
    }
    assert!(count > 20, "{count}");
}

#[test]
fn settings_example_of_the_manual_is_valid() {
    let manual = page("docs/OPERATIONS.md");
    let start = manual
        .find("       [vm]\n")
        .expect("settings example exists");
    let example: String = manual[start..]
        .lines()
        .take_while(|line| line.is_empty() || line.starts_with("       "))
        .map(|line| format!("{}\n", line.trim()))
        .collect();
    let document = Document::parse("manual", &example).expect("valid INI");
    let settings = Settings::try_from(&document).expect("valid settings");
    assert_eq!(settings.vm.id.as_str(), "vm-001");
}

#[test]
fn commands_of_the_readme_exist() {
    let readme = page("README.md");
    assert!(readme.contains("cargo test --workspace"));
    assert!(readme.contains("scripts/demo.sh"));
    assert!(root().join("scripts/demo.sh").is_file());
}

#[test]
fn no_decision_on_the_users_platform_reads_the_time_of_day() {
    for directory in [
        "crates/replica/src",
        "crates/steer/src",
        "crates/entry/src",
        "platform/src",
    ] {
        for source in sources(&root().join(directory)) {
            assert!(
                !source.contains("SystemTime"),
                "{directory} reads the time of day through SystemTime"
            );
        }
    }
}

#[test]
fn names_of_the_users_platform_are_used_in_one_folder_only() {
    // Names of the calls, keys and settings of the platform; some of them are ordinary words
    // elsewhere.
    let words = [
        "kv-range",
        "kv-watch",
        "op/config",
        "op/evacuate",
        "servers/",
        "traffic_split",
        "warmup_left_ms",
        "heartbeat_ms",
        "datagram_addr",
        "api/readiness",
        "BAMBOOSEAM_CONFIG",
    ];
    let programs = [
        "agent",
        "config",
        "ctl",
        "entry",
        "forwarder",
        "observe",
        "peer",
        "proxy",
    ];
    for program in programs
        .into_iter()
        .chain(["replica", "steer", "types", "view"])
    {
        for source in sources(&root().join("crates").join(program).join("src")) {
            for word in words {
                assert!(!source.contains(word), "crates/{program} contains {word}");
            }
        }
    }
}
