//! Versions that peers are known to hold.

use std::time::{Duration, Instant};

use bambooseam_peer::agent::{DocumentVersion, Summary};
use bambooseam_types::VmId;

/// Time for which only one peer may send the documents that this agent lacks.
const LEASE_TIME: Duration = Duration::from_millis(500);

/// Versions that peers were last known to hold, the newest of these versions, and the lease of the
/// peer that may send the documents that this agent lacks.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    pub(super) entries: Vec<PeerVersions>,
    pub(super) newest_config: DocumentVersion,
    pub(super) newest_vms: DocumentVersion,
    pub(super) newest_targets: DocumentVersion,
    pub(super) lease: Option<Instant>,
}

/// Versions that a peer holds.
#[derive(Debug)]
pub(super) struct PeerVersions {
    pub(super) vm: VmId,
    pub(super) config: DocumentVersion,
    pub(super) vms: DocumentVersion,
    pub(super) targets: DocumentVersion,
}

impl PeerTable {
    /// Records the versions that a peer holds.
    pub(super) fn record(&mut self, summary: &Summary) {
        let versions = PeerVersions {
            vm: summary.vm.clone(),
            config: summary.config,
            vms: summary.vms,
            targets: summary.targets,
        };
        match self
            .entries
            .binary_search_by(|entry| entry.vm.cmp(&summary.vm))
        {
            Ok(index) => self.entries[index] = versions,
            Err(index) => self.entries.insert(index, versions),
        }
        self.newest_config = self.newest_config.max(summary.config);
        self.newest_vms = self.newest_vms.max(summary.vms);
        self.newest_targets = self.newest_targets.max(summary.targets);
    }

    /// Versions that a peer was last known to hold.
    pub(super) fn get(&self, vm: &VmId) -> Option<&PeerVersions> {
        let index = self
            .entries
            .binary_search_by(|entry| entry.vm.cmp(vm))
            .ok()?;
        self.entries.get(index)
    }

    /// Keeps only the peers for which `is_kept` returns true.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&VmId) -> bool) {
        self.entries.retain(|entry| is_kept(&entry.vm));
    }

    /// Acquires the lease unless another peer holds it.
    pub(super) fn try_lease(&mut self, now: Instant) -> bool {
        if self.is_leased(now) {
            return false;
        }
        self.lease = Some(now + LEASE_TIME);
        true
    }

    /// Whether a peer holds the lease.
    pub(super) fn is_leased(&self, now: Instant) -> bool {
        self.lease.is_some_and(|end| now < end)
    }
}
