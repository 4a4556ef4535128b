//! Request scheduler for callers that never say how urgent a request is.
//!
//! The library holds the parts of the daemon `borageladderd` and of the operators' command line
//! `borageladder`. The decisions themselves are made by the state machines of
//! [`borageladder_kernel`], which this crate re-exports as [`kernel`].

pub use borageladder_kernel as kernel;
pub use slog;

pub mod cell;
pub mod claims;
pub mod cli;
pub mod context;
pub mod daemon;
pub mod dispatch;
pub mod entry;
pub mod event;
pub mod keeper;
pub mod language;
pub mod link;
pub mod logging;
pub mod member;
pub mod metrics;
pub mod operator;
pub mod platform;
pub mod settings;
pub mod watch;
pub mod wire;
