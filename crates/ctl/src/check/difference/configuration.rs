//! Differences between two configurations of the users' platform.

use std::fmt::Display;
use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_platform::outline::{Located, Outline, RouteOutline, ServiceOutline};
use bambooseam_types::{Finding, Findings};
use humantime::format_duration;

use super::{Change, Comparison, Difference, UNAFFECTED, compare_values};
use crate::documents::InputFile;

/// Effects of changes on open flows.
const RESET: &str = "reset with their next packet";
const STAY: &str = "stay at their targets";

/// Compares two configurations of the users' platform.
///
/// # Errors
///
/// Returns a finding if the version in force is no configuration.
pub(in crate::check) fn compare_configurations(
    in_force: &InputFile,
    file: &InputFile,
) -> Comparison {
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

/// Compares routes by frontend: a route that gets another frontend is a removed and a new one.
fn compare_routes(before: &Outline, after: &Outline, differences: &mut Vec<Difference>) {
    for route in effective(before) {
        let subject = describe(route);
        let Some(other) = effective(after).find(|other| frontend(other) == frontend(route)) else {
            differences.push(Difference::new(subject, Change::Removed, RESET));
            continue;
        };
        let values = [
            ("name", route.name.clone(), other.name.clone(), UNAFFECTED),
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
