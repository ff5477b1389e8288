//! Comparing with peers: summaries, what each side lacks, and updates that are taken.

mod table;
mod update;

use std::sync::Arc;
use std::time::Instant;

use bambooseam_peer::agent::{
    Beat, ConfigUpdate, DocumentVersion, ListUpdate, Patch, PeerService, Rumour, Summary, Update,
    mark_of,
};
use bambooseam_types::{Incarnation, Revision, VmId};

use crate::event::{EventKind, unix_ms};
use crate::member::Heard;
use crate::shared::{Shared, State};
use crate::version::{List, ListKind};

pub(crate) use table::PeerTable;

/// Milliseconds by which a peer's clock may be ahead.
const CLOCK_AHEAD_MS: u64 = 24 * 3600 * 1000;

/// Longest time that an agent may have run, in seconds.
const AGE_LIMIT: u64 = 10 * 365 * 24 * 3600;

impl State {
    /// Version of the configuration held, as summaries show it.
    fn config_version(&self) -> DocumentVersion {
        self.store
            .version()
            .map_or(DocumentVersion::default(), |version| DocumentVersion {
                rank: version.revision,
                index: 0,
                mark: mark_of(&version.digest),
            })
    }

    /// Version of a list held, as summaries show it.
    fn list_version(&self, kind: ListKind) -> DocumentVersion {
        self.store
            .list(kind)
            .map_or(DocumentVersion::default(), List::shown)
    }

    /// Whether a peer holds a newer configuration.
    pub(crate) fn is_behind(&self) -> bool {
        self.config_version() < self.peers.newest
    }

    /// Whether a peer holds a newer list.
    pub(crate) fn is_list_behind(&self, kind: ListKind) -> bool {
        let newest = match kind {
            ListKind::Vms => self.peers.newest_vms,
            ListKind::Targets => self.peers.newest_targets,
        };
        self.list_version(kind) < newest
    }

    /// The summary for a peer.
    pub(crate) fn summary(&mut self, me: &VmId, peer: Option<&VmId>, wants: bool) -> Summary {
        let fleet = self.store.vm_list().0.len();
        let origin = self.store.config().map(|config| config.origin);
        let origin = origin.unwrap_or_default();
        Summary {
            vm: me.clone(),
            beat: Beat {
                incarnation: self.incarnation,
                second: self.started.elapsed().as_secs(),
            },
            known: peer.map_or(Incarnation::default(), |vm| self.members.incarnation(vm)),
            config: self.config_version(),
            era: origin.era,
            index: origin.index,
            vms: self.list_version(ListKind::Vms),
            targets: self.list_version(ListKind::Targets),
            rumours: self.members.news(fleet),
            wants,
            keeps: false,
        }
    }

    /// Takes what a summary tells of its sender and of others; false when it is refused, because it
    /// is not plausible or comes from an earlier start.
    pub(crate) fn note_summary(&mut self, me: &VmId, summary: &Summary) -> bool {
        let now = Instant::now();
        if !is_plausible(summary.beat) {
            let cause = format!("{} sent an impossible sign of life", summary.vm);
            self.record_once(EventKind::PeerRefused, cause);
            return false;
        }
        if summary.vm == *me {
            if summary.beat.incarnation != self.incarnation {
                let cause = format!("another agent calls itself {me}");
                self.record_once(EventKind::PeerRefused, cause);
            }
            return false;
        }
        let list = self.store.vm_list();
        if self.members.hear(&summary.vm, summary.beat, list, now) == Heard::Late {
            let cause = format!(
                "{} sent a message of its earlier start {}",
                summary.vm, summary.beat.incarnation
            );
            self.record_once(EventKind::PeerRefused, cause);
            return false;
        }
        if summary.known > self.incarnation && is_plausible_start(summary.known) {
            self.incarnation = summary.known.next();
        }
        for rumour in &summary.rumours {
            self.take_rumour(rumour, now);
        }
        self.peers.note(summary);
        true
    }

    fn take_rumour(&mut self, rumour: &Rumour, now: Instant) {
        if !is_plausible(rumour.beat) {
            return;
        }
        let Self { members, store, .. } = self;
        members.take_rumour(rumour, store.vm_list(), now);
    }

    /// A summary with the versions alone.
    fn versions(&self, me: &VmId) -> Summary {
        Summary {
            vm: me.clone(),
            beat: Beat::default(),
            known: Incarnation::default(),
            config: self.config_version(),
            era: Revision::default(),
            index: 0,
            vms: self.list_version(ListKind::Vms),
            targets: self.list_version(ListKind::Targets),
            rumours: Vec::new(),
            wants: false,
            keeps: false,
        }
    }

    /// What a peer lacks, as far as the budget allows.
    fn update_for(&self, summary: &Summary) -> Update {
        let mut update = Update::default();
        if let Some(config) = self.store.config()
            && summary.config < self.config_version()
        {
            let preset = match summary.keeps {
                true => Patch::copy(self.config_version().mark, &config.preset_text),
                false => self.patch(summary.config.mark, &config.preset_text),
            };
            update.config = Some(ConfigUpdate {
                pointer: config.pointer_text.as_ref().to_owned(),
                era: config.origin.era,
                index: config.origin.index,
                preset,
            });
        }
        let size = update.size();
        for (kind, theirs) in [
            (ListKind::Vms, summary.vms),
            (ListKind::Targets, summary.targets),
        ] {
            let Some(list) = self.store.list(kind) else {
                continue;
            };
            if theirs >= list.shown() {
                continue;
            }
            let list_update = ListUpdate {
                version: list.shown(),
                patch: self.patch(theirs.mark, &list.text),
            };
            // The configuration goes first when there is not room for all.
            if !self.budget.allows(size + list_update.patch.size()) {
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

    /// The difference from the text with mark `mark`, or the whole text when that is not known.
    fn patch(&self, mark: u64, text: &str) -> Patch {
        match self.store.text_of_mark(mark) {
            Some(base) => Patch::between(mark, &base, text),
            None => Patch::whole(text),
        }
    }
}

impl Shared {
    /// The summary that begins an exchange with a peer.
    pub(crate) fn begin_exchange(&self, peer: Option<&VmId>) -> Summary {
        let mut state = self.lock();
        let now = Instant::now();
        // Only an agent that lacks whole documents takes the lease: a peer that does not answer
        // would hold up the others.
        let wants = match state.store.is_complete() {
            true => !state.peers.is_leased(now),
            false => state.peers.try_lease(now),
        };
        state.summary(&self.settings().vm.id, peer, wants)
    }

    /// Takes the answer to an exchange; gives what the peer lacks, and whether this agent still lacks
    /// something.
    pub(crate) fn end_exchange(
        &self,
        sent: &Summary,
        summary: &Summary,
        update: &Update,
    ) -> (Update, bool) {
        let me = &self.settings().vm.id;
        let is_taken = {
            let mut state = self.lock();
            if sent.wants {
                state.peers.lease = None;
            }
            let is_taken = state.note_summary(me, summary);
            state.members.note_answer(&summary.vm);
            is_taken
        };
        if !is_taken {
            return (Update::default(), false);
        }
        self.take_update(&summary.vm, update);
        let mut state = self.lock();
        if summary.config != DocumentVersion::default() {
            state.gate.count_answer();
        }
        let is_lacking = state.versions(me).lacks(summary);
        self.settle(&mut state);
        if !summary.wants {
            return (Update::default(), is_lacking);
        }
        let mut summary = summary.clone();
        // The answer speaks of the configuration that was sent, which may be replaced by now.
        summary.keeps &= sent.config == state.config_version();
        (state.update_for(&summary), is_lacking)
    }

    /// Notes that a peer now holds what this agent holds.
    pub(crate) fn note_delivered(&self, peer: &VmId, update: &Update) {
        let mut state = self.lock();
        let config = state.config_version();
        let index = state.peers.held.binary_search_by(|held| held.vm.cmp(peer));
        let Ok(index) = index else { return };
        let held = &mut state.peers.held[index];
        if update.config.is_some() {
            held.config = config;
        }
        if let Some(list) = &update.vms {
            held.vms = list.version;
        }
        if let Some(list) = &update.targets {
            held.targets = list.version;
        }
    }

    /// Whether a peer is not known to hold all that this agent holds.
    pub(crate) fn is_news_for(&self, peer: Option<&VmId>) -> bool {
        let state = self.lock();
        let Some(held) = peer.and_then(|peer| state.peers.get(peer)) else {
            return true;
        };
        held.config < state.config_version()
            || held.vms < state.list_version(ListKind::Vms)
            || held.targets < state.list_version(ListKind::Targets)
    }

    /// Charges the budget for what was sent; true while more was sent than the rate allows.
    pub(crate) fn is_overdrawn(&self) -> bool {
        let mut state = self.lock();
        self.settle(&mut state);
        state.budget.is_overdrawn()
    }

    fn settle(&self, state: &mut State) {
        state.budget.settle(Instant::now(), self.sent());
    }
}

/// Answers the exchanges that peers begin.
#[derive(Debug)]
pub(crate) struct Answerer {
    pub(crate) shared: Arc<Shared>,
}

impl PeerService for Answerer {
    fn exchange(&self, summary: Summary) -> (Summary, Update) {
        let me = &self.shared.settings().vm.id;
        let mut state = self.shared.lock();
        if !state.note_summary(me, &summary) {
            return (
                state.summary(me, Some(&summary.vm), false),
                Update::default(),
            );
        }
        self.shared.settle(&mut state);
        let wants = state.versions(me).lacks(&summary) && state.peers.try_lease(Instant::now());
        let mut answer = state.summary(me, Some(&summary.vm), wants);
        answer.keeps = state.store.text_of_mark(summary.config.mark).is_some();
        let update = match summary.wants {
            true => state.update_for(&summary),
            false => Update::default(),
        };
        drop(state);
        self.shared.note_delivered(&summary.vm, &update);
        (answer, update)
    }

    fn deliver(&self, vm: &VmId, update: Update) {
        self.shared.take_update(vm, &update);
        self.shared.lock().peers.lease = None;
    }
}

/// Whether a sign of life can be true.
fn is_plausible(beat: Beat) -> bool {
    beat.second < AGE_LIMIT && is_plausible_start(beat.incarnation)
}

/// Whether a start can be true by this VM's clock.
fn is_plausible_start(incarnation: Incarnation) -> bool {
    incarnation.get() < unix_ms() + CLOCK_AHEAD_MS
}
