//! Detection that this VM is isolated: cut off from everything outside its availability zone.
//!
//! Load pattern addressed: a zone is evacuated and then cut off. Callers still reach its VMs, but all
//! targets that may take new flows are in other zones, so each opening waits until its caller gives
//! up. An isolated VM can't know whether the evacuation is still in force. Depending on the settings,
//! it opens new flows at the targets of its own zone as a last resort, or rejects them at once.
//!
//! A VM that reaches the store or another zone must keep to an evacuation, so all signs have to agree:
//! the view has not been confirmed for [`MIN_SILENCE`], neither by the store nor through peers, this
//! VM's own calls to the store fail, all other zones with targets are unresponsive, and neither a
//! target nor a VM of another zone has answered for the same time. Isolation ends at the first sign
//! to the contrary. An outage of the store alone isolates nobody, because the targets of other zones
//! answer.
//!
//! While a VM is isolated, one opening at a time probes the other zones.

use std::time::Duration;

use bambooseam_types::Moment;

use crate::responsiveness::PROBE_INTERVAL;

/// Time without any sign from outside the zone after which a VM is isolated. A VM that reaches the
/// store has a younger view: it calls the store itself once the view is 1.15 s old.
pub const MIN_SILENCE: Duration = Duration::from_millis(1_500);

/// The latest signs of what is outside the zone of this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutsideSigns {
    /// When the view was last confirmed to be current; `None` if it never was.
    pub synced: Option<Moment>,
    /// Whether a call of this VM to the store has failed recently.
    pub is_store_failing: bool,
    /// Whether other zones have targets, and all these zones are unresponsive.
    pub are_zones_unresponsive: bool,
    /// When a target of another zone last responded.
    pub target_response: Option<Moment>,
}

/// What this VM knows of its isolation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Isolation {
    /// When a VM of another zone last answered.
    vm_answer: Option<Moment>,
    /// When a flow was last opened in another zone.
    probed: Option<Moment>,
    /// When the isolation was first noticed, until its end is reported.
    since: Option<Moment>,
    /// Whether the start has been reported.
    is_reported: bool,
    /// Flows opened in the evacuated zone of this VM since the last reported end.
    opened: u64,
}

/// Start or end of an isolation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IsolationChange {
    /// The VM has become isolated.
    Began,
    /// Something outside the zone has answered.
    Ended {
        /// Time since the start.
        elapsed: Duration,
        /// Flows opened in the evacuated zone.
        opened: u64,
    },
}

impl Isolation {
    /// Whether this VM is isolated.
    pub fn is_isolated(&self, signs: &OutsideSigns, now: Moment) -> bool {
        let is_silent = |last: Moment| now.since(last) > MIN_SILENCE;
        signs.synced.is_some_and(is_silent)
            && signs.is_store_failing
            && signs.are_zones_unresponsive
            && signs.target_response.is_none_or(is_silent)
            && self.vm_answer.is_none_or(is_silent)
    }

    /// Whether the next opening probes the other zones.
    pub fn is_probe_due(&self, now: Moment) -> bool {
        self.probed
            .is_none_or(|probed| now.since(probed) >= PROBE_INTERVAL)
    }

    /// Records that a VM of another zone has answered.
    pub fn record_answer(&mut self, now: Moment) {
        self.vm_answer = self.vm_answer.max(Some(now));
    }

    /// Records that a flow was opened in another zone.
    pub fn record_probe(&mut self, now: Moment) {
        self.probed = Some(now);
    }

    /// Records that a flow was opened in the evacuated zone of this VM.
    pub fn record_last_resort(&mut self, now: Moment) {
        self.since.get_or_insert(now);
        self.opened += 1;
    }

    /// Updates whether this VM is isolated. Returns the change since the last update; only the end of
    /// an isolation that began and ended in between.
    pub fn update(&mut self, is_isolated: bool, now: Moment) -> Option<IsolationChange> {
        if is_isolated {
            self.since.get_or_insert(now);
            let was_reported = std::mem::replace(&mut self.is_reported, true);
            return (!was_reported).then_some(IsolationChange::Began);
        }
        self.is_reported = false;
        Some(IsolationChange::Ended {
            elapsed: now.since(self.since.take()?),
            opened: std::mem::take(&mut self.opened),
        })
    }
}
