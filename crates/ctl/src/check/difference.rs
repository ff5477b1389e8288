//! Differences between a document and its version in force, with their effect on open flows.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_config::{ClassRule, Preset, Service};
use bambooseam_platform::outline::{Located, Outline, RouteOutline, ServiceOutline};
use bambooseam_types::{Finding, Findings};
use humantime::format_duration;
use serde_json::{Value, json};

use crate::documents::{InputFile, single_finding};

/// A difference from the version in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// What differs, such as `route r-1`.
    pub subject: String,
    /// What has happened to it.
    pub change: Change,
    /// What becomes of the flows that are open there.
    pub open_flows: &'static str,
}

/// Kind of a difference.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Not in the version in force.
    Added,
    /// In the version in force only.
    Removed,
    /// One value differs.
    Changed {
        /// Name of the value.
        field: &'static str,
        /// Value in the version in force.
        before: String,
        /// New value.
        after: String,
    },
}

/// Differences of a comparison, and findings about the step from one version to the next.
type Comparison = Result<(Vec<Difference>, Findings), Findings>;

/// Effects of changes on open flows.
const UNAFFECTED: &str = "not affected";
const RESET: &str = "reset with their next packet";
const STAY: &str = "stay at their targets";
const DROPPED: &str = "interrupted: their packets are dropped";
const OTHER_VNI: &str = "interrupted at each target until its filter passes the new identifier";

/// Compares two configurations of the users' platform.
///
/// # Errors
///
/// Returns a finding if the version in force is no configuration.
pub(super) fn compare_configurations(in_force: &InputFile, file: &InputFile) -> Comparison {
    let before = Outline::decode(&in_force.name, &in_force.text);
    let after = Outline::decode(&file.name, &file.text);
    let Some(in_force_version) = &before.version else {
        return Err(before.findings);
    };
    let mut differences = Vec::new();
    compare_routes(&before, &after, &mut differences);
    compare_services(&before, &after, &mut differences);
    let idle = (times(&before.idle_time), times(&after.idle_time));
    compare_values(
        "limits",
        [("idle time", idle.0, idle.1, UNAFFECTED)],
        &mut differences,
    );
    let mut findings = Findings::new();
    if let Some(version) = &after.version
        && (version.value < in_force_version.value
            || version.value == in_force_version.value && !differences.is_empty())
    {
        let in_force = in_force_version.value;
        let allowed = format!("above {in_force}, the version in force");
        let hint = format!("{} = {}", version.location.key, in_force.saturating_add(1));
        let finding = Finding::new(version.location.clone(), version.value.to_string(), allowed);
        findings.push(finding.with_hint(hint));
    }
    Ok((differences, findings))
}

/// Compares two versions of a preset.
///
/// # Errors
///
/// Returns the findings of the version in force if it is invalid.
pub(super) fn compare_presets(in_force: &InputFile, file: &InputFile) -> Comparison {
    let before: Preset = in_force.parse()?;
    // The findings of the checked file have already been collected.
    let after: Preset = file.parse().map_err(|_| Findings::new())?;
    if before.name != after.name {
        let found = format!("preset {}", before.name);
        let allowed = format!("a version of preset {}", after.name);
        return Err(single_finding(&in_force.name, found, allowed, ""));
    }
    let mut differences = Vec::new();
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

/// Compares routes by frontend: a route that gets another frontend is a removed and a new one.
fn compare_routes(before: &Outline, after: &Outline, differences: &mut Vec<Difference>) {
    for route in effective(before) {
        let subject = describe(route);
        let Some(other) = effective(after).find(|other| frontend(other) == frontend(route)) else {
            differences.push(Difference::new(subject, Change::Removed, RESET));
            continue;
        };
        let values = [
            ("name", text(&route.name), text(&other.name), UNAFFECTED),
            ("services", shares(route), shares(other), STAY),
            (
                "timeout",
                times(&route.timeout),
                times(&other.timeout),
                UNAFFECTED,
            ),
            (
                "latency goal",
                times(&route.latency_goal),
                times(&other.latency_goal),
                UNAFFECTED,
            ),
            (
                "priority",
                plain(&route.priority),
                plain(&other.priority),
                UNAFFECTED,
            ),
        ];
        compare_values(&subject, values, differences);
    }
    for route in effective(after) {
        if effective(before).all(|other| frontend(other) != frontend(route)) {
            let difference = Difference::new(describe(route), Change::Added, UNAFFECTED);
            differences.push(difference);
        }
    }
}

fn compare_services(before: &Outline, after: &Outline, differences: &mut Vec<Difference>) {
    let (before, after) = (listed(before), listed(after));
    for service in &before {
        let subject = format!("service {}", service.name);
        let Some(other) = after.iter().find(|other| other.name == service.name) else {
            differences.push(Difference::new(subject, Change::Removed, STAY));
            continue;
        };
        let (old, new) = (service.outline, other.outline);
        let values = [
            (
                "warm-up",
                times(&old.cold_time),
                times(&new.cold_time),
                UNAFFECTED,
            ),
            (
                "warm-up rate",
                plain(&old.cold_rate),
                plain(&new.cold_rate),
                UNAFFECTED,
            ),
        ];
        compare_values(&subject, values, differences);
    }
    for service in &after {
        if before.iter().all(|other| other.name != service.name) {
            let subject = format!("service {}", service.name);
            differences.push(Difference::new(subject, Change::Added, UNAFFECTED));
        }
    }
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
                text(&rule.path_prefix),
                text(&other.path_prefix),
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

/// A service with a valid name.
struct Listed<'a> {
    name: String,
    outline: &'a ServiceOutline,
}

/// Services of a configuration; of several entries with one name, the first counts.
fn listed(outline: &Outline) -> Vec<Listed<'_>> {
    let mut listed: Vec<Listed<'_>> = Vec::new();
    for outline in outline.services.iter().flatten() {
        let Some(name) = &outline.name else {
            continue;
        };
        let name = name.value.to_string();
        if listed.iter().all(|other| other.name != name) {
            listed.push(Listed { name, outline });
        }
    }
    listed
}

/// Routes that are in force; of several with one frontend, the first counts.
fn effective(outline: &Outline) -> impl Iterator<Item = &RouteOutline> {
    let routes = outline.routes.iter().enumerate();
    let routes = routes.filter(|(index, route)| {
        let earlier = &outline.routes[..*index];
        route.frontend.is_some() && earlier.iter().all(|e| frontend(e) != frontend(route))
    });
    routes.map(|(_, route)| route)
}

fn frontend(route: &RouteOutline) -> Option<SocketAddrV4> {
    route.frontend.as_ref().map(|frontend| frontend.value)
}

fn describe(route: &RouteOutline) -> String {
    let frontend = frontend(route).map_or_else(String::new, |f| f.to_string());
    format!("route {} at {frontend}", route.name)
}

fn shares(route: &RouteOutline) -> String {
    let is_single = route.shares.len() == 1;
    let shares = route.shares.iter().map(|share| match is_single {
        true => share.service.value.to_string(),
        false => format!("{} {}", share.service.value, share.weight.value),
    });
    shares.collect::<Vec<_>>().join(", ")
}

fn text(value: &str) -> String {
    value.into()
}

fn plain<T: Display>(located: &Option<Located<T>>) -> String {
    let value = located.as_ref().map(|located| located.value.to_string());
    value.unwrap_or_else(|| "none".into())
}

fn times(located: &Option<Located<Duration>>) -> String {
    let time = located
        .as_ref()
        .map(|located| format_duration(located.value).to_string());
    time.unwrap_or_else(|| "none".into())
}

/// Name of a value, the value before and after, and the effect of a change on open flows.
type FieldValues = (&'static str, String, String, &'static str);

/// Adds a difference for each value that has changed.
fn compare_values(
    subject: &str,
    values: impl IntoIterator<Item = FieldValues>,
    differences: &mut Vec<Difference>,
) {
    for (field, before, after, open_flows) in values {
        if before == after {
            continue;
        }
        let change = Change::Changed {
            field,
            before,
            after,
        };
        differences.push(Difference::new(subject.into(), change, open_flows));
    }
}

impl Difference {
    fn new(subject: String, change: Change, open_flows: &'static str) -> Self {
        Self {
            subject,
            change,
            open_flows,
        }
    }

    /// Returns the difference as a JSON object.
    pub fn to_json(&self) -> Value {
        let (change, field, before, after) = match &self.change {
            Change::Added => ("added", None, None, None),
            Change::Removed => ("removed", None, None, None),
            Change::Changed {
                field,
                before,
                after,
            } => ("changed", Some(field), Some(before), Some(after)),
        };
        json!({
            "subject": self.subject,
            "change": change,
            "field": field,
            "before": before,
            "after": after,
            "open_flows": self.open_flows,
        })
    }
}

impl Display for Difference {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.subject)?;
        match &self.change {
            Change::Added => write!(f, "added")?,
            Change::Removed => write!(f, "removed")?,
            Change::Changed {
                field,
                before,
                after,
            } => write!(f, "{field}: {before} -> {after}")?,
        }
        write!(f, "; open flows: {}", self.open_flows)
    }
}
