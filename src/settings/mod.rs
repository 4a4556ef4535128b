//! Settings of one host, read from a TOML file and validated.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use thiserror::Error;

use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::name::OperatorName;
use crate::kernel::name::RegionName;

mod check;
mod incomplete;
mod raw;
mod secret;

use check::CheckError;
use check::SettingsSource;
pub use incomplete::load_when_complete;
use raw::RawSettings;
pub use secret::KeyDigest;
pub use secret::SecretKey;

/// The maximum size of a settings file, in bytes.
pub const MAX_SETTINGS_BYTES: u64 = 1024 * 1024;

/// The validated settings of one host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The name of the host.
    pub host: HostName,
    /// The data centre of the host.
    pub datacenter: DatacenterName,
    /// The region of the data centre.
    pub region: RegionName,
    /// The listen address for callers.
    pub entry_listen: SocketAddr,
    /// The listen address for operators.
    pub operator_listen: SocketAddr,
    /// The listen address for links from other hosts.
    pub link_listen: SocketAddr,
    /// The address at which other hosts connect to the link listener; `link_listen` by default.
    pub link_advertise: SocketAddr,
    /// Link addresses of the hosts to which the host connects first.
    pub peers: Vec<SocketAddr>,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The key with which hosts authenticate each other on links.
    pub shared_key: SecretKey,
    /// The operators that may send commands.
    pub operators: Vec<OperatorAccess>,
    /// Limits on requests, connections and operator scripts.
    pub limits: HostLimits,
    /// The format and level of the log.
    pub log: LogSettings,
}

/// An operator and the digest of the token that authenticates it.
#[derive(Clone, Debug)]
pub struct OperatorAccess {
    /// The name that audit records give.
    pub name: OperatorName,
    /// The BLAKE3 digest of the token.
    pub token_digest: KeyDigest,
}

/// Limits on requests, connections and operator scripts of one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostLimits {
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// The maximum number of open connections from callers.
    pub max_connections: usize,
    /// The maximum number of requests that the host holds at a time.
    pub max_requests: usize,
    /// The maximum total size of the bodies of waiting requests, in bytes.
    pub max_waiting_bytes: usize,
    /// The maximum size of an operator's script, in bytes.
    pub max_script_bytes: usize,
    /// The time limit for receiving the body of a request.
    pub body_timeout: Duration,
}

/// The output format of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable lines.
    Terminal,
}

/// The format and level of a host's log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// The output format.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: slog::Level,
}

/// The reason why settings can't be used, with the file and, for a key, its line.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {}", file.display())]
    Read {
        /// The settings file.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is larger than [`MAX_SETTINGS_BYTES`].
    #[error("{}: larger than {MAX_SETTINGS_BYTES} bytes", file.display())]
    TooLarge {
        /// The settings file.
        file: PathBuf,
    },
    /// A key is unknown or missing, or its value is invalid.
    #[error("{}:{line}: {key}: {problem}", file.display())]
    Key {
        /// The settings file.
        file: PathBuf,
        /// The line of the key, starting at 1; for a missing key, the first line of its section.
        line: usize,
        /// The text before the first `=` on the line.
        key: String,
        /// The fault and, where known, the expected value.
        problem: String,
    },
}

/// Reads and validates the settings file of a host.
///
/// # Errors
///
/// Returns [`SettingsError`] if the file can't be read or is too large, or if a key is unknown,
/// missing or has an invalid value.
///
/// # Examples
///
/// ```
/// use std::path::Path;
///
/// use borageladder::settings::load;
///
/// let settings = load(Path::new("examples/quill-works/host.toml"))?;
/// assert_eq!(settings.datacenter.as_str(), "sapporo-a");
/// # Ok::<(), borageladder::settings::SettingsError>(())
/// ```
pub fn load(path: &Path) -> Result<HostSettings, SettingsError> {
    let unreadable = |source| SettingsError::Read {
        file: path.to_owned(),
        source,
    };
    let length = fs::metadata(path).map_err(unreadable)?.len();
    if length > MAX_SETTINGS_BYTES {
        return Err(SettingsError::TooLarge {
            file: path.to_owned(),
        });
    }
    let text = fs::read_to_string(path).map_err(unreadable)?;
    parse(&text, path)
}

/// Parses and validates the text of a settings file.
///
/// `path` need not exist: errors name it, and the shared key file is read relative to its folder.
///
/// # Errors
///
/// Returns [`SettingsError::Key`] if a key is unknown, missing or has an invalid value.
pub fn parse(text: &str, path: &Path) -> Result<HostSettings, SettingsError> {
    let raw: RawSettings =
        toml::from_str(text).map_err(|error| locate(text, path, &CheckError::from(error)))?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let source = SettingsSource { raw, folder };
    HostSettings::try_from(source).map_err(|error| locate(text, path, &error))
}

/// Converts the byte offset of a check error to a line and the key on it.
fn locate(text: &str, path: &Path, error: &CheckError) -> SettingsError {
    let before = text.get(..error.offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let content = text.lines().nth(line - 1).unwrap_or_default();
    let key = content.split('=').next().unwrap_or_default().trim();
    SettingsError::Key {
        file: path.to_owned(),
        line,
        key: key.to_owned(),
        problem: error.problem.clone(),
    }
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Json => "json",
            Self::Terminal => "terminal",
        })
    }
}
