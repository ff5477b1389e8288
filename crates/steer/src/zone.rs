//! Availability zones that do not answer.
//!
//! Load pattern: a zone is cut off from the others while callers still reach its VMs, which then
//! can't reach the targets of any other zone. Each of those is found silent by flows of its own,
//! and each is tried again by a flow every two seconds: at the crest, when work spills to other
//! zones, that is a flow for every target, and each waits for its first copy.
//!
//! Two silent targets of a zone that has shown no life since make the zone silent. Its targets then
//! come last, as silent ones do, and one flow tries the zone every two seconds. The own zone is
//! never taken for silent: no cut lies between it and this VM.

use bambooseam_types::{Moment, ZoneId};

use crate::SteeringEvent;
use crate::load::Load;
use crate::silence::RETRY_TIME;

/// Silent targets that make a zone silent: one may have ended by itself.
const WITNESSES: u32 = 2;

/// Zones that do not answer.
#[derive(Debug, Default)]
pub struct SilentZones {
    /// Zones with the time of the last trial, sorted.
    zones: Vec<(ZoneId, Moment)>,
}

/// What the targets of one zone show together.
#[derive(Debug, Clone, Copy, Default)]
struct Signs {
    silent: u32,
    /// First flow that a silent target left unanswered.
    asked: Option<Moment>,
    /// Last sign of life of any target.
    heard: Option<Moment>,
}

impl SilentZones {
    /// Whether the targets of a zone take no new flows for now; false when a flow may try it.
    pub fn is_silent(&self, zone: &ZoneId, now: Moment) -> bool {
        let tried = self.find(zone).ok().map(|at| self.zones[at].1);
        tried.is_some_and(|tried| now.since(tried) < RETRY_TIME)
    }

    /// Notes that a flow was placed in a zone.
    pub fn note_opening(&mut self, zone: &ZoneId, now: Moment) {
        if let Ok(at) = self.find(zone) {
            self.zones[at].1 = now;
        }
    }

    /// Looks which zones have become silent, or are silent no longer, from the loads of all targets
    /// outside the own zone.
    pub fn judge<'a>(
        &mut self,
        loads: impl Iterator<Item = (&'a ZoneId, &'a Load)>,
        now: Moment,
    ) -> Vec<SteeringEvent> {
        let mut seen: Vec<(&ZoneId, Signs)> = Vec::new();
        for (zone, load) in loads {
            let at = match seen.binary_search_by(|(held, _)| (*held).cmp(zone)) {
                Ok(at) => at,
                Err(at) => {
                    seen.insert(at, (zone, Signs::default()));
                    at
                }
            };
            seen[at].1.add(load, now);
        }
        let mut notices = Vec::new();
        for (zone, signs) in &seen {
            match (self.find(zone), signs.is_silent()) {
                (Err(at), true) => {
                    self.zones.insert(at, ((*zone).clone(), now));
                    notices.push(SteeringEvent::ZoneUnresponsive {
                        zone: (*zone).clone(),
                        targets: signs.silent,
                    });
                }
                (Ok(at), false) => {
                    self.zones.remove(at);
                    notices.push(SteeringEvent::ZoneRecovered((*zone).clone()));
                }
                _ => {}
            }
        }
        self.zones
            .retain(|(zone, _)| seen.binary_search_by(|(held, _)| (*held).cmp(zone)).is_ok());
        notices
    }

    fn find(&self, zone: &ZoneId) -> Result<usize, usize> {
        self.zones.binary_search_by(|(held, _)| held.cmp(zone))
    }
}

impl Signs {
    fn add(&mut self, load: &Load, now: Moment) {
        self.heard = self.heard.max(load.heard);
        let Some(asked) = load.silence.suspected(now) else {
            return;
        };
        self.silent += 1;
        self.asked = match self.asked {
            Some(held) => Some(held.min(asked)),
            None => Some(asked),
        };
    }

    fn is_silent(&self) -> bool {
        self.silent >= WITNESSES && self.asked > self.heard
    }
}
