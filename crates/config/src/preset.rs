//! Presets: services, their limits and the rules that classify work as short or long.

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use bambooseam_types::{Finding, Findings, FlowPort, Location, PresetName, ServiceId, ServiceName};
use derive_more::{Display, FromStr};

use crate::fleet::check_address;
use crate::unique::UniqueKeys;
use crate::{Document, Section};

/// A validated preset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Preset {
    /// Name of the preset.
    pub name: PresetName,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Class rules, longest path prefix first.
    pub rules: Vec<ClassRule>,
}

/// A service and its limits under one preset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Geneve network identifier.
    pub vni: ServiceId,
    /// Address that callers use.
    pub address: IpAddr,
    /// Ports whose flows are forwarded to targets at layer 4, sorted.
    pub flow_ports: Vec<FlowPort>,
    /// Port whose connections are handled by proxies.
    pub request_port: Option<FlowPort>,
    /// Requests that one target runs at a time.
    pub slots: u32,
    /// Connections that one target accepts.
    pub connections: u32,
    /// Longest time that a request waits for a slot.
    pub queue_limit: Duration,
    /// Deadline of a request that does not name one.
    pub deadline: Duration,
    /// Idle time after which the entry of a flow may be dropped.
    pub flow_idle: Duration,
    /// Retries, in percent of first attempts.
    pub retry_share: u8,
    /// Targets that a proxy may eject because of its own observations, in percent.
    pub eject_share: u8,
    /// Time over which a newly started target reaches its full share.
    pub ramp_time: Duration,
}

/// Rule that assigns a class to the requests of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassRule {
    /// Name of the rule.
    pub name: String,
    /// Service that the rule belongs to.
    pub service: ServiceName,
    /// Prefix of the path.
    pub path_prefix: String,
    /// Class of matching requests.
    pub class: WorkClass,
}

/// Expected duration of a piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
pub enum WorkClass {
    /// Usual work.
    #[display("short")]
    Short,
    /// Work that runs many times longer than usual.
    #[display("long")]
    Long,
}

/// Most slots of one target.
const SLOT_LIMIT: u64 = 10_000;
/// Most connections of one target.
const CONNECTION_LIMIT: u64 = 1_000_000;
/// Default slots of a target.
const DEFAULT_SLOTS: u64 = 2;
/// Default connections of a target.
const DEFAULT_CONNECTIONS: u64 = 2_000;
/// Default queue limit of a service.
const DEFAULT_QUEUE_LIMIT: Duration = Duration::from_secs(2);
/// Default deadline of a service.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Default flow idle time of a service, longer than a work shift.
const DEFAULT_FLOW_IDLE: Duration = Duration::from_secs(24 * 3600);
/// Allowed queue limits and deadlines.
const WAIT_TIMES: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(24 * 3600);
/// Allowed flow idle times. A feed that sends no packets loses its flow entry after this time.
const IDLE_TIMES: RangeInclusive<Duration> =
    Duration::from_secs(60)..=Duration::from_secs(30 * 24 * 3600);
/// Allowed ramp times.
const RAMP_TIMES: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(3600);
/// Default share of retries of a service, in percent.
const DEFAULT_RETRY_PERCENT: u64 = 10;
/// Default share of ejected targets of a service, in percent.
const DEFAULT_EJECT_PERCENT: u64 = 30;
/// Default ramp time of a service.
const DEFAULT_RAMP_TIME: Duration = Duration::from_secs(10);

impl Preset {
    /// The service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()?;
        self.services.get(index)
    }

    /// Class of a request for `path` of `service` according to the rules; `None` when no rule
    /// matches.
    pub fn class_of(&self, service: &ServiceName, path: &str) -> Option<WorkClass> {
        for rule in &self.rules {
            if rule.service != *service || !path.starts_with(&rule.path_prefix) {
                continue;
            }
            return Some(rule.class);
        }
        None
    }
}

impl TryFrom<&Document> for Preset {
    type Error = Findings;

    fn try_from(document: &Document) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        document.check_sections(&["preset"], &["service", "class"], &mut findings);
        let mut name = None;
        if let Some(mut section) = document.required_section("preset", &mut findings) {
            name = section.required("name", &mut findings);
            section.report_unknown_keys(&mut findings);
        }
        let mut services = read_services(document, &mut findings);
        if document.sections_of("service").next().is_none() {
            let location = Location::new(document.file(), 0, "service");
            findings.push(Finding::new(
                location,
                "no service",
                "at least one [service NAME]",
            ));
        }
        let mut rules = read_rules(document, &services, &mut findings);
        services.sort_by(|a, b| a.name.cmp(&b.name));
        rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        match name {
            Some(name) => findings.into_result(Self {
                name,
                services,
                rules,
            }),
            None => Err(findings.sorted()),
        }
    }
}

/// Reads all services and validates them against one another.
fn read_services(document: &Document, findings: &mut Findings) -> Vec<Service> {
    let mut services: Vec<Service> = Vec::new();
    let mut service_keys = ServiceKeys::new();
    for (name, mut section) in document.sections_of("service") {
        let service = read_service(name, &mut section, findings);
        if let Some(service) = service {
            service_keys.add(&service, &section);
            services.push(service);
        }
        section.report_unknown_keys(findings);
    }
    service_keys.report(findings);
    services
}

/// Identifiers, addresses and ports that must be unique to one service.
struct ServiceKeys {
    vnis: UniqueKeys<ServiceId>,
    flows: UniqueKeys<SocketAddr>,
    requests: UniqueKeys<FlowPort>,
    request_addresses: Vec<(SocketAddr, Location)>,
}

impl ServiceKeys {
    fn new() -> Self {
        Self {
            vnis: UniqueKeys::new(),
            flows: UniqueKeys::new(),
            requests: UniqueKeys::new(),
            request_addresses: Vec::new(),
        }
    }

    fn add(&mut self, service: &Service, section: &Section<'_>) {
        let name = &service.name;
        self.vnis.add(service.vni, name, section.location("vni"));
        for port in &service.flow_ports {
            let address = SocketAddr::new(service.address, port.get());
            self.flows
                .add(address, name, section.location("flow-ports"));
        }
        let Some(port) = service.request_port else {
            return;
        };
        let location = section.location("request-port");
        let address = SocketAddr::new(service.address, port.get());
        self.requests.add(port, name, location.clone());
        self.request_addresses.push((address, location));
    }

    fn report(mut self, findings: &mut Findings) {
        self.vnis.report("a vni of its own", findings);
        self.flows
            .report("an address and port of its own", findings);
        // Request ports are opened on the VM's address, so the port alone identifies the service.
        self.requests.report("a port of its own", findings);
        for (address, location) in self.request_addresses {
            let Some(owner) = self.flows.owner(&address) else {
                continue;
            };
            let found = format!("{address}, which {owner} has for flows");
            findings.push(Finding::new(location, found, "a port of its own"));
        }
    }
}

/// Reads one service.
fn read_service(name: &str, section: &mut Section<'_>, findings: &mut Findings) -> Option<Service> {
    let parsed = name.parse::<ServiceName>();
    if let Err(error) = &parsed {
        findings.push(Finding::new(
            section.location("name"),
            format!("{name:?}"),
            error.allowed,
        ));
    }
    let vni = section.required("vni", findings);
    let address: Option<IpAddr> = section.required("address", findings);
    if let Some(address) = address {
        check_address(address, section.location("address"), findings);
    }
    let mut flow_ports: Vec<FlowPort> = section.list("flow-ports", findings);
    flow_ports.sort_unstable();
    flow_ports.dedup();
    let request_port = section.optional("request-port", findings);
    if flow_ports.is_empty() && request_port.is_none() {
        let allowed = "flow-ports, a request-port, or both";
        findings.push(Finding::new(
            section.location("flow-ports"),
            "no port",
            allowed,
        ));
    }
    let slots = section.within("slots", DEFAULT_SLOTS, 1..=SLOT_LIMIT, findings);
    let connections = section.within(
        "connections",
        DEFAULT_CONNECTIONS,
        1..=CONNECTION_LIMIT,
        findings,
    );
    if slots > connections {
        let allowed = format!("at most the connections, {connections}");
        findings.push(Finding::new(
            section.location("slots"),
            slots.to_string(),
            allowed,
        ));
    }
    let queue_limit =
        section.duration_within("queue-limit", DEFAULT_QUEUE_LIMIT, WAIT_TIMES, findings);
    let deadline = section.duration_within("deadline", DEFAULT_DEADLINE, WAIT_TIMES, findings);
    if deadline < queue_limit {
        let found = humantime::format_duration(deadline).to_string();
        let queue_limit = humantime::format_duration(queue_limit);
        let allowed = format!("at least the queue-limit, {queue_limit}");
        findings.push(Finding::new(section.location("deadline"), found, allowed));
    }
    let flow_idle = section.duration_within("flow-idle", DEFAULT_FLOW_IDLE, IDLE_TIMES, findings);
    let retry_share = section.within("retry-share", DEFAULT_RETRY_PERCENT, 0..=100, findings);
    let eject_share = section.within("eject-share", DEFAULT_EJECT_PERCENT, 0..=100, findings);
    let ramp_time = section.duration_within("ramp-time", DEFAULT_RAMP_TIME, RAMP_TIMES, findings);
    Some(Service {
        name: parsed.ok()?,
        vni: vni?,
        address: address?,
        flow_ports,
        request_port,
        slots: u32::try_from(slots).ok()?,
        connections: u32::try_from(connections).ok()?,
        queue_limit,
        deadline,
        flow_idle,
        retry_share: u8::try_from(retry_share).ok()?,
        eject_share: u8::try_from(eject_share).ok()?,
        ramp_time,
    })
}

/// Reads all class rules.
fn read_rules(
    document: &Document,
    services: &[Service],
    findings: &mut Findings,
) -> Vec<ClassRule> {
    let mut rules = Vec::new();
    let mut keys = UniqueKeys::new();
    for (name, mut section) in document.sections_of("class") {
        let service: Option<ServiceName> = section.required("service", findings);
        let path_prefix: Option<String> = section.required("path-prefix", findings);
        let class = section.required("class", findings);
        if let Some(service) = &service {
            check_rule_service(document, service, services, &section, findings);
        }
        if let Some(prefix) = &path_prefix {
            check_prefix(prefix, &section, findings);
        }
        let location = section.location("path-prefix");
        section.report_unknown_keys(findings);
        let (Some(service), Some(path_prefix), Some(class)) = (service, path_prefix, class) else {
            continue;
        };
        keys.add(format!("{path_prefix} of {service}"), name, location);
        rules.push(ClassRule {
            name: name.into(),
            service,
            path_prefix,
            class,
        });
    }
    keys.report("one rule for each path of a service", findings);
    rules
}

/// Reports a rule whose service is not in the preset or has no request port.
fn check_rule_service(
    document: &Document,
    name: &ServiceName,
    services: &[Service],
    section: &Section<'_>,
    findings: &mut Findings,
) {
    let location = || section.location("service");
    if let Some(service) = services.iter().find(|service| service.name == *name) {
        if service.request_port.is_none() {
            let found = format!("{name}, which has no request-port");
            findings.push(Finding::new(
                location(),
                found,
                "a service with a request-port",
            ));
        }
        return;
    }
    // `services` lacks a service whose own section is invalid; such a service is not unknown.
    let mut sections = document.sections_of("service");
    if sections.all(|(other, _)| other != name.as_str()) {
        let found = format!("{name}, which no section describes");
        findings.push(Finding::new(location(), found, "a service of this preset"));
    }
}

/// Reports a path prefix that no path can match.
fn check_prefix(prefix: &str, section: &Section<'_>, findings: &mut Findings) {
    let is_forbidden = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '?' | '#');
    if prefix.starts_with('/') && !prefix.contains(is_forbidden) {
        return;
    }
    let location = section.location("path-prefix");
    let allowed = "a path from '/', without spaces, '?' and '#'";
    findings.push(Finding::new(location, format!("{prefix:?}"), allowed));
}
