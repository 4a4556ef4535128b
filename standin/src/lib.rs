//! Simulated upstreams, platform and callers of borageladder, for tests and experiments.

pub mod arguments;
pub mod control;
pub mod engine;
pub mod experiment;
pub mod hosts;
pub mod load;
pub mod model;
pub mod plain;
pub mod platform;
pub mod server;
pub mod trace;
pub mod transport;
