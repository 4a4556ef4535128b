//! The numbered events that the daemon logs.
