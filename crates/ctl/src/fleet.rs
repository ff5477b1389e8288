//! The fleet, asked through the admin endpoints of its programs.

mod ask;
mod listed;
mod reading;

pub use ask::{AskError, ask, ask_all};
pub use listed::{ListedVm, Programs, read_fleet};
pub use reading::{
    Decision, Health, ProgramStatus, ProgramView, Reading, StatusError, VmReading, since_epoch,
};
