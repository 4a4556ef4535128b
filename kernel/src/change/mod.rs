//! Changes that operators make to a configuration.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::configuration::ConditionSpec;
use crate::configuration::ServiceKind;
use crate::name::DatacenterName;
use crate::name::ModelName;
use crate::name::RegionName;
use crate::name::RuleName;
use crate::name::ServiceName;
use crate::name::TierName;
use crate::name::WorkerName;
use crate::name::WorkspaceName;
use crate::rule::RuleError;

mod apply;
mod check;
mod render;

pub use apply::apply;
pub use check::MAX_TIERS;
pub use check::check;
pub use render::difference;
pub use render::quote;
pub use render::render;
pub use render::render_duration;

/// Where a tier or rule goes among the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListPosition<N> {
    /// Before all others.
    First,
    /// After all others.
    Last,
    /// Right before the one with the name.
    Before(N),
    /// Right after the one with the name.
    After(N),
}

/// A new tier or new values of a tier; `None` leaves a value as it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TierChange {
    /// The name of the tier.
    pub name: TierName,
    /// The time within which the whole answer is due, in milliseconds; a new tier needs it.
    pub deadline_ms: Option<u64>,
    /// Whether running requests may be cancelled for a higher tier.
    pub preemptible: Option<bool>,
    /// The new place of the tier; a new tier goes last without it.
    pub position: Option<ListPosition<TierName>>,
}

/// A new workspace or new values of a workspace; `None` leaves a value as it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceChange {
    /// The name of the workspace.
    pub name: WorkspaceName,
    /// The BLAKE3 digest of the workspace key, in hexadecimal; a new workspace needs it.
    pub key_digest: Option<String>,
    /// The most requests that one host holds at once; a new workspace needs it.
    pub max_requests: Option<u32>,
}

/// A new rule or new values of a rule; `None` leaves a value as it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RuleChange {
    /// The name of the rule.
    pub name: RuleName,
    /// The tier of matching requests; a new rule needs it.
    pub tier: Option<TierName>,
    /// The conditions, all of which must hold; a new rule without any matches everything.
    pub conditions: Option<Vec<ConditionSpec>>,
    /// Whether matching requests must not be repeated.
    pub non_idempotent: Option<bool>,
    /// The new place of the rule; a new rule goes last without it.
    pub position: Option<ListPosition<RuleName>>,
}

/// A new service or new values of a service; `None` leaves a value as it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceChange {
    /// The name of the service.
    pub name: ServiceName,
    /// The kind of its workers; a new service needs it.
    pub kind: Option<ServiceKind>,
    /// The models that its workers serve.
    pub models: Option<Vec<ModelName>>,
    /// Whether calls other than `GET` and `HEAD` must not be repeated.
    pub non_idempotent: Option<bool>,
}

/// A new worker or new values of a worker; `None` leaves a value as it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerChange {
    /// The name of the worker.
    pub name: WorkerName,
    /// The service that it serves; a new worker needs it.
    pub service: Option<ServiceName>,
    /// The data centre in which it stands; a new worker needs it.
    pub datacenter: Option<DatacenterName>,
    /// The address at which it takes requests; a new worker needs it.
    pub address: Option<SocketAddr>,
    /// The most requests that it may run at once; a new worker needs it.
    pub max_running: Option<u32>,
}

/// A new data centre or new values of a data centre; `None` leaves a value as it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DatacenterChange {
    /// The name of the data centre.
    pub name: DatacenterName,
    /// The region that holds it; a new data centre needs it.
    pub region: Option<RegionName>,
    /// Whether the operators declare it gone.
    pub gone: Option<bool>,
}

/// One change of a configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigurationChange {
    /// Adds or changes a tier.
    SetTier(TierChange),
    /// Adds or changes a workspace.
    SetWorkspace(WorkspaceChange),
    /// Adds or changes a rule.
    SetRule(RuleChange),
    /// Adds or changes a service.
    SetService(ServiceChange),
    /// Adds or changes a worker.
    SetWorker(WorkerChange),
    /// Adds or changes a data centre.
    SetDatacenter(DatacenterChange),
    /// Removes a tier.
    DropTier(TierName),
    /// Removes a workspace.
    DropWorkspace(WorkspaceName),
    /// Removes a rule.
    DropRule(RuleName),
    /// Removes a service.
    DropService(ServiceName),
    /// Removes a worker.
    DropWorker(WorkerName),
    /// Removes a data centre.
    DropDatacenter(DatacenterName),
    /// Gives a worker no new work.
    Drain(WorkerName),
    /// Gives a drained worker work again.
    Undrain(WorkerName),
}

/// The reason why a change can't be applied.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// There is nothing to change.
    #[error("the change is empty")]
    Empty,
    /// The thing to change or remove does not exist.
    #[error("{kind} {name:?} does not exist")]
    Unknown {
        /// The kind of the thing, such as `worker`.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// Something would name a thing that does not exist.
    #[error("{kind} {name:?} uses {used_kind} {used:?}, which does not exist")]
    Reference {
        /// The kind of the thing with the reference.
        kind: &'static str,
        /// Its name.
        name: String,
        /// The kind of the missing thing.
        used_kind: &'static str,
        /// The name of the missing thing.
        used: String,
    },
    /// A new thing lacks a value.
    #[error("{kind} {name:?} is new and needs {value}")]
    Missing {
        /// The kind of the thing.
        kind: &'static str,
        /// Its name.
        name: String,
        /// The missing value.
        value: &'static str,
    },
    /// A value is out of its range.
    #[error("{kind} {name:?}: {value} must be {expected}")]
    Value {
        /// The kind of the thing.
        kind: &'static str,
        /// Its name.
        name: String,
        /// The wrong value.
        value: &'static str,
        /// What is allowed.
        expected: String,
    },
    /// Two things have a value that must be unique.
    #[error("{kind} {name:?} and {kind} {other:?} have the same {value}")]
    Duplicate {
        /// The kind of both.
        kind: &'static str,
        /// The name of the one.
        name: String,
        /// The name of the other.
        other: String,
        /// The value that both have.
        value: &'static str,
    },
    /// The last tier would be removed.
    #[error("the last tier can't be dropped")]
    LastTier,
    /// There would be too many tiers.
    #[error("there are {count} tiers; expected at most {MAX_TIERS}")]
    TooManyTiers {
        /// The number of tiers.
        count: usize,
    },
    /// A condition can't be compiled.
    #[error("rule {name:?}: {source}")]
    Condition {
        /// The rule.
        name: String,
        /// What is wrong with the condition.
        source: RuleError,
    },
}
