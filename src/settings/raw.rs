//! The settings file as deserialised from TOML, before validation.

use serde::Deserialize;
use toml::Spanned;

/// A string with its byte range in the file.
pub type RawText = Spanned<String>;

/// The top-level keys of the settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// The name of the host.
    pub host: RawText,
    /// The data centre of the host.
    pub datacenter: RawText,
    /// The region of the data centre.
    pub region: RawText,
    /// The listen address for callers.
    pub entry_listen: RawText,
    /// The listen address for operators.
    pub operator_listen: RawText,
    /// The listen address for links.
    pub link_listen: RawText,
    /// The address at which other hosts open links; `link_listen` when absent.
    pub link_advertise: Option<RawText>,
    /// Link addresses of the hosts to which the host connects first.
    #[serde(default)]
    pub peers: Vec<RawText>,
    /// The address of the platform.
    pub platform: RawText,
    /// The file with the shared key, relative to the folder of the settings file.
    pub shared_key_file: RawText,
    /// The operators that may send commands.
    #[serde(default)]
    pub operators: Vec<RawOperator>,
    /// Limits on requests, connections and operator scripts.
    #[serde(default)]
    pub limits: RawLimits,
    /// The format and level of the log.
    #[serde(default)]
    pub log: RawLog,
}

/// One operator in the list `operators`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOperator {
    /// The name of the operator.
    pub name: RawText,
    /// The BLAKE3 digest of the operator's token, in hexadecimal.
    pub token_digest: RawText,
}

/// The section `limits`; absent keys have defaults.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLimits {
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: Option<Spanned<usize>>,
    /// The maximum size of a request head, in bytes.
    pub max_header_bytes: Option<Spanned<usize>>,
    /// The maximum number of open connections from callers.
    pub max_connections: Option<Spanned<usize>>,
    /// The maximum number of requests that the host holds at a time.
    pub max_requests: Option<Spanned<usize>>,
    /// The maximum total size of the bodies of waiting requests, in bytes.
    pub max_waiting_bytes: Option<Spanned<usize>>,
    /// The maximum size of an operator's script, in bytes.
    pub max_script_bytes: Option<Spanned<usize>>,
    /// The time limit for receiving the body of a request, in milliseconds.
    pub body_timeout_ms: Option<Spanned<usize>>,
}

/// The section `log`; absent keys have defaults.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLog {
    /// `json` or `terminal`.
    pub format: Option<RawText>,
    /// `critical`, `error`, `warning`, `info`, `debug` or `trace`.
    pub level: Option<RawText>,
}
