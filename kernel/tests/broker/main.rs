//! Tests of the broker of a cell with simulated time.

mod fair_shares;
mod faults;
mod grants;
mod harness;
mod hedges;
mod late_work;
mod latency_targets;
mod load_run;
mod prefixes;
mod rates;
mod rejections;
mod retry_after;
mod shedding;
mod versions;
