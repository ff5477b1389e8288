//! Input of a view: the documents that an agent passes to the programs on its VM.

use bambooseam_types::VmId;
use derive_more::{Display, FromStr};

/// Number of a view on one agent; increases with each change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
pub struct ViewNumber(u64);

impl ViewNumber {
    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next number.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl From<u64> for ViewNumber {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

/// Published documents, and the health of VMs as observed by the agents.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViewSource {
    /// Number of the view.
    pub number: ViewNumber,
    /// Pointer to the preset in force, as published.
    pub pointer: String,
    /// Preset document.
    pub preset: String,
    /// Document with the list of VMs.
    pub vms: String,
    /// Document with the list of targets.
    pub targets: String,
    /// VMs that peers suspect to have failed, sorted.
    pub suspects: Vec<VmId>,
}
