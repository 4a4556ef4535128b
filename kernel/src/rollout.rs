//! The spread of a configuration version over all hosts.
