//! Checks of the users' configuration document beyond its format: entries that can never match,
//! and limits that contradict each other.

use std::fmt::Display;

use bambooseam_platform::outline::{Located, Outline, RouteOutline, ServiceOutline};
use bambooseam_platform::{Document, DocumentKind};
use bambooseam_types::{Finding, Findings, Location, ServiceName};
use humantime::format_duration;

use crate::documents::single_finding;

/// Checks a configuration document; `file` is the name used in findings.
pub fn check_configuration(file: &str, text: &str) -> Findings {
    let outline = Outline::decode(file, text);
    let mut findings = outline.findings.clone();
    if findings.is_empty() {
        findings.append(check_with_parser(file, text));
    }
    check_routes(&outline, &mut findings);
    check_services(&outline, &mut findings);
    check_times(&outline, &mut findings);
    check_rates(&outline, &mut findings);
    findings.sorted()
}

/// Returns a finding for each part that the entry programs would skip, or one if they would reject
/// the whole document.
fn check_with_parser(file: &str, text: &str) -> Findings {
    let allowed = "a configuration in the format of docs/OPERATIONS.md";
    let mut findings = Findings::new();
    match DocumentKind::Config.parse(text.as_bytes()) {
        Ok(Document::Config(config)) => {
            for error in config.skipped {
                findings.append(single_finding(file, error.to_string(), allowed, ""));
            }
        }
        Ok(_) => {}
        Err(error) => findings.append(single_finding(file, error.to_string(), allowed, "")),
    }
    findings
}

/// Reports routes that never get a flow, and shares that get none.
fn check_routes(outline: &Outline, findings: &mut Findings) {
    for (index, route) in outline.routes.iter().enumerate() {
        let earlier = &outline.routes[..index];
        if let Some(frontend) = &route.frontend
            && let Some(first) = earlier
                .iter()
                .find(|other| value(&other.frontend) == Some(&frontend.value))
        {
            let found = format!("{}, which route {} has", frontend.value, first.name);
            report(findings, &frontend.location, found, "a frontend of its own");
        }
        if earlier.iter().any(|other| other.name == route.name) {
            let found = format!("{}, which another route has too", route.name);
            report(findings, &route.location, found, "a name of its own");
        }
        check_weights(route, findings);
    }
}

fn check_weights(route: &RouteOutline, findings: &mut Findings) {
    let weights = || route.shares.iter().map(|share| share.weight.value);
    if weights().len() > 1 && weights().all(|weight| weight == 0) {
        let allowed = "at least one share with a weight above 0";
        report(findings, &route.location, "only weights of 0", allowed);
        return;
    }
    for share in &route.shares {
        if share.weight.value == 0 {
            let found = format!("0, so that {} gets no new flows", share.service.value);
            let allowed = "a weight above 0, or no such share";
            report(findings, &share.weight.location, found, allowed);
        }
    }
}

/// Reports services without a route, services listed twice, and routes to services that are not
/// listed.
fn check_services(outline: &Outline, findings: &mut Findings) {
    let Some(services) = &outline.services else {
        return;
    };
    let shares = || outline.routes.iter().flat_map(|route| &route.shares);
    for (index, service) in services.iter().enumerate() {
        let Some(name) = &service.name else {
            continue;
        };
        let is_same = |other: &ServiceOutline| value(&other.name) == Some(&name.value);
        if services[..index].iter().any(is_same) {
            let found = format!("{}, which another entry has too", name.value);
            report(findings, &name.location, found, "a name of its own");
        } else if shares().all(|share| share.service.value != name.value) {
            let found = format!("{}, which no route names", name.value);
            report(findings, &name.location, found, "a service of a route");
        }
    }
    // A service whose own entry is invalid is not unknown.
    let names: Option<Vec<&ServiceName>> = services.iter().map(|s| value(&s.name)).collect();
    let Some(names) = names else {
        return;
    };
    for share in shares() {
        let service = &share.service;
        if !names.contains(&&service.value) {
            let found = format!("{}, which the list of services lacks", service.value);
            report(findings, &service.location, found, "a listed service");
        }
    }
}

/// Reports times that contradict each other.
fn check_times(outline: &Outline, findings: &mut Findings) {
    for route in &outline.routes {
        let Some(timeout) = &route.timeout else {
            continue;
        };
        if let Some(goal) = &route.latency_goal
            && goal.value > timeout.value
        {
            let found = format_duration(goal.value).to_string();
            let allowed = format!("at most the timeout, {}", format_duration(timeout.value));
            report(findings, &goal.location, found, allowed);
        }
        if let Some(idle) = &outline.idle_time
            && timeout.value > idle.value
        {
            let found = format_duration(timeout.value).to_string();
            let allowed = format!("at most the idle time, {}", format_duration(idle.value));
            report(findings, &timeout.location, found, allowed);
        }
    }
}

/// Reports services whose cold targets have no limit although those of others have one.
fn check_rates(outline: &Outline, findings: &mut Findings) {
    let services = outline.services.as_deref().unwrap_or_default();
    let rate_of = |service: &ServiceOutline| value(&service.cold_rate).copied().unwrap_or(0.0);
    let Some(other) = services.iter().find(|service| rate_of(service) > 0.0) else {
        return;
    };
    let other = value(&other.name).map_or_else(String::new, ToString::to_string);
    for service in services {
        let Some(time) = service.cold_time.as_ref().filter(|t| !t.value.is_zero()) else {
            continue;
        };
        if rate_of(service) > 0.0 {
            continue;
        }
        let location = service
            .cold_rate
            .as_ref()
            .map_or(&time.location, |r| &r.location);
        let cold_time = format_duration(time.value);
        let found = format!("no rate for a warm-up of {cold_time}, so that there is no limit");
        report(
            findings,
            location,
            found,
            format!("a rate above 0, as {other} has"),
        );
    }
}

fn value<T>(located: &Option<Located<T>>) -> Option<&T> {
    located.as_ref().map(|located| &located.value)
}

fn report(
    findings: &mut Findings,
    location: &Location,
    found: impl Display,
    allowed: impl Into<String>,
) {
    findings.push(Finding::new(location.clone(), found.to_string(), allowed));
}
