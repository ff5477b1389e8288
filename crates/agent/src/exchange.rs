//! Exchanges with peers: the two sides compare summaries, and each sends the documents that the
//! other lacks.

mod table;
mod update;

use std::sync::Arc;
use std::time::Instant;

use bambooseam_peer::agent::{
    ConfigUpdate, DocumentVersion, Heartbeat, ListUpdate, Observation, Patch, PeerService, Summary,
    Update, digest_prefix,
};
use bambooseam_types::{Incarnation, Revision, VmId};

use crate::event::{EventKind, unix_ms};
use crate::member::HeartbeatStatus;
use crate::shared::{Shared, State};
use crate::version::{List, ListKind};

pub(crate) use table::PeerTable;

/// Milliseconds by which a peer's clock may be ahead of this VM's clock.
const CLOCK_SKEW_MS: u64 = 24 * 3600 * 1000;

/// Longest plausible uptime of an agent, in seconds.
const UPTIME_LIMIT_S: u64 = 10 * 365 * 24 * 3600;

impl State {
    /// Version of the configuration held, in the form used in summaries.
    fn config_version(&self) -> DocumentVersion {
        self.store
            .version()
            .map_or(DocumentVersion::default(), |version| DocumentVersion {
                generation: version.revision,
                index: 0,
                prefix: digest_prefix(&version.digest),
            })
    }

    /// Version of a list held, in the form used in summaries.
    fn list_version(&self, kind: ListKind) -> DocumentVersion {
        self.store
            .list(kind)
            .map_or(DocumentVersion::default(), List::document_version)
    }

    /// Whether a peer holds a newer configuration.
    pub(crate) fn is_behind(&self) -> bool {
        self.config_version() < self.peers.newest_config
    }

    /// Whether a peer holds a newer list.
    pub(crate) fn is_list_behind(&self, kind: ListKind) -> bool {
        let newest = match kind {
            ListKind::Vms => self.peers.newest_vms,
            ListKind::Targets => self.peers.newest_targets,
        };
        self.list_version(kind) < newest
    }

    /// Builds the summary to send to a peer.
    pub(crate) fn summary(
        &mut self,
        local: &VmId,
        peer: Option<&VmId>,
        may_receive: bool,
    ) -> Summary {
        let fleet_size = self.store.vm_list().0.len();
        let origin = self.store.config().map(|config| config.origin);
        let origin = origin.unwrap_or_default();
        Summary {
            vm: local.clone(),
            heartbeat: Heartbeat {
                incarnation: self.incarnation,
                uptime_s: self.started.elapsed().as_secs(),
            },
            known_incarnation: peer
                .map_or(Incarnation::default(), |vm| self.members.incarnation(vm)),
            config: self.config_version(),
            era: origin.era,
            index: origin.index,
            vms: self.list_version(ListKind::Vms),
            targets: self.list_version(ListKind::Targets),
            observations: self.members.next_observations(fleet_size),
            may_receive,
            has_preset: false,
        }
    }

    /// Applies a summary: the state of its sender and the observations it carries. Returns false
    /// when the summary is rejected because it is implausible or comes from an earlier incarnation.
    pub(crate) fn apply_summary(&mut self, local: &VmId, summary: &Summary) -> bool {
        let now = Instant::now();
        if !is_plausible(summary.heartbeat) {
            let cause = format!(
                "{} sent a heartbeat with an implausible incarnation or uptime",
                summary.vm
            );
            self.record_once(EventKind::PeerRejected, cause);
            return false;
        }
        if summary.vm == *local {
            if summary.heartbeat.incarnation != self.incarnation {
                let cause = format!("another agent uses the VM identifier {local}");
                self.record_once(EventKind::PeerRejected, cause);
            }
            return false;
        }
        let list = self.store.vm_list();
        if self
            .members
            .record_heartbeat(&summary.vm, summary.heartbeat, list, now)
            == HeartbeatStatus::Stale
        {
            let cause = format!(
                "{} sent a message from its earlier incarnation {}",
                summary.vm, summary.heartbeat.incarnation
            );
            self.record_once(EventKind::PeerRejected, cause);
            return false;
        }
        if summary.known_incarnation > self.incarnation
            && is_plausible_incarnation(summary.known_incarnation)
        {
            self.incarnation = summary.known_incarnation.next();
        }
        for observation in &summary.observations {
            self.apply_observation(observation, now);
        }
        self.peers.record(summary);
        true
    }

    fn apply_observation(&mut self, observation: &Observation, now: Instant) {
        if !is_plausible(observation.heartbeat) {
            return;
        }
        let Self { members, store, .. } = self;
        members.apply_observation(observation, store.vm_list(), now);
    }

    /// Builds a summary that carries only the versions of the documents held.
    fn versions(&self, local: &VmId) -> Summary {
        Summary {
            vm: local.clone(),
            heartbeat: Heartbeat::default(),
            known_incarnation: Incarnation::default(),
            config: self.config_version(),
            era: Revision::default(),
            index: 0,
            vms: self.list_version(ListKind::Vms),
            targets: self.list_version(ListKind::Targets),
            observations: Vec::new(),
            may_receive: false,
            has_preset: false,
        }
    }

    /// Builds the update with the documents that the sender of `summary` lacks, as far as the
    /// budget allows.
    fn update_for(&self, summary: &Summary) -> Update {
        let mut update = Update::default();
        if let Some(config) = self.store.config()
            && summary.config < self.config_version()
        {
            let preset = match summary.has_preset {
                true => Patch::copy(self.config_version().prefix, &config.preset_text),
                false => self.patch(summary.config.prefix, &config.preset_text),
            };
            update.config = Some(ConfigUpdate {
                pointer: config.pointer_text.as_ref().to_owned(),
                era: config.origin.era,
                index: config.origin.index,
                preset,
            });
        }
        let config_size = update.size();
        for (kind, remote) in [
            (ListKind::Vms, summary.vms),
            (ListKind::Targets, summary.targets),
        ] {
            let Some(list) = self.store.list(kind) else {
                continue;
            };
            if remote >= list.document_version() {
                continue;
            }
            let list_update = ListUpdate {
                version: list.document_version(),
                patch: self.patch(remote.prefix, &list.text),
            };
            // The configuration takes precedence when the budget does not allow everything.
            if !self.budget.allows(config_size + list_update.patch.size()) {
                continue;
            }
            match kind {
                ListKind::Vms => update.vms = Some(list_update),
                ListKind::Targets => update.targets = Some(list_update),
            }
        }
        if !self.budget.allows(update.size()) {
            return Update::default();
        }
        update
    }

    /// The difference from the text whose digest begins with `prefix`, or the full text when that
    /// base is not available.
    fn patch(&self, prefix: u64, text: &str) -> Patch {
        match self.store.text_by_prefix(prefix) {
            Some(base) => Patch::between(prefix, &base, text),
            None => Patch::full(text),
        }
    }
}

impl Shared {
    /// Builds the summary that begins an exchange with a peer.
    pub(crate) fn begin_exchange(&self, peer: Option<&VmId>) -> Summary {
        let mut state = self.lock();
        let now = Instant::now();
        // Only an agent without a complete set of documents acquires the lease when it begins an
        // exchange: a peer that does not respond would delay updates from all other peers.
        let may_receive = match state.store.is_complete() {
            true => !state.peers.is_leased(now),
            false => state.peers.try_lease(now),
        };
        state.summary(&self.settings().vm.id, peer, may_receive)
    }

    /// Applies the response to an exchange. Returns the documents that the peer lacks, and whether
    /// this agent still lacks a document that the peer holds.
    pub(crate) fn end_exchange(
        &self,
        sent: &Summary,
        summary: &Summary,
        update: &Update,
    ) -> (Update, bool) {
        let local = &self.settings().vm.id;
        let is_accepted = {
            let mut state = self.lock();
            if sent.may_receive {
                state.peers.lease = None;
            }
            let is_accepted = state.apply_summary(local, summary);
            state.members.record_response(&summary.vm);
            is_accepted
        };
        if !is_accepted {
            return (Update::default(), false);
        }
        self.apply_update(&summary.vm, update);
        let mut state = self.lock();
        if summary.config != DocumentVersion::default() {
            state.gate.count_response();
        }
        let is_behind_peer = state.versions(local).lacks(summary);
        self.settle(&mut state);
        if !summary.may_receive {
            return (Update::default(), is_behind_peer);
        }
        let mut summary = summary.clone();
        // `has_preset` refers to the configuration that was sent, which may have been replaced
        // since.
        summary.has_preset &= sent.config == state.config_version();
        (state.update_for(&summary), is_behind_peer)
    }

    /// Records that a peer now holds the documents of `update`.
    pub(crate) fn record_delivery(&self, peer: &VmId, update: &Update) {
        let mut state = self.lock();
        let config = state.config_version();
        let index = state
            .peers
            .entries
            .binary_search_by(|versions| versions.vm.cmp(peer));
        let Ok(index) = index else { return };
        let versions = &mut state.peers.entries[index];
        if update.config.is_some() {
            versions.config = config;
        }
        if let Some(list) = &update.vms {
            versions.vms = list.version;
        }
        if let Some(list) = &update.targets {
            versions.targets = list.version;
        }
    }

    /// Whether a peer may lack a document that this agent holds.
    pub(crate) fn is_peer_behind(&self, peer: Option<&VmId>) -> bool {
        let state = self.lock();
        let Some(versions) = peer.and_then(|peer| state.peers.get(peer)) else {
            return true;
        };
        versions.config < state.config_version()
            || versions.vms < state.list_version(ListKind::Vms)
            || versions.targets < state.list_version(ListKind::Targets)
    }

    /// Charges the budget for the bytes sent; returns true while more was sent than the rate
    /// allows.
    pub(crate) fn is_overdrawn(&self) -> bool {
        let mut state = self.lock();
        self.settle(&mut state);
        state.budget.is_overdrawn()
    }

    fn settle(&self, state: &mut State) {
        state.budget.settle(Instant::now(), self.sent());
    }
}

/// Handles the exchanges that peers begin.
#[derive(Debug)]
pub(crate) struct ExchangeHandler {
    pub(crate) shared: Arc<Shared>,
}

impl PeerService for ExchangeHandler {
    fn exchange(&self, summary: Summary) -> (Summary, Update) {
        let local = &self.shared.settings().vm.id;
        let mut state = self.shared.lock();
        if !state.apply_summary(local, &summary) {
            return (
                state.summary(local, Some(&summary.vm), false),
                Update::default(),
            );
        }
        self.shared.settle(&mut state);
        let may_receive =
            state.versions(local).lacks(&summary) && state.peers.try_lease(Instant::now());
        let mut response = state.summary(local, Some(&summary.vm), may_receive);
        response.has_preset = state.store.text_by_prefix(summary.config.prefix).is_some();
        let update = match summary.may_receive {
            true => state.update_for(&summary),
            false => Update::default(),
        };
        drop(state);
        self.shared.record_delivery(&summary.vm, &update);
        (response, update)
    }

    fn deliver(&self, vm: &VmId, update: Update) {
        self.shared.apply_update(vm, &update);
        self.shared.lock().peers.lease = None;
    }
}

/// Whether incarnation and uptime of a heartbeat are plausible.
fn is_plausible(heartbeat: Heartbeat) -> bool {
    heartbeat.uptime_s < UPTIME_LIMIT_S && is_plausible_incarnation(heartbeat.incarnation)
}

/// Whether an incarnation is plausible by this VM's clock.
fn is_plausible_incarnation(incarnation: Incarnation) -> bool {
    incarnation.get() < unix_ms() + CLOCK_SKEW_MS
}
