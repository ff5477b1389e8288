//! Versions of documents: what makes one newer than another, the same on every agent.
//!
//! A configuration is ordered by revision, then by digest. Lists carry no revision; they are
//! ordered by the platform's index, which rises with each write. A platform that was rebuilt counts
//! from the start again, so lists also carry an era: the revision by which the rebuild was proved.

use std::sync::Arc;

use bambooseam_config::PresetPointer;
use bambooseam_peer::agent::{DocumentVersion, digest_prefix};
use bambooseam_types::{Digest, Revision};
use derive_more::Display;

/// Order of configurations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion {
    /// Revision of the pointer.
    pub revision: Revision,
    /// Digest of the preset; the larger one wins between two of the same revision.
    pub digest: Digest,
}

/// Order of the lists of VMs and targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListVersion {
    /// Where the platform published it.
    pub origin: Origin,
    /// Digest of the text.
    pub digest: Digest,
}

/// Place of a document in the platform's history.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{epoch}.{index}")]
pub struct Origin {
    /// Revision by which a rebuild of the platform was proved; 0 before any.
    pub epoch: Revision,
    /// The platform's index.
    pub index: u64,
}

/// Which list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum ListKind {
    /// Entry VMs.
    #[display("vms")]
    Vms,
    /// Targets.
    #[display("targets")]
    Targets,
}

/// A pointer and its preset, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The pointer.
    pub pointer: PresetPointer,
    /// The pointer as it was published.
    pub pointer_text: Arc<str>,
    /// The preset document.
    pub preset_text: Arc<str>,
    /// Where the platform published the pointer.
    pub origin: Origin,
}

/// A checked list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct List {
    /// Version.
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
    /// The version as summaries show it.
    pub fn document_version(&self) -> DocumentVersion {
        DocumentVersion {
            generation: self.version.origin.epoch,
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
