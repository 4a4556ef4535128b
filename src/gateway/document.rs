//! What a gateway host serves: the operators' configuration and the workers, as checked values.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::kernel::configuration::ServiceKind;
use crate::kernel::name::HostName;
use crate::kernel::name::ModelName;
use crate::kernel::name::ServiceName;
use crate::kernel::name::TierRank;
use crate::kernel::name::WorkspaceName;
use crate::kernel::quota::QuotaBounds;
use crate::kernel::roster::StoreRevision;
use crate::kernel::route::RouteTable;

/// One version of the configuration that the operators write.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServingConfiguration {
    /// The number of the version; it only grows.
    pub version: u64,
    /// The routes.
    pub routes: RouteTable,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServingService>,
    /// The workspaces by name; `None` if callers need no keys.
    pub workspaces: Option<WorkspaceTable>,
    /// The bounds on what a caller may send.
    pub limits: CallerLimits,
}

/// A service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServingService {
    /// The kind of its workers.
    pub kind: ServiceKind,
    /// The models that its workers serve; empty for plain services.
    pub models: Vec<ModelName>,
    /// The most connections that one of its workers takes from all hosts together.
    pub max_connections: u32,
    /// The most tokens of an answer that come in one event of a stream.
    pub event_tokens: u32,
}

/// A workspace, to which callers belong.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServingWorkspace {
    /// The tier that goes before that of the routes.
    pub tier: Option<TierRank>,
    /// The quota in units a second over all hosts, if there is one.
    pub quota: Option<QuotaBounds>,
    /// What a quota counts.
    pub unit: QuotaUnit,
}

impl ServingWorkspace {
    /// Returns the tier of a request on a route: the workspace's priority goes before the route's.
    #[must_use]
    pub fn place(&self, route: TierRank) -> TierRank {
        let first = self.tier.map_or(0, |tier| tier.0);
        TierRank(
            first
                .saturating_mul(ROUTE_TIERS)
                .saturating_add(route.0.min(ROUTE_TIERS - 1)),
        )
    }
}

/// The tiers that routes may have within one priority of workspaces.
const ROUTE_TIERS: u8 = 16;

/// What a quota counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of prompt and answer.
    Tokens {
        /// What a request counts that states no tokens.
        unstated: u32,
    },
}

impl QuotaUnit {
    /// Returns what a request counts that may use so many tokens, if it states them.
    #[must_use]
    pub fn count(self, tokens: Option<u64>) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens { unstated } => tokens.unwrap_or_else(|| u64::from(unstated)),
        }
    }
}

/// The workspaces and their keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceTable {
    workspaces: BTreeMap<WorkspaceName, ServingWorkspace>,
    keys: HashMap<[u8; 32], WorkspaceName>,
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
        let digests = keys.into_iter().map(digest);
        self.keys.extend(digests.map(|key| (key, name.clone())));
    }

    /// Returns the workspace that holds a key.
    ///
    /// The look-up compares digests, so its time tells nothing about the keys themselves.
    #[must_use]
    pub fn of_key(&self, key: &str) -> Option<(&WorkspaceName, &ServingWorkspace)> {
        let name = self.keys.get(&digest(key))?;
        self.workspaces.get_key_value(name)
    }

    /// Iterates over the workspaces.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkspaceName, &ServingWorkspace)> {
        self.workspaces.iter()
    }
}

fn digest(key: &str) -> [u8; 32] {
    *blake3::hash(key.as_bytes()).as_bytes()
}

/// The bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The time from the first byte of a request within which its head must have come.
    pub head_time: Duration,
    /// The time for which a connection may be idle.
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

/// What a read of the configuration brought.
#[derive(Clone, Debug)]
pub struct ConfigurationReading {
    /// The revision up to which the read tells everything.
    pub revision: StoreRevision,
    /// The newest version, if it is newer than the one read before.
    pub configuration: Option<ServingConfiguration>,
}

/// A host as it registered itself for the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostRecord {
    /// The name of the host.
    pub host: HostName,
    /// The address at which it accepts links.
    pub link: SocketAddr,
}

/// What a host learns when it registers itself.
#[derive(Clone, Debug)]
pub struct JoinReading {
    /// The key that all hosts share.
    pub key: [u8; 32],
    /// The hosts that registered themselves.
    pub hosts: Vec<HostRecord>,
}
