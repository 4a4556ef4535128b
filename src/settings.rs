//! The settings of one host, read from a TOML file.
