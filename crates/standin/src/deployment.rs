//! Simulated deployments of the users: zones, VMs, targets and presets, on loopback addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bambooseam_config::{
    PresetPointer, TargetEntry, TargetList, TargetState, VmEntry, VmList, VmState, digest_of,
};
use bambooseam_types::{PresetName, Revision, ServiceId, Weight};
use bambooseam_view::{ViewNumber, ViewSource};
use derive_more::{Display, FromStr};

use crate::TargetSpec;

/// Kind of a deployment, one for each user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
pub enum DeploymentKind {
    /// Cascade Ballast & Tyre Works: three zones.
    #[display("cascade")]
    Cascade,
    /// Swanbourne Plate & Polish Division: four zones.
    #[display("swanbourne")]
    Swanbourne,
}

/// Documents of a deployment: VMs, targets, presets and the pointer to the preset in force.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// List of entry VMs.
    pub vms: VmList,
    /// List of targets.
    pub targets: TargetList,
    /// Preset documents with their names.
    pub presets: Vec<(PresetName, String)>,
    /// Pointer to the preset in force.
    pub pointer: PresetPointer,
}

/// Parameters from which a [`Deployment`] is built: counts, names and addresses.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Names of the zones.
    pub zones: Vec<&'static str>,
    /// Number of entry VMs, assigned to the zones round robin.
    pub vms: usize,
    /// Name of the service for feeds and orders, and its number of targets.
    pub orders: (&'static str, usize),
    /// Name of the service for downloads, and its number of targets.
    pub downloads: (&'static str, usize),
    /// First two bytes of all addresses.
    pub network: [u8; 2],
}

/// Virtual network identifier of the service for feeds and orders.
pub const ORDERS_VNI: u32 = 101;
/// Virtual network identifier of the service for downloads.
pub const DOWNLOADS_VNI: u32 = 102;
/// UDP port of feeds at the service address.
pub const FEED_PORT: u16 = 7000;
/// Request port of the service for orders.
pub const ORDERS_PORT: u16 = 8081;
/// Request port of the service for downloads.
pub const DOWNLOADS_PORT: u16 = 8082;
/// UDP port on which targets receive Geneve packets.
const GENEVE_PORT: u16 = 6081;
/// UDP port on which a forwarder receives packets.
const FORWARDER_PORT: u16 = 6082;
/// Port on which an agent listens for other agents.
pub const AGENT_PORT: u16 = 7100;
/// Port on which a proxy listens for other proxies.
const PROXY_PORT: u16 = 7200;
/// Port on which a target listens for requests.
const TARGET_PORT: u16 = 8080;

impl Plan {
    /// Prefix of all published keys, without the trailing `/`.
    pub const PREFIX: &str = "bambooseam";

    /// Returns the plan of a kind of deployment, in the network `127.1`.
    pub fn of(kind: DeploymentKind) -> Self {
        match kind {
            DeploymentKind::Cascade => Self {
                zones: vec!["skagit", "yakima", "palouse"],
                vms: 5,
                orders: ("fill-orders", 15),
                downloads: ("fill-charts", 4),
                network: [127, 1],
            },
            DeploymentKind::Swanbourne => Self {
                zones: vec!["swanbourne", "claremont", "subiaco", "fremantle"],
                vms: 5,
                orders: ("bath-console", 15),
                downloads: ("batch-photos", 4),
                network: [127, 1],
            },
        }
    }

    /// Sets the number of VMs.
    pub fn with_vms(mut self, vms: usize) -> Self {
        self.vms = vms;
        self
    }

    /// Sets the number of targets of both services.
    pub fn with_targets(mut self, orders: usize, downloads: usize) -> Self {
        self.orders.1 = orders;
        self.downloads.1 = downloads;
        self
    }

    /// Sets the first two bytes of all addresses.
    pub fn with_network(mut self, network: [u8; 2]) -> Self {
        self.network = network;
        self
    }

    /// Builds the documents.
    ///
    /// With `N` as the network, VM `i` has the address `N.1.i`, target `i` of the orders service
    /// has `N.2.i` and target `i` of the downloads service has `N.3.i`. The third byte rises by 8
    /// after every 250 addresses. The services have the addresses `N.0.1` and `N.0.2`.
    pub fn build(&self) -> Deployment {
        let vms = (0..self.vms).map(|index| self.vm(index)).collect();
        let mut targets = Vec::new();
        for index in 0..self.orders.1 {
            targets.push(self.target(self.orders.0, "bay", 2, index));
        }
        for index in 0..self.downloads.1 {
            targets.push(self.target(self.downloads.0, "file", 3, index));
        }
        targets.sort_by(|a, b| a.id.cmp(&b.id));
        let presets: Vec<(PresetName, String)> = vec![
            (name("ordinary"), self.preset("ordinary", 2_000)),
            (name("peak-season"), self.preset("peak-season", 1_000)),
            (name("maintenance"), self.preset("maintenance", 4_000)),
        ];
        let pointer = PresetPointer {
            revision: Revision::from(1),
            name: presets[0].0.clone(),
            digest: digest_of(&presets[0].1),
        };
        Deployment {
            vms: VmList(vms),
            targets: TargetList {
                targets,
                evacuated: Vec::new(),
            },
            presets,
            pointer,
        }
    }

    fn vm(&self, index: usize) -> VmEntry {
        let address = self.address(1, index);
        VmEntry {
            id: name(&format!("vm-{:03}", index + 1)),
            zone: name(self.zones[index % self.zones.len()]),
            state: VmState::Live,
            agent: SocketAddr::new(address, AGENT_PORT),
            forwarder: SocketAddr::new(address, FORWARDER_PORT),
            proxy: SocketAddr::new(address, PROXY_PORT),
        }
    }

    fn target(&self, service: &str, kind: &str, group: u8, index: usize) -> TargetEntry {
        let address = self.address(group, index);
        TargetEntry {
            id: name(&format!("{kind}-{:04}", index + 1)),
            service: name(service),
            zone: name(self.zones[index % self.zones.len()]),
            state: TargetState::Live,
            flows: SocketAddr::new(address, GENEVE_PORT),
            requests: SocketAddr::new(address, TARGET_PORT),
            weight: Weight::DEFAULT,
        }
    }

    /// Returns the text of a preset; presets differ only in how long a request may wait in a queue.
    fn preset(&self, preset: &str, queue_ms: u64) -> String {
        let (orders, downloads) = (self.orders.0, self.downloads.0);
        let (first, second) = (self.service_address(0), self.service_address(1));
        format!(
            "[preset]\nname = {preset}\n\n\
             [service {orders}]\nvni = {ORDERS_VNI}\naddress = {first}\n\
             flow-ports = {FEED_PORT}\nrequest-port = {ORDERS_PORT}\nslots = 2\n\
             connections = 2000\nqueue-limit = {queue_ms}ms\n\n\
             [service {downloads}]\nvni = {DOWNLOADS_VNI}\naddress = {second}\n\
             request-port = {DOWNLOADS_PORT}\nslots = 2\nconnections = 2000\n\
             queue-limit = {queue_ms}ms\n\n\
             [class full-size]\nservice = {downloads}\npath-prefix = /full/\nclass = long\n"
        )
    }

    /// Returns the address of the service with this index.
    pub fn service_address(&self, index: u8) -> IpAddr {
        let [a, b] = self.network;
        IpAddr::V4(Ipv4Addr::new(a, b, 0, index + 1))
    }

    fn address(&self, group: u8, index: usize) -> IpAddr {
        let [a, b] = self.network;
        let third =
            group + 8 * u8::try_from(index / 250).expect("at most 7,500 addresses in a group");
        let fourth =
            u8::try_from(index % 250 + 1).expect("at most 250 addresses share a third byte");
        IpAddr::V4(Ipv4Addr::new(a, b, third, fourth))
    }
}

impl Deployment {
    /// Returns the documents of a kind of deployment, with the preset `ordinary` in force.
    pub fn of(kind: DeploymentKind) -> Self {
        Plan::of(kind).build()
    }

    /// Returns the specification of every target, with the network identifier of its service.
    pub fn target_specs(&self, plan: &Plan) -> Vec<TargetSpec> {
        let spec = |entry: &TargetEntry| {
            let is_orders = entry.service.as_str() == plan.orders.0;
            let vni = if is_orders { ORDERS_VNI } else { DOWNLOADS_VNI };
            let vni = ServiceId::try_from(vni).expect("service identifiers are valid");
            TargetSpec::new(entry.clone(), vni)
        };
        self.targets.targets.iter().map(spec).collect()
    }

    /// Returns the text of the preset called `name`; `None` if the deployment has no such preset.
    pub fn preset_text(&self, name: &PresetName) -> Option<&str> {
        let found = self.presets.iter().find(|(listed, _)| listed == name)?;
        Some(&found.1)
    }

    /// Puts a preset in force under the next revision; returns false if there is no such preset.
    pub fn switch(&mut self, name: &PresetName) -> bool {
        let Some(digest) = self.preset_text(name).map(digest_of) else {
            return false;
        };
        let revision = self.pointer.revision.next();
        self.pointer = PresetPointer {
            revision,
            name: name.clone(),
            digest,
        };
        true
    }

    /// Returns all documents with their keys (without the prefix), in the order of publication.
    pub fn documents(&self) -> Vec<(String, String)> {
        let mut documents = vec![
            ("vms".to_owned(), self.vms.to_text()),
            ("targets".to_owned(), self.targets.to_text()),
        ];
        for (name, text) in &self.presets {
            documents.push((format!("presets/{name}"), text.clone()));
        }
        documents.push(("preset-in-force".to_owned(), self.pointer.to_text()));
        documents
    }

    /// Returns the source of view `number`, as an agent serves it after it has read all documents.
    pub fn source(&self, number: u64) -> ViewSource {
        let preset = self.preset_text(&self.pointer.name).unwrap_or_default();
        ViewSource {
            number: ViewNumber::from(number),
            pointer: self.pointer.to_text(),
            preset: preset.to_owned(),
            vms: self.vms.to_text(),
            targets: self.targets.to_text(),
            suspects: Vec::new(),
        }
    }
}

/// Parses a name that this module has generated.
fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("generated names are valid")
}
