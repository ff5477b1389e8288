//! Routes under one view: which proxies own which slots and idempotency keys.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::SystemTime;

use bambooseam_types::{ServiceName, VmId, ZoneId};
use bambooseam_view::{FlowKey, Ranking, ServiceIndex, View, VmHealth};

use crate::slots::{Policy, SlotShare, TargetSlots};

/// Maximum number of owners per group that are tried, in rank order.
const OWNER_CANDIDATES: usize = 3;

/// The targets of a service in one zone, which have one owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetGroup {
    /// Service of the targets.
    pub service: ServiceName,
    /// Zone of the targets.
    pub zone: ZoneId,
}

/// A group and its owners in rank order.
#[derive(Debug, Clone)]
pub struct GroupRoute {
    /// The group that is routed.
    pub group: TargetGroup,
    /// Candidate owners in rank order, highest first.
    pub owners: Vec<OwnerAddress>,
}

/// Location of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerAddress {
    /// This proxy.
    Local,
    /// Another proxy.
    Peer(SocketAddr),
}

/// A view and the routes derived from it, which are computed on first use.
#[derive(Debug)]
pub struct Routes {
    /// The view that the routes are derived from.
    pub view: Arc<View>,
    /// Time at which the view's revision came into force on this proxy.
    pub since: SystemTime,
    vm: VmId,
    zone: ZoneId,
    services: Vec<OnceLock<Vec<GroupRoute>>>,
}

impl Routes {
    /// Creates the routes of VM `vm` in `zone`.
    pub fn new(view: Arc<View>, vm: VmId, zone: ZoneId, since: SystemTime) -> Self {
        let services = view.preset.services.iter().map(|_| OnceLock::new());
        Self {
            services: services.collect(),
            view,
            since,
            vm,
            zone,
        }
    }

    /// Returns the groups of a service, with the group of this zone first.
    pub fn groups(&self, service: ServiceIndex) -> &[GroupRoute] {
        self.services[service.0].get_or_init(|| self.rank_groups(service))
    }

    /// Returns the owner of an idempotency key, or `None` without a live proxy.
    pub fn key_owner(&self, key: FlowKey) -> Option<OwnerAddress> {
        self.view
            .proxies()
            .first(key)
            .map(|index| self.address(index))
    }

    fn rank_groups(&self, service: ServiceIndex) -> Vec<GroupRoute> {
        let name = &self.view.service(service).name;
        let mut zones = service_zones(&self.view, service);
        // The other zones follow in an order that depends on the VM, so that work which spills over
        // is spread across zones.
        let rotation = FlowKey::from_name(self.vm.as_str()).get() as usize % zones.len().max(1);
        zones.rotate_left(rotation);
        zones.sort_by_key(|zone| *zone != self.zone);
        let routes = zones.into_iter().map(|zone| GroupRoute {
            owners: self.owners(name, &zone),
            group: TargetGroup {
                service: name.clone(),
                zone,
            },
        });
        routes.collect()
    }

    /// Returns the live proxies of the zone in rank order, followed by those of the fleet.
    fn owners(&self, service: &ServiceName, zone: &ZoneId) -> Vec<OwnerAddress> {
        let key = FlowKey::from_name(&format!("{service}/{zone}"));
        let live = self
            .view
            .vms
            .iter()
            .enumerate()
            .filter(|(_, vm)| vm.health == VmHealth::Live && vm.entry.zone == *zone);
        let zone_ranking = Ranking::new(live.map(|(index, vm)| (index, vm.entry.id.as_str())));
        let mut ranked = zone_ranking.rank_all(key);
        let fleet = self.view.proxies().top::<{ OWNER_CANDIDATES + 1 }>(key);
        for index in fleet.into_iter().flatten() {
            if !ranked.contains(&index) {
                ranked.push(index);
            }
        }
        ranked.truncate(OWNER_CANDIDATES);
        ranked
            .into_iter()
            .map(|index| self.address(index))
            .collect()
    }

    fn address(&self, index: usize) -> OwnerAddress {
        let entry = &self.view.vms[index].entry;
        if entry.id == self.vm {
            return OwnerAddress::Local;
        }
        OwnerAddress::Peer(entry.proxy)
    }
}

/// Returns the zones with targets of a service, sorted.
fn service_zones(view: &View, service: ServiceIndex) -> Vec<ZoneId> {
    let targets = view.targets_of(service).iter();
    let mut zones: Vec<ZoneId> = targets.map(|target| target.entry.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones
}

/// Returns policy and targets of a group under a view, or `None` if the view lacks the service.
pub fn group_slots(view: &View, group: &TargetGroup) -> Option<(Policy, Vec<TargetSlots>)> {
    let index = view.service_index(&group.service)?;
    let service = view.service(index);
    let (mut offset, mut total) = (0, 0);
    let mut targets = Vec::new();
    for target in view.targets_of(index) {
        let is_open = target.is_open();
        if is_open {
            total += service.slots;
        }
        if target.entry.zone < group.zone && is_open {
            offset += service.slots;
        }
        if target.entry.zone != group.zone {
            continue;
        }
        targets.push(TargetSlots {
            id: target.entry.id.clone(),
            limit: service.slots,
            is_open,
        });
    }
    let policy = Policy {
        ramp_time: service.ramp_time,
        eject_share: service.eject_share,
        aging_time: service.queue_limit / 2,
        share: SlotShare { offset, total },
        ..Policy::DEFAULT
    };
    Some((policy, targets))
}
