//! The settings of a gateway host, read from a TOML file.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::de;
use thiserror::Error;

use crate::kernel::connection::ConnectionBudget;
use crate::kernel::hedge::DEFAULT_QUANTILE;
use crate::kernel::hedge::HedgeBounds;
use crate::kernel::location::CellSpan;
use crate::kernel::membership::HostClass;
use crate::kernel::memory::BodyBudget;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::name::RegionName;
use crate::kernel::quota::QuotaTolerance;
use crate::kernel::release::ReleaseBounds;
use crate::kernel::retry::RetryBounds;

/// The bytes in a megabyte of [`GatewaySettings::memory_megabytes`].
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

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
    /// The data centre of the host.
    pub datacenter: DatacenterName,
    /// The address on which callers are served.
    pub callers_listen: SocketAddr,
    /// The address on which readiness probes of the load balancer are answered.
    pub readiness_listen: SocketAddr,
    /// The address on which links from other hosts are accepted.
    pub link_listen: SocketAddr,
    /// The address on which metrics are served; absent if they are not served.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The data centres of the deployment, with their regions.
    pub datacenters: BTreeMap<DatacenterName, RegionName>,
    /// The set of data centres that share one cell per service.
    #[serde(default)]
    pub cells: CellSpan,
    /// The processor cores available to the process.
    #[serde(default = "default_processor_cores")]
    pub processor_cores: f64,
    /// The bandwidth of the host's network link, in megabits per second.
    #[serde(default = "default_link_megabits")]
    pub link_megabits: f64,
    /// The memory of the process, in megabytes of a million bytes; the platform ends a process that
    /// takes more.
    #[serde(
        default = "default_memory_megabytes",
        deserialize_with = "whole_number"
    )]
    pub memory_megabytes: u64,
    /// The number of hosts up to which each of them is linked with all others and reports its use of quotas
    /// to them; above it, links to other data centres are few, and the sum of each data centre is reported
    /// to the others.
    #[serde(default = "default_direct_hosts")]
    pub direct_hosts: usize,
    /// Whether requests that can no longer meet their latency target wait for idle slots instead of
    /// being refused.
    #[serde(default)]
    pub late_work: bool,
    /// Whether waiting requests of a tier are ordered by fair shares between workspaces.
    #[serde(default)]
    pub fair_shares: bool,
    /// The limits set by the operators of the deployment.
    pub bounds: GatewayBounds,
    /// The bounds on hedged requests; none are sent by default.
    #[serde(default, deserialize_with = "hedge_bounds")]
    pub hedging: HedgeBounds,
}

/// The table `hedging` before it is checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HedgingTable {
    /// The hedges for each request to a service, as a fraction, over all hosts; 0 for none.
    #[serde(default)]
    ratio: f64,
    /// The quantile of the times of a class of requests after which one of them is hedged.
    #[serde(default = "default_quantile")]
    quantile: f64,
}

/// The limits set by the operators of the deployment.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct GatewayBounds {
    /// The maximum time for which a key is still accepted after its revocation, in milliseconds. It
    /// bounds the age of the configuration that a host may act on.
    #[serde(deserialize_with = "whole_number")]
    pub revocation_ms: u64,
    /// The time from the stop signal until the process is killed, in seconds.
    pub stop_s: f64,
    /// The retries allowed per request, as a fraction, over all hosts.
    pub retry_ratio: f64,
    /// The window over which requests and retries are counted, in seconds.
    pub retry_window_s: f64,
    /// The number of retries allowed per window in addition to the ratio, over all hosts.
    pub retry_headroom: f64,
    /// The tolerated use of a quota beyond its bounds, as a fraction of what they allow in the quota
    /// window; 0 by default.
    #[serde(default)]
    pub quota_ratio: f64,
    /// The units tolerated beyond a quota in addition, in each quota window; 0 by default.
    #[serde(default)]
    pub quota_headroom: f64,
    /// The window over which the use of a quota is counted, in seconds; 0 by default.
    #[serde(default)]
    pub quota_window_s: f64,
    /// The part of the requests to a service, from the order of a release to its deadline, that a bad
    /// target may get; without it and the next two bounds there are no releases.
    #[serde(default)]
    pub exposure_share: Option<f64>,
    /// The requests that a bad target may get beyond that part.
    #[serde(default)]
    pub exposure_headroom: Option<f64>,
    /// The time after the 50th bad answer of a target after which it gets no requests, in milliseconds.
    #[serde(default)]
    pub rollback_ms: Option<f64>,
}

/// Reads a number that may be written as a fraction, such as `160.0`; what follows the point is ignored.
fn whole_number<'a, D: Deserializer<'a>>(deserializer: D) -> Result<u64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    let seconds = Duration::try_from_secs_f64(number);
    let invalid = |_| de::Error::custom(format!("expected a number of 0 or more, not {number}"));
    Ok(seconds.map_err(invalid)?.as_secs())
}

/// Reads and checks the bounds on hedged requests.
fn hedge_bounds<'a, D: Deserializer<'a>>(deserializer: D) -> Result<HedgeBounds, D::Error> {
    let table = HedgingTable::deserialize(deserializer)?;
    HedgeBounds::new(table.ratio, table.quantile)
        .map_err(|error| de::Error::custom(format!("hedging.{error}")))
}

const fn default_quantile() -> f64 {
    DEFAULT_QUANTILE
}

const fn default_processor_cores() -> f64 {
    1.0
}

/// The memory of the smallest host in use.
const fn default_memory_megabytes() -> u64 {
    88
}

const fn default_direct_hosts() -> usize {
    100
}

const fn default_link_megabits() -> f64 {
    1_000.0
}

impl GatewaySettings {
    /// Returns the class of the host's processor share and link.
    #[must_use]
    pub fn host_class(&self) -> HostClass {
        HostClass::of(self.processor_cores, self.link_megabits)
    }

    /// Returns the bytes of request bodies that the host holds at most.
    #[must_use]
    pub const fn body_budget(&self) -> BodyBudget {
        BodyBudget::of_memory(self.memory_bytes())
    }

    /// Returns the limits on the connections of callers of a process with a number of descriptors.
    #[must_use]
    pub const fn connection_budget(&self, descriptors: u64) -> ConnectionBudget {
        ConnectionBudget::of_host(self.memory_bytes(), descriptors)
    }

    const fn memory_bytes(&self) -> u64 {
        self.memory_megabytes.saturating_mul(BYTES_PER_MEGABYTE)
    }
}

impl GatewayBounds {
    /// Returns the maximum time for which a key is still accepted after its revocation.
    #[must_use]
    pub const fn revocation(&self) -> Duration {
        Duration::from_millis(self.revocation_ms)
    }

    /// Returns the time from the stop signal until the process is killed.
    #[must_use]
    pub fn stop_time(&self) -> Duration {
        Duration::try_from_secs_f64(self.stop_s).unwrap_or_default()
    }

    /// Returns the bounds of the retry budget.
    #[must_use]
    pub fn retry_bounds(&self) -> RetryBounds {
        RetryBounds {
            ratio: self.retry_ratio,
            headroom: self.retry_headroom,
            window: Duration::try_from_secs_f64(self.retry_window_s).unwrap_or_default(),
        }
    }
}

impl GatewayBounds {
    /// Returns the tolerated use of a quota beyond its bounds.
    #[must_use]
    pub fn quota_tolerance(&self) -> QuotaTolerance {
        QuotaTolerance {
            ratio: self.quota_ratio,
            headroom: self.quota_headroom,
            window: Duration::try_from_secs_f64(self.quota_window_s).unwrap_or_default(),
        }
    }

    /// Returns the bounds of releases; `None` if there are no releases.
    #[must_use]
    pub fn release_bounds(&self) -> Option<ReleaseBounds> {
        self.rollback_ms?;
        Some(ReleaseBounds {
            exposure_share: self.exposure_share?,
            exposure_headroom: self.exposure_headroom?,
        })
    }
}

/// The reason why settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {path}: {source}")]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The text is not TOML, lacks a setting or has a value of another type.
    #[error(transparent)]
    Parse(#[from] toml::de::Error),
    /// The data centre of the host is not listed under `datacenters`.
    #[error("data centre {0} of the host is not listed under datacenters")]
    Datacenter(DatacenterName),
    /// A limit is negative or not finite.
    #[error("bounds.{name} must be finite and not negative, but is {value}")]
    Bound {
        /// The name of the setting.
        name: &'static str,
        /// The value of the setting.
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
        let numbers = [
            ("stop_s", bounds.stop_s),
            ("retry_ratio", bounds.retry_ratio),
            ("retry_window_s", bounds.retry_window_s),
            ("retry_headroom", bounds.retry_headroom),
            ("quota_ratio", bounds.quota_ratio),
            ("quota_headroom", bounds.quota_headroom),
            ("quota_window_s", bounds.quota_window_s),
            ("exposure_share", bounds.exposure_share.unwrap_or_default()),
            (
                "exposure_headroom",
                bounds.exposure_headroom.unwrap_or_default(),
            ),
            ("rollback_ms", bounds.rollback_ms.unwrap_or_default()),
        ];
        for (name, value) in numbers {
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
    /// Returns an error if the file can't be read or its settings are invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::try_from(text.as_str())
    }
}
