//! The metrics of one host.
