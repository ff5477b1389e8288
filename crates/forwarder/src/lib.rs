//! Packet program of an entry VM.
//!
//! A [`Forwarder`] takes encapsulated packets, finds the service, the owner among the live
//! forwarders and the target, and sends the inner packet on. Its ports are [`Output`] (where
//! packets go) and [`Clock`] (virtual in tests); a view is handed in with
//! [`Forwarder::set_view`]. The binary drives the same code from a UDP socket in [`run`].
//!
//! The wire format is in [`geneve`] and [`packet`], what is remembered in [`table`] and
//! [`target`], a view made ready for lookups in [`topology`], and the choice of targets in
//! [`pick`].

mod counters;
mod forwarder;
pub mod geneve;
mod handover;
mod option;
pub mod packet;
pub mod pick;
mod run;
mod socket;
mod strip;
pub mod table;
pub mod target;
pub mod topology;

pub use bambooseam_types::{Clock, Moment, SystemClock};
pub use counters::{Counters, DropCause};
pub use forwarder::{Forwarder, Output, Tracking};
pub use option::{FlowBinding, FlowOption, FlowOptionKind};
pub use run::{RunError, run};
pub use socket::{SendBatch, Socket};
