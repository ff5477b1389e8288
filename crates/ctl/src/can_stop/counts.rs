//! Counts of work in progress, as forwarders and proxies tell them in `/status`.

use bambooseam_view::Target;
use serde_json::Value;

use crate::fleet::ProgramStatus;

/// Requests that a proxy has in progress.
pub fn open_requests(proxy: &ProgramStatus) -> Option<u64> {
    proxy.raw["open_requests"].as_u64()
}

/// Flows that a leaving forwarder has yet to hand over.
pub fn handover_left(forwarder: &ProgramStatus) -> Option<u64> {
    forwarder.raw["handover_left"].as_u64()
}

/// Flows that a forwarder has to a target.
pub fn flows_of(forwarder: &ProgramStatus, target: &Target) -> Option<u64> {
    count_of(&forwarder.raw["targets"], target, "flows")
}

/// Requests that a proxy runs on a target.
pub fn requests_of(proxy: &ProgramStatus, target: &Target) -> Option<u64> {
    count_of(&proxy.raw["targets"], target, "busy")
}

/// The count `key` of a target in a list; 0 when the list does not speak of it.
fn count_of(list: &Value, target: &Target, key: &str) -> Option<u64> {
    let list = list.as_array()?;
    let id = target.entry.id.as_str();
    let found = list.iter().find(|held| held["target"] == id);
    found.map_or(Some(0), |held| held[key].as_u64())
}
