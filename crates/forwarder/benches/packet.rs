//! Benchmark of the per-packet path.

fn main() {}
