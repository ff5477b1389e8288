//! The validated view: the preset in force, the VMs and the targets.

use std::net::SocketAddr;

use bambooseam_config::{
    Document, EvacuatedZone, Preset, PresetPointer, Service, TargetEntry, TargetList, TargetState,
    VmEntry, VmList, VmState, digest_of,
};
use bambooseam_types::{Finding, Findings, Location, Revision, ServiceId, ServiceName, VmId};

use crate::{FlowKey, Ranking, ViewNumber, ViewSource};

/// Validated, immutable configuration and membership that the programs use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Number of the view on its agent.
    pub number: ViewNumber,
    /// Pointer to the preset in force.
    pub pointer: PresetPointer,
    /// Preset in force.
    pub preset: Preset,
    /// VMs, sorted by identifier.
    pub vms: Vec<Vm>,
    /// Targets, sorted by service and identifier.
    pub targets: Vec<Target>,
    /// Evacuated zones, sorted by name.
    pub evacuated: Vec<EvacuatedZone>,
    frontends: Vec<Frontend>,
    forwarders: Ranking,
    proxies: Ranking,
}

/// An entry VM with its health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Entry in the platform's list of VMs.
    pub entry: VmEntry,
    /// Health as observed by the fleet.
    pub health: VmHealth,
}

/// Health of a VM as observed by the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VmHealth {
    /// The VM is announced and not yet in service.
    Joining,
    /// The VM is in service.
    Live,
    /// The VM is draining: existing work is finished and no new work is accepted.
    Leaving,
    /// The VM does not answer several of its peers.
    Suspected,
}

/// A target of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Entry in the platform's list of targets.
    pub entry: TargetEntry,
    /// Service of the target in the preset.
    pub service: ServiceIndex,
    /// Hash of the target's identifier.
    pub hash: u64,
    /// Whether the zone of the target is evacuated.
    pub is_evacuated: bool,
}

/// Position of a service in the preset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub usize);

/// Address and port at which a service accepts traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Frontend {
    /// Address and port that callers use.
    pub address: SocketAddr,
    /// Service behind the frontend.
    pub service: ServiceIndex,
    /// Where the traffic is sent.
    pub kind: FrontendKind,
}

/// Where the traffic of a frontend is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FrontendKind {
    /// Directly to targets, at layer 4.
    Flows,
    /// To proxies.
    Requests,
}

impl View {
    /// Builds a view from the published documents.
    ///
    /// # Errors
    ///
    /// All findings in all documents, including a preset whose digest or name differs from that in
    /// the pointer.
    pub fn build(source: &ViewSource) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        let pointer: Option<PresetPointer> =
            parse("preset-in-force", &source.pointer, &mut findings);
        let file = pointer
            .as_ref()
            .map_or("presets".into(), |p| format!("presets/{}", p.name));
        let preset: Option<Preset> = parse(&file, &source.preset, &mut findings);
        let vms: Option<VmList> = parse("vms", &source.vms, &mut findings);
        let targets: Option<TargetList> = parse("targets", &source.targets, &mut findings);
        if let (Some(pointer), Some(preset)) = (&pointer, &preset) {
            check_pointer(pointer, preset, &source.preset, &mut findings);
        }
        let (Some(pointer), Some(preset), Some(vms), Some(targets)) =
            (pointer, preset, vms, targets)
        else {
            return Err(findings);
        };
        let view = Self::assemble(source, pointer, preset, vms, targets);
        findings.into_result(view)
    }

    fn assemble(
        source: &ViewSource,
        pointer: PresetPointer,
        preset: Preset,
        vms: VmList,
        targets: TargetList,
    ) -> Self {
        let vms: Vec<Vm> = vms
            .0
            .into_iter()
            .map(|entry| Vm::new(entry, source))
            .collect();
        let (targets, evacuated) = join_targets(&preset, targets);
        let frontends = list_frontends(&preset);
        let serving = || {
            vms.iter()
                .enumerate()
                .filter(|(_, vm)| vm.health == VmHealth::Live)
        };
        let forwarders = Ranking::new(serving().map(|(i, vm)| (i, vm.entry.id.as_str())));
        let proxies = forwarders.clone();
        Self {
            number: source.number,
            pointer,
            preset,
            vms,
            targets,
            evacuated,
            frontends,
            forwarders,
            proxies,
        }
    }

    /// Configuration revision in force.
    pub fn revision(&self) -> Revision {
        self.pointer.revision
    }

    /// VM with the identifier `id`.
    pub fn vm(&self, id: &VmId) -> Option<&Vm> {
        let index = self.vms.binary_search_by(|vm| vm.entry.id.cmp(id)).ok()?;
        self.vms.get(index)
    }

    /// Service at `index`.
    pub fn service(&self, index: ServiceIndex) -> &Service {
        &self.preset.services[index.0]
    }

    /// Position of the service `name`.
    pub fn service_index(&self, name: &ServiceName) -> Option<ServiceIndex> {
        let found = self
            .preset
            .services
            .binary_search_by(|service| service.name.cmp(name));
        found.ok().map(ServiceIndex)
    }

    /// Virtual network identifier of the service at `index`, as used on the wire.
    pub fn vni(&self, index: ServiceIndex) -> ServiceId {
        self.service(index).vni
    }

    /// Frontend at an address and port, if a service has one.
    pub fn frontend(&self, address: SocketAddr) -> Option<Frontend> {
        let found = self
            .frontends
            .binary_search_by(|frontend| frontend.address.cmp(&address));
        found.ok().map(|index| self.frontends[index])
    }

    /// Targets of a service, sorted by identifier, including leaving targets.
    pub fn targets_of(&self, service: ServiceIndex) -> &[Target] {
        let start = self
            .targets
            .partition_point(|target| target.service < service);
        let end = self
            .targets
            .partition_point(|target| target.service <= service);
        &self.targets[start..end]
    }

    /// Ranking of the live forwarders; positions refer to `vms`.
    pub fn forwarders(&self) -> &Ranking {
        &self.forwarders
    }

    /// Ranking of the live proxies; positions refer to `vms`.
    pub fn proxies(&self) -> &Ranking {
        &self.proxies
    }
}

impl Vm {
    fn new(entry: VmEntry, source: &ViewSource) -> Self {
        let is_suspect = source.suspects.binary_search(&entry.id).is_ok();
        let health = match entry.state {
            VmState::Joining => VmHealth::Joining,
            VmState::Leaving => VmHealth::Leaving,
            VmState::Live if is_suspect => VmHealth::Suspected,
            VmState::Live => VmHealth::Live,
        };
        Self { entry, health }
    }
}

impl Target {
    /// Whether the target may receive new work.
    pub fn is_open(&self) -> bool {
        let is_live = self.entry.state == TargetState::Live && self.entry.weight.get() > 0;
        is_live && !self.is_evacuated
    }
}

/// Parses and validates one document.
fn parse<T>(file: &str, text: &str, findings: &mut Findings) -> Option<T>
where
    T: for<'a> TryFrom<&'a Document, Error = Findings>,
{
    let result = Document::parse(file, text).and_then(|document| T::try_from(&document));
    match result {
        Ok(value) => Some(value),
        Err(found) => {
            findings.append(found);
            None
        }
    }
}

/// Checks that the preset has the name and digest in the pointer.
fn check_pointer(pointer: &PresetPointer, preset: &Preset, text: &str, findings: &mut Findings) {
    let location = |key: &str| Location::new("preset-in-force", 0, format!("in-force.{key}"));
    if preset.name != pointer.name {
        let found = format!("a document of preset {}", preset.name);
        findings.push(Finding::new(
            location("name"),
            found,
            format!("preset {}", pointer.name),
        ));
    }
    let digest = digest_of(text);
    if digest != pointer.digest {
        let finding = Finding::new(
            location("digest"),
            digest.to_string(),
            pointer.digest.to_string(),
        );
        findings.push(finding.with_hint("publish the preset before the pointer"));
    }
}

/// Joins targets with their services, and returns them with the evacuated zones. A target whose
/// service is not in the preset is omitted.
fn join_targets(preset: &Preset, list: TargetList) -> (Vec<Target>, Vec<EvacuatedZone>) {
    let mut targets = Vec::new();
    for entry in &list.targets {
        let found = preset
            .services
            .binary_search_by(|service| service.name.cmp(&entry.service));
        let Ok(service) = found else { continue };
        let hash = FlowKey::from_name(entry.id.as_str()).get();
        targets.push(Target {
            is_evacuated: list.is_evacuated(&entry.zone),
            entry: entry.clone(),
            service: ServiceIndex(service),
            hash,
        });
    }
    targets.sort_by(|a, b| (a.service, &a.entry.id).cmp(&(b.service, &b.entry.id)));
    (targets, list.evacuated)
}

/// Lists the frontends of all services, sorted.
fn list_frontends(preset: &Preset) -> Vec<Frontend> {
    let mut frontends = Vec::new();
    for (index, service) in preset.services.iter().enumerate() {
        let frontend = |port: u16, kind| Frontend {
            address: SocketAddr::new(service.address, port),
            service: ServiceIndex(index),
            kind,
        };
        for port in &service.flow_ports {
            frontends.push(frontend(port.get(), FrontendKind::Flows));
        }
        if let Some(port) = service.request_port {
            frontends.push(frontend(port.get(), FrontendKind::Requests));
        }
    }
    frontends.sort_unstable();
    frontends
}
