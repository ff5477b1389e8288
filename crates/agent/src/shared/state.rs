//! The state that the lock of [`Shared`](super::Shared) guards, and the events recorded about it.

use std::time::Instant;

use bambooseam_config::Settings;
use bambooseam_types::{Incarnation, Revision, VmId};
use bambooseam_view::ViewNumber;
use derive_more::Display;

use super::Provider;
use crate::budget::Budget;
use crate::event::{EventKind, EventLog, unix_ms};
use crate::exchange::PeerTable;
use crate::gate::ServingGate;
use crate::member::Members;
use crate::store::{OfferResult, Store};
use crate::version::{ConfigVersion, ListVersion};

/// The state that the lock guards.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) store: Store,
    pub(crate) events: EventLog,
    pub(crate) gate: ServingGate,
    pub(crate) programs: Vec<ProgramView>,
    pub(crate) platform: PlatformState,
    pub(crate) members: Members,
    pub(crate) budget: Budget,
    pub(crate) peers: PeerTable,
    pub(crate) active_peers: Vec<VmId>,
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Instant,
    pub(crate) view_number: ViewNumber,
    pub(crate) served: Option<ConfigVersion>,
    pub(super) served_lists: [Option<ListVersion>; 2],
    pub(super) served_suspects: Vec<VmId>,
    pub(crate) served_since_ms: u64,
    pub(super) platform_failures: u32,
    recorded: Vec<Recorded>,
}

/// The view that a program has in force.
#[derive(Debug, Clone)]
pub(crate) struct ProgramView {
    pub(crate) name: String,
    pub(crate) number: ViewNumber,
    pub(crate) time_ms: u64,
}

/// Availability of the platform according to the last reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum PlatformState {
    /// Not read yet.
    #[display("unknown")]
    Unknown,
    /// Responds to reads.
    #[display("reachable")]
    Reachable,
    /// Does not respond.
    #[display("lost")]
    Unreachable,
    /// Rejects reads because of their rate.
    #[display("refusing")]
    Throttling,
}

/// An event that is recorded once, not at each repetition.
#[derive(Debug, PartialEq, Eq)]
struct Recorded {
    kind: EventKind,
    cause: String,
}

impl State {
    /// Creates the state of an agent that starts now with `peers` configured peers.
    pub(super) fn new(settings: &Settings, incarnation: Incarnation, peers: usize) -> Self {
        let now = Instant::now();
        let mut events = EventLog::default();
        let cause = format!("incarnation {incarnation}");
        events.record(EventKind::AgentStarted, cause, Revision::default());
        Self {
            store: Store::default(),
            events,
            gate: ServingGate::new(now, peers),
            programs: Vec::new(),
            platform: PlatformState::Unknown,
            members: Members::new(settings.vm.id.clone(), settings.vm.zone.clone()),
            budget: Budget::new(settings.agent.budget, now),
            peers: PeerTable::default(),
            active_peers: Vec::new(),
            incarnation,
            started: now,
            // Numbers increase across restarts, so that no program mistakes a new view for the view
            // in force.
            view_number: ViewNumber::from(unix_ms()),
            served: None,
            served_lists: [None; 2],
            served_suspects: Vec::new(),
            served_since_ms: 0,
            platform_failures: 0,
            recorded: Vec::new(),
        }
    }

    /// Records an event with the revision held.
    pub(crate) fn record(&mut self, kind: EventKind, cause: impl Into<String>) {
        let revision = self.store.revision();
        self.events.record(kind, cause, revision);
    }

    /// Records an event unless the last one of its kind had the same cause.
    pub(crate) fn record_once(&mut self, kind: EventKind, cause: String) {
        let recorded = Recorded { kind, cause };
        if self.recorded.contains(&recorded) {
            return;
        }
        self.record(kind, recorded.cause.clone());
        self.recorded.retain(|event| event.kind != kind);
        self.recorded.push(recorded);
    }

    /// Records an event if an offered document was rejected or the platform served an outdated one.
    pub(super) fn record_offer(&mut self, key: &str, result: &OfferResult, provider: &Provider) {
        match result {
            OfferResult::Accepted | OfferResult::Unchanged => {}
            OfferResult::Outdated if *provider == Provider::Platform => {
                let revision = self.store.revision();
                let cause = format!(
                    "{key} from {provider} is older than the version held at revision {revision}"
                );
                self.record_once(EventKind::PlatformStale, cause);
            }
            OfferResult::Outdated => {}
            OfferResult::Rejected(findings) => {
                let cause = format!("{key} from {provider}: {findings}");
                self.record_once(EventKind::DocumentRejected, cause);
            }
        }
    }

    /// Records that a configuration was accepted.
    pub(super) fn record_accepted(&mut self, before: Option<ConfigVersion>, provider: &Provider) {
        let Some(config) = self.store.config() else {
            return;
        };
        let cause = format!(
            "preset {} digest {} from {provider}",
            config.pointer.name, config.pointer.digest
        );
        self.record(EventKind::PresetSwitched, cause);
        if before.is_some()
            && *provider != Provider::Platform
            && self.platform != PlatformState::Reachable
        {
            let cause = format!("platform {}, accepted from {provider}", self.platform);
            self.record(EventKind::PeerFallback, cause);
        }
    }

    /// Records that two presets were published under one revision; every agent selects the preset
    /// with the larger digest.
    pub(crate) fn record_conflict(&mut self, announced: ConfigVersion, provider: &Provider) {
        let Some(current) = self.store.version() else {
            return;
        };
        if current.revision != announced.revision || current.digest == announced.digest {
            return;
        }
        let in_force = current.digest.max(announced.digest);
        let cause = format!(
            "revision {} has digests {} and {} ({provider}); the larger is in force: {in_force}",
            announced.revision, current.digest, announced.digest
        );
        self.record_once(EventKind::RevisionConflict, cause);
    }
}
