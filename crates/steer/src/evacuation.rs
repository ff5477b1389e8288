//! Availability zones that operators have evacuated.
//!
//! The target of a new flow is never in an evacuated zone, neither as a usual candidate nor as a
//! fallback, and no flow probes a target there. Established flows continue. A retransmitted opening
//! packet whose first transmission was placed before the evacuation stays with its target, because
//! two targets that both accept one opening packet break the flow; callers retransmit for 1.4 s.

use bambooseam_types::{Moment, Revision, ZoneId};

/// Evacuation of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The zone.
    pub zone: ZoneId,
    /// Revision of the document that is in force.
    pub revision: Revision,
    /// When this VM first excluded the targets of the zone.
    pub since: Moment,
}

/// The evacuated zones.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Sorted by zone.
    list: Vec<Evacuation>,
}

impl Evacuations {
    /// Evacuates a zone. Returns false if it was evacuated already; only the revision is updated
    /// then.
    pub fn insert(&mut self, zone: ZoneId, revision: Revision, now: Moment) -> bool {
        match self.find(&zone) {
            Ok(at) => {
                self.list[at].revision = revision;
                false
            }
            Err(at) => {
                let evacuation = Evacuation {
                    zone,
                    revision,
                    since: now,
                };
                self.list.insert(at, evacuation);
                true
            }
        }
    }

    /// Readmits a zone. Returns its evacuation; `None` if the zone was not evacuated.
    pub fn remove(&mut self, zone: &ZoneId) -> Option<Evacuation> {
        let at = self.find(zone).ok()?;
        Some(self.list.remove(at))
    }

    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.find(zone).is_ok()
    }

    /// The evacuations, sorted by zone.
    pub fn iter(&self) -> std::slice::Iter<'_, Evacuation> {
        self.list.iter()
    }

    fn find(&self, zone: &ZoneId) -> Result<usize, usize> {
        self.list
            .binary_search_by(|evacuation| evacuation.zone.cmp(zone))
    }
}
