//! Starts of targets that have ended, by their tokens.
//!
//! Flows of an ended start are reset without delay, so that their callers retry, unless the target has
//! started again. A target that starts again under its identifier accepts datagrams as soon as it
//! listens, but a VM learns of the start only from the entry. Flows that open in between carry the
//! token of the earlier start, and no VM can tell them from flows that ended with it. The target knows
//! which flows it holds: their packets are forwarded to it, and it resets the others itself.
//!
//! A VM that starts after such a target reads only the entry of the present start. A numbered token
//! leads there without the earlier start. For the tokens of starts, which VMs write while some of them
//! do not read numbered ones, other VMs pass on the earlier starts of targets for a while.

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::{EarlierStart, Moment, ServiceName, TargetId, Token};
use derive_more::Display;

use crate::Target;
use crate::target_table::TargetRecord;

/// Largest number of remembered starts; beyond this the start that ended first is evicted.
const MAX_ENDED: usize = 4_096;

/// Time for which an earlier start is passed on to other VMs. A flow takes over the later token with
/// its next request, and one without a request for this long has exceeded the usual idle timeouts.
const PASS_ON_TIME: Duration = Duration::from_secs(60);

/// Ended starts, sorted by token.
#[derive(Debug, Default)]
pub(crate) struct EndedStarts {
    list: Vec<EndedStart>,
}

/// A start of a target that has ended.
#[derive(Debug)]
pub(crate) struct EndedStart {
    token: Token,
    /// Numbered token of the start; `None` if another VM passed the start on.
    pub numbered: Option<Token>,
    /// Identifier of the target; a later start may have the same one.
    pub id: TargetId,
    service: ServiceName,
    address: SocketAddrV4,
    /// When this VM, or the VM that passed the start on, found that it had ended.
    pub ended: Moment,
    /// Why it counts as ended.
    pub cause: EndCause,
    /// When this VM last found that the start responded.
    pub last_response: Option<Moment>,
}

/// Reason for which a start of a target counts as ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EndCause {
    /// The entry describes another start, or another service.
    #[display("replaced")]
    Replaced,
    /// The entry was removed after the target had announced that it leaves, and did not return in time.
    #[display("left")]
    Left,
    /// The entry was removed without an announcement, and did not return in time.
    #[display("entry_not_back")]
    NotBack,
    /// Another VM passed the start on.
    #[display("received")]
    Received,
}

impl EndedStart {
    /// The start that `record` describes, which has ended.
    pub fn new(record: TargetRecord, cause: EndCause, now: Moment) -> Self {
        let TargetRecord {
            target,
            token,
            numbered,
            load,
            ..
        } = record;
        Self {
            token,
            numbered: Some(numbered),
            id: target.id,
            service: target.service,
            address: target.address,
            ended: now,
            cause,
            last_response: load.last_response,
        }
    }

    /// A start that another VM has passed on.
    pub fn from_peer(start: EarlierStart, now: Moment) -> Self {
        Self {
            token: start.token,
            numbered: None,
            id: start.target,
            service: start.service,
            address: start.address,
            ended: now.before(start.elapsed),
            cause: EndCause::Received,
            last_response: None,
        }
    }

    /// The start as passed on to other VMs.
    pub fn to_peer(&self, now: Moment) -> EarlierStart {
        EarlierStart {
            token: self.token,
            target: self.id.clone(),
            service: self.service.clone(),
            address: self.address,
            elapsed: now.since(self.ended),
        }
    }

    /// Whether `target`, a start under the same identifier, may hold flows with the token of this
    /// start. Such flows were sent to the address of this start, for its service.
    pub fn may_continue_at(&self, target: &Target) -> bool {
        target.address == self.address && target.service == self.service
    }
}

impl EndedStarts {
    /// The ended start with a token.
    pub fn get(&self, token: Token) -> Option<&EndedStart> {
        Some(&self.list[self.find(token).ok()?])
    }

    /// The starts that ended lately, sorted by token.
    pub fn recent(&self, now: Moment) -> impl Iterator<Item = &EndedStart> {
        let is_recent = move |start: &&EndedStart| now.since(start.ended) <= PASS_ON_TIME;
        self.list.iter().filter(is_recent)
    }

    /// Adds a start that has ended.
    pub fn insert(&mut self, start: EndedStart) {
        match self.find(start.token) {
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
