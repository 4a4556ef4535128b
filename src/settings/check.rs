//! Validation of the raw settings.

use std::fmt::Display;
use std::fs;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use toml::Spanned;

use crate::settings::HostLimits;
use crate::settings::HostSettings;
use crate::settings::LogFormat;
use crate::settings::LogSettings;
use crate::settings::OperatorAccess;
use crate::settings::SecretKey;
use crate::settings::raw::RawLimits;
use crate::settings::raw::RawLog;
use crate::settings::raw::RawOperator;
use crate::settings::raw::RawSettings;
use crate::settings::raw::RawText;

/// A validation error with its position in the file.
#[derive(Debug)]
pub struct CheckError {
    /// The byte offset at which the invalid value starts; 0 when unknown.
    pub offset: usize,
    /// The fault and, where known, the expected value.
    pub problem: String,
}

/// Raw settings and the folder that their relative file names refer to.
#[derive(Debug)]
pub struct SettingsSource<'a> {
    /// The raw settings.
    pub raw: RawSettings,
    /// The folder of the settings file.
    pub folder: &'a Path,
}

impl From<toml::de::Error> for CheckError {
    fn from(error: toml::de::Error) -> Self {
        Self {
            offset: error.span().map_or(0, |span| span.start),
            problem: error.message().replace('\n', ", "),
        }
    }
}

impl CheckError {
    fn at<T>(value: &Spanned<T>, problem: impl Display) -> Self {
        Self {
            offset: value.span().start,
            problem: problem.to_string(),
        }
    }
}

impl TryFrom<SettingsSource<'_>> for HostSettings {
    type Error = CheckError;

    fn try_from(source: SettingsSource<'_>) -> Result<Self, CheckError> {
        let raw = &source.raw;
        let link_listen = parse(&raw.link_listen)?;
        let link_advertise = raw.link_advertise.as_ref().map(parse).transpose()?;
        Ok(Self {
            host: parse(&raw.host)?,
            datacenter: parse(&raw.datacenter)?,
            region: parse(&raw.region)?,
            entry_listen: parse(&raw.entry_listen)?,
            operator_listen: parse(&raw.operator_listen)?,
            link_listen,
            link_advertise: link_advertise.unwrap_or(link_listen),
            peers: raw.peers.iter().map(parse).collect::<Result<_, _>>()?,
            platform: parse(&raw.platform)?,
            shared_key: read_secret(&raw.shared_key_file, source.folder)?,
            operators: operators(&raw.operators)?,
            limits: HostLimits::try_from(&raw.limits)?,
            log: LogSettings::try_from(&raw.log)?,
        })
    }
}

fn parse<T>(value: &RawText) -> Result<T, CheckError>
where
    T: FromStr,
    T::Err: Display,
{
    let text = value.get_ref();
    text.parse()
        .map_err(|error: T::Err| CheckError::at(value, format!("{text:?}: {error}")))
}

fn read_secret(file: &RawText, folder: &Path) -> Result<SecretKey, CheckError> {
    let path = folder.join(file.get_ref());
    let unusable = |problem: String| CheckError::at(file, format!("{}: {problem}", path.display()));
    let secret = fs::read(&path).map_err(|error| unusable(error.to_string()))?;
    SecretKey::try_from(secret).map_err(|error| unusable(error.to_string()))
}

fn operators(raw: &[RawOperator]) -> Result<Vec<OperatorAccess>, CheckError> {
    let mut operators: Vec<OperatorAccess> = Vec::with_capacity(raw.len());
    for operator in raw {
        let access = OperatorAccess {
            name: parse(&operator.name)?,
            token_digest: parse(&operator.token_digest)?,
        };
        if operators.iter().any(|other| other.name == access.name) {
            let problem = format!("operator {:?} is listed twice", access.name.as_str());
            return Err(CheckError::at(&operator.name, problem));
        }
        let same_token = |other: &OperatorAccess| other.token_digest == access.token_digest;
        if operators.iter().any(same_token) {
            let problem = "another operator has the same token";
            return Err(CheckError::at(&operator.token_digest, problem));
        }
        operators.push(access);
    }
    Ok(operators)
}

fn bounded(
    value: Option<&Spanned<usize>>,
    default: usize,
    min: usize,
    max: usize,
) -> Result<usize, CheckError> {
    let Some(value) = value else {
        return Ok(default);
    };
    let number = *value.get_ref();
    if !(min..=max).contains(&number) {
        let problem = format!("{number} is out of range; expected {min} to {max}");
        return Err(CheckError::at(value, problem));
    }
    Ok(number)
}

const KIB: usize = 1024;

const MIB: usize = 1024 * KIB;

/// The maximum timeout in the settings, in milliseconds.
const MAX_TIMEOUT_MS: usize = 600_000;

fn timeout(value: Option<&Spanned<usize>>, default_ms: usize) -> Result<Duration, CheckError> {
    let millis = bounded(value, default_ms, 100, MAX_TIMEOUT_MS)?;
    Ok(Duration::from_millis(millis as u64))
}

impl TryFrom<&RawLimits> for HostLimits {
    type Error = CheckError;

    fn try_from(raw: &RawLimits) -> Result<Self, CheckError> {
        let body = raw.max_body_bytes.as_ref();
        let waiting = raw.max_waiting_bytes.as_ref();
        let script = raw.max_script_bytes.as_ref();
        let limits = Self {
            max_body_bytes: bounded(body, 2 * MIB, KIB, 64 * MIB)?,
            max_header_bytes: bounded(raw.max_header_bytes.as_ref(), 16 * KIB, KIB, MIB)?,
            max_connections: bounded(raw.max_connections.as_ref(), 4096, 1, 1_000_000)?,
            max_requests: bounded(raw.max_requests.as_ref(), 4096, 1, 1_000_000)?,
            max_waiting_bytes: bounded(waiting, 32 * MIB, KIB, 1024 * MIB)?,
            max_script_bytes: bounded(script, 256 * KIB, KIB, 4 * MIB)?,
            body_timeout: timeout(raw.body_timeout_ms.as_ref(), 30_000)?,
        };
        if let Some(body) = body
            && limits.max_body_bytes > limits.max_waiting_bytes
        {
            let problem = "must not be greater than max_waiting_bytes";
            return Err(CheckError::at(body, problem));
        }
        Ok(limits)
    }
}

impl TryFrom<&RawLog> for LogSettings {
    type Error = CheckError;

    fn try_from(raw: &RawLog) -> Result<Self, CheckError> {
        let format = match &raw.format {
            None => LogFormat::Json,
            Some(format) => log_format(format)?,
        };
        let level = match &raw.level {
            None => slog::Level::Info,
            Some(level) => log_level(level)?,
        };
        Ok(Self { format, level })
    }
}

fn log_format(value: &RawText) -> Result<LogFormat, CheckError> {
    match value.get_ref().as_str() {
        "json" => Ok(LogFormat::Json),
        "terminal" => Ok(LogFormat::Terminal),
        other => {
            let problem =
                format!("{other:?} is not a log format; expected \"json\" or \"terminal\"");
            Err(CheckError::at(value, problem))
        }
    }
}

fn log_level(value: &RawText) -> Result<slog::Level, CheckError> {
    match value.get_ref().as_str() {
        "critical" => Ok(slog::Level::Critical),
        "error" => Ok(slog::Level::Error),
        "warning" => Ok(slog::Level::Warning),
        "info" => Ok(slog::Level::Info),
        "debug" => Ok(slog::Level::Debug),
        "trace" => Ok(slog::Level::Trace),
        other => {
            let expected = "\"critical\", \"error\", \"warning\", \"info\", \"debug\" or \"trace\"";
            let problem = format!("{other:?} is not a log level; expected {expected}");
            Err(CheckError::at(value, problem))
        }
    }
}
