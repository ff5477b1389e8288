//! The program of an entry VM on a platform whose packets name their target.
//!
//! The program is one process with one thread. [`Node`] holds this VM's replica of the published
//! documents and the steering state derived from it. Tasks fetch documents ([`feed`], [`peering`]),
//! forward packets ([`packets`]), exchange loads with the VMs of the zone ([`coordination`]), and
//! answer readiness probes, peers and operators. The crate
//! `bambooseam_steer` decides to which target a packet is forwarded.

mod clock;
pub mod coordination;
pub mod feed;
pub mod first_copy;
mod follower;
pub mod followers;
pub mod held;
mod node;
mod or_none;
pub mod packets;
pub mod pause;
pub mod peering;
mod peers;
mod process;
mod reader;
mod reload;
pub mod starter;
mod stop;
mod token_support;

pub use clock::BootClock;
pub use node::{Node, Source};
pub use peers::Peers;
pub use process::{ProcessError, run_process};
pub use reload::SettingsFile;
pub use stop::{LastPacket, Stop, Stopping};
