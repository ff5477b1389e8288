//! Taking what a peer brings.

use std::sync::Arc;

use bambooseam_config::digest_of;
use bambooseam_peer::agent::{ConfigUpdate, ListUpdate, Patch, Update, digest_prefix};
use bambooseam_types::VmId;

use crate::event::EventKind;
use crate::shared::{From, Shared};
use crate::store::{Offer, read_pointer};
use crate::version::{ConfigVersion, ListKind, Origin};

impl Shared {
    /// Takes the documents of an update, each on its own, if they are newer and good.
    pub(super) fn take_update(&self, peer: &VmId, update: &Update) {
        let from = From::Peer(peer.to_string());
        if let Some(config) = &update.config {
            self.take_config_update(config, &from);
        }
        let lists = [
            (ListKind::Vms, &update.vms),
            (ListKind::Targets, &update.targets),
        ];
        for (kind, list) in lists {
            let Some(list) = list else { continue };
            self.take_list_update(kind, list, &from);
        }
    }

    fn take_config_update(&self, update: &ConfigUpdate, from: &From) {
        let Some(preset) = self.apply("preset", &update.preset, from) else {
            return;
        };
        let origin = Origin {
            epoch: update.epoch,
            index: update.index,
        };
        if let Ok(pointer) = read_pointer(&update.pointer) {
            let found = ConfigVersion {
                revision: pointer.revision,
                digest: pointer.digest,
            };
            self.lock().note_conflict(found, from);
        }
        let offer = self.take_config(&update.pointer, &preset, origin, from);
        self.note_refusal(&offer, from);
    }

    fn take_list_update(&self, kind: ListKind, update: &ListUpdate, from: &From) {
        let Some(text) = self.apply(kind.key(), &update.patch, from) else {
            return;
        };
        if digest_prefix(&digest_of(&text)) != update.version.prefix {
            self.refuse_peer(from, format!("{kind} differs from its digest"));
            return;
        }
        let origin = Origin {
            epoch: update.version.generation,
            index: update.version.index,
        };
        let offer = self.take_list(kind, &text, origin, from);
        self.note_refusal(&offer, from);
    }

    /// Makes the text of a patch.
    fn apply(&self, name: &str, patch: &Patch, from: &From) -> Option<String> {
        let base = match patch.base {
            0 => Some(Arc::from("")),
            prefix => self.lock().store.text_by_prefix(prefix),
        };
        let Some(base) = base else {
            self.refuse_peer(from, format!("{name}: the base is not held"));
            return None;
        };
        match patch.apply(&base) {
            Ok(text) => Some(text),
            Err(error) => {
                self.refuse_peer(from, format!("{name}: {error}"));
                None
            }
        }
    }

    fn note_refusal(&self, offer: &Offer, from: &From) {
        if let Offer::Refused(findings) = offer {
            self.refuse_peer(from, findings.to_string());
        }
    }

    fn refuse_peer(&self, from: &From, cause: String) {
        metrics::counter!("peer_messages_refused").increment(1);
        let cause = format!("{from}: {cause}");
        self.lock().record_once(EventKind::PeerRefused, cause);
    }
}
