//! The settings of one host, read from a TOML file.

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
mod raw;
mod secret;

use check::CheckError;
use check::SettingsSource;
use raw::RawSettings;
pub use secret::KeyDigest;
pub use secret::SecretKey;

/// The largest settings file accepted, in bytes.
pub const MAX_SETTINGS_BYTES: u64 = 1024 * 1024;

/// The checked settings of one host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The name of the host.
    pub host: HostName,
    /// The data centre in which the host stands.
    pub datacenter: DatacenterName,
    /// The region that holds the data centre.
    pub region: RegionName,
    /// The address at which callers are served.
    pub entry_listen: SocketAddr,
    /// The address at which operators are served.
    pub operator_listen: SocketAddr,
    /// The address at which links from other hosts are accepted.
    pub link_listen: SocketAddr,
    /// The address that other hosts use to reach the link listener.
    pub link_advertise: SocketAddr,
    /// Link addresses of other hosts to try first.
    pub peers: Vec<SocketAddr>,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The key that all hosts share and prove to each other.
    pub shared_key: SecretKey,
    /// The operators that may send commands.
    pub operators: Vec<OperatorAccess>,
    /// The bounds on what the host takes in.
    pub limits: HostLimits,
    /// Where and how much the host logs.
    pub log: LogSettings,
}

/// An operator and the digest of the token that proves who it is.
#[derive(Clone, Debug)]
pub struct OperatorAccess {
    /// The name, as it stands in the audit trail.
    pub name: OperatorName,
    /// The BLAKE3 digest of the token.
    pub token_digest: KeyDigest,
}

/// The bounds on what one host takes in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostLimits {
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// The largest request head, in bytes.
    pub max_header_bytes: usize,
    /// The most open connections from callers.
    pub max_connections: usize,
    /// The most requests that the host holds at once.
    pub max_requests: usize,
    /// The most bytes of bodies of waiting requests.
    pub max_waiting_bytes: usize,
    /// The largest script of an operator, in bytes.
    pub max_script_bytes: usize,
    /// The time within which a caller must have sent the body of its request.
    pub body_timeout: Duration,
}

/// The form of the logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Lines for people to read.
    Terminal,
}

/// Where and how much a host logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// The form of the logs.
    pub format: LogFormat,
    /// The least important level that is logged.
    pub level: slog::Level,
}

/// The reason why settings can't be used, with the place in the file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The settings file.
        file: PathBuf,
        /// What the operating system reported.
        source: std::io::Error,
    },
    /// The file is larger than [`MAX_SETTINGS_BYTES`].
    #[error("{}: larger than {MAX_SETTINGS_BYTES} bytes", file.display())]
    TooLarge {
        /// The settings file.
        file: PathBuf,
    },
    /// A key or its value is wrong.
    #[error("{}:{line}: {key}: {problem}", file.display())]
    Key {
        /// The settings file.
        file: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The key, as it stands on the line.
        key: String,
        /// What is wrong and what was expected.
        problem: String,
    },
}

/// Reads and checks the settings file of a host.
///
/// # Errors
///
/// Returns [`SettingsError`] with the file, the line and the key if the file can't be read, has an
/// unknown key or has a value that does not fit.
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
    read(&text, path)
}

/// Checks the text of a settings file that stands, or would stand, at `path`.
///
/// # Errors
///
/// Returns [`SettingsError`] as [`load`] does.
pub fn read(text: &str, path: &Path) -> Result<HostSettings, SettingsError> {
    let raw: RawSettings =
        toml::from_str(text).map_err(|error| locate(text, path, &CheckError::from(error)))?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let source = SettingsSource { raw, folder };
    HostSettings::try_from(source).map_err(|error| locate(text, path, &error))
}

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
