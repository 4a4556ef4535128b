//! Benchmark, to be written.

fn main() {}
