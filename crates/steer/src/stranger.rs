//! Tokens that no known target has.
//!
//! Load pattern: a VM has just started or lags behind, and packets name targets that it has not
//! heard of; or a target ended while nobody here looked. The first must not be reset, for their
//! target lives. The second should be, at once, so that callers try again. What tells them apart is
//! whether everything that was published when the token was first seen has arrived since.
//!
//! A VM whose first view is young can't tell whether the store was away before: entries that lapsed
//! meanwhile are still on their way back, so it waits for them too.

use std::time::Duration;

use bambooseam_types::{Moment, Token};

use crate::Freshness;

/// Time for an entry to reach the store and be read after its target took a first flow: another VM
/// must have read the entry before it placed a flow there, so a margin for clocks and calls is
/// enough.
const MARGIN: Duration = Duration::from_millis(250);

/// Tokens remembered; beyond it the one that was seen first is forgotten.
const LIMIT: usize = 512;

/// Time after which a token counts as seen for the first time again.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Unknown tokens with the time at which each was first seen.
#[derive(Debug, Default)]
pub struct Strangers {
    seen: Vec<(Token, Moment)>,
}

impl Strangers {
    /// Whether a token is known to belong to no target that lives.
    pub fn is_dead(&mut self, token: Token, now: Moment, freshness: Freshness) -> bool {
        let first = match self.seen.binary_search_by_key(&token, |(token, _)| *token) {
            Ok(at) => self.seen[at].1,
            Err(at) => {
                self.seen.insert(at, (token, now));
                self.trim();
                now
            }
        };
        let is_heard = |synced| synced >= first.after(MARGIN);
        freshness.synced.is_some_and(is_heard) && freshness.is_settled()
    }

    /// Forgets tokens that became known or were seen long ago.
    pub fn sweep(&mut self, now: Moment, is_known: impl Fn(Token) -> bool) {
        self.seen
            .retain(|(token, first)| now.since(*first) < FORGET_TIME && !is_known(*token));
    }

    fn trim(&mut self) {
        if self.seen.len() <= LIMIT {
            return;
        }
        let oldest = self.seen.iter().enumerate().min_by_key(|(_, seen)| seen.1);
        if let Some((at, _)) = oldest {
            self.seen.remove(at);
        }
    }
}
