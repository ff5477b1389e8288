//! The platform's lists of VMs and targets. Both lists lag behind the actual state.

use std::net::{IpAddr, SocketAddr};

use bambooseam_types::{
    Finding, Findings, FlowPort, Location, ServiceName, TargetId, VmId, Weight, ZoneId,
};
use derive_more::{Display, FromStr};
use humantime::Timestamp;

use crate::unique::UniqueKeys;
use crate::{Document, Section};

/// Announced state of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
pub enum VmState {
    /// Announced; the VM receives no packets yet.
    #[display("joining")]
    Joining,
    /// In service.
    #[display("live")]
    Live,
    /// Announced as leaving: the VM is going to stop.
    #[display("leaving")]
    Leaving,
}

/// Announced state of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
pub enum TargetState {
    /// In service.
    #[display("live")]
    Live,
    /// Finishes the work in progress and receives no new work.
    #[display("leaving")]
    Leaving,
}

/// An entry VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEntry {
    /// Identifier.
    pub id: VmId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Announced state.
    pub state: VmState,
    /// Address on which the agent listens for peers.
    pub agent: SocketAddr,
    /// Address on which the forwarder receives encapsulated packets.
    pub forwarder: SocketAddr,
    /// Address on which the proxy listens for other proxies.
    pub proxy: SocketAddr,
}

/// A target in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Identifier.
    pub id: TargetId,
    /// Service of the target.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneId,
    /// Announced state.
    pub state: TargetState,
    /// Address on which the target receives encapsulated packets.
    pub flows: SocketAddr,
    /// Address on which the target receives requests.
    pub requests: SocketAddr,
    /// Share of new work, relative to the weights of the other targets; 0 for no new work.
    pub weight: Weight,
}

/// An availability zone that operators have evacuated: its targets receive no new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuatedZone {
    /// The zone.
    pub zone: ZoneId,
    /// When the zone was evacuated, for people only: the zone is evacuated while its section is in
    /// the list, whatever the time.
    pub since: Timestamp,
    /// Who evacuated the zone, for people only.
    pub by: Option<String>,
}

/// All VMs, sorted by identifier.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmList(pub Vec<VmEntry>);

/// All targets and the evacuated zones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetList {
    /// The targets, sorted by identifier.
    pub targets: Vec<TargetEntry>,
    /// The evacuated zones, sorted by name.
    pub evacuated: Vec<EvacuatedZone>,
}

/// Maximum length of the name of who evacuated a zone.
const MAX_NAME_BYTES: usize = 64;

/// Default port of the agent.
const AGENT_PORT: u16 = 7100;
/// Default port of the forwarder; differs from the Geneve port, which the VM's kernel uses.
const FORWARDER_PORT: u16 = 6082;
/// Geneve port.
const GENEVE_PORT: u16 = 6081;
/// Default port on which the proxy listens for other proxies.
const PROXY_PORT: u16 = 7200;
/// Default port for the requests of a target.
const REQUEST_PORT: u16 = 8080;

/// Address on which a target receives the flows or requests of a service.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{address} for {kind} of {service}")]
struct TargetEndpoint {
    service: ServiceName,
    kind: &'static str,
    address: SocketAddr,
}

impl TargetEndpoint {
    fn new(service: &ServiceName, kind: &'static str, address: SocketAddr) -> Self {
        Self {
            service: service.clone(),
            kind,
            address,
        }
    }
}

impl TryFrom<&Document> for VmList {
    type Error = Findings;

    fn try_from(document: &Document) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        document.check_sections(&[], &["vm"], &mut findings);
        let mut tcp_addresses = UniqueKeys::new();
        let mut udp_addresses = UniqueKeys::new();
        let mut vms = Vec::new();
        for (name, mut section) in document.sections_of("vm") {
            let id = name.parse::<VmId>();
            if let Err(error) = &id {
                let found = format!("{name:?}");
                findings.push(Finding::new(section.location("name"), found, error.allowed));
            }
            let zone = section.required("zone", &mut findings);
            let state = section.or("state", VmState::Live, &mut findings);
            let address: Option<IpAddr> = section.required("address", &mut findings);
            let agent = port(&mut section, "agent-port", AGENT_PORT, &mut findings);
            let forwarder = port(
                &mut section,
                "forwarder-port",
                FORWARDER_PORT,
                &mut findings,
            );
            let proxy = port(&mut section, "proxy-port", PROXY_PORT, &mut findings);
            if let Some(address) = address {
                check_address(address, section.location("address"), &mut findings);
                let location = |key: &str| section.location(key);
                tcp_addresses.add(
                    SocketAddr::new(address, agent),
                    name,
                    location("agent-port"),
                );
                tcp_addresses.add(
                    SocketAddr::new(address, proxy),
                    name,
                    location("proxy-port"),
                );
                udp_addresses.add(
                    SocketAddr::new(address, forwarder),
                    name,
                    location("forwarder-port"),
                );
            }
            section.report_unknown_keys(&mut findings);
            let (Ok(id), Some(zone), Some(address)) = (id, zone, address) else {
                continue;
            };
            vms.push(VmEntry {
                id,
                zone,
                state,
                agent: SocketAddr::new(address, agent),
                forwarder: SocketAddr::new(address, forwarder),
                proxy: SocketAddr::new(address, proxy),
            });
        }
        tcp_addresses.report("an address and port of its own", &mut findings);
        udp_addresses.report("an address and port of its own", &mut findings);
        vms.sort_by(|a, b| a.id.cmp(&b.id));
        findings.into_result(Self(vms))
    }
}

impl VmList {
    /// The VM with identifier `id`.
    pub fn get(&self, id: &VmId) -> Option<&VmEntry> {
        let index = self.0.binary_search_by(|vm| vm.id.cmp(id)).ok()?;
        self.0.get(index)
    }

    /// Formats the list as a published document.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for vm in &self.0 {
            text.push_str(&format!(
                "[vm {}]\nzone = {}\nstate = {}\naddress = {}\n",
                vm.id,
                vm.zone,
                vm.state,
                vm.agent.ip(),
            ));
            text.push_str(&format!(
                "agent-port = {}\nforwarder-port = {}\nproxy-port = {}\n",
                vm.agent.port(),
                vm.forwarder.port(),
                vm.proxy.port(),
            ));
        }
        text
    }
}

impl TryFrom<&Document> for TargetList {
    type Error = Findings;

    fn try_from(document: &Document) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        document.check_sections(&[], &["target", "zone"], &mut findings);
        let mut endpoints = UniqueKeys::new();
        let mut targets = Vec::new();
        for (name, mut section) in document.sections_of("target") {
            let id = name.parse::<TargetId>();
            if let Err(error) = &id {
                let found = format!("{name:?}");
                findings.push(Finding::new(section.location("name"), found, error.allowed));
            }
            let service: Option<ServiceName> = section.required("service", &mut findings);
            let zone = section.required("zone", &mut findings);
            let state = section.or("state", TargetState::Live, &mut findings);
            let address: Option<IpAddr> = section.required("address", &mut findings);
            let flows = port(&mut section, "flow-port", GENEVE_PORT, &mut findings);
            let requests = port(&mut section, "request-port", REQUEST_PORT, &mut findings);
            let weight = section.or("weight", Weight::DEFAULT, &mut findings);
            if let Some(address) = address {
                check_address(address, section.location("address"), &mut findings);
            }
            if let (Some(service), Some(address)) = (&service, address) {
                let location = |key: &str| section.location(key);
                let endpoint =
                    |port, kind| TargetEndpoint::new(service, kind, SocketAddr::new(address, port));
                endpoints.add(endpoint(flows, "flows"), name, location("flow-port"));
                endpoints.add(
                    endpoint(requests, "requests"),
                    name,
                    location("request-port"),
                );
            }
            section.report_unknown_keys(&mut findings);
            let (Ok(id), Some(service), Some(zone), Some(address)) = (id, service, zone, address)
            else {
                continue;
            };
            targets.push(TargetEntry {
                id,
                service,
                zone,
                state,
                flows: SocketAddr::new(address, flows),
                requests: SocketAddr::new(address, requests),
                weight,
            });
        }
        endpoints.report(
            "an address and port of its own in the service",
            &mut findings,
        );
        targets.sort_by(|a, b| a.id.cmp(&b.id));
        let evacuated = parse_evacuated(document, &mut findings);
        findings.into_result(Self { targets, evacuated })
    }
}

/// Reads the sections of the evacuated zones.
fn parse_evacuated(document: &Document, findings: &mut Findings) -> Vec<EvacuatedZone> {
    let mut evacuated = Vec::new();
    for (name, mut section) in document.sections_of("zone") {
        let zone = name.parse::<ZoneId>();
        if let Err(error) = &zone {
            let found = format!("{name:?}");
            findings.push(Finding::new(section.location("name"), found, error.allowed));
        }
        let since = section.required("evacuated-since", findings);
        let by: Option<String> = section.optional("evacuated-by", findings);
        if let Some(by) = by.as_ref().filter(|by| by.len() > MAX_NAME_BYTES) {
            let found = format!("{} bytes", by.len());
            let allowed = format!("at most {MAX_NAME_BYTES} bytes");
            findings.push(Finding::new(
                section.location("evacuated-by"),
                found,
                allowed,
            ));
        }
        section.report_unknown_keys(findings);
        let (Ok(zone), Some(since)) = (zone, since) else {
            continue;
        };
        evacuated.push(EvacuatedZone { zone, since, by });
    }
    evacuated.sort_by(|a, b| a.zone.cmp(&b.zone));
    evacuated
}

impl TargetList {
    /// The target with identifier `id`.
    pub fn get(&self, id: &TargetId) -> Option<&TargetEntry> {
        let found = self.targets.binary_search_by(|target| target.id.cmp(id));
        self.targets.get(found.ok()?)
    }

    /// Whether operators have evacuated a zone.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        let found = self
            .evacuated
            .binary_search_by(|other| other.zone.cmp(zone));
        found.is_ok()
    }

    /// Formats the list as a published document.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for zone in &self.evacuated {
            text.push_str(&format!(
                "[zone {}]\nevacuated-since = {}\n",
                zone.zone, zone.since
            ));
            if let Some(by) = &zone.by {
                text.push_str(&format!("evacuated-by = {by}\n"));
            }
        }
        for target in &self.targets {
            text.push_str(&format!(
                "[target {}]\nservice = {}\nzone = {}\nstate = {}\naddress = {}\n",
                target.id,
                target.service,
                target.zone,
                target.state,
                target.flows.ip(),
            ));
            text.push_str(&format!(
                "flow-port = {}\nrequest-port = {}\nweight = {}\n",
                target.flows.port(),
                target.requests.port(),
                target.weight,
            ));
        }
        text
    }
}

/// Reads a port from 1 to 65535; returns `default` when the key is absent.
fn port(
    section: &mut Section<'_>,
    key: &'static str,
    default: u16,
    findings: &mut Findings,
) -> u16 {
    let port: Option<FlowPort> = section.optional(key, findings);
    port.map_or(default, FlowPort::get)
}

/// Reports an address that can't belong to a single machine.
pub(crate) fn check_address(address: IpAddr, location: Location, findings: &mut Findings) {
    let is_broadcast = matches!(address, IpAddr::V4(address) if address.is_broadcast());
    if address.is_unspecified() || address.is_multicast() || is_broadcast {
        findings.push(Finding::new(
            location,
            address.to_string(),
            "an address of one machine",
        ));
    }
}
