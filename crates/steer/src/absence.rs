//! Targets whose entry is gone.
//!
//! Load pattern: the store was away, so targets could not renew their entries, and many that live
//! lapse at once. Each is back within about two seconds of the store's return. To reset their
//! flows, or to place all new ones on the few that are left, would hurt callers more than the
//! outage did. A target whose entry goes in quiet times has ended, and resets let its callers try
//! again: it is doubted for a moment only, in which a lapse of many entries would show.
//!
//! Packets tell more than entries: a target that still answers keeps its flows for as long as it
//! does. It takes no new ones where another target is published.

use std::time::Duration;

use bambooseam_types::Moment;

use crate::EntryStatus;

/// Time in which entries that lapsed are written again: 2 s as the platform states, and half a
/// second until the news is here.
pub const RETURN_TIME: Duration = Duration::from_millis(2_500);

/// Time for which the target of a removed entry keeps its flows although all looks well. Entries that
/// lapse because no target reaches the store go one by one, over a beat; in this time a third of
/// them has gone, with the pause between two readings of the store.
pub const DOUBT_TIME: Duration = Duration::from_millis(400);

/// Time since the last sign of life after which a target without an entry has ended. An entry goes
/// two beats of silence after a crash at the least, 1.5 s with the users' beats, and is doubted
/// then.
pub const LIFE_TIME: Duration = Duration::from_millis(1_500);

/// Part of a service's targets whose removal looks like a lapse: more than a third. Planned work
/// is announced, and single failures take less at once.
const LAPSE_SHARE: usize = 3;

/// Whether the store was away lately.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Absence {
    until: Option<Moment>,
}

/// Targets of one service of which some go without having announced it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Removal {
    /// Targets that went, with those that are still kept.
    pub gone: usize,
    /// Targets that were known.
    pub total: usize,
}

impl Absence {
    /// Notes that the store is away, or has just answered again.
    pub fn record_outage(&mut self, now: Moment) {
        self.until = Some(now.after(RETURN_TIME));
    }

    /// Whether the store was away lately.
    pub fn is_recent(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| until > now)
    }

    /// What a target is taken for whose entry was removed.
    pub fn judge(&self, now: Moment, removal: Removal) -> EntryStatus {
        if let Some(until) = self.until
            && self.is_recent(now)
        {
            return EntryStatus::Lapsed { until };
        }
        match removal.is_lapse() {
            true => EntryStatus::Lapsed {
                until: now.after(RETURN_TIME),
            },
            false => EntryStatus::Unconfirmed {
                until: now.after(DOUBT_TIME),
            },
        }
    }
}

/// What a target is taken for when the time is over for which it was kept; `None` when it has ended.
pub fn judge_unlisted(now: Moment, heard: Option<Moment>) -> Option<EntryStatus> {
    let heard = heard.filter(|heard| now.since(*heard) <= LIFE_TIME)?;
    Some(EntryStatus::Unlisted {
        until: heard.after(LIFE_TIME),
    })
}

impl Removal {
    /// Whether so many targets went that their entries lapsed rather than they themselves ended.
    pub fn is_lapse(&self) -> bool {
        self.total > 1 && self.gone * LAPSE_SHARE > self.total
    }
}
