//! Benchmarks and simulations of bambooseam that print their results as key=value lines.
//!
//! Each subcommand of `bambooseam-measure` is a module that defines its command line and runs the
//! measurement.

pub mod control;
pub mod demo;
pub mod entry;
pub mod flows;
pub mod requests;
