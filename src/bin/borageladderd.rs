//! The daemon that runs on every host.

fn main() {}
