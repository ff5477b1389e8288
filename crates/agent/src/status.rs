//! The JSON object returned by `/status`.

use bambooseam_config::{EvacuatedZone, VmEntry};
use serde_json::{Value, json};

use crate::event::Event;
use crate::member::Health;
use crate::shared::{ProgramView, Shared, State};
use crate::store::Rejection;

impl Shared {
    /// Builds the response of `/status`.
    pub fn status(&self) -> Value {
        let state = self.lock();
        let settings = self.settings();
        let config = state.store.config();
        let is_serving = state.served.is_some();
        json!({
            "program": "agent",
            "vm": settings.vm.id.as_str(),
            "zone": settings.vm.zone.as_str(),
            "view": if is_serving { state.view_number.get() } else { 0 },
            "revision": state.served.map_or(0, |served| served.revision.get()),
            "preset": config.filter(|_| is_serving).map(|config| config.pointer.name.as_str()),
            "digest": state.served.map(|served| served.digest.to_string()),
            "in_force_since_ms": state.served_since_ms,
            "serving": is_serving,
            "held_revision": state.store.revision().get(),
            "incarnation": state.incarnation.get(),
            "platform": state.platform.to_string(),
            "peers": state.active_peers.iter().map(|vm| vm.as_str()).collect::<Vec<_>>(),
            "sent_bytes": self.sent().get(),
            "received_bytes": self.received().get(),
            "programs": state.programs.iter().map(program_json).collect::<Vec<_>>(),
            "vms": vms_json(&state),
            "evacuated": state.store.evacuated().iter().map(evacuated_json).collect::<Vec<_>>(),
            "refused": state.store.rejections().iter().map(rejection_json).collect::<Vec<_>>(),
            "events": state.events.iter().map(event_json).collect::<Vec<_>>(),
        })
    }
}

/// A program of this VM and the view that it has in force.
fn program_json(program: &ProgramView) -> Value {
    json!({
        "program": program.name,
        "view": program.number.get(),
        "time_ms": program.time_ms,
    })
}

/// All listed VMs, and the unlisted ones from which a heartbeat was received.
fn vms_json(state: &State) -> Vec<Value> {
    let list = state.store.vm_list();
    let mut vms: Vec<Value> = list.0.iter().map(|vm| vm_json(state, vm)).collect();
    for vm in state.members.unlisted(list) {
        vms.push(json!({
            "vm": vm.as_str(),
            "zone": null,
            "health": Health::Joining.to_string(),
            "cause": "heartbeat received; not listed",
        }));
    }
    vms
}

/// A VM with its health and the cause.
fn vm_json(state: &State, vm: &VmEntry) -> Value {
    let (health, cause) = state.members.health(vm);
    json!({
        "vm": vm.id.as_str(),
        "zone": vm.zone.as_str(),
        "health": health.to_string(),
        "cause": cause,
        "incarnation": state.members.incarnation(&vm.id).get(),
    })
}

/// An evacuated zone.
fn evacuated_json(evacuated: &EvacuatedZone) -> Value {
    json!({
        "zone": evacuated.zone.as_str(),
        "since": evacuated.since.to_string(),
        "by": evacuated.by,
    })
}

/// A rejected document.
fn rejection_json(rejection: &Rejection) -> Value {
    let findings: Vec<String> = rejection.findings.iter().map(ToString::to_string).collect();
    json!({
        "key": rejection.key,
        "digest": rejection.digest.to_string(),
        "findings": findings,
    })
}

/// An event.
fn event_json(event: &Event) -> Value {
    json!({
        "time_ms": event.time_ms,
        "kind": event.kind.to_string(),
        "cause": event.cause,
        "revision": event.revision.get(),
    })
}
