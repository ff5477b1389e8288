//! Where the packets of a flow go.

use std::fmt::{self, Display, Formatter};

use bambooseam_types::Flow;
use bambooseam_view::{EntranceKind, FlowKey, Ranking, View, pick_weighted};
use serde_json::{Value, json};

use super::Answer;

/// Where a flow goes under one view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowAnswer {
    /// The service that receives.
    pub service: String,
    /// Whether the packets go to targets or to proxies.
    pub kind: EntranceKind,
    /// Forwarder that ranks first: it picks the target and remembers the flow.
    pub owner: Option<String>,
    /// Forwarder that ranks second: it remembers the flow as well.
    pub shadow: Option<String>,
    /// Target or proxy that a new flow gets when load does not speak against it.
    pub pick: Option<String>,
}

/// Explains a flow; `None` when no service receives at its address.
pub fn explain_flow(view: &View, flow: &Flow) -> Option<FlowAnswer> {
    let entrance = view.entrance(flow.service)?;
    let key = FlowKey::from(flow);
    let [owner, shadow] = view.forwarders().top::<2>(key);
    let pick = match entrance.kind {
        EntranceKind::Flows => pick_target(view, entrance.service, key),
        EntranceKind::Requests => first_vm(view, view.proxies(), key),
    };
    Some(FlowAnswer {
        service: view.service(entrance.service).name.to_string(),
        kind: entrance.kind,
        owner: owner.map(|index| vm_name(view, index)),
        shadow: shadow.map(|index| vm_name(view, index)),
        pick,
    })
}

/// The default pick among the targets that take new work.
fn pick_target(
    view: &View,
    service: bambooseam_view::ServiceIndex,
    key: FlowKey,
) -> Option<String> {
    let targets = view.targets_of(service);
    let open = targets
        .iter()
        .enumerate()
        .filter(|(_, target)| target.is_open());
    let members = open.map(|(index, target)| (index, target.hash, target.entry.weight));
    let index = pick_weighted(key, members)?;
    Some(targets[index].entry.id.to_string())
}

/// The VM that ranks first.
fn first_vm(view: &View, ranking: &Ranking, key: FlowKey) -> Option<String> {
    ranking.first(key).map(|index| vm_name(view, index))
}

/// Name and zone of the VM at `index`.
fn vm_name(view: &View, index: usize) -> String {
    let entry = &view.vms[index].entry;
    format!("{} ({})", entry.id, entry.zone)
}

impl Display for FlowAnswer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let text = |name: &Option<String>| name.clone().unwrap_or_else(|| "none".into());
        let kind = match self.kind {
            EntranceKind::Flows => "target",
            EntranceKind::Requests => "proxy",
        };
        writeln!(f, "  service: {}", self.service)?;
        writeln!(
            f,
            "  owner: {}, ranks first among live forwarders",
            text(&self.owner)
        )?;
        writeln!(f, "  shadow: {}, ranks second", text(&self.shadow))?;
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
                EntranceKind::Flows => "target",
                EntranceKind::Requests => "proxy",
            },
            "owner": self.owner,
            "shadow": self.shadow,
            "default_pick": self.pick,
        })
    }
}
