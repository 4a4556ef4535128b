//! The command line of the stand-ins.

fn main() {}
