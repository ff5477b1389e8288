//! Observability and process start-up shared by all programs.
//!
//! This crate provides logs, metrics, traces, the decision log, run-time invariants and the HTTP
//! admin endpoint, together with the command line ([`Program`]) and the stop signals
//! ([`stop_signal`]) that the programs have in common.

mod admin;
mod decisions;
mod invariant;
mod limit;
mod logs;
mod program;
mod queue;
mod recorder;
mod stop;
pub mod trace;

pub use admin::{Admin, AdminError};
pub use decisions::{Decision, DecisionLog, decisions};
pub use invariant::check_invariant;
pub use limit::LogLimit;
pub use logs::{LogError, init_logs};
pub use program::{EXIT_BAD_INPUT, EXIT_FAILED, Program, Start, finish};
pub use stop::stop_signal;
