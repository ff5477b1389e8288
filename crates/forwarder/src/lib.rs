//! Packet program of an entry VM.
//!
//! A [`Forwarder`] receives Geneve-encapsulated IP packets, looks up the service that a packet is
//! addressed to, the live forwarder that owns the packet's flow and the target that the flow is
//! bound to, and sends the inner packet to that target. Its output and clock are the traits
//! [`Output`] and [`Clock`], so that tests run without sockets and in virtual time; views are
//! passed in with [`Forwarder::set_view`]. The binary runs the same code on a UDP socket in
//! [`run`].
//!
//! The wire format is in [`geneve`] and [`packet`], the flow table in [`table`], the registry of
//! targets in [`target`], the lookup tables derived from a view in [`topology`], and the policies
//! that pick a target in [`pick`].

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
