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

use bambooseam_peer::replica::{TokenReading, TokenSupport};
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
    /// Whether a VM that reads numbered tokens has been heard from, or there are no other VMs.
    is_heard: bool,
    /// When a VM that does not read numbered tokens was last heard of.
    older: Option<Moment>,
}

impl FleetSupport {
    /// Records that the settings name no other VM.
    pub fn record_alone(&mut self) {
        self.is_heard = true;
    }

    /// Records what another VM says in its request. It does not tell when it heard of an older one,
    /// because a request may have been on its way for any time; its answers tell.
    pub fn record_request(&mut self, reading: TokenReading, now: Moment) {
        match reading {
            TokenReading {
                reads_numbered: false,
                ..
            } => self.older = Some(now),
            TokenReading { knows_older, .. } => self.is_heard |= !knows_older,
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

    /// What this VM says in its requests.
    pub fn reading(&self, now: Moment) -> TokenReading {
        TokenReading {
            reads_numbered: true,
            knows_older: self.knows_older(now),
        }
    }

    /// What this VM answers.
    pub fn support(&self, now: Moment) -> TokenSupport {
        TokenSupport {
            reads_numbered: true,
            older_age: self.older.map(|older| now.since(older)),
        }
    }

    /// The form of the tokens to write.
    pub fn form(&mut self, now: Moment) -> TokenForm {
        let since = *self.waiting_since.get_or_insert(now);
        if self.knows_older(now) {
            return TokenForm::Start;
        }
        match self.is_heard || now.since(since) >= LONE_TIME {
            true => TokenForm::Numbered,
            false => TokenForm::Start,
        }
    }

    /// Whether a VM that does not read numbered tokens may still run.
    fn knows_older(&self, now: Moment) -> bool {
        self.older
            .is_some_and(|older| now.since(older) < OLDER_TIME)
    }
}
