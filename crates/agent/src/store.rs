//! The documents that an agent holds. Each document is replaced only by a newer version.
//!
//! A document is validated as a whole before it is accepted. When it fails validation, it is
//! rejected, its findings are kept for the operators, and the version held before stays in force.

use std::sync::Arc;

use bambooseam_config::{Document, EvacuatedZone, PresetPointer, TargetList, VmList, digest_of};
use bambooseam_peer::agent::digest_prefix;
use bambooseam_types::{Digest, Finding, Findings, Location, Revision};
use bambooseam_view::{View, ViewNumber, ViewSource};

use crate::version::{Config, ConfigVersion, List, ListKind, ListVersion, Origin};

/// Preset documents kept, so that switching back needs no transfer.
const PRESET_LIMIT: usize = 8;

/// Earlier texts of lists kept as bases for patches.
const HISTORY_LIMIT: usize = 4;

/// Result of offering a document to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferResult {
    /// The document is newer and was accepted.
    Accepted,
    /// The document is the same as the one held.
    Unchanged,
    /// The document is older than the one held.
    Outdated,
    /// The document failed validation.
    Rejected(Findings),
}

/// A document that was rejected and not yet followed by a valid one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Key of the document.
    pub key: String,
    /// Digest of its text.
    pub digest: Digest,
    /// Findings of the validation.
    pub findings: Findings,
}

/// Documents that an agent holds, with the data needed to compare versions and to send patches.
#[derive(Debug, Default)]
pub struct Store {
    config: Option<Config>,
    vms: Option<List>,
    targets: Option<List>,
    vm_list: VmList,
    /// Evacuated zones of the held list of targets.
    evacuated: Vec<EvacuatedZone>,
    era: Revision,
    presets: Vec<StoredText>,
    history: Vec<StoredText>,
    rejections: Vec<Rejection>,
}

/// A text with its digest.
#[derive(Debug, Clone)]
struct StoredText {
    digest: Digest,
    text: Arc<str>,
}

impl Store {
    /// Validates a pointer and its preset, and accepts both if the pointer is newer than the one
    /// held.
    pub fn offer_config(
        &mut self,
        pointer_text: &str,
        preset_text: &str,
        origin: Origin,
    ) -> OfferResult {
        let source = ViewSource {
            pointer: pointer_text.to_owned(),
            preset: preset_text.to_owned(),
            ..ViewSource::default()
        };
        let view = match View::build(&source) {
            Ok(view) => view,
            Err(findings) => return self.reject("preset-in-force", pointer_text, findings),
        };
        if origin.era > view.revision() {
            let findings = era_finding("preset-in-force", origin, view.revision());
            return self.reject("preset-in-force", pointer_text, findings);
        }
        let config = Config {
            pointer: view.pointer,
            pointer_text: pointer_text.into(),
            preset_text: preset_text.into(),
            origin,
        };
        let current = self.config.as_ref().map(Config::version);
        match Some(config.version()).cmp(&current) {
            std::cmp::Ordering::Less => return OfferResult::Outdated,
            std::cmp::Ordering::Equal => return OfferResult::Unchanged,
            std::cmp::Ordering::Greater => {}
        }
        self.keep_preset(config.pointer.digest, &config.preset_text);
        self.era = self.era.max(origin.era);
        self.config = Some(config);
        self.rejections
            .retain(|rejection| !is_config_key(&rejection.key));
        OfferResult::Accepted
    }

    /// Validates a list and accepts it if it is newer than the one held.
    pub fn offer_list(&mut self, kind: ListKind, text: &str, origin: Origin) -> OfferResult {
        let version = ListVersion {
            origin,
            digest: digest_of(text),
        };
        let current = self.list(kind).map(|list| list.version);
        if current == Some(version) {
            return OfferResult::Unchanged;
        }
        if current.is_some_and(|current| current > version) {
            return OfferResult::Outdated;
        }
        let in_force = self.revision();
        if origin.era > in_force {
            let findings = era_finding(kind.key(), origin, in_force);
            return self.reject(kind.key(), text, findings);
        }
        let validated = match kind {
            ListKind::Vms => parse_list(kind, text).map(|list| self.vm_list = list),
            ListKind::Targets => {
                parse_list::<TargetList>(kind, text).map(|list| self.evacuated = list.evacuated)
            }
        };
        if let Err(findings) = validated {
            return self.reject(kind.key(), text, findings);
        }
        let list = List {
            version,
            text: text.into(),
        };
        let slot = match kind {
            ListKind::Vms => &mut self.vms,
            ListKind::Targets => &mut self.targets,
        };
        let earlier = slot.replace(list);
        self.rejections
            .retain(|rejection| rejection.key != kind.key());
        if let Some(earlier) = earlier {
            self.keep_history(earlier);
        }
        OfferResult::Accepted
    }

    /// Era of a pointer with this revision and index that the platform serves now.
    ///
    /// A pointer that has a higher revision than the one held but a lower index in the same era
    /// proves that the platform was rebuilt: a stale platform can't serve a higher revision. That
    /// revision becomes the new era.
    pub fn era_of(&self, revision: Revision, index: u64) -> Revision {
        let Some(current) = &self.config else {
            return self.era;
        };
        let is_newer = revision > current.pointer.revision;
        let is_behind = current.origin.era == self.era && index < current.origin.index;
        if is_newer && is_behind {
            return revision;
        }
        self.era
    }

    /// Era of the last accepted configuration, which is also the era of the lists that the platform
    /// serves; 0 before any rebuild.
    pub fn era(&self) -> Revision {
        self.era
    }

    /// The configuration held.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Evacuated zones of the held list of targets.
    pub fn evacuated(&self) -> &[EvacuatedZone] {
        &self.evacuated
    }

    /// The list of this kind that is held.
    pub fn list(&self, kind: ListKind) -> Option<&List> {
        match kind {
            ListKind::Vms => self.vms.as_ref(),
            ListKind::Targets => self.targets.as_ref(),
        }
    }

    /// The VMs of the list held; empty when there is none.
    pub fn vm_list(&self) -> &VmList {
        &self.vm_list
    }

    /// Revision held; 0 when there is none.
    pub fn revision(&self) -> Revision {
        self.config
            .as_ref()
            .map_or(Revision::default(), |config| config.pointer.revision)
    }

    /// Version of the configuration held.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.config.as_ref().map(Config::version)
    }

    /// A text with this digest that is held, or was held recently.
    pub fn text_by_digest(&self, digest: Digest) -> Option<Arc<str>> {
        for list in [&self.vms, &self.targets].into_iter().flatten() {
            if list.version.digest == digest {
                return Some(Arc::clone(&list.text));
            }
        }
        let mut cached = self.presets.iter().chain(&self.history);
        let stored = cached.find(|cached| cached.digest == digest)?;
        Some(Arc::clone(&stored.text))
    }

    /// A text that is held, or was held recently, and whose digest starts with these 8 bytes.
    pub fn text_by_prefix(&self, prefix: u64) -> Option<Arc<str>> {
        let lists = [&self.vms, &self.targets].into_iter().flatten();
        let digests = lists.map(|list| list.version.digest);
        let cached = self.presets.iter().chain(&self.history);
        let mut digests = digests.chain(cached.map(|cached| cached.digest));
        let digest = digests.find(|digest| digest_prefix(digest) == prefix)?;
        self.text_by_digest(digest)
    }

    /// Documents rejected and not yet followed by valid ones.
    pub fn rejections(&self) -> &[Rejection] {
        &self.rejections
    }

    /// Whether a configuration and both lists are held.
    pub fn is_complete(&self) -> bool {
        self.config.is_some() && self.vms.is_some() && self.targets.is_some()
    }

    /// Versions of the two lists.
    pub fn list_versions(&self) -> [Option<ListVersion>; 2] {
        ListKind::ALL.map(|kind| self.list(kind).map(|list| list.version))
    }

    /// The source of view `number`; `None` while a document is missing.
    pub fn source(&self, number: ViewNumber) -> Option<ViewSource> {
        let config = self.config.as_ref()?;
        Some(ViewSource {
            number,
            pointer: config.pointer_text.as_ref().to_owned(),
            preset: config.preset_text.as_ref().to_owned(),
            vms: self.vms.as_ref()?.text.as_ref().to_owned(),
            targets: self.targets.as_ref()?.text.as_ref().to_owned(),
            suspects: Vec::new(),
        })
    }

    /// Records the rejection of a document, also of a document that could not be offered. Replaces
    /// an earlier rejection under `key`.
    pub fn reject(&mut self, key: &str, text: &str, findings: Findings) -> OfferResult {
        let digest = digest_of(text);
        self.rejections.retain(|rejection| rejection.key != key);
        self.rejections.push(Rejection {
            key: key.into(),
            digest,
            findings: findings.clone(),
        });
        OfferResult::Rejected(findings)
    }

    /// Whether this exact text was rejected under `key` before.
    pub fn is_rejected(&self, key: &str, text: &str) -> bool {
        let digest = digest_of(text);
        self.rejections
            .iter()
            .any(|rejection| rejection.key == key && rejection.digest == digest)
    }

    fn keep_preset(&mut self, digest: Digest, text: &Arc<str>) {
        self.presets.retain(|cached| cached.digest != digest);
        self.presets.truncate(PRESET_LIMIT - 1);
        let text = Arc::clone(text);
        self.presets.insert(0, StoredText { digest, text });
    }

    fn keep_history(&mut self, list: List) {
        let digest = list.version.digest;
        self.history.retain(|cached| cached.digest != digest);
        self.history.truncate(HISTORY_LIMIT - 1);
        let text = list.text;
        self.history.insert(0, StoredText { digest, text });
    }
}

/// Parses a pointer.
pub(crate) fn parse_pointer(text: &str) -> Result<PresetPointer, Findings> {
    PresetPointer::try_from(&Document::parse("preset-in-force", text)?)
}

/// Parses and validates a list.
fn parse_list<T>(kind: ListKind, text: &str) -> Result<T, Findings>
where
    T: for<'a> TryFrom<&'a Document, Error = Findings>,
{
    T::try_from(&Document::parse(kind.key(), text)?)
}

/// Whether rejections under `key` are cleared by the next valid configuration.
fn is_config_key(key: &str) -> bool {
    key == "preset-in-force" || key.starts_with("presets/")
}

/// The finding for an era above `revision`, the revision of the offered or held pointer. The
/// pointer that proves a rebuild gives the era its revision, and revisions only increase.
fn era_finding(key: &str, origin: Origin, revision: Revision) -> Findings {
    let mut findings = Findings::new();
    findings.push(Finding::new(
        Location::new(key, 0, "era"),
        origin.era.to_string(),
        format!("at most the revision {revision}"),
    ));
    findings
}
