//! The settings file as it is written, before any check.

use serde::Deserialize;
use toml::Spanned;

/// A value with its place in the file.
pub type RawText = Spanned<String>;

/// All keys of the settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// The name of the host.
    pub host: RawText,
    /// The data centre of the host.
    pub datacenter: RawText,
    /// The region of the data centre.
    pub region: RawText,
    /// The address for callers.
    pub entry_listen: RawText,
    /// The address for operators.
    pub operator_listen: RawText,
    /// The address for links.
    pub link_listen: RawText,
    /// The address that other hosts use for links; `link_listen` without it.
    pub link_advertise: Option<RawText>,
    /// Link addresses to try first.
    #[serde(default)]
    pub peers: Vec<RawText>,
    /// The address of the platform.
    pub platform: RawText,
    /// The file with the key that all hosts share.
    pub shared_key_file: RawText,
    /// The operators.
    #[serde(default)]
    pub operators: Vec<RawOperator>,
    /// The bounds.
    #[serde(default)]
    pub limits: RawLimits,
    /// The logs.
    #[serde(default)]
    pub log: RawLog,
}

/// One operator.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOperator {
    /// The name.
    pub name: RawText,
    /// The digest of the token.
    pub token_digest: RawText,
}

/// The bounds; absent ones have defaults.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLimits {
    /// The largest request body, in bytes.
    pub max_body_bytes: Option<Spanned<usize>>,
    /// The largest request head, in bytes.
    pub max_header_bytes: Option<Spanned<usize>>,
    /// The most open connections from callers.
    pub max_connections: Option<Spanned<usize>>,
    /// The most requests held at once.
    pub max_requests: Option<Spanned<usize>>,
    /// The most bytes of waiting bodies.
    pub max_waiting_bytes: Option<Spanned<usize>>,
    /// The largest script, in bytes.
    pub max_script_bytes: Option<Spanned<usize>>,
    /// The time for the body of a request, in milliseconds.
    pub body_timeout_ms: Option<Spanned<usize>>,
}

/// The logs; absent keys have defaults.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLog {
    /// `json` or `terminal`.
    pub format: Option<RawText>,
    /// `critical`, `error`, `warning`, `info`, `debug` or `trace`.
    pub level: Option<RawText>,
}
