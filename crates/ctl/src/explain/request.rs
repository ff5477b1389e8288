//! Where a request is sent: its class, and the proxy that owns the slots of each target.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::SystemTime;

use bambooseam_config::WorkClass;
use bambooseam_proxy::{GroupRoute, OwnerAddress, Routes};
use bambooseam_view::{ServiceIndex, Target, View};
use serde_json::{Value, json};

use super::Answer;

/// Where a request is sent under one view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestAnswer {
    /// Name of the service.
    pub service: String,
    /// Class according to the rules of the preset; `None` if proxies estimate the class.
    pub class: Option<WorkClass>,
    /// Number of slots of each target.
    pub slots: u32,
    /// Targets of the service, each with the owner of its slots.
    pub targets: Vec<TargetOwner>,
}

/// A target and the proxy that owns its slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetOwner {
    /// Identifier of the target.
    pub target: String,
    /// Availability zone of the target.
    pub zone: String,
    /// Whether the target accepts new work.
    pub open: bool,
    /// Whether the zone of the target is evacuated.
    pub evacuated: bool,
    /// VM whose proxy grants the slots of the target.
    pub owner: Option<String>,
}

/// Explains a request for `path` of the service at `index`.
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

/// Returns the target groups of a service with their owners, computed with the proxy's own ranking.
fn list_groups(view: &View, index: ServiceIndex) -> Vec<GroupRoute> {
    let Some(vm) = view.vms.first() else {
        return Vec::new();
    };
    let (id, zone) = (vm.entry.id.clone(), vm.entry.zone.clone());
    let routes = Routes::new(Arc::new(view.clone()), id, zone, SystemTime::UNIX_EPOCH);
    routes.groups(index).to_vec()
}

/// Returns a target with its owner, which is the owner of the target's service and zone.
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
        evacuated: target.is_evacuated,
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
            None => write!(
                f,
                "  class: estimated by the proxies, because no rule matches the path"
            )?,
        }
        for target in &self.targets {
            let owner = target.owner.as_deref().unwrap_or("none");
            let state = match (target.open, target.evacuated) {
                (true, _) => "accepts new work",
                (false, true) => "accepts no new work, zone evacuated",
                (false, false) => "accepts no new work",
            };
            write!(
                f,
                "\n  target {} ({}): owner {owner}, {state}",
                target.target, target.zone
            )?;
        }
        Ok(())
    }
}

impl Answer for RequestAnswer {
    fn to_json(&self) -> Value {
        let row = |owner: &TargetOwner| {
            json!({
                "target": owner.target,
                "zone": owner.zone,
                "open": owner.open,
                "evacuated": owner.evacuated,
                "owner": owner.owner,
            })
        };
        json!({
            "service": self.service,
            "class": self.class.map(|class| class.to_string()),
            "slots": self.slots,
            "targets": self.targets.iter().map(row).collect::<Value>(),
        })
    }
}
