//! The platform's lagging list of upstream hosts.
