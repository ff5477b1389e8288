//! The program of an entry VM on a platform whose packets name their target.
//!
//! One process, one thread. [`Node`] holds the copy of the published documents and the steering
//! that follows from it. Tasks bring documents in ([`feed`], [`peering`]), move packets
//! ([`packets`]) and answer probes, peers and operators. Nothing here decides where a packet goes:
//! that is `bambooseam_steer`.

mod clock;
pub mod feed;
mod follower;
mod node;
pub mod packets;
pub mod peering;
mod peers;
mod process;
mod reader;
mod reload;
mod stop;

pub use clock::BootClock;
pub use node::{Node, Source};
pub use peers::Peers;
pub use process::{ProcessError, run_process};
pub use reload::Reload;
pub use stop::{LastPacket, Stop, Stopping};
