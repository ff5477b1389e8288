//! Where a request goes: its class, and the proxy that owns each target's slots.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::SystemTime;

use bambooseam_config::WorkClass;
use bambooseam_proxy::{GroupRoute, OwnerAddress, Routes};
use bambooseam_view::{ServiceIndex, Target, View};
use serde_json::{Value, json};

use super::Answer;

/// Where a request goes under one view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestAnswer {
    /// The service.
    pub service: String,
    /// Class by the preset's rules; `None` when proxies learn it.
    pub class: Option<WorkClass>,
    /// Slots of each target.
    pub slots: u32,
    /// Targets, each with the proxy that owns its slots.
    pub targets: Vec<TargetOwner>,
}

/// A target and the proxy that owns its slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetOwner {
    /// The target.
    pub target: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether it takes new work.
    pub open: bool,
    /// The VM whose proxy lets work start on it.
    pub owner: Option<String>,
}

/// Explains a request for `path` of a service.
pub fn explain_request(view: &View, index: ServiceIndex, path: &str) -> RequestAnswer {
    let service = view.service(index);
    let targets = view.targets_of(index);
    let groups = list_groups(view, index);
    RequestAnswer {
        service: service.name.to_string(),
        class: view.preset.class_of(&service.name, path),
        slots: service.slots,
        targets: targets
            .iter()
            .map(|target| owner_of(view, &groups, target))
            .collect(),
    }
}

/// The groups of targets of a service with their owners, by the proxy's own ranks.
fn list_groups(view: &View, index: ServiceIndex) -> Vec<GroupRoute> {
    let Some(vm) = view.vms.first() else {
        return Vec::new();
    };
    let (id, zone) = (vm.entry.id.clone(), vm.entry.zone.clone());
    let routes = Routes::new(Arc::new(view.clone()), id, zone, SystemTime::UNIX_EPOCH);
    routes.groups(index).to_vec()
}

/// The owner of a target: that of its service and zone.
fn owner_of(view: &View, groups: &[GroupRoute], target: &Target) -> TargetOwner {
    let zone = &target.entry.zone;
    let group = groups.iter().find(|route| route.group.zone == *zone);
    let owner = group.and_then(|route| route.owners.first());
    let vm = owner.and_then(|owner| match owner {
        OwnerAddress::Local => view.vms.first(),
        OwnerAddress::Peer(address) => view.vms.iter().find(|vm| vm.entry.proxy == *address),
    });
    TargetOwner {
        target: target.entry.id.to_string(),
        zone: zone.to_string(),
        open: target.is_open(),
        owner: vm.map(|vm| vm.entry.id.to_string()),
    }
}

impl Display for RequestAnswer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "  service: {}, {} slots for each target",
            self.service, self.slots
        )?;
        match self.class {
            Some(class) => write!(f, "  class: {class}, by a rule of the preset")?,
            None => write!(f, "  class: no rule speaks of the path, proxies learn it")?,
        }
        for held in &self.targets {
            let owner = held.owner.as_deref().unwrap_or("none");
            let state = if held.open {
                "takes new work"
            } else {
                "takes no new work"
            };
            write!(
                f,
                "\n  target {} ({}): owner {owner}, {state}",
                held.target, held.zone
            )?;
        }
        Ok(())
    }
}

impl Answer for RequestAnswer {
    fn to_json(&self) -> Value {
        let target = |held: &TargetOwner| {
            json!({
                "target": held.target,
                "zone": held.zone,
                "open": held.open,
                "owner": held.owner,
            })
        };
        json!({
            "service": self.service,
            "class": self.class.map(|class| class.to_string()),
            "slots": self.slots,
            "targets": self.targets.iter().map(target).collect::<Value>(),
        })
    }
}
