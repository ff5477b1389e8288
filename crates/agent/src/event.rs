//! Decisions of the control side, each with cause and revision; the last few hundred are kept.

use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use bambooseam_types::Revision;
use derive_more::Display;

/// Events kept in memory.
const EVENT_LIMIT: usize = 400;

/// Kind of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum EventKind {
    /// The agent started.
    #[display("agent_started")]
    AgentStarted,
    /// The agent can't know the configuration and serves nothing.
    #[display("serving_nothing")]
    ServingNothing,
    /// Views are served from now on.
    #[display("serving")]
    Serving,
    /// A preset was switched, or its revision rose.
    #[display("preset_switched")]
    PresetSwitched,
    /// A newer list was taken.
    #[display("list_taken")]
    ListAccepted,
    /// A published or received document was refused whole.
    #[display("document_refused")]
    DocumentRejected,
    /// Two presets were published under one revision.
    #[display("revision_conflict")]
    RevisionConflict,
    /// The platform showed an older revision or list than the one held.
    #[display("platform_stale")]
    PlatformStale,
    /// The platform does not answer.
    #[display("platform_lost")]
    PlatformUnreachable,
    /// The platform answers again.
    #[display("platform_found")]
    PlatformRecovered,
    /// The platform refuses by rate.
    #[display("platform_refused")]
    PlatformRateLimited,
    /// The platform counts its index from the start again.
    #[display("platform_rebuilt")]
    PlatformRebuilt,
    /// A peer brought what the platform did not.
    #[display("fallback_taken")]
    PeerFallback,
    /// A peer's message was refused.
    #[display("peer_refused")]
    PeerRejected,
    /// A VM is suspected to be dead.
    #[display("vm_suspected")]
    VmSuspected,
    /// A suspected VM has been silent for long.
    #[display("vm_dead")]
    VmDead,
    /// A suspected VM was heard again.
    #[display("vm_recovered")]
    VmRecovered,
    /// No VM of a zone is heard.
    #[display("zone_silent")]
    ZoneUnresponsive,
    /// A silent zone was heard again.
    #[display("zone_heard")]
    ZoneRecovered,
    /// This process was paused.
    #[display("pause_found")]
    PauseDetected,
    /// What was held before a pause was checked again.
    #[display("pause_checked")]
    PauseResolved,
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Milliseconds since 1970.
    pub time_ms: u64,
    /// What was decided.
    pub kind: EventKind,
    /// Why.
    pub cause: String,
    /// Revision in force then.
    pub revision: Revision,
}

/// The newest events, oldest first.
#[derive(Debug, Default)]
pub struct EventLog {
    events: VecDeque<Event>,
}

impl EventLog {
    /// Keeps an event and writes it to the log.
    pub fn record(&mut self, kind: EventKind, cause: impl Into<String>, revision: Revision) {
        let cause = cause.into();
        log::info!("event={kind} cause={cause:?} revision={revision}");
        metrics::counter!("agent_events", "kind" => kind.to_string()).increment(1);
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            time_ms: unix_ms(),
            kind,
            cause,
            revision,
        });
    }

    /// The events, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }
}

/// Milliseconds since 1970 by the clock of this VM.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
