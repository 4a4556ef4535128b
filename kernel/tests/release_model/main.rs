//! Releases in a simulated deployment: two drivers, a store that can fail, hosts, and workers of two
//! versions.

mod failures;
mod store;
mod traffic;
mod trial;
mod versions;
