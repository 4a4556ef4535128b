//! Validated form of the operators' configuration and of the records that hosts register.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::kernel::configuration::ServiceKind;
use crate::kernel::name::HostName;
use crate::kernel::name::ModelName;
use crate::kernel::name::ServiceName;
use crate::kernel::name::TierRank;
use crate::kernel::name::WorkspaceName;
use crate::kernel::quota::QuotaBounds;
use crate::kernel::release::ReleaseOrder;
use crate::kernel::roster::StoreEra;
use crate::kernel::roster::StoreRevision;
use crate::kernel::route::RouteTable;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServingConfiguration {
    /// Version number; a later version has a greater number.
    pub version: u64,
    /// Routes by host name and path prefix.
    pub routes: RouteTable,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServingService>,
    /// Workspaces and their keys; `None` if callers need no keys.
    pub workspaces: Option<WorkspaceTable>,
    /// Size and time limits on caller requests.
    pub limits: CallerLimits,
}

/// Configuration of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServingService {
    /// Kind of its workers.
    pub kind: ServiceKind,
    /// Models served by its workers; empty for plain services.
    pub models: Vec<ModelName>,
    /// Configured upper bound on the connections of all hosts together to one worker; the gateway
    /// does not enforce it.
    pub max_connections: u32,
    /// Largest number of answer tokens in one event of a stream.
    pub event_tokens: u32,
    /// Path of its workers' health check; `None` if they have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
}

/// Configuration of a workspace, the customer to which callers belong.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServingWorkspace {
    /// Priority of the workspace, which outranks the tier of the route; `None` counts as zero.
    #[serde(rename = "tier")]
    pub priority: Option<TierRank>,
    /// Rate in units per second and burst over all hosts; `None` if the workspace has no quota.
    pub quota: Option<QuotaBounds>,
    /// Unit in which the quota is charged.
    pub unit: QuotaUnit,
    /// Text that workers know the workspace by; `None` if that is its name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub label: Option<WorkspaceLabel>,
    /// Whether requests of the workspace are refused, since its entry could not be read.
    #[serde(default, skip_serializing_if = "is_false")]
    pub unreadable: bool,
}

/// Text that workers know a workspace by, which a header can hold unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct WorkspaceLabel(String);

/// A text has control characters, or white space at an end, which headers don't hold unchanged.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("no header can hold {text:?} unchanged")]
pub struct LabelError {
    /// Rejected text.
    pub text: String,
}

impl WorkspaceLabel {
    /// Returns the text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<WorkspaceLabel> for String {
    fn from(label: WorkspaceLabel) -> Self {
        label.0
    }
}

impl TryFrom<String> for WorkspaceLabel {
    type Error = LabelError;

    fn try_from(text: String) -> Result<Self, LabelError> {
        if text.chars().any(char::is_control) || text.trim() != text {
            return Err(LabelError { text });
        }
        Ok(Self(text))
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature is that of serde's attribute"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}

impl ServingWorkspace {
    /// Returns a workspace whose entry could not be read, but for its keys.
    #[must_use]
    pub const fn unreadable() -> Self {
        Self {
            priority: None,
            quota: None,
            unit: QuotaUnit::Requests,
            label: None,
            unreadable: true,
        }
    }

    /// Returns the tier of a request, ordered by the priority of the workspace and then by the tier of
    /// the route.
    #[must_use]
    pub fn tier_for(&self, route: TierRank) -> TierRank {
        let priority = self.priority.map_or(0, |rank| rank.0);
        TierRank(
            priority
                .saturating_mul(TIERS_PER_PRIORITY)
                .saturating_add(route.0.min(TIERS_PER_PRIORITY - 1)),
        )
    }
}

/// Number of distinct route tiers within one workspace priority.
const TIERS_PER_PRIORITY: u8 = 16;

/// Unit in which a quota is charged.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaUnit {
    /// One unit for each request.
    Requests,
    /// One unit for each token of prompt and answer.
    Tokens {
        /// Units charged for a request that declares no tokens.
        unstated: u32,
    },
}

impl QuotaUnit {
    /// Returns the units charged for a request, given its declared tokens.
    #[must_use]
    pub fn units(self, tokens: Option<u64>) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens { unstated } => tokens.unwrap_or_else(|| u64::from(unstated)),
        }
    }
}

/// Workspaces and digests of their keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceTable {
    workspaces: BTreeMap<WorkspaceName, ServingWorkspace>,
    keys: HashMap<[u8; 32], WorkspaceName>,
    /// Whether keys could not be read, so that an unknown key may be a valid one.
    #[serde(default, skip_serializing_if = "is_false")]
    incomplete: bool,
}

impl WorkspaceTable {
    /// Adds a workspace with its keys.
    pub fn insert<'a>(
        &mut self,
        name: &WorkspaceName,
        workspace: ServingWorkspace,
        keys: impl IntoIterator<Item = &'a str>,
    ) {
        self.workspaces.insert(name.clone(), workspace);
        let digests = keys.into_iter().map(key_digest);
        self.keys.extend(digests.map(|key| (key, name.clone())));
    }

    /// Returns the workspace to which a key belongs.
    ///
    /// The look-up compares digests, so its duration reveals nothing about the keys.
    #[must_use]
    pub fn find_by_key(&self, key: &str) -> Option<(&WorkspaceName, &ServingWorkspace)> {
        let name = self.keys.get(&key_digest(key))?;
        self.workspaces.get_key_value(name)
    }

    /// Records that the keys of a workspace could not be read.
    pub const fn mark_incomplete(&mut self) {
        self.incomplete = true;
    }

    /// Returns whether keys could not be read, so that an unknown key may be a valid one.
    #[must_use]
    pub const fn is_incomplete(&self) -> bool {
        self.incomplete
    }

    /// Iterates over the workspaces in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkspaceName, &ServingWorkspace)> {
        self.workspaces.iter()
    }
}

fn key_digest(key: &str) -> [u8; 32] {
    *blake3::hash(key.as_bytes()).as_bytes()
}

/// Size and time limits on caller requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time after the first bytes of a request within which its head must be complete.
    pub head_time: Duration,
    /// Time for which a connection may be idle between requests or between two reads of a body.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Result of reading the configuration from the store.
#[derive(Clone, Debug)]
pub struct ConfigurationReading {
    /// Store revision up to which the read is complete.
    pub revision: StoreRevision,
    /// Era of the store in which it was read.
    pub era: StoreEra,
    /// Newest version; `None` if the configuration has not changed since the previous read.
    pub configuration: Option<ServingConfiguration>,
    /// Changes of the orders of releases since the previous read.
    pub orders: OrderChanges,
}

/// Orders of releases that a read of the store shows.
#[derive(Clone, Debug, Default)]
pub struct OrderChanges {
    /// Whether `present` holds all orders.
    pub complete: bool,
    /// Orders that were added or changed.
    pub present: Vec<ReleaseOrder>,
    /// Services whose orders were removed.
    pub removed: Vec<ServiceName>,
}

/// Registration of a host in the store, by which other hosts find it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostRecord {
    /// Name of the host.
    pub host: HostName,
    /// Address at which the host accepts links.
    pub link: SocketAddr,
}

/// Result of registering a host in the store.
#[derive(Clone, Debug)]
pub struct RegistrationOutcome {
    /// Key shared by all hosts, which authenticates links.
    pub key: [u8; 32],
    /// All registered hosts.
    pub hosts: Vec<HostRecord>,
}
