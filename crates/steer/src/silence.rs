//! Targets that do not answer, told from packets alone.
//!
//! Load pattern: a target falls silent (it crashed, hangs, or is cut off) while its entry still
//! stands. Answers do not pass here, but what callers send shows them: the first packet inside a
//! flow shows that the opening was answered, an acknowledgement that moves on shows progress. A
//! target that was asked and has shown nothing since gets no new flows for a while.
//!
//! After two seconds one flow tries a silent target. It waits for its first copy, 200 ms, if the
//! target is still silent; all others stay away until it answers.
//!
//! A silent target keeps its flows: it may live and only be cut off from this VM. The copies of an
//! opening packet move to another target only when two flows found it silent. A single answer may
//! be lost and sent again, and two targets that answer one flow race for the caller's token.

use std::time::Duration;

use bambooseam_types::Moment;

/// Time after which an unanswered opening counts: 15 round trips between a zone and a caller, and
/// below the 200 ms after which callers repeat it.
pub const OPENING_TIME: Duration = Duration::from_millis(150);

/// Time after which a request without progress counts: above the longest work that the users
/// publish (350 ms) with a round trip.
pub const REQUEST_TIME: Duration = Duration::from_millis(500);

/// Time after which a silent target is tried again: callers repeat an opening for 1.4 s.
pub const RETRY_TIME: Duration = Duration::from_millis(2_000);

/// Flows that must find a target silent before copies of an opening packet leave it.
const WITNESSES: u32 = 2;

/// What was asked of a target since it last showed life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Silence {
    opening: Option<Moment>,
    request: Option<Moment>,
    flows: u32,
    /// It was found silent, and what was asked since is a trial.
    is_on_trial: bool,
    /// When the first flow was sent to it since it last showed life.
    first: Option<Moment>,
}

impl Silence {
    /// Notes a new flow sent to the target.
    pub fn note_opening(&mut self, now: Moment) {
        self.expire(now);
        self.first.get_or_insert(now);
        self.opening.get_or_insert(now);
        self.flows = self.flows.saturating_add(1);
    }

    /// Notes a request sent to the target.
    pub fn note_request(&mut self, now: Moment) {
        self.expire(now);
        self.first.get_or_insert(now);
        self.request.get_or_insert(now);
        self.flows = self.flows.saturating_add(1);
    }

    /// Notes that the target has shown life.
    pub fn note_life(&mut self) {
        *self = Self::default();
    }

    /// Whether the target takes no new flows for now. After a while one flow may try it; until it
    /// answers the others stay away.
    pub fn is_silent(&self, now: Moment) -> bool {
        let is_tried = self.is_on_trial && is_between(self.opening, now, Duration::ZERO);
        is_tried || self.is_unanswered(now)
    }

    /// Whether copies of an opening packet may leave the target.
    pub fn is_confirmed(&self, now: Moment) -> bool {
        (self.flows >= WITNESSES || self.is_on_trial) && self.is_unanswered(now)
    }

    /// When the first flow was sent to a target that is taken for silent, also while it may be tried
    /// again; `None` for any other.
    pub fn suspected(&self, now: Moment) -> Option<Moment> {
        let first = self.first?;
        let is_old = now.since(first) > RETRY_TIME;
        (self.is_on_trial || self.is_unanswered(now) || is_old).then_some(first)
    }

    /// Openings and requests left unanswered, and the time since the first of them.
    pub fn unanswered(&self, now: Moment) -> (u32, Duration) {
        let oldest = self.opening.into_iter().chain(self.request).min();
        (
            self.flows,
            oldest.map_or(Duration::ZERO, |oldest| now.since(oldest)),
        )
    }

    fn is_unanswered(&self, now: Moment) -> bool {
        is_between(self.opening, now, OPENING_TIME) || is_between(self.request, now, REQUEST_TIME)
    }

    /// Forgets what is too old to count, so that the target is tried again.
    fn expire(&mut self, now: Moment) {
        let oldest = self.opening.into_iter().chain(self.request).min();
        if oldest.is_some_and(|oldest| now.since(oldest) > RETRY_TIME) {
            *self = Self {
                is_on_trial: self.is_on_trial || self.flows >= WITNESSES,
                first: self.first,
                ..Self::default()
            };
        }
    }
}

/// Whether `asked` is older than `least` and young enough to count.
fn is_between(asked: Option<Moment>, now: Moment, least: Duration) -> bool {
    asked.is_some_and(|asked| now.since(asked) >= least && now.since(asked) <= RETRY_TIME)
}
