//! Where the packets of a flow go, by the forwarder's own ranks.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use bambooseam_forwarder::Moment;
use bambooseam_forwarder::target::TargetRegistry;
use bambooseam_forwarder::topology::{Member, Topology};
use bambooseam_types::{Flow, VmId, Weight};
use bambooseam_view::{FlowKey, Frontend, FrontendKind, View, VmHealth, pick_weighted};
use serde_json::{Value, json};

use super::Answer;

/// Where a flow goes under one view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowAnswer {
    /// The service that receives.
    pub service: String,
    /// Whether the packets go to targets or to proxies.
    pub kind: FrontendKind,
    /// Forwarder that ranks first: it picks the target and remembers the flow.
    pub owner: Option<String>,
    /// Forwarder that ranks second: it remembers the flow as well.
    pub shadow: Option<String>,
    /// Target or proxy that a new flow gets when load does not speak against it.
    pub pick: Option<String>,
}

/// Explains a flow; `None` when no service receives at its address.
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
    })
}

/// The first live forwarder in rank that is not the one of `vm`.
fn first_live(view: &View, vm: &VmId, key: FlowKey) -> Option<Member> {
    let mut targets = TargetRegistry::default();
    let view = Arc::new(view.clone());
    let mut topology = Topology::new(view, vm, None, &mut targets, Moment::default());
    let ranks = topology.ranks(key);
    topology.first_peer(&ranks).cloned()
}

/// An identifier that no VM of the view has.
fn observer(view: &View) -> VmId {
    let mut names = (0..).map(|number| format!("observer-{number}"));
    names
        .find_map(|name| name.parse().ok().filter(|id| view.vm(id).is_none()))
        .unwrap_or_else(|| unreachable!("a view has finitely many VMs"))
}

/// The default pick among the targets or proxies that take new flows.
fn pick(view: &View, frontend: Frontend, key: FlowKey) -> Option<String> {
    match frontend.kind {
        FrontendKind::Flows => {
            let targets = view.targets_of(frontend.service).iter().enumerate();
            let open = targets.filter(|(_, target)| target.is_open());
            let members = open.map(|(at, target)| (at, target.hash, target.entry.weight));
            let index = pick_weighted(key, members)?;
            let target = &view.targets_of(frontend.service)[index].entry;
            Some(format!("{} ({})", target.id, target.zone))
        }
        FrontendKind::Requests => {
            let vms = view.vms.iter().enumerate();
            let live = vms.filter(|(_, vm)| vm.health == VmHealth::Live);
            let hash = |id: &VmId| FlowKey::from_name(id.as_str()).get();
            let members = live.map(|(at, vm)| (at, hash(&vm.entry.id), Weight::DEFAULT));
            let index = pick_weighted(key, members)?;
            Some(vm_name(view, &view.vms[index].entry.id))
        }
    }
}

/// Name and zone of a VM.
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
            "  owner: {}, first in rank among live forwarders",
            text(&self.owner)
        )?;
        writeln!(f, "  shadow: {}, second in rank", text(&self.shadow))?;
        write!(
            f,
            "  {kind}: {}, by default for a new flow",
            text(&self.pick)
        )
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
        })
    }
}
