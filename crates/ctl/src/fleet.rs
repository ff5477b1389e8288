//! Status of the fleet, queried through the admin endpoints of its programs.

mod addresses;
mod fetch;
mod response;

pub use addresses::{AdminAddresses, FleetVm, read_fleet};
pub use fetch::{FetchError, fetch_all, fetch_status};
pub use response::{
    Decision, Evacuated, Health, ProgramResponse, ProgramStatus, ProgramView, StatusError,
    VmResponse, since_epoch,
};
