//! JSON object served at `/status`.

use std::time::{SystemTime, UNIX_EPOCH};

use bambooseam_observe::decisions;
use serde_json::{Value, json};

use crate::proxy::Proxy;

impl Proxy {
    /// Returns the state of this proxy for operators.
    pub fn status(&self) -> Value {
        let routes = self.routes();
        let view = routes.as_ref().map(|routes| &routes.view);
        let owners: Vec<Value> = self.owners.status().iter().map(owner_status).collect();
        json!({
            "program": "proxy",
            "vm": self.vm.id.as_str(),
            "zone": self.vm.zone.as_str(),
            "view": view.map(|view| view.number.get()),
            "revision": view.map(|view| view.revision().get()),
            "preset": view.map(|view| view.preset.name.as_str()),
            "in_force_since_ms": routes.as_ref().map(|routes| unix_ms(routes.since)),
            "ready": *self.ready().borrow(),
            "ports": *self.ports().borrow(),
            "feeds": self.upgraded.len(),
            "owned": owners,
            "events": decisions().to_json(),
        })
    }
}

fn owner_status(
    (group, status): &(crate::routes::TargetGroup, crate::slots::OwnerStatus),
) -> Value {
    json!({
        "service": group.service.as_str(),
        "zone": group.zone.as_str(),
        "slots": status.slots,
        "busy": status.busy,
        "waiting_short": status.waiting[0],
        "waiting_long": status.waiting[1],
        "reserve": status.reserve,
        "ejected": status.ejected,
    })
}

fn unix_ms(time: SystemTime) -> u64 {
    let passed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
}
