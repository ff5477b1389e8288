//! Events of the control plane, each with cause and revision; only the newest are kept.

use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use bambooseam_types::Revision;
use derive_more::Display;

/// Most events kept in memory.
const EVENT_LIMIT: usize = 400;

/// Kind of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum EventKind {
    /// The agent started.
    #[display("agent_started")]
    AgentStarted,
    /// The agent can't determine the configuration and serves nothing.
    #[display("serving_nothing")]
    ServingNothing,
    /// The agent began to serve views.
    #[display("serving")]
    Serving,
    /// The preset in force was switched, or its revision increased.
    #[display("preset_switched")]
    PresetSwitched,
    /// A newer list was accepted.
    #[display("list_taken")]
    ListAccepted,
    /// A published or received document was rejected as a whole.
    #[display("document_refused")]
    DocumentRejected,
    /// Two presets were published under one revision.
    #[display("revision_conflict")]
    RevisionConflict,
    /// The platform returned an older pointer or list than the one held.
    #[display("platform_stale")]
    PlatformStale,
    /// The platform does not respond.
    #[display("platform_lost")]
    PlatformUnreachable,
    /// The platform responds again.
    #[display("platform_found")]
    PlatformRecovered,
    /// The platform rejects reads because of their rate.
    #[display("platform_refused")]
    PlatformRateLimited,
    /// The platform was rebuilt and its index restarted.
    #[display("platform_rebuilt")]
    PlatformRebuilt,
    /// A configuration was accepted from a peer while the platform was not reachable.
    #[display("fallback_taken")]
    PeerFallback,
    /// A peer's message was rejected.
    #[display("peer_refused")]
    PeerRejected,
    /// A VM is suspected to be dead.
    #[display("vm_suspected")]
    VmSuspected,
    /// A suspected VM has been unresponsive for a long time.
    #[display("vm_dead")]
    VmDead,
    /// A suspected VM responds again.
    #[display("vm_recovered")]
    VmRecovered,
    /// No VM of a zone responds.
    #[display("zone_silent")]
    ZoneUnresponsive,
    /// An unresponsive zone responds again.
    #[display("zone_heard")]
    ZoneRecovered,
    /// This process was paused.
    #[display("pause_found")]
    PauseDetected,
    /// The serving gate was opened again after a pause.
    #[display("pause_checked")]
    PauseResolved,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Unix time in milliseconds.
    pub time_ms: u64,
    /// What was decided or observed.
    pub kind: EventKind,
    /// Cause of the event.
    pub cause: String,
    /// Revision of the configuration held at that time; 0 when there is none.
    pub revision: Revision,
}

/// The newest events, oldest first.
#[derive(Debug, Default)]
pub struct EventLog {
    events: VecDeque<Event>,
}

impl EventLog {
    /// Stores an event and writes it to the log.
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

/// Unix time in milliseconds by the clock of this VM.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
