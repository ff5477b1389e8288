//! A loopback network of one's own.

pub use bambooseam_standin::Network;
