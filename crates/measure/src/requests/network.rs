//! Loopback networks that no other run on this machine uses.

pub use bambooseam_standin::Network;
