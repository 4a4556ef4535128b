//! The state machines of borageladder.
//!
//! Nothing in this crate performs I/O or reads a clock. Each state machine takes an event together
//! with the time of the event and returns the actions for the calling code to perform, so every
//! rule can be tested at exact times.

pub mod ask;
pub mod attempt;
pub mod backlog;
pub mod broker;
pub mod change;
pub mod claim;
pub mod clock;
pub mod configuration;
pub mod connection;
pub mod delta;
pub mod departure;
pub mod estimate;
pub mod failure;
pub mod freshness;
pub mod hedge;
pub mod lifecycle;
pub mod limit;
pub mod load;
pub mod location;
pub mod membership;
pub mod memory;
pub mod name;
pub mod pace;
pub mod pause;
pub mod poison;
pub mod policy;
pub mod prefix;
pub mod prompt;
pub mod pushback;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod reachability;
pub mod release;
pub mod retry;
pub mod retry_after;
pub mod rollout;
pub mod roster;
pub mod route;
pub mod rule;
pub mod share;
pub mod stream;
pub mod stream_log;
pub mod table;
pub mod version_choice;
