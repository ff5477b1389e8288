//! Documents and their findings.

use bambooseam_config::{Document, InForce, Preset, Settings, digest_of};
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
fn good_preset_is_read() {
    let preset = parse_preset(PRESET).expect("a good preset");
    assert_eq!(preset.services.len(), 1);
    assert_eq!(preset.services[0].slots, 2);
    assert_eq!(preset.rules[0].path_prefix, "/charts/");
}

#[test]
fn all_findings_are_reported_with_their_lines() {
    let text = PRESET
        .replace("vni = 101", "vin = 0\nslots = none")
        .replace("class = long", "class = huge");
    let findings = parse_preset(&text).expect_err("three findings and a missing key");
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
    let document = Document::parse("vm.ini", text).expect("INI");
    let report = Settings::try_from(&document)
        .expect_err("no platform")
        .to_string();
    assert!(report.contains("vm.ini:6: platfrom"), "{report}");
    assert!(report.contains("did you mean platform?"), "{report}");
}

#[test]
fn view_is_refused_when_the_digest_differs() {
    let pointer = InForce {
        revision: 1.into(),
        name: "ordinary".parse().expect("a name"),
        digest: digest_of("something else"),
    };
    let source = ViewSource {
        pointer: pointer.to_text(),
        preset: PRESET.into(),
        ..ViewSource::default()
    };
    let report = View::build(&source)
        .expect_err("a wrong digest")
        .to_string();
    assert!(report.contains("in-force.digest"), "{report}");
}
