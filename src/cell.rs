//! The brokers that run on this host, and the asks of its own entry.
