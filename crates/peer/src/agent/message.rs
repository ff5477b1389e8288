//! What agents tell one another.

use bambooseam_types::{Digest, Incarnation, Revision, VmId};

use super::Patch;

/// Version of a document as summaries show it; ordered, all zero when it is not held.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentVersion {
    /// Revision of a configuration, or era of a list.
    pub generation: Revision,
    /// The platform's index of a list; 0 for a configuration.
    pub index: u64,
    /// First 8 bytes of the digest.
    pub prefix: u64,
}

/// Sign of life: which start of an agent, and how many seconds after it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Heartbeat {
    /// The start.
    pub incarnation: Incarnation,
    /// Seconds since the start.
    pub uptime_s: u64,
}

/// News of a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// The VM.
    pub vm: VmId,
    /// Its last sign of life.
    pub heartbeat: Heartbeat,
    /// The VM towards which it has been silent since; `None` when it was heard.
    pub observer: Option<VmId>,
}

/// What an agent holds and has heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// The sender.
    pub vm: VmId,
    /// The sender's sign of life.
    pub heartbeat: Heartbeat,
    /// Incarnation of the receiver that the sender knows.
    pub known_incarnation: Incarnation,
    /// Configuration held.
    pub config: DocumentVersion,
    /// Era of the platform in which the pointer was read.
    pub epoch: Revision,
    /// The platform's index of the pointer.
    pub index: u64,
    /// List of VMs held.
    pub vms: DocumentVersion,
    /// List of targets held.
    pub targets: DocumentVersion,
    /// Some news.
    pub observations: Vec<Observation>,
    /// Whether the sender may be sent what it lacks.
    pub may_receive: bool,
    /// Whether the sender keeps the preset of the receiver's configuration from earlier.
    pub has_preset: bool,
}

/// A pointer and the difference that makes its preset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigUpdate {
    /// The pointer as published.
    pub pointer: String,
    /// Era of the platform in which it was read.
    pub epoch: Revision,
    /// The platform's index.
    pub index: u64,
    /// The preset document.
    pub preset: Patch,
}

/// The difference that makes a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListUpdate {
    /// Version of the list.
    pub version: DocumentVersion,
    /// The list.
    pub patch: Patch,
}

/// What a receiver lacks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Update {
    /// A newer configuration.
    pub config: Option<ConfigUpdate>,
    /// A newer list of VMs.
    pub vms: Option<ListUpdate>,
    /// A newer list of targets.
    pub targets: Option<ListUpdate>,
}

impl Summary {
    /// Whether the sender lacks something that the one who sent `other` holds.
    pub fn lacks(&self, other: &Self) -> bool {
        self.config < other.config || self.vms < other.vms || self.targets < other.targets
    }
}

impl Update {
    /// Whether it brings nothing.
    pub fn is_empty(&self) -> bool {
        self.config.is_none() && self.vms.is_none() && self.targets.is_none()
    }

    /// Bytes of text that it carries.
    pub fn size(&self) -> usize {
        let config = self.config.as_ref();
        let config = config.map_or(0, |config| config.pointer.len() + config.preset.size());
        let lists = [&self.vms, &self.targets].into_iter().flatten();
        config + lists.map(|list| list.patch.size()).sum::<usize>()
    }
}

/// First 8 bytes of a digest; they order as the digests do.
pub fn digest_prefix(digest: &Digest) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_be_bytes(bytes)
}
