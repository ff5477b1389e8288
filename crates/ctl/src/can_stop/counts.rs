//! Counts of work in progress, as forwarders and proxies tell them in `/status`.

use bambooseam_view::Target;
use serde_json::Value;

use crate::fleet::ProgramStatus;

/// Upgraded connections of a proxy, which a stop cuts; it finishes requests in progress itself.
pub fn open_feeds(proxy: &ProgramStatus) -> Option<u64> {
    proxy.raw["feeds"].as_u64()
}

/// Flows that a leaving forwarder has yet to hand over, at least 1 while it looks for them.
pub fn handover_left(forwarder: &ProgramStatus) -> Option<u64> {
    let waiting = forwarder.raw["handover_waiting"].as_u64()?;
    match forwarder.raw["handed_over"].as_bool()? {
        true => Some(waiting),
        false => Some(waiting.max(1)),
    }
}

/// Flows that a forwarder has to a target; it tells them once its view has the target leaving.
pub fn flows_of(forwarder: &ProgramStatus, target: &Target) -> Option<u64> {
    let leaving = forwarder.raw["leaving"].as_array()?;
    let id = target.entry.id.as_str();
    let found = leaving.iter().find(|held| held["target"] == id)?;
    found["flows"].as_u64()
}

/// Requests that run on the targets of a service and zone, as the proxy that owns them counts.
///
/// A proxy that owns nothing there counts 0, so the sum over all proxies is the whole.
pub fn requests_beside(proxy: &ProgramStatus, target: &Target) -> Option<u64> {
    let groups = proxy.raw["owned"].as_array()?;
    let is_own = |group: &&Value| {
        group["service"] == target.entry.service.as_str()
            && group["zone"] == target.entry.zone.as_str()
    };
    let busy = groups
        .iter()
        .filter(is_own)
        .map(|group| group["busy"].as_u64());
    busy.sum()
}
