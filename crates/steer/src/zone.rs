//! Detection of availability zones that do not answer.
//!
//! A zone can be cut off from the other zones while callers still reach its VMs, which then cannot
//! reach the targets of any other zone. Without this module, each of these targets would have to be
//! found unresponsive by its own flows and would be probed by one flow every two seconds. At the
//! crest, when work spills over to other zones, one flow for every target would have to wait until
//! its first retransmission.
//!
//! Two unresponsive targets make their zone unresponsive if no target of the zone has responded
//! since. The targets of the zone are then selected last, as unresponsive targets are, and one flow
//! probes the zone every two seconds. The zone of this VM is never treated as unresponsive: no
//! partition can separate this VM from its own zone.

use bambooseam_types::{Moment, ZoneId};

use crate::SteeringEvent;
use crate::load::Load;
use crate::responsiveness::PROBE_INTERVAL;

/// Minimum number of unresponsive targets that make a zone unresponsive: a single target may have
/// ended by itself.
const MIN_TARGETS: u32 = 2;

/// Zones that are unresponsive.
#[derive(Debug, Default)]
pub struct UnresponsiveZones {
    /// Unresponsive zones with the time of the last probe, sorted by zone.
    zones: Vec<(ZoneId, Moment)>,
}

/// Aggregated responsiveness of the targets of one zone.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneState {
    unresponsive: u32,
    /// When the first flow was sent that an unresponsive target left unanswered.
    first_sent: Option<Moment>,
    /// Last response of any target.
    last_response: Option<Moment>,
}

impl UnresponsiveZones {
    /// Whether the targets of a zone take no new flows at present; false when a flow may probe the
    /// zone.
    pub fn is_unresponsive(&self, zone: &ZoneId, now: Moment) -> bool {
        let probed = self.find(zone).ok().map(|at| self.zones[at].1);
        probed.is_some_and(|probed| now.since(probed) < PROBE_INTERVAL)
    }

    /// Whether a zone is unresponsive, also while a flow may probe it.
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.find(zone).is_ok()
    }

    /// Records that a flow was placed in a zone. In an unresponsive zone the flow is a probe.
    pub fn record_opening(&mut self, zone: &ZoneId, now: Moment) {
        if let Ok(at) = self.find(zone) {
            self.zones[at].1 = now;
        }
    }

    /// Updates which zones are unresponsive from the loads of all targets outside the zone of this
    /// VM. Returns an event for each change.
    pub fn update<'a>(
        &mut self,
        loads: impl Iterator<Item = (&'a ZoneId, &'a Load)>,
        now: Moment,
    ) -> Vec<SteeringEvent> {
        let mut states: Vec<(&ZoneId, ZoneState)> = Vec::new();
        for (zone, load) in loads {
            let at = match states.binary_search_by(|(other, _)| (*other).cmp(zone)) {
                Ok(at) => at,
                Err(at) => {
                    states.insert(at, (zone, ZoneState::default()));
                    at
                }
            };
            states[at].1.add(load, now);
        }
        let mut events = Vec::new();
        for (zone, state) in &states {
            match (self.find(zone), state.is_unresponsive()) {
                (Err(at), true) => {
                    self.zones.insert(at, ((*zone).clone(), now));
                    events.push(SteeringEvent::ZoneUnresponsive {
                        zone: (*zone).clone(),
                        targets: state.unresponsive,
                    });
                }
                (Ok(at), false) => {
                    self.zones.remove(at);
                    events.push(SteeringEvent::ZoneRecovered((*zone).clone()));
                }
                _ => {}
            }
        }
        self.zones.retain(|(zone, _)| {
            states
                .binary_search_by(|(other, _)| (*other).cmp(zone))
                .is_ok()
        });
        events
    }

    fn find(&self, zone: &ZoneId) -> Result<usize, usize> {
        self.zones.binary_search_by(|(other, _)| other.cmp(zone))
    }
}

impl ZoneState {
    fn add(&mut self, load: &Load, now: Moment) {
        self.last_response = self.last_response.max(load.last_response);
        let Some(first_sent) = load.responsiveness.suspected_since(now) else {
            return;
        };
        self.unresponsive += 1;
        self.first_sent = match self.first_sent {
            Some(earliest) => Some(earliest.min(first_sent)),
            None => Some(first_sent),
        };
    }

    fn is_unresponsive(&self) -> bool {
        self.unresponsive >= MIN_TARGETS && self.first_sent > self.last_response
    }
}
