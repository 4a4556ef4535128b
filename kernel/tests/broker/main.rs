//! Tests of the broker of a cell with simulated time.

mod faults;
mod grants;
mod harness;
mod hedges;
mod latency_targets;
mod prefixes;
mod rates;
mod rejections;
mod retry_after;
mod shedding;
mod versions;
