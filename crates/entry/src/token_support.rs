//! Which form of token this VM writes.
//!
//! Versions before numbered tokens reset the flows of tokens that they do not know. A VM therefore
//! writes numbered tokens only once it has heard from another VM that reads them, and as long as no
//! VM is heard of that does not. VMs that have heard of one pass that on, so a VM need not meet it.
//!
//! A VM that has just started knows nothing of the others and writes the tokens of starts, which
//! every version reads, until a peer answers. If none answers for a while, it is taken to be alone.
//! A VM of an earlier version that appears later is told all numbered tokens (see
//! [`ReplicaServer`](crate::peering::ReplicaServer)) before it resets unknown ones.

use std::time::Duration;

use bambooseam_peer::replica::TokenSupport;
use bambooseam_steer::TokenForm;
use bambooseam_types::Moment;

/// Time without an answer after which a VM is taken to be alone: that of three calls to each of two
/// other seeds.
const LONE_TIME: Duration = Duration::from_secs(3);

/// Time for which a VM of an earlier version counts as running after it was last heard of. It may be
/// cut off or paused, or being replaced.
const OLDER_TIME: Duration = Duration::from_secs(60);

/// What this VM knows of the tokens that the other VMs read.
#[derive(Debug, Default)]
pub(crate) struct FleetSupport {
    /// Since when this VM has waited for the first answer of a peer.
    waiting_since: Option<Moment>,
    /// Whether a VM that reads numbered tokens has answered, or there are no other VMs.
    is_heard: bool,
    /// When a VM that does not read numbered tokens was last heard of.
    older: Option<Moment>,
}

impl FleetSupport {
    /// Records that the settings name no other VM.
    pub fn record_alone(&mut self) {
        self.is_heard = true;
    }

    /// Records a request of another VM.
    pub fn record_request(&mut self, reads_numbered: bool, now: Moment) {
        if !reads_numbered {
            self.older = Some(now);
        }
    }

    /// Records the response of another VM that was asked at `asked`.
    pub fn record_response(&mut self, support: TokenSupport, asked: Moment, now: Moment) {
        if !support.reads_numbered {
            self.older = Some(now);
            return;
        }
        self.is_heard = true;
        // Counted from the request, so that latency does not renew it each time it is passed on.
        let older = support.older_age.map(|age| asked.before(age));
        self.older = self.older.max(older);
    }

    /// What this VM tells others.
    pub fn support(&self, now: Moment) -> TokenSupport {
        TokenSupport {
            reads_numbered: true,
            older_age: self.older.map(|older| now.since(older)),
        }
    }

    /// The form of the tokens to write.
    pub fn form(&mut self, now: Moment) -> TokenForm {
        let since = *self.waiting_since.get_or_insert(now);
        let is_older = |older| now.since(older) < OLDER_TIME;
        if self.older.is_some_and(is_older) {
            return TokenForm::Start;
        }
        match self.is_heard || now.since(since) >= LONE_TIME {
            true => TokenForm::Numbered,
            false => TokenForm::Start,
        }
    }
}
