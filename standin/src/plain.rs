//! A plain service that must not run a call twice.
