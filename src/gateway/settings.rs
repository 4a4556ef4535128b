//! The settings of a gateway host, read from a TOML file.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::kernel::location::CellSpan;
use crate::kernel::membership::HostClass;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::name::RegionName;
use crate::kernel::retry::RetryBounds;

/// The checked settings of a gateway host.
///
/// # Examples
///
/// ```
/// use borageladder::gateway::GatewaySettings;
///
/// let text = r#"
///     host = "sapporo-1"
///     datacenter = "sapporo-a"
///     callers_listen = "10.1.0.25:8221"
///     readiness_listen = "10.1.0.25:8224"
///     link_listen = "10.1.0.25:7600"
///     store = "10.200.1.7:8225"
///     [datacenters]
///     sapporo-a = "sapporo"
///     [bounds]
///     revocation_ms = 5000
///     stop_s = 8.0
///     retry_ratio = 0.2
///     retry_window_s = 10.0
///     retry_headroom = 56.0
/// "#;
/// let settings = GatewaySettings::try_from(text)?;
/// assert_eq!(settings.host.as_str(), "sapporo-1");
/// # Ok::<(), borageladder::gateway::SettingsError>(())
/// ```
#[derive(Clone, Debug, Deserialize)]
pub struct GatewaySettings {
    /// The name of the host.
    pub host: HostName,
    /// The data centre in which the host stands.
    pub datacenter: DatacenterName,
    /// The address at which callers are served.
    pub callers_listen: SocketAddr,
    /// The address at which the balancer asks whether the host is ready.
    pub readiness_listen: SocketAddr,
    /// The address at which links from other hosts are accepted.
    pub link_listen: SocketAddr,
    /// The address at which metrics are given out, if they are.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The data centres, each with its region.
    pub datacenters: BTreeMap<DatacenterName, RegionName>,
    /// Which data centres share the cells of a service.
    #[serde(default)]
    pub cells: CellSpan,
    /// The processor cores that the host may use.
    #[serde(default = "default_processor_cores")]
    pub processor_cores: f64,
    /// The megabits a second that the host's link carries.
    #[serde(default = "default_link_megabits")]
    pub link_megabits: f64,
    /// What the operators promise about the deployment.
    pub bounds: GatewayBounds,
}

/// What the operators promise about the deployment.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct GatewayBounds {
    /// The time after which a key that was taken away must not work, in milliseconds.
    pub revocation_ms: u64,
    /// The time from the signal to stop until the process is killed, in seconds.
    pub stop_s: f64,
    /// The retries allowed for each request, over all hosts.
    pub retry_ratio: f64,
    /// The window in which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// The retries allowed in a window beside the ratio, over all hosts.
    pub retry_headroom: f64,
}

const fn default_processor_cores() -> f64 {
    1.0
}

const fn default_link_megabits() -> f64 {
    1_000.0
}

impl GatewaySettings {
    /// Returns how much the host can do beside its own callers' work.
    #[must_use]
    pub fn host_class(&self) -> HostClass {
        HostClass::of(self.processor_cores, self.link_megabits)
    }
}

impl GatewayBounds {
    /// Returns the time after which a key that was taken away must not work.
    #[must_use]
    pub const fn revocation(&self) -> Duration {
        Duration::from_millis(self.revocation_ms)
    }

    /// Returns the time from the signal to stop until the process is killed.
    #[must_use]
    pub fn stop(&self) -> Duration {
        Duration::try_from_secs_f64(self.stop_s).unwrap_or_default()
    }

    /// Returns the bounds on retries.
    #[must_use]
    pub fn retries(&self) -> RetryBounds {
        RetryBounds {
            ratio: self.retry_ratio,
            headroom: self.retry_headroom,
            window: Duration::try_from_secs_f64(self.retry_window_s).unwrap_or_default(),
        }
    }
}

/// The reason why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {path}: {source}")]
    Read {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not TOML or lacks a setting.
    #[error(transparent)]
    Parse(#[from] toml::de::Error),
    /// The data centre of the host is not among the data centres.
    #[error("data centre {0} of the host is not listed under datacenters")]
    Datacenter(DatacenterName),
    /// A number is not one that can be used.
    #[error("bounds.{name} must be a positive number, not {value}")]
    Bound {
        /// The name of the setting.
        name: &'static str,
        /// Its value.
        value: f64,
    },
}

impl TryFrom<&str> for GatewaySettings {
    type Error = SettingsError;

    fn try_from(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text)?;
        if !settings.datacenters.contains_key(&settings.datacenter) {
            return Err(SettingsError::Datacenter(settings.datacenter));
        }
        let bounds = &settings.bounds;
        let positive = [
            ("stop_s", bounds.stop_s),
            ("retry_ratio", bounds.retry_ratio),
            ("retry_window_s", bounds.retry_window_s),
            ("retry_headroom", bounds.retry_headroom),
        ];
        for (name, value) in positive {
            if !value.is_finite() || value < 0.0 {
                return Err(SettingsError::Bound { name, value });
            }
        }
        Ok(settings)
    }
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or its settings can't be used.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::try_from(text.as_str())
    }
}
