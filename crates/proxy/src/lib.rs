//! Request program of an entry VM.
//!
//! [`Proxy`] takes HTTP requests on each service's request port and passes them to targets.
//! [`slots`] decides which work starts when, [`keys`] keeps work from running twice, and
//! [`peers`] carries both between proxies.

mod attempt;
mod body;
mod exchange;
mod head;
pub mod keys;
mod listener;
mod local_response;
mod owners;
pub mod peers;
mod pool;
mod proxy;
mod retry;
mod routes;
pub mod slots;
mod source;
mod status;
mod trace;
mod upgrade;

pub use head::{Head, IdempotencyKey};
pub use proxy::{Proxy, StartError};
pub use retry::RetryBudget;
pub use routes::{GroupRoute, OwnerAddress, Routes, TargetGroup};
