//! Where the packets of a flow are sent, computed with the forwarder's own ranking.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use bambooseam_forwarder::Moment;
use bambooseam_forwarder::target::TargetRegistry;
use bambooseam_forwarder::topology::{Member, Topology};
use bambooseam_types::{Flow, VmId, Weight};
use bambooseam_view::{FlowKey, Frontend, FrontendKind, View, VmHealth, pick_weighted};
use serde_json::{Value, json};

use super::Answer;

/// Where a flow is sent under one view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowAnswer {
    /// Service that receives the flow.
    pub service: String,
    /// Whether the packets are sent to targets or to proxies.
    pub kind: FrontendKind,
    /// First-ranked forwarder, which picks the target and stores the flow.
    pub owner: Option<String>,
    /// Second-ranked forwarder, which stores a replica of the flow.
    pub shadow: Option<String>,
    /// Target or proxy of a new flow, unless its load prevents this choice.
    pub pick: Option<String>,
    /// Evacuated zones with targets of the service, which are no choice for a new flow.
    pub evacuated: Vec<String>,
}

/// Explains a flow; `None` if no service has its destination address and port.
pub fn explain_flow(view: &View, flow: &Flow) -> Option<FlowAnswer> {
    let frontend = view.frontend(flow.service)?;
    let key = FlowKey::from(flow);
    let owner = first_live(view, &observer(view), key);
    let shadow = owner
        .as_ref()
        .and_then(|owner| first_live(view, &owner.id, key));
    let name = |member: Member| vm_name(view, &member.id);
    Some(FlowAnswer {
        service: view.service(frontend.service).name.to_string(),
        kind: frontend.kind,
        owner: owner.map(name),
        shadow: shadow.map(name),
        pick: pick(view, frontend, key),
        evacuated: evacuated_zones(view, frontend),
    })
}

/// Returns the highest-ranked live forwarder other than the one of `vm`.
fn first_live(view: &View, vm: &VmId, key: FlowKey) -> Option<Member> {
    let mut targets = TargetRegistry::default();
    let view = Arc::new(view.clone());
    let mut topology = Topology::new(view, vm, None, &mut targets, Moment::default());
    let ranks = topology.ranks(key);
    topology.first_peer(&ranks).cloned()
}

/// Returns an identifier that no VM of the view has.
fn observer(view: &View) -> VmId {
    let mut names = (0..).map(|number| format!("observer-{number}"));
    names
        .find_map(|name| name.parse().ok().filter(|id| view.vm(id).is_none()))
        .unwrap_or_else(|| unreachable!("a view has a finite number of VMs"))
}

/// Returns the default choice among the targets or proxies that accept new flows.
fn pick(view: &View, frontend: Frontend, key: FlowKey) -> Option<String> {
    match frontend.kind {
        FrontendKind::Flows => {
            let targets = view.targets_of(frontend.service).iter().enumerate();
            let open = targets.filter(|(_, target)| target.is_open());
            let members = open.map(|(index, target)| (index, target.hash, target.entry.weight));
            let index = pick_weighted(key, members)?;
            let target = &view.targets_of(frontend.service)[index].entry;
            Some(format!("{} ({})", target.id, target.zone))
        }
        FrontendKind::Requests => {
            let vms = view.vms.iter().enumerate();
            let live = vms.filter(|(_, vm)| vm.health == VmHealth::Live);
            let hash = |id: &VmId| FlowKey::from_name(id.as_str()).get();
            let members = live.map(|(index, vm)| (index, hash(&vm.entry.id), Weight::DEFAULT));
            let index = pick_weighted(key, members)?;
            Some(vm_name(view, &view.vms[index].entry.id))
        }
    }
}

/// Returns the evacuated zones in which a service has targets, sorted; none for requests, whose
/// proxies are not evacuated.
fn evacuated_zones(view: &View, frontend: Frontend) -> Vec<String> {
    if frontend.kind == FrontendKind::Requests {
        return Vec::new();
    }
    let targets = view.targets_of(frontend.service);
    let evacuated = view.evacuated.iter().map(|evacuated| &evacuated.zone);
    evacuated
        .filter(|zone| targets.iter().any(|target| target.entry.zone == **zone))
        .map(ToString::to_string)
        .collect()
}

/// Returns the name and zone of a VM.
pub(super) fn vm_name(view: &View, id: &VmId) -> String {
    match view.vm(id) {
        Some(vm) => format!("{id} ({})", vm.entry.zone),
        None => id.to_string(),
    }
}

impl Display for FlowAnswer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let text = |name: &Option<String>| name.clone().unwrap_or_else(|| "none".into());
        let kind = match self.kind {
            FrontendKind::Flows => "target",
            FrontendKind::Requests => "proxy",
        };
        writeln!(f, "  service: {}", self.service)?;
        writeln!(
            f,
            "  owner: {}, highest-ranked live forwarder",
            text(&self.owner)
        )?;
        writeln!(
            f,
            "  shadow: {}, second-ranked live forwarder",
            text(&self.shadow)
        )?;
        write!(
            f,
            "  {kind}: {}, default choice for a new flow",
            text(&self.pick)
        )?;
        for zone in &self.evacuated {
            write!(
                f,
                "\n  zone {zone}: evacuated, its targets get no new flows"
            )?;
        }
        Ok(())
    }
}

impl Answer for FlowAnswer {
    fn to_json(&self) -> Value {
        json!({
            "service": self.service,
            "to": match self.kind {
                FrontendKind::Flows => "target",
                FrontendKind::Requests => "proxy",
            },
            "owner": self.owner,
            "shadow": self.shadow,
            "default_pick": self.pick,
            "evacuated": self.evacuated,
        })
    }
}
