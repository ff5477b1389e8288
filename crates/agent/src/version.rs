//! Versions of documents, which every agent orders in the same way.
//!
//! A configuration is ordered by revision, then by digest. Lists carry no revision; they are
//! ordered by the platform's index, which increases with each write. A rebuilt platform restarts
//! its index, so documents also carry an era: the revision that proved the last rebuild, or 0
//! before any rebuild. Within an era, the index only increases.

use std::sync::Arc;

use bambooseam_config::PresetPointer;
use bambooseam_peer::agent::{DocumentVersion, digest_prefix};
use bambooseam_types::{Digest, Revision};
use derive_more::Display;

/// Version of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion {
    /// Revision of the pointer.
    pub revision: Revision,
    /// Digest of the preset; of two presets under the same revision, the larger digest wins.
    pub digest: Digest,
}

/// Version of a list of VMs or targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListVersion {
    /// Position at which the platform published the list.
    pub origin: Origin,
    /// Digest of the text.
    pub digest: Digest,
}

/// Position of a document in the platform's history.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{era}.{index}")]
pub struct Origin {
    /// Era: the revision that proved the last rebuild of the platform, or 0 before any rebuild.
    pub era: Revision,
    /// The platform's index.
    pub index: u64,
}

/// Kind of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum ListKind {
    /// Entry VMs.
    #[display("vms")]
    Vms,
    /// Targets.
    #[display("targets")]
    Targets,
}

/// A validated pointer with its preset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The pointer.
    pub pointer: PresetPointer,
    /// The pointer as it was published.
    pub pointer_text: Arc<str>,
    /// The preset document.
    pub preset_text: Arc<str>,
    /// Position at which the platform published the pointer.
    pub origin: Origin,
}

/// A validated list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct List {
    /// Version of the list.
    pub version: ListVersion,
    /// The document.
    pub text: Arc<str>,
}

impl Config {
    /// Version of this configuration.
    pub fn version(&self) -> ConfigVersion {
        ConfigVersion {
            revision: self.pointer.revision,
            digest: self.pointer.digest,
        }
    }
}

impl List {
    /// The version in the form used in summaries.
    pub fn document_version(&self) -> DocumentVersion {
        DocumentVersion {
            generation: self.version.origin.era,
            index: self.version.origin.index,
            prefix: digest_prefix(&self.version.digest),
        }
    }
}

impl ListKind {
    /// Both kinds.
    pub const ALL: [Self; 2] = [Self::Vms, Self::Targets];

    /// Key of the list on the platform, without the prefix.
    pub const fn key(self) -> &'static str {
        match self {
            Self::Vms => "vms",
            Self::Targets => "targets",
        }
    }
}
