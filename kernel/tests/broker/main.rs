//! The broker at exact times.

mod aims;
mod faults;
mod grants;
mod harness;
mod prefixes;
mod returns;
mod shedding;
