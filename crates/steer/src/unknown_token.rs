//! Tokens that belong to no known target.
//!
//! Two situations lead to an unknown token. Either this VM has just started or its view is stale,
//! and packets name targets whose entries have not arrived yet; these flows must not be reset,
//! because their target is running. Or the target ended before this VM learned of it; these flows
//! should be reset at once, so that the callers retry. The two are distinguished by whether
//! everything published up to the first packet with the token has arrived since.
//!
//! A VM whose first view is recent cannot tell whether the store was unavailable before. Entries
//! that lapsed meanwhile may not have been published again yet, so the VM waits for these as well.
//!
//! A target that has started again may hold flows with the token of its earlier start. A numbered token
//! leads to it all the same. The token of a start is known only to the VMs that were running before,
//! which pass it on (see `ended_start`) well before this VM resets unknown tokens.

use std::time::Duration;

use bambooseam_types::{Moment, Token};

use crate::Freshness;

/// Time in which an entry reaches the store and is read after its target accepted the first flow.
/// Another VM must have read the entry before placing a flow at the target, so this only has to
/// cover clock differences and the latency of calls.
const PROPAGATION_TIME: Duration = Duration::from_millis(250);

/// Largest number of remembered tokens; beyond this the token that was seen first is evicted.
const MAX_TOKENS: usize = 512;

/// Time after which a token is forgotten; a later packet counts as the first again.
const RETENTION_TIME: Duration = Duration::from_secs(60);

/// Unknown tokens with the time of the first packet of each.
#[derive(Debug, Default)]
pub struct UnknownTokens {
    seen: Vec<(Token, Moment)>,
}

impl UnknownTokens {
    /// Whether a token is known to belong to no running target.
    pub fn is_ended(&mut self, token: Token, now: Moment, freshness: Freshness) -> bool {
        let first = match self.seen.binary_search_by_key(&token, |(token, _)| *token) {
            Ok(at) => self.seen[at].1,
            Err(at) => {
                self.seen.insert(at, (token, now));
                self.evict_oldest();
                now
            }
        };
        let is_synced = |synced| synced >= first.after(PROPAGATION_TIME);
        freshness.synced.is_some_and(is_synced) && freshness.is_settled()
    }

    /// Removes tokens that became known or whose retention time has passed.
    pub fn sweep(&mut self, now: Moment, is_known: impl Fn(Token) -> bool) {
        self.seen
            .retain(|(token, first)| now.since(*first) < RETENTION_TIME && !is_known(*token));
    }

    fn evict_oldest(&mut self) {
        if self.seen.len() <= MAX_TOKENS {
            return;
        }
        let oldest = self.seen.iter().enumerate().min_by_key(|(_, seen)| seen.1);
        if let Some((at, _)) = oldest {
            self.seen.remove(at);
        }
    }
}
