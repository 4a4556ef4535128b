//! The cluster configuration, which operators change and every host applies.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::DatacenterName;
use crate::name::ModelName;
use crate::name::RegionName;
use crate::name::RuleName;
use crate::name::ServiceName;
use crate::name::TierName;
use crate::name::TierRank;
use crate::name::WorkerName;
use crate::name::WorkerVersion;
use crate::name::WorkspaceName;

/// The version number of a configuration; increases by one with every change. Version 0 is the
/// empty configuration before the first change.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ConfigVersion(pub u64);

/// A complete configuration at one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The number of this version.
    pub version: ConfigVersion,
    /// The tiers from highest to lowest; the index is the rank.
    pub tiers: Vec<TierSpec>,
    /// The workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, WorkspaceSpec>,
    /// The placement rules in order of evaluation; the first match applies.
    pub rules: Vec<RuleSpec>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// The workers by name.
    pub workers: BTreeMap<WorkerName, WorkerSpec>,
    /// The data centres by name.
    pub datacenters: BTreeMap<DatacenterName, DatacenterSpec>,
}

/// A priority tier of requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TierSpec {
    /// The name of the tier.
    pub name: TierName,
    /// The time limit for the complete answer, in milliseconds from the arrival of the request.
    pub deadline_ms: u64,
    /// Whether running requests of this tier may be cancelled in favour of a higher tier. Stored
    /// and shown to operators only; brokers cancel no running requests.
    pub preemptible: bool,
}

/// A workspace: a customer whose callers share a key and a request limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// The BLAKE3 digest of the workspace key, as 64 lower-case hexadecimal digits.
    pub key_digest: String,
    /// The maximum number of requests of the workspace that one host holds at a time.
    pub max_requests: u32,
}

/// A rule that assigns matching requests to a tier.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSpec {
    /// The name of the rule.
    pub name: RuleName,
    /// The tier of matching requests.
    pub tier: TierName,
    /// The conditions, all of which must hold; a rule without conditions matches every request.
    pub conditions: Vec<ConditionSpec>,
    /// Whether matching requests must not be retried and require an idempotency key.
    pub non_idempotent: bool,
}

/// The comparison operator of a condition.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Comparison {
    /// The field equals the value.
    #[serde(rename = "=")]
    Equal,
    /// The field differs from the value.
    #[serde(rename = "!=")]
    NotEqual,
    /// The field is less than the value.
    #[serde(rename = "<")]
    Less,
    /// The field is greater than the value.
    #[serde(rename = ">")]
    Greater,
    /// The field starts with the value.
    #[serde(rename = "~")]
    StartsWith,
}

/// One condition of a rule.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConditionSpec {
    /// The field, such as `workspace`, `path`, `header.x-kind`, `prompt` or `hour`.
    pub field: String,
    /// The comparison operator.
    pub comparison: Comparison,
    /// The value with which the field is compared.
    pub value: String,
}

/// The kind of upstream that serves a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model inference engines with the completion APIs.
    Engine,
    /// Any other HTTP service.
    Plain,
}

/// A service to which callers send requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The kind of its workers.
    pub kind: ServiceKind,
    /// The models that the service's workers serve; empty for plain services.
    pub models: Vec<ModelName>,
    /// Whether requests other than `GET` and `HEAD` must not be retried and require an idempotency
    /// key.
    pub non_idempotent: bool,
}

/// Whether a worker is assigned new requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerState {
    /// The worker is assigned new requests.
    #[default]
    Active,
    /// The worker finishes its running requests and is assigned no new ones.
    Draining,
}

/// A worker: a model engine or an instance of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// The service to which the worker belongs.
    pub service: ServiceName,
    /// The data centre in which the worker runs.
    pub datacenter: DatacenterName,
    /// The address at which the worker accepts requests.
    pub address: SocketAddr,
    /// The maximum number of concurrent requests.
    pub max_running: u32,
    /// The version of the worker's software; `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<WorkerVersion>,
    /// Whether the worker is assigned new requests.
    pub state: WorkerState,
}

/// A data centre: a group of hosts and workers close to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DatacenterSpec {
    /// The region to which the data centre belongs.
    pub region: RegionName,
    /// Whether operators have declared it gone, so that configuration changes do not wait for its
    /// confirmation.
    pub gone: bool,
}

impl Configuration {
    /// Returns the rank of the named tier, or `None` if it does not exist.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::configuration::Configuration;
    ///
    /// assert_eq!(Configuration::default().tier_rank("urgent"), None);
    /// ```
    #[must_use]
    pub fn tier_rank(&self, name: &str) -> Option<TierRank> {
        let position = self
            .tiers
            .iter()
            .position(|tier| tier.name.as_str() == name)?;
        u8::try_from(position).ok().map(TierRank)
    }
}
