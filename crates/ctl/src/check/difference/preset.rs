//! Differences between two presets.

use std::time::Duration;

use bambooseam_config::{ClassRule, Preset, Service};
use bambooseam_types::Findings;
use humantime::format_duration;

use super::{Change, Comparison, Difference, UNAFFECTED, compare_values};
use crate::documents::InputFile;

/// Effects of changes on open flows.
const DROPPED: &str = "interrupted: their packets are dropped";
const OTHER_VNI: &str = "interrupted at each target until its filter passes the new identifier";

/// Compares two presets, which may be versions of one.
///
/// # Errors
///
/// Returns the findings of the version in force if it is invalid.
pub(in crate::check) fn compare_presets(in_force: &InputFile, file: &InputFile) -> Comparison {
    let before: Preset = in_force.parse()?;
    // The findings of the checked file have already been collected.
    let after: Preset = file.parse().map_err(|_| Findings::new())?;
    let mut differences = Vec::new();
    let names = (before.name.to_string(), after.name.to_string());
    compare_values(
        "preset",
        [("name", names.0, names.1, UNAFFECTED)],
        &mut differences,
    );
    for service in &before.services {
        let subject = format!("service {}", service.name);
        match after.service(&service.name) {
            Some(other) => compare_service(service, other, &subject, &mut differences),
            None => differences.push(Difference::new(subject, Change::Removed, DROPPED)),
        }
    }
    for service in &after.services {
        if before.service(&service.name).is_none() {
            let subject = format!("service {}", service.name);
            differences.push(Difference::new(subject, Change::Added, UNAFFECTED));
        }
    }
    compare_rules(&before.rules, &after.rules, &mut differences);
    Ok((differences, Findings::new()))
}

/// Compares the values of one service of a preset.
fn compare_service(
    before: &Service,
    after: &Service,
    subject: &str,
    differences: &mut Vec<Difference>,
) {
    let ports = |service: &Service| {
        let ports: Vec<_> = service.flow_ports.iter().map(ToString::to_string).collect();
        ports.join(", ")
    };
    let is_removed = |port| !after.flow_ports.contains(port);
    let port_effect = match before.flow_ports.iter().any(is_removed) {
        true => "interrupted at removed ports: their packets are dropped",
        false => UNAFFECTED,
    };
    let request_port = |service: &Service| {
        let port = service.request_port;
        port.map_or_else(|| "none".into(), |port| port.to_string())
    };
    let time = |time: Duration| format_duration(time).to_string();
    let values = [
        (
            "vni",
            before.vni.to_string(),
            after.vni.to_string(),
            OTHER_VNI,
        ),
        (
            "address",
            before.address.to_string(),
            after.address.to_string(),
            DROPPED,
        ),
        ("flow-ports", ports(before), ports(after), port_effect),
        (
            "request-port",
            request_port(before),
            request_port(after),
            UNAFFECTED,
        ),
        (
            "slots",
            before.slots.to_string(),
            after.slots.to_string(),
            UNAFFECTED,
        ),
        (
            "connections",
            before.connections.to_string(),
            after.connections.to_string(),
            UNAFFECTED,
        ),
        (
            "queue-limit",
            time(before.queue_limit),
            time(after.queue_limit),
            UNAFFECTED,
        ),
        (
            "deadline",
            time(before.deadline),
            time(after.deadline),
            UNAFFECTED,
        ),
        (
            "flow-idle",
            time(before.flow_idle),
            time(after.flow_idle),
            "forgotten after the new idle time",
        ),
        (
            "retry-share",
            before.retry_share.to_string(),
            after.retry_share.to_string(),
            UNAFFECTED,
        ),
        (
            "eject-share",
            before.eject_share.to_string(),
            after.eject_share.to_string(),
            UNAFFECTED,
        ),
        (
            "ramp-time",
            time(before.ramp_time),
            time(after.ramp_time),
            UNAFFECTED,
        ),
    ];
    compare_values(subject, values, differences);
}

fn compare_rules(before: &[ClassRule], after: &[ClassRule], differences: &mut Vec<Difference>) {
    for rule in before {
        let subject = format!("class {}", rule.name);
        let Some(other) = after.iter().find(|other| other.name == rule.name) else {
            differences.push(Difference::new(subject, Change::Removed, UNAFFECTED));
            continue;
        };
        let values = [
            (
                "service",
                rule.service.to_string(),
                other.service.to_string(),
                UNAFFECTED,
            ),
            (
                "path-prefix",
                rule.path_prefix.clone(),
                other.path_prefix.clone(),
                UNAFFECTED,
            ),
            (
                "class",
                rule.class.to_string(),
                other.class.to_string(),
                UNAFFECTED,
            ),
        ];
        compare_values(&subject, values, differences);
    }
    for rule in after {
        if before.iter().all(|other| other.name != rule.name) {
            let subject = format!("class {}", rule.name);
            differences.push(Difference::new(subject, Change::Added, UNAFFECTED));
        }
    }
}
