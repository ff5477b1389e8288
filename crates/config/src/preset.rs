//! A preset: services, their limits and the rules that tell short work from long.

use std::net::IpAddr;
use std::time::Duration;

use bambooseam_types::{Finding, Findings, FlowPort, PresetName, ServiceId, ServiceName};
use derive_more::{Display, FromStr};

use crate::Document;

/// A checked preset, services and rules sorted by name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Preset {
    /// Name of the preset.
    pub name: PresetName,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Class rules, the longest path prefix first.
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
    /// Ports whose flows go to targets at layer 4, sorted.
    pub flow_ports: Vec<FlowPort>,
    /// Port whose connections go to proxies.
    pub request_port: Option<FlowPort>,
    /// Requests that one target runs at a time.
    pub slots: u32,
    /// Connections that one target accepts.
    pub connections: u32,
    /// Longest time that a request waits for a slot.
    pub queue_limit: Duration,
    /// Deadline of a request that brings none.
    pub deadline: Duration,
    /// Silence after which a flow's entry may be dropped.
    pub flow_idle: Duration,
    /// Retries, in percent of first tries.
    pub retry_share: u8,
    /// Targets that own observations may eject, in percent.
    pub eject_share: u8,
    /// Time over which a cold target reaches its full share.
    pub ramp_time: Duration,
}

/// Rule that gives requests of a path a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassRule {
    /// Name of the rule.
    pub name: String,
    /// Service that the rule belongs to.
    pub service: ServiceName,
    /// Start of the path.
    pub path_prefix: String,
    /// Class of matching requests.
    pub class: WorkClass,
}

/// Expected length of a piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
pub enum WorkClass {
    /// Usual work.
    #[display("short")]
    Short,
    /// Work that runs many times longer than usual.
    #[display("long")]
    Long,
}

/// Section kinds of a preset document.
const SECTIONS: [&str; 3] = ["preset", "service", "class"];
/// Most slots of one target.
const SLOT_LIMIT: u64 = 10_000;
/// Most connections of one target.
const CONNECTION_LIMIT: u64 = 1_000_000;
/// Slots of a target that names none.
const SLOTS: u64 = 2;
/// Connections of a target that names none.
const CONNECTIONS: u64 = 2_000;
/// Queue limit of a service that names none.
const QUEUE_LIMIT: Duration = Duration::from_secs(2);
/// Deadline of a service that names none.
const DEADLINE: Duration = Duration::from_secs(10);
/// Flow idle time of a service that names none: longer than a shift.
const FLOW_IDLE: Duration = Duration::from_secs(24 * 3600);
/// Shortest flow idle time.
const FLOW_IDLE_LEAST: Duration = Duration::from_secs(60);
/// Retries in percent for a service that names none.
const RETRY_SHARE: u64 = 10;
/// Ejections in percent for a service that names none.
const EJECT_SHARE: u64 = 30;
/// Ramp time of a service that names none.
const RAMP_TIME: Duration = Duration::from_secs(10);

impl Preset {
    /// The service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()?;
        self.services.get(index)
    }

    /// Class of a request by the rules; `None` when no rule speaks of it.
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
        document.report_unknown_sections(&SECTIONS, &mut findings);
        let mut name = None;
        if let Some(mut section) = document.required_section("preset", &mut findings) {
            name = section.required("name", &mut findings);
            section.report_unknown_keys(&mut findings);
        }
        let mut services = read_services(document, &mut findings);
        let mut rules = read_rules(document, &mut findings);
        services.sort_by(|a, b| a.name.cmp(&b.name));
        rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        match name {
            Some(name) => findings.into_result(Self {
                name,
                services,
                rules,
            }),
            None => Err(findings),
        }
    }
}

/// Reads all services and checks them against one another.
fn read_services(document: &Document, findings: &mut Findings) -> Vec<Service> {
    let mut services: Vec<Service> = Vec::new();
    for (name, mut section) in document.sections_of("service") {
        let place = section.place("vni");
        let request_place = section.place("request-port");
        let Some(service) = read_service(name, &mut section, findings) else {
            section.report_unknown_keys(findings);
            continue;
        };
        section.report_unknown_keys(findings);
        for other in &services {
            if other.vni == service.vni {
                let found = format!("{}, which is that of {}", service.vni, other.name);
                findings.push(Finding::new(place.clone(), found, "a vni of its own"));
            }
            if other.request_port.is_some() && other.request_port == service.request_port {
                let found = format!("the request-port of {}", other.name);
                findings.push(Finding::new(
                    request_place.clone(),
                    found,
                    "a port of its own",
                ));
            }
            if other.address != service.address {
                continue;
            }
            for port in &service.flow_ports {
                if !other.flow_ports.contains(port) {
                    continue;
                }
                let found = format!("{port}, which {} has at this address", other.name);
                findings.push(Finding::new(place.clone(), found, "a port of its own"));
            }
        }
        services.push(service);
    }
    services
}

/// Reads one service.
fn read_service(
    name: &str,
    section: &mut crate::Section<'_>,
    findings: &mut Findings,
) -> Option<Service> {
    let parsed = name.parse::<ServiceName>();
    if let Err(error) = &parsed {
        findings.push(Finding::new(
            section.place("name"),
            format!("{name:?}"),
            error.allowed,
        ));
    }
    let vni = section.required("vni", findings);
    let address = section.required("address", findings);
    let mut flow_ports: Vec<FlowPort> = section.list("flow-ports", findings);
    flow_ports.sort_unstable();
    flow_ports.dedup();
    let request_port = section.optional("request-port", findings);
    if flow_ports.is_empty() && request_port.is_none() {
        let allowed = "flow-ports, a request-port, or both";
        findings.push(Finding::new(
            section.place("flow-ports"),
            "no port",
            allowed,
        ));
    }
    let slots = section.within("slots", SLOTS, 1..=SLOT_LIMIT, findings);
    let connections = section.within("connections", CONNECTIONS, 1..=CONNECTION_LIMIT, findings);
    let queue_limit = section.duration("queue-limit", QUEUE_LIMIT, findings);
    let deadline = section.duration("deadline", DEADLINE, findings);
    let flow_idle = section.duration("flow-idle", FLOW_IDLE, findings);
    if flow_idle < FLOW_IDLE_LEAST {
        let found = format!("{}s", flow_idle.as_secs_f64());
        let finding = Finding::new(section.place("flow-idle"), found, "60s or longer");
        findings.push(finding.with_hint("silent feeds lose their entry after this time"));
    }
    let retry_share = section.within("retry-share", RETRY_SHARE, 0..=100, findings);
    let eject_share = section.within("eject-share", EJECT_SHARE, 0..=100, findings);
    let ramp_time = section.duration("ramp-time", RAMP_TIME, findings);
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
fn read_rules(document: &Document, findings: &mut Findings) -> Vec<ClassRule> {
    let mut rules = Vec::new();
    for (name, mut section) in document.sections_of("class") {
        let service: Option<ServiceName> = section.required("service", findings);
        let path_prefix: Option<String> = section.required("path-prefix", findings);
        let class = section.required("class", findings);
        let place = section.place("service");
        let prefix_place = section.place("path-prefix");
        section.report_unknown_keys(findings);
        if let Some(service) = &service
            && document
                .sections_of("service")
                .all(|(name, _)| name != service.as_str())
        {
            let found = format!("{service}, which no section describes");
            findings.push(Finding::new(place, found, "a service of this preset"));
        }
        if let Some(prefix) = &path_prefix
            && !prefix.starts_with('/')
        {
            findings.push(Finding::new(
                prefix_place,
                format!("{prefix:?}"),
                "a path from '/'",
            ));
        }
        let (Some(service), Some(path_prefix), Some(class)) = (service, path_prefix, class) else {
            continue;
        };
        rules.push(ClassRule {
            name: name.into(),
            service,
            path_prefix,
            class,
        });
    }
    rules
}
