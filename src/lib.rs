//! Request scheduler for callers that do not state the urgency of their requests.
//!
//! The library contains the daemon `borageladderd`, the operators' command line `borageladder` and,
//! in [`gateway`], the daemon for the users' platform, whose adapter is the crate
//! `borageladder-platform`. Scheduling decisions are made by the I/O-free state machines of
//! [`borageladder_kernel`], which this crate re-exports as [`kernel`].

pub use borageladder_kernel as kernel;
pub use slog;

pub mod activity;
pub mod admission;
pub mod body;
pub mod capacity;
pub mod cell;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod configuration;
pub mod connection;
pub mod context;
pub mod crashes;
pub mod daemon;
pub mod entry;
pub mod event;
pub mod execution;
pub mod gateway;
pub mod idempotency;
pub mod intake;
pub mod journal;
pub mod language;
pub mod link;
pub mod listener;
pub mod log_budget;
pub mod logging;
pub mod member;
pub mod metering;
pub mod metrics;
pub mod network;
pub mod operator;
pub mod platform;
pub mod probe;
pub mod query;
pub mod relay;
pub mod reply;
pub mod request;
pub mod rows;
pub mod server;
pub mod settings;
pub mod signals;
pub mod sse;
pub mod table;
pub mod timeline;
mod unframed;
pub mod upstream;
pub mod usage;
pub mod watch;
pub mod wire;
