//! Counts of work in progress from the `/status` of forwarders and proxies.
//!
//! Each function returns `None` if the program does not report the count.

use bambooseam_view::Target;
use serde_json::Value;

use crate::fleet::ProgramStatus;

/// Returns the number of upgraded connections of a proxy. A stop closes these connections, whereas
/// the proxy completes requests in progress before it exits.
pub fn upgraded_connections(proxy: &ProgramStatus) -> Option<u64> {
    proxy.raw["feeds"].as_u64()
}

/// Returns the number of flows that a leaving forwarder has yet to hand over; at least 1 until the
/// forwarder reports that the handover is complete.
pub fn handover_remaining(forwarder: &ProgramStatus) -> Option<u64> {
    let pending = forwarder.raw["handover_waiting"].as_u64()?;
    match forwarder.raw["handed_over"].as_bool()? {
        true => Some(pending),
        false => Some(pending.max(1)),
    }
}

/// Returns the number of flows that a forwarder has to a target. Forwarders report this count once
/// the target is leaving in their view.
pub fn flows_of(forwarder: &ProgramStatus, target: &Target) -> Option<u64> {
    let leaving = forwarder.raw["leaving"].as_array()?;
    let id = target.entry.id.as_str();
    let entry = leaving.iter().find(|item| item["target"] == id)?;
    entry["flows"].as_u64()
}

/// Returns the number of requests in progress on the targets of the same service and zone, as
/// counted by the proxy that owns their slots.
///
/// A proxy that owns none of these targets reports 0, so the sum over all proxies is the total.
pub fn requests_of_group(proxy: &ProgramStatus, target: &Target) -> Option<u64> {
    let groups = proxy.raw["owned"].as_array()?;
    let is_same_group = |group: &&Value| {
        group["service"] == target.entry.service.as_str()
            && group["zone"] == target.entry.zone.as_str()
    };
    let busy = groups
        .iter()
        .filter(is_same_group)
        .map(|group| group["busy"].as_u64());
    busy.sum()
}
