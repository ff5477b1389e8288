//! Where a request goes: its class, and the proxy that owns each target's slots.

use std::fmt::{self, Display, Formatter};

use bambooseam_config::WorkClass;
use bambooseam_view::{FlowKey, Ranking, ServiceIndex, Target, View, VmHealth};
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
    RequestAnswer {
        service: service.name.to_string(),
        class: view.preset.class_of(&service.name, path),
        slots: service.slots,
        targets: targets
            .iter()
            .map(|target| owner_of(view, target))
            .collect(),
    }
}

/// The owner of a target: first in rank among the live proxies of its zone, else of all zones.
fn owner_of(view: &View, target: &Target) -> TargetOwner {
    let key = FlowKey::from(target.hash);
    let zone = &target.entry.zone;
    let live = view
        .vms
        .iter()
        .enumerate()
        .filter(|(_, vm)| vm.health == VmHealth::Live);
    let own = live.filter(|(_, vm)| vm.entry.zone == *zone);
    let ranking = Ranking::new(own.map(|(index, vm)| (index, vm.entry.id.as_str())));
    let first = ranking.first(key).or_else(|| view.proxies().first(key));
    TargetOwner {
        target: target.entry.id.to_string(),
        zone: zone.to_string(),
        open: target.is_open(),
        owner: first.map(|index| view.vms[index].entry.id.to_string()),
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
