//! Targets whose entry is gone.
//!
//! Load pattern: the store was away, so targets could not renew their entries, and many that live
//! lapse at once. Each is back within about two seconds of the store's return. To reset their
//! flows, or to place all new ones on the few that are left, would hurt callers more than the
//! outage did. A target whose entry goes in quiet times has ended: its flows are reset at once, so
//! that callers try again.

use std::time::Duration;

use bambooseam_types::Moment;

/// Time in which entries that lapsed are written again: 2 s as the platform states, and half a
/// second until the news is here.
pub const RETURN_TIME: Duration = Duration::from_millis(2_500);

/// Removals of one service within one batch that look like a lapse: more than a third. Planned
/// work and single failures take less at once.
const LAPSE_SHARE: usize = 3;

/// Whether the store was away lately.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Absence {
    until: Option<Moment>,
}

/// Targets of one service that go in one batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Removal {
    /// Targets removed that had not announced that they leave.
    pub unannounced: usize,
    /// Targets that were held.
    pub total: usize,
}

impl Absence {
    /// Notes that the store is away, or has just answered again.
    pub fn note_outage(&mut self, now: Moment) {
        self.until = Some(now.after(RETURN_TIME));
    }

    /// Until when a target whose entry was removed is kept; `None` when it has ended.
    pub fn kept_until(&self, now: Moment, removal: Removal) -> Option<Moment> {
        if let Some(until) = self.until
            && until > now
        {
            return Some(until);
        }
        let is_lapse = removal.total > 1 && removal.unannounced * LAPSE_SHARE > removal.total;
        is_lapse.then(|| now.after(RETURN_TIME))
    }
}
