//! Start and stop of the daemon's tasks.
