//! Typed messages between agents.

use bambooseam_types::{Digest, Incarnation, Revision, VmId};

use super::Patch;

/// Version of a document in a summary, ordered by its fields in turn; all fields are 0 when the
/// document is not held.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentVersion {
    /// Revision of a configuration, or era of a list.
    pub generation: Revision,
    /// The platform's index of a list; 0 for a configuration.
    pub index: u64,
    /// First 8 bytes of the digest.
    pub prefix: u64,
}

/// Heartbeat of an agent: its incarnation and its uptime.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Heartbeat {
    /// The incarnation, which identifies one start of an agent.
    pub incarnation: Incarnation,
    /// Seconds since that start.
    pub uptime_s: u64,
}

/// Observation of a VM that agents pass on to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// The observed VM.
    pub vm: VmId,
    /// Latest known heartbeat of the observed VM.
    pub heartbeat: Heartbeat,
    /// The VM to which the observed VM has not responded since that heartbeat; `None` when the
    /// observation announces the heartbeat itself.
    pub observer: Option<VmId>,
}

/// Versions that an agent holds, and its observations of other VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// The sender.
    pub vm: VmId,
    /// The sender's heartbeat.
    pub heartbeat: Heartbeat,
    /// Last incarnation of the receiver that the sender knows.
    pub known_incarnation: Incarnation,
    /// Version of the configuration held.
    pub config: DocumentVersion,
    /// Era of the platform in which the pointer was read: the revision that proved the platform's
    /// last rebuild, or 0.
    pub era: Revision,
    /// The platform's index of the pointer.
    pub index: u64,
    /// Version of the list of VMs held.
    pub vms: DocumentVersion,
    /// Version of the list of targets held.
    pub targets: DocumentVersion,
    /// Observations of other VMs.
    pub observations: Vec<Observation>,
    /// Whether the receiver may send the documents that the sender lacks.
    pub may_receive: bool,
    /// Whether the sender still has the preset of the receiver's configuration.
    pub has_preset: bool,
}

/// A pointer, and the patch that builds its preset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigUpdate {
    /// The pointer as it was published.
    pub pointer: String,
    /// Era of the platform in which the pointer was read: the revision that proved the platform's
    /// last rebuild, or 0.
    pub era: Revision,
    /// The platform's index of the pointer.
    pub index: u64,
    /// Patch for the preset document.
    pub preset: Patch,
}

/// A patch that builds a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListUpdate {
    /// Version of the list.
    pub version: DocumentVersion,
    /// Patch for the list document.
    pub patch: Patch,
}

/// Documents that a receiver lacks.
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
    /// Whether the sender of this summary lacks a document that the sender of `other` holds.
    pub fn lacks(&self, other: &Self) -> bool {
        self.config < other.config || self.vms < other.vms || self.targets < other.targets
    }
}

impl Update {
    /// Whether the update contains no document.
    pub fn is_empty(&self) -> bool {
        self.config.is_none() && self.vms.is_none() && self.targets.is_none()
    }

    /// Approximate size of the update in bytes.
    pub fn size(&self) -> usize {
        let config = self.config.as_ref();
        let config = config.map_or(0, |config| config.pointer.len() + config.preset.size());
        let lists = [&self.vms, &self.targets].into_iter().flatten();
        config + lists.map(|list| list.patch.size()).sum::<usize>()
    }
}

/// First 8 bytes of a digest as a big-endian number, so that prefixes are ordered like digests.
pub fn digest_prefix(digest: &Digest) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_be_bytes(bytes)
}
