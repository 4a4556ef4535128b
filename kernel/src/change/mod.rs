//! Changes to the configuration: their types, application, validation and rendering.

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

/// The position of a tier or rule in its ordered list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListPosition<N> {
    /// At the start of the list.
    First,
    /// At the end of the list.
    Last,
    /// Directly before the named tier or rule.
    Before(N),
    /// Directly after the named tier or rule.
    After(N),
}

/// Adds a tier or updates one; `None` leaves a value unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TierChange {
    /// The name of the tier.
    pub name: TierName,
    /// The time limit for the complete answer, in milliseconds; required for a new tier.
    pub deadline_ms: Option<u64>,
    /// Whether running requests may be cancelled in favour of a higher tier; `false` if absent for
    /// a new tier.
    pub preemptible: Option<bool>,
    /// The new position of the tier; a new tier is appended if absent.
    pub position: Option<ListPosition<TierName>>,
}

/// Adds a workspace or updates one; `None` leaves a value unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceChange {
    /// The name of the workspace.
    pub name: WorkspaceName,
    /// The BLAKE3 digest of the workspace key, as 64 lower-case hexadecimal digits; required for a
    /// new workspace.
    pub key_digest: Option<String>,
    /// The maximum number of requests that one host holds at a time; required for a new workspace.
    pub max_requests: Option<u32>,
}

/// Adds a rule or updates one; `None` leaves a value unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RuleChange {
    /// The name of the rule.
    pub name: RuleName,
    /// The tier of matching requests; required for a new rule.
    pub tier: Option<TierName>,
    /// The conditions, all of which must hold; a new rule without conditions matches every request.
    pub conditions: Option<Vec<ConditionSpec>>,
    /// Whether matching requests are non-idempotent and must not be retried; `false` if absent
    /// for a new rule.
    pub non_idempotent: Option<bool>,
    /// The new position of the rule; a new rule is appended if absent.
    pub position: Option<ListPosition<RuleName>>,
}

/// Adds a service or updates one; `None` leaves a value unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceChange {
    /// The name of the service.
    pub name: ServiceName,
    /// The kind of its workers; required for a new service.
    pub kind: Option<ServiceKind>,
    /// The models that its workers serve; at least one for engines, none for plain services.
    pub models: Option<Vec<ModelName>>,
    /// Whether requests other than `GET` and `HEAD` must not be retried; `false` if absent for a
    /// new service.
    pub non_idempotent: Option<bool>,
}

/// Adds a worker or updates one; `None` leaves a value unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerChange {
    /// The name of the worker.
    pub name: WorkerName,
    /// The service that it belongs to; required for a new worker.
    pub service: Option<ServiceName>,
    /// The data centre in which it runs; required for a new worker.
    pub datacenter: Option<DatacenterName>,
    /// The address at which it accepts requests; required for a new worker.
    pub address: Option<SocketAddr>,
    /// The maximum number of concurrent requests; required for a new worker.
    pub max_running: Option<u32>,
}

/// Adds a data centre or updates one; `None` leaves a value unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DatacenterChange {
    /// The name of the data centre.
    pub name: DatacenterName,
    /// The region to which it belongs; required for a new data centre.
    pub region: Option<RegionName>,
    /// Whether operators have declared it gone; `false` if absent for a new data centre.
    pub gone: Option<bool>,
}

/// A single change to the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigurationChange {
    /// Adds or updates a tier.
    SetTier(TierChange),
    /// Adds or updates a workspace.
    SetWorkspace(WorkspaceChange),
    /// Adds or updates a rule.
    SetRule(RuleChange),
    /// Adds or updates a service.
    SetService(ServiceChange),
    /// Adds or updates a worker.
    SetWorker(WorkerChange),
    /// Adds or updates a data centre.
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
    /// Stops the assignment of new requests to a worker.
    Drain(WorkerName),
    /// Resumes the assignment of requests to a drained worker.
    Undrain(WorkerName),
}

/// The reason why a change was rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// The list of changes is empty.
    #[error("the change is empty")]
    Empty,
    /// The resource to remove, the worker to drain or undrain or the tier or rule of a list
    /// position does not exist.
    ///
    /// A list position must not name the resource that is moved.
    #[error("{kind} {name:?} does not exist")]
    Unknown {
        /// The resource kind, such as `worker`.
        kind: &'static str,
        /// The name of the resource.
        name: String,
    },
    /// A resource refers to another resource that does not exist.
    #[error("{kind} {name:?} uses {used_kind} {used:?}, which does not exist")]
    Reference {
        /// The kind of the referring resource.
        kind: &'static str,
        /// The name of the referring resource.
        name: String,
        /// The kind of the missing resource.
        used_kind: &'static str,
        /// The name of the missing resource.
        used: String,
    },
    /// A required value of a new resource is absent.
    #[error("{kind} {name:?} is new and needs {value}")]
    Missing {
        /// The kind of the resource.
        kind: &'static str,
        /// The name of the resource.
        name: String,
        /// The clause that sets the missing value.
        value: &'static str,
    },
    /// A value is outside its permitted range.
    #[error("{kind} {name:?}: {value} must be {expected}")]
    Value {
        /// The kind of the resource.
        kind: &'static str,
        /// The name of the resource.
        name: String,
        /// The name of the invalid value, such as `deadline`.
        value: &'static str,
        /// The permitted range or format.
        expected: String,
    },
    /// Two resources share a value that must be unique.
    #[error("{kind} {name:?} and {kind} {other:?} have the same {value}")]
    Duplicate {
        /// The kind of both resources.
        kind: &'static str,
        /// The name of the first resource.
        name: String,
        /// The name of the second resource.
        other: String,
        /// The name of the shared value, such as `address`.
        value: &'static str,
    },
    /// The change removes the only tier.
    #[error("the last tier can't be dropped")]
    LastTier,
    /// The configuration has more than [`MAX_TIERS`] tiers.
    #[error("there are {count} tiers; expected at most {MAX_TIERS}")]
    TooManyTiers {
        /// The number of tiers.
        count: usize,
    },
    /// A condition of a rule can't be compiled.
    #[error("rule {name:?}: {source}")]
    Condition {
        /// The name of the rule.
        name: String,
        /// The error in the condition.
        source: RuleError,
    },
}
