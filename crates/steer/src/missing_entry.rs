//! Targets whose published entry was removed.
//!
//! An entry is removed either because its target has ended or because the target could not renew
//! the lease of its entry. During a store outage no target can renew, so the entries of many
//! running targets lapse at the same time, also of targets that have announced that they leave.
//! Each target publishes its entry again within about two seconds after the store returns. Resetting
//! the flows of these targets, or placing all new flows on the few targets that are left, would harm
//! callers more than the outage itself. If an entry is removed without an outage, its target has
//! probably ended, and a reset lets the callers retry. A VM cannot tell the two apart by its own
//! calls: it may have made none during the outage, or one that ended just in time. A removal is
//! therefore never sufficient to reset flows, and time counts only if the view is renewed meanwhile:
//! a VM that receives no changes cannot learn that an entry is back.
//!
//! Packets are more reliable than entries: a target without an entry keeps its flows for as long as
//! it responds. A target that is not heard of keeps them until it would have published a lapsed entry
//! again, unless a caller's retransmissions show that it does not respond. They do not if other targets
//! seem as silent, because packets may wait at this VM. Either takes no new flows while another target
//! of the service is published.

use std::time::Duration;

use bambooseam_types::Moment;

use crate::load::Load;
use crate::{EntryStatus, Freshness};

/// Time in which targets publish lapsed entries again: 2 s as specified by the platform, and the time
/// until the changes have reached this VM.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2_500);

/// Time in which a published entry reaches this VM.
pub const DELIVERY_TIME: Duration = Duration::from_millis(500);

/// Time for which a target keeps its flows in any case after its entry was removed without a known
/// outage. If no target can reach the store, the entries lapse one after another during one heartbeat
/// interval. Within the confirmation time, which includes the pause between two reads of the
/// store, a third of the entries has lapsed.
pub const CONFIRMATION_TIME: Duration = Duration::from_millis(400);

/// Time since the last response for which a target without an entry is treated as running. After a
/// crash, the entry is removed no earlier than after two missed heartbeats, which is 1.5 s with the
/// users' heartbeat interval; the confirmation time follows.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The removal of more than one in this many targets of a service is treated as a lapse. Planned
/// removals are announced, and a single failure affects a smaller part of the targets at once.
const LAPSE_DIVISOR: usize = 3;

/// Tracks whether the store was recently unavailable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreOutage {
    /// End of the time in which lapsed entries may not have been published again yet.
    until: Option<Moment>,
}

/// Number of targets of one service, and of those whose entry was removed without announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemovalCount {
    /// Targets without an entry, including those that are still kept.
    pub removed: usize,
    /// Known targets that have not announced that they are leaving.
    pub total: usize,
}

impl StoreOutage {
    /// Records that the store is unavailable, or that the store has just become available again.
    pub fn record_outage(&mut self, now: Moment) {
        self.until = Some(now.after(REREGISTRATION_TIME));
    }

    /// Whether the store was recently unavailable.
    pub fn is_recent(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| until > now)
    }

    /// Status of a target after the removal of its entry.
    pub fn status_after_removal(&self, now: Moment, removal: RemovalCount) -> EntryStatus {
        match self.is_recent(now) || removal.is_lapse() {
            true => EntryStatus::Lapsed {
                until: now.after(REREGISTRATION_TIME),
            },
            false => EntryStatus::Unconfirmed {
                until: now.after(CONFIRMATION_TIME),
            },
        }
    }
}

/// Status of a target without an entry once `status` no longer holds; `None` if the target has ended.
/// `is_silent` tells whether retransmissions show that it does not respond.
pub fn status_after_retention(
    status: EntryStatus,
    load: &Load,
    is_silent: bool,
    view: Freshness,
    now: Moment,
) -> Option<EntryStatus> {
    let responding_until = load.last_response.map(|at| at.after(LIVENESS_TIMEOUT));
    let responding_until = responding_until.filter(|until| *until >= now);
    let returning_until = match status {
        EntryStatus::Unconfirmed { until } if !is_silent => {
            Some(until.after(REREGISTRATION_TIME - CONFIRMATION_TIME))
        }
        _ => None,
    };
    // After a pause the time has passed, but not for a view from before it.
    let returning_until =
        returning_until.filter(|until| *until > now || !view.would_show_return(*until));
    let until = responding_until.max(returning_until)?;
    Some(EntryStatus::Unlisted { until })
}

impl RemovalCount {
    /// Whether so many entries were removed that a lapse is more likely than the end of the
    /// targets.
    pub fn is_lapse(&self) -> bool {
        self.total > 1 && self.removed * LAPSE_DIVISOR > self.total
    }
}
