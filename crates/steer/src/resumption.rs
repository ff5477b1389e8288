//! Openings that are decided right after a pause of this process.
//!
//! A VM that was suspended resumes with the view from before, and with the packets that arrived
//! meanwhile. If these openings were placed by that view, a target that is leaving, or whose zone is
//! evacuated, would receive new flows later than operators allow. Their callers have given up or
//! retransmit, so the openings are dropped until the view is current again. A VM that can't obtain a
//! current view in time places flows by the one that it has, as during any outage.

use std::time::Duration;

use bambooseam_types::Moment;

use crate::Freshness;

/// Longest pause that changes nothing: callers retransmit an opening packet for 1.4 s, so an opening
/// that waited for a longer pause may have been given up.
pub const MIN_PAUSE: Duration = Duration::from_millis(1_500);

/// Largest age of a view that counts as current after a pause: that of a replica that may be
/// followed (1.15 s), plus the latency of calls.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_500);

/// Time after the resumption in which a current view is awaited: one call to the store that times
/// out (0.6 s), and the answer of a peer.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// When this process resumed after a pause.
#[derive(Debug, Clone, Copy, Default)]
pub struct Resumption {
    resumed: Option<Moment>,
}

impl Resumption {
    /// Records that the process has resumed after a pause of more than [`MIN_PAUSE`].
    pub fn record(&mut self, now: Moment) {
        self.resumed = Some(now);
    }

    /// Whether a view that is current after the pause is still awaited.
    pub fn awaits_view(&self, freshness: Freshness, now: Moment) -> bool {
        let is_recent = |resumed| now.since(resumed) < MAX_WAIT;
        let is_old = |synced| now.since(synced) > MAX_VIEW_AGE;
        self.resumed.is_some_and(is_recent) && freshness.synced.is_none_or(is_old)
    }
}
