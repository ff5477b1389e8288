//! Measurements that print key=value lines.
//!
//! Each subcommand of `bambooseam-measure` has a module with its command line and its run.

pub mod control;
pub mod demo;
pub mod entry;
pub mod flows;
pub mod requests;
