//! Changes that operators make to a configuration.
