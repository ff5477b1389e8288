//! Starts of targets that have ended, by their tokens.
//!
//! Flows of an ended start are reset without delay, so that their callers retry. There is one
//! exception. A target that starts again under its identifier accepts datagrams as soon as it
//! listens, but this VM learns of the start only from the entry. Flows that open in between carry the
//! token of the earlier start, as far as a VM can tell like those that the earlier start took to its
//! end. Only the target knows which flows it holds, and it resets the others itself.

use std::net::SocketAddrV4;

use bambooseam_types::{Moment, ServiceName, TargetId, Token};

use crate::Target;

/// Largest number of remembered starts; beyond this the start that ended first is evicted.
const MAX_ENDED: usize = 4_096;

/// Ended starts, sorted by token.
#[derive(Debug, Default)]
pub(crate) struct EndedStarts {
    list: Vec<EndedStart>,
}

/// A start of a target that has ended.
#[derive(Debug)]
pub(crate) struct EndedStart {
    token: Token,
    /// Identifier of the target; a later start may have the same one.
    pub id: TargetId,
    service: ServiceName,
    address: SocketAddrV4,
    ended: Moment,
}

impl EndedStart {
    /// Whether `target`, which has the same identifier, may hold flows that were opened with the
    /// token of this start. Those were sent to this start's address, for its service.
    pub fn may_continue_at(&self, target: &Target) -> bool {
        target.address == self.address && target.service == self.service
    }
}

impl EndedStarts {
    /// The ended start with a token.
    pub fn get(&self, token: Token) -> Option<&EndedStart> {
        Some(&self.list[self.find(token).ok()?])
    }

    /// Adds the start of a target that has ended.
    pub fn insert(&mut self, target: Target, token: Token, now: Moment) {
        let start = EndedStart {
            token,
            id: target.id,
            service: target.service,
            address: target.address,
            ended: now,
        };
        match self.find(token) {
            Ok(at) => self.list[at] = start,
            Err(at) => {
                self.list.insert(at, start);
                self.evict_oldest();
            }
        }
    }

    /// Removes the start with a token, which now belongs to a known target.
    pub fn remove(&mut self, token: Token) {
        if let Ok(at) = self.find(token) {
            self.list.remove(at);
        }
    }

    fn evict_oldest(&mut self) {
        if self.list.len() <= MAX_ENDED {
            return;
        }
        let ended = self.list.iter().enumerate();
        if let Some((at, _)) = ended.min_by_key(|(_, start)| start.ended) {
            self.list.remove(at);
        }
    }

    fn find(&self, token: Token) -> Result<usize, usize> {
        self.list.binary_search_by_key(&token, |start| start.token)
    }
}
