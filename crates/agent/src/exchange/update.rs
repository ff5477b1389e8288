//! Applying updates received from peers.

use std::sync::Arc;

use bambooseam_config::digest_of;
use bambooseam_peer::agent::{ConfigUpdate, ListUpdate, Patch, Update, digest_prefix};
use bambooseam_types::VmId;

use crate::event::EventKind;
use crate::shared::{Provider, Shared};
use crate::store::{OfferResult, parse_pointer};
use crate::version::{ConfigVersion, ListKind, Origin};

impl Shared {
    /// Applies the documents of an update, each independently, if they are newer and valid.
    pub(super) fn apply_update(&self, peer: &VmId, update: &Update) {
        let provider = Provider::Peer(peer.to_string());
        if let Some(config) = &update.config {
            self.apply_config_update(config, &provider);
        }
        let lists = [
            (ListKind::Vms, &update.vms),
            (ListKind::Targets, &update.targets),
        ];
        for (kind, list) in lists {
            let Some(list) = list else { continue };
            self.apply_list_update(kind, list, &provider);
        }
    }

    fn apply_config_update(&self, update: &ConfigUpdate, provider: &Provider) {
        let Some(preset) = self.apply_patch("preset", &update.preset, provider) else {
            return;
        };
        let origin = Origin {
            era: update.era,
            index: update.index,
        };
        if let Ok(pointer) = parse_pointer(&update.pointer) {
            let announced = ConfigVersion {
                revision: pointer.revision,
                digest: pointer.digest,
            };
            self.lock().record_conflict(announced, provider);
        }
        let result = self.apply_config(&update.pointer, &preset, origin, provider);
        self.record_rejection(&result, provider);
    }

    fn apply_list_update(&self, kind: ListKind, update: &ListUpdate, provider: &Provider) {
        let Some(text) = self.apply_patch(kind.key(), &update.patch, provider) else {
            return;
        };
        if digest_prefix(&digest_of(&text)) != update.version.prefix {
            self.reject_message(
                provider,
                format!("{kind}: the text does not match the announced digest"),
            );
            return;
        }
        let origin = Origin {
            era: update.version.generation,
            index: update.version.index,
        };
        let result = self.apply_list(kind, &text, origin, provider);
        self.record_rejection(&result, provider);
    }

    /// Applies a patch to its base and returns the resulting text.
    fn apply_patch(&self, name: &str, patch: &Patch, provider: &Provider) -> Option<String> {
        let base = match patch.base {
            0 => Some(Arc::from("")),
            prefix => self.lock().store.text_by_prefix(prefix),
        };
        let Some(base) = base else {
            self.reject_message(
                provider,
                format!("{name}: the base of the patch is not among the documents held"),
            );
            return None;
        };
        match patch.apply(&base) {
            Ok(text) => Some(text),
            Err(error) => {
                self.reject_message(provider, format!("{name}: {error}"));
                None
            }
        }
    }

    fn record_rejection(&self, result: &OfferResult, provider: &Provider) {
        if let OfferResult::Rejected(findings) = result {
            self.reject_message(provider, findings.to_string());
        }
    }

    fn reject_message(&self, provider: &Provider, cause: String) {
        metrics::counter!("peer_messages_refused").increment(1);
        let cause = format!("{provider}: {cause}");
        self.lock().record_once(EventKind::PeerRejected, cause);
    }
}
