//! The broker at exact times.

mod faults;
mod grants;
mod harness;
mod prefixes;
mod shedding;
