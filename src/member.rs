//! The other hosts: heartbeats, liveness and the choice of brokers.
