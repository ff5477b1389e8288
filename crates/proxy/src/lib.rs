//! Request program of an entry VM: an HTTP proxy with central admission per target.
//!
//! [`Proxy`] accepts HTTP requests on the request port of each service and forwards them to
//! targets. [`slots`] schedules the work, [`keys`] keeps work with an idempotency key from running
//! twice, and [`peers`] exchanges slots and key claims with other proxies.

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
