//! What an agent hands to the programs beside it: the documents that a view is built from.

use bambooseam_types::VmId;
use derive_more::{Display, FromStr};

/// Number of a view on one agent; it rises with each change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
pub struct ViewNumber(u64);

impl ViewNumber {
    /// The number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The number after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl From<u64> for ViewNumber {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

/// Published documents and the agent's own findings about VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViewSource {
    /// Number of the view.
    pub number: ViewNumber,
    /// The pointer to the preset in force.
    pub pointer: String,
    /// The preset document.
    pub preset: String,
    /// The list of VMs.
    pub vms: String,
    /// The list of targets.
    pub targets: String,
    /// VMs that peers suspect to be dead, sorted.
    pub suspects: Vec<VmId>,
}
