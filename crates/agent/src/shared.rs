//! State that the tasks of an agent share, and the decisions that need all of that state.
//!
//! Each task holds the lock for one decision and never across an `await`. Views are published only
//! by [`Shared::publish`], which asserts that no revision decreases.

mod state;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bambooseam_config::{Settings, VmSettings};
use bambooseam_observe::check_invariant;
use bambooseam_peer::Meter;
use bambooseam_types::{ByteCount, Incarnation, VmId};
use bambooseam_view::{FlowKey, Ranking, ViewNumber, ViewSource};
use derive_more::Display;
use tokio::sync::watch;

use crate::event::{EventKind, unix_ms};
use crate::member::HealthChange;
use crate::platform::PlatformError;
use crate::store::OfferResult;
use crate::version::{ConfigVersion, ListKind, Origin};

pub(crate) use state::{PlatformState, ProgramView, State};

/// Consecutive failed reads after which the platform counts as unreachable.
const UNREACHABLE_AFTER: u32 = 3;

/// Agents of a zone that watch a key at the platform.
const WATCHERS: usize = 2;

/// Approximate number of polls that the agents of a large zone together make per poll time.
const POLLERS: usize = 4;

/// State and channels of one agent.
#[derive(Debug)]
pub struct Shared {
    settings: Settings,
    state: Mutex<State>,
    sources: watch::Sender<Arc<ViewSource>>,
    changes: watch::Sender<u64>,
    resumes: watch::Sender<u64>,
    ready: watch::Sender<bool>,
    meter: Arc<Meter>,
    platform_meter: Arc<Meter>,
}

/// Where a document came from.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Provider {
    /// The platform.
    #[display("platform")]
    Platform,
    /// A peer agent.
    #[display("peer {_0}")]
    Peer(String),
}

impl Shared {
    /// Creates the state of an agent that starts now with `peers` configured peers.
    pub fn new(settings: Settings, incarnation: Incarnation, peers: usize) -> Self {
        let state = State::new(&settings, incarnation, peers);
        Self {
            settings,
            state: Mutex::new(state),
            sources: watch::Sender::new(Arc::default()),
            changes: watch::Sender::new(0),
            resumes: watch::Sender::new(0),
            ready: watch::Sender::new(false),
            meter: Arc::default(),
            platform_meter: Arc::default(),
        }
    }

    /// Settings of this VM.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Source of the view that is served; changes with each published view.
    pub fn sources(&self) -> watch::Receiver<Arc<ViewSource>> {
        self.sources.subscribe()
    }

    /// Whether views are served.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Counter of the bytes exchanged with peers.
    pub fn meter(&self) -> &Arc<Meter> {
        &self.meter
    }

    /// Counter of the bytes exchanged with the platform.
    pub fn platform_meter(&self) -> &Arc<Meter> {
        &self.platform_meter
    }

    /// Control bytes sent to peers and the platform since the start.
    pub fn sent(&self) -> ByteCount {
        ByteCount::new(self.meter.sent().get() + self.platform_meter.sent().get())
    }

    /// Control bytes received from peers and the platform since the start.
    pub fn received(&self) -> ByteCount {
        ByteCount::new(self.meter.received().get() + self.platform_meter.received().get())
    }

    /// Changes whenever a document that peers may lack is accepted.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Changes whenever this process resumes after a pause, when every pending wait is out of date.
    pub(crate) fn resumes(&self) -> watch::Receiver<u64> {
        self.resumes.subscribe()
    }

    /// Locks the state for one decision.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts a pointer and its preset if they are newer than the configuration held.
    pub fn apply_config(
        &self,
        pointer: &str,
        preset: &str,
        origin: Origin,
        provider: &Provider,
    ) -> OfferResult {
        let mut state = self.lock();
        let before = state.store.version();
        let result = state.store.offer_config(pointer, preset, origin);
        let after = state.store.version();
        check_invariant(after >= before, "revision_never_falls", || {
            format!("{before:?} then {after:?}")
        });
        state.record_offer("preset-in-force", &result, provider);
        if result == OfferResult::Accepted {
            state.record_accepted(before, provider);
            self.changes.send_modify(|count| *count += 1);
            self.publish(&mut state);
        }
        result
    }

    /// Accepts a list if it is newer than the one held.
    pub fn apply_list(
        &self,
        kind: ListKind,
        text: &str,
        origin: Origin,
        provider: &Provider,
    ) -> OfferResult {
        let mut state = self.lock();
        let before = state.store.list(kind).map(|list| list.version);
        let result = state.store.offer_list(kind, text, origin);
        let after = state.store.list(kind).map(|list| list.version);
        check_invariant(after >= before, "list_never_falls", || {
            format!("{kind}: {before:?} then {after:?}")
        });
        state.record_offer(kind.key(), &result, provider);
        if result == OfferResult::Accepted {
            let cause = format!("{kind} {origin} from {provider}");
            state.record(EventKind::ListAccepted, cause);
            self.changes.send_modify(|count| *count += 1);
            self.publish(&mut state);
        }
        result
    }

    /// Records that a pointer read from the platform is older than the one held; does nothing when
    /// both are the same.
    pub(crate) fn record_stale(&self, version: ConfigVersion) {
        let mut state = self.lock();
        if Some(version) == state.store.version() {
            return;
        }
        state.record_offer(
            "preset-in-force",
            &OfferResult::Outdated,
            &Provider::Platform,
        );
    }

    /// Whether this agent watches a key at the platform instead of polling the key slowly.
    ///
    /// The first [`WATCHERS`] VMs of the zone by rendezvous hashing, without suspected VMs, watch.
    /// Every agent watches while the list of VMs is unknown or does not contain this VM.
    pub(crate) fn is_watcher(&self, key: &str) -> bool {
        let state = self.lock();
        let VmSettings { id, zone, .. } = &self.settings.vm;
        let list = state.store.vm_list();
        if list.get(id).is_none() {
            return true;
        }
        let suspects = state.members.suspects();
        let zone_vms = list.0.iter().enumerate().filter(|(_, vm)| {
            vm.zone == *zone && (vm.id == *id || suspects.binary_search(&vm.id).is_err())
        });
        let ranking = Ranking::new(zone_vms.map(|(index, vm)| (index, vm.id.as_str())));
        let watchers = ranking.top::<WATCHERS>(FlowKey::from_name(key));
        watchers
            .iter()
            .flatten()
            .any(|index| list.0[*index].id == *id)
    }

    /// Shortest time between polls of an agent that does not watch, before jitter; grows with the
    /// size of the zone.
    pub(crate) fn poll_time(&self) -> Duration {
        let state = self.lock();
        let zone = &self.settings.vm.zone;
        let list = state.store.vm_list();
        let zone_size = list.0.iter().filter(|vm| vm.zone == *zone).count();
        let factor = (zone_size / POLLERS).max(1);
        self.settings.platform.poll_time * u32::try_from(factor).unwrap_or(u32::MAX)
    }

    /// Records whether a read of the platform was answered.
    pub fn record_platform(&self, result: Result<(), &PlatformError>) {
        let mut state = self.lock();
        let (current, kind, cause) = match result {
            Ok(()) => (
                PlatformState::Reachable,
                EventKind::PlatformRecovered,
                String::from("a read was answered"),
            ),
            Err(error @ PlatformError::RateLimited { .. }) => (
                PlatformState::Throttling,
                EventKind::PlatformRateLimited,
                error.to_string(),
            ),
            Err(error) => (
                PlatformState::Unreachable,
                EventKind::PlatformUnreachable,
                error.to_string(),
            ),
        };
        state.platform_failures = match current {
            PlatformState::Unreachable => state.platform_failures + 1,
            _ => 0,
        };
        let is_transient =
            current == PlatformState::Unreachable && state.platform_failures < UNREACHABLE_AFTER;
        if current == PlatformState::Reachable {
            state.gate.count_platform_read();
        }
        if is_transient || state.platform == current {
            return;
        }
        let is_first = state.platform == PlatformState::Unknown;
        state.platform = current;
        if is_first && current == PlatformState::Reachable {
            return;
        }
        state.record(kind, cause);
    }

    /// Records which view a program has in force.
    pub(crate) fn record_program(&self, name: &str, number: ViewNumber) {
        let mut state = self.lock();
        let view = ProgramView {
            name: name.to_owned(),
            number,
            time_ms: unix_ms(),
        };
        let found = state
            .programs
            .binary_search_by(|program| program.name.as_str().cmp(name));
        match found {
            Ok(index) => state.programs[index] = view,
            Err(index) => state.programs.insert(index, view),
        }
    }

    /// Opens the gate when it is due, and publishes the documents held.
    pub(crate) fn try_open(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let is_behind = state.is_behind();
        let Some(opened) = state.gate.try_open(now, is_behind) else {
            return;
        };
        if opened.after_pause {
            let cause = format!(
                "documents compared {} ms after the pause",
                opened.time.as_millis()
            );
            state.record(EventKind::PauseResolved, cause);
        }
        if !state.store.is_complete() {
            let cause = format!(
                "documents are missing: platform {}, no peer sent them",
                state.platform
            );
            state.record(EventKind::ServingNothing, cause);
        }
        self.publish(&mut state);
    }

    /// Closes the gate after a pause of `time` and wakes all tasks.
    pub(crate) fn record_pause(&self, time: Duration) {
        let mut state = self.lock();
        let cause = format!("paused for {} ms", time.as_millis());
        state.record(EventKind::PauseDetected, cause);
        state.members.clear_failures();
        state.gate.close_after_pause(Instant::now());
        self.resumes.send_modify(|count| *count += 1);
    }

    /// Updates the health of the VMs; publishes a new view when the suspected VMs have changed.
    pub(crate) fn evaluate(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let State {
            members,
            store,
            peers,
            ..
        } = &mut *state;
        let changes = members.evaluate(store.vm_list(), now);
        peers.retain(|vm| store.vm_list().get(vm).is_some());
        for change in changes {
            let (kind, cause) = match change {
                HealthChange::Suspected(vm, observers) => {
                    let observers: Vec<&str> = observers.iter().map(VmId::as_str).collect();
                    let cause = format!("{vm} does not respond to {}", observers.join(", "));
                    (EventKind::VmSuspected, cause)
                }
                HealthChange::Dead(vm) => {
                    (EventKind::VmDead, format!("{vm} still does not respond"))
                }
                HealthChange::Recovered(vm) => {
                    (EventKind::VmRecovered, format!("{vm} responds again"))
                }
                HealthChange::ZoneUnresponsive(zone) => {
                    let cause = format!("no VM in zone {zone} responds; its VMs stay in the view");
                    (EventKind::ZoneUnresponsive, cause)
                }
                HealthChange::ZoneRecovered(zone) => (
                    EventKind::ZoneRecovered,
                    format!("zone {zone} responds again"),
                ),
            };
            state.record(kind, cause);
        }
        self.publish(&mut state);
    }

    /// Publishes the documents held if all of them are present, the gate is open and something has
    /// changed since the last view.
    pub(crate) fn publish(&self, state: &mut State) {
        if !state.gate.is_open() {
            return;
        }
        let lists = state.store.list_versions();
        let suspects = state.members.suspects();
        let version = state.store.version();
        let is_same = version == state.served && lists == state.served_lists;
        if !state.store.is_complete() || (is_same && suspects == state.served_suspects) {
            return;
        }
        check_invariant(
            version >= state.served,
            "served_revision_never_falls",
            || format!("{:?} then {version:?}", state.served),
        );
        let is_first = state.served.is_none();
        if version != state.served {
            state.served_since_ms = unix_ms();
        }
        state.served = version;
        state.served_lists = lists;
        state.served_suspects.clone_from(&suspects);
        state.view_number = state.view_number.next();
        let Some(mut source) = state.store.source(state.view_number) else {
            return;
        };
        source.suspects = suspects;
        self.sources.send_replace(Arc::new(source));
        self.ready.send_replace(true);
        if is_first {
            state.record(EventKind::Serving, "all documents are held");
        }
    }
}
