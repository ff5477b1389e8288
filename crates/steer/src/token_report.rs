//! What a VM knows of the target that a token names, for the log line of a reset.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bambooseam_types::{Moment, TargetId};
use derive_more::Display;

use crate::ended_start::EndCause;
use crate::{EntryStatus, PacketHeader, Steering};

/// What this VM knows of the target that a token names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenReport {
    /// The target; `None` if the token is unknown.
    pub target: Option<TargetId>,
    /// Status of the entry of the target's present start; `None` if there is no such start.
    pub entry: Option<EntryStatus>,
    /// Why the start of the token counts as ended, and for how long it has.
    pub end: Option<(EndCause, Duration)>,
    /// Time since this VM last found that the start responded.
    pub response_age: Option<Duration>,
    /// Whether the store was unavailable to this VM lately.
    pub is_outage: bool,
    /// Whether entries that had lapsed before the first view would be known by now.
    pub is_settled: bool,
}

/// A value of a report, or `none`.
#[derive(Display)]
enum Field<T> {
    #[display("{_0}")]
    Known(T),
    #[display("none")]
    Unknown,
}

impl<T> From<Option<T>> for Field<T> {
    fn from(value: Option<T>) -> Self {
        value.map_or(Self::Unknown, Self::Known)
    }
}

impl Steering {
    /// What is known of the target that a packet's token names.
    pub fn report_token(&self, header: &PacketHeader, now: Moment) -> TokenReport {
        let targets = self.targets();
        let token = header.token.map(|token| self.named_start(header, token));
        let start = token.and_then(|token| {
            let mut named = targets.with_token(token).chain(targets.with_number(token));
            named.next()
        });
        let start = start.and_then(|index| targets.get(index));
        let ended = token.and_then(|token| targets.ended_start(token));
        let id = start.map(|record| &record.target.id);
        let id = id.or(ended.map(|ended| &ended.id));
        let present = id.and_then(|id| targets.get(targets.find(id)?));
        let last_response = match (start, ended) {
            (Some(record), _) => record.load.last_response,
            (None, Some(ended)) => ended.last_response,
            (None, None) => None,
        };
        TokenReport {
            target: id.cloned(),
            entry: present.map(|record| record.status),
            end: ended.map(|ended| (ended.cause, now.since(ended.ended))),
            response_age: last_response.map(|response| now.since(response)),
            is_outage: self.is_outage_recent(now),
            is_settled: self.freshness().is_settled(),
        }
    }
}

impl Display for TokenReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            target,
            entry,
            end,
            response_age,
            is_outage,
            is_settled,
        } = self;
        let response_ms = response_age.map(|age| age.as_millis());
        write!(
            f,
            "token_target={} entry={} end={} ended_ms={} response_ms={} outage={is_outage} \
             settled={is_settled}",
            Field::from(target.as_ref()),
            Field::from(*entry),
            Field::from(end.map(|(cause, _)| cause)),
            Field::from(end.map(|(_, elapsed)| elapsed.as_millis())),
            Field::from(response_ms),
        )
    }
}
