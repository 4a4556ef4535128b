//! The configuration that operators change and every host applies.

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
use crate::name::WorkspaceName;

/// The number of a configuration version; it only grows.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ConfigVersion(pub u64);

/// One version of the whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The number of this version.
    pub version: ConfigVersion,
    /// The tiers, highest first; the position is the rank.
    pub tiers: Vec<TierSpec>,
    /// The workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, WorkspaceSpec>,
    /// The placement rules; the first rule that matches decides.
    pub rules: Vec<RuleSpec>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// The workers by name.
    pub workers: BTreeMap<WorkerName, WorkerSpec>,
    /// The data centres by name.
    pub datacenters: BTreeMap<DatacenterName, DatacenterSpec>,
}

/// A tier of requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TierSpec {
    /// The name of the tier.
    pub name: TierName,
    /// The time within which the whole answer is due, in milliseconds after the request arrived.
    pub deadline_ms: u64,
    /// Whether running requests of this tier may be cancelled for a higher tier.
    pub preemptible: bool,
}

/// A workspace, to which callers belong.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// The BLAKE3 digest of the workspace key, in hexadecimal.
    pub key_digest: String,
    /// The most requests of the workspace that one host holds at once.
    pub max_requests: u32,
}

/// A rule that places matching requests in a tier.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSpec {
    /// The name of the rule.
    pub name: RuleName,
    /// The tier in which matching requests are placed.
    pub tier: TierName,
    /// The conditions, all of which must hold.
    pub conditions: Vec<ConditionSpec>,
    /// Whether matching requests must not be repeated and need an idempotency key.
    pub non_idempotent: bool,
}

/// How a condition compares a field with its value.
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
    /// The comparison.
    pub comparison: Comparison,
    /// The value to compare with.
    pub value: String,
}

/// The kind of upstream that serves a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines with the completion interfaces.
    Engine,
    /// Any other HTTP service.
    Plain,
}

/// A service that callers can reach.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The kind of its workers.
    pub kind: ServiceKind,
    /// The models that the service's workers serve; empty for plain services.
    pub models: Vec<ModelName>,
    /// Whether calls other than `GET` and `HEAD` must not be repeated and need an idempotency key.
    pub non_idempotent: bool,
}

/// Whether a worker may get new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerState {
    /// The worker gets new work.
    #[default]
    Active,
    /// The worker finishes what it runs and gets nothing new.
    Draining,
}

/// A worker: an engine or an instance of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// The service that the worker serves.
    pub service: ServiceName,
    /// The data centre in which it stands.
    pub datacenter: DatacenterName,
    /// The address at which it takes requests.
    pub address: SocketAddr,
    /// The most requests that it may run at once.
    pub max_running: u32,
    /// Whether it may get new work.
    pub state: WorkerState,
}

/// A data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DatacenterSpec {
    /// The region that holds it.
    pub region: RegionName,
    /// Whether the operators declared it gone, so that changes do not wait for it.
    pub gone: bool,
}

impl Configuration {
    /// Returns the rank of a tier, or `None` if no tier has the name.
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
