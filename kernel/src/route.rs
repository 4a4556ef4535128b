//! Routes: which service answers a request, by host name and path.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::attempt::WorkKind;
use crate::name::ServiceName;
use crate::name::TierRank;

/// A service among which a route divides its requests, with its share.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteBackend {
    /// The service.
    pub service: ServiceName,
    /// The share, in relation to the weights of the other backends.
    pub weight: u32,
}

/// A route as the operators define it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteSpec {
    /// The host name for which the route holds, in lower case.
    pub hostname: String,
    /// The beginning of the paths that the route takes; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: WorkKind,
    /// The services that answer; at least one with a weight above zero.
    pub backends: Vec<RouteBackend>,
    /// The longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is of full use to the caller.
    pub target: Duration,
    /// The longest pause between two events of a stream that is of full use to the caller.
    pub max_pause: Option<Duration>,
    /// The most workers on which one request may run.
    pub attempt_limit: u32,
    /// The tier of the route's requests.
    pub tier: TierRank,
    /// Whether callers need no key.
    pub open: bool,
}

/// The reason why a route can't be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RouteError {
    /// The prefix does not begin and end with a slash.
    #[error("prefix {prefix:?} does not begin and end with a slash")]
    Prefix {
        /// The rejected prefix.
        prefix: String,
    },
    /// No backend has a weight above zero.
    #[error("no backend of {prefix:?} has a weight")]
    NoBackend {
        /// The prefix of the rejected route.
        prefix: String,
    },
}

/// The routes of one configuration version.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::attempt::WorkKind;
/// use borageladder_kernel::name::TierRank;
/// use borageladder_kernel::route::RouteBackend;
/// use borageladder_kernel::route::RouteSpec;
/// use borageladder_kernel::route::RouteTable;
///
/// let spec = RouteSpec {
///     hostname: "letters.example".to_owned(),
///     prefix: "/drafts/".to_owned(),
///     kind: WorkKind::Safe,
///     backends: vec![RouteBackend { service: "drafter".parse()?, weight: 1 }],
///     timeout: Duration::from_secs(5),
///     target: Duration::from_millis(300),
///     max_pause: None,
///     attempt_limit: 2,
///     tier: TierRank(0),
///     open: false,
/// };
/// let mut routes = RouteTable::default();
/// routes.insert(spec)?;
/// assert!(routes.find("letters.example", "/drafts/7").is_some());
/// assert!(routes.find("letters.example", "/other/7").is_none());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteTable {
    hosts: BTreeMap<String, BTreeMap<String, RouteSpec>>,
}

impl RouteTable {
    /// Adds a route; one with the same host name and prefix is replaced.
    ///
    /// # Errors
    ///
    /// Returns an error if the prefix has no slash at an end or no backend has a weight.
    pub fn insert(&mut self, route: RouteSpec) -> Result<(), RouteError> {
        let prefix = route.prefix.clone();
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return Err(RouteError::Prefix { prefix });
        }
        if route.backends.iter().all(|backend| backend.weight == 0) {
            return Err(RouteError::NoBackend { prefix });
        }
        let host = self.hosts.entry(route.hostname.clone()).or_default();
        host.insert(prefix, route);
        Ok(())
    }

    /// Returns the route of the host name with the longest prefix that begins the path.
    ///
    /// The path is taken without its query.
    #[must_use]
    pub fn find(&self, hostname: &str, path: &str) -> Option<&RouteSpec> {
        let prefixes = self.hosts.get(hostname)?;
        let slashes = path.rmatch_indices('/');
        let mut candidates = slashes.map(|(position, _)| &path[..=position]);
        candidates.find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Returns whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

impl RouteSpec {
    /// Returns the service that a draw falls on, in proportion to the weights.
    #[must_use]
    pub fn backend(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut rest = draw.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if rest < weight {
                return Some(&backend.service);
            }
            rest -= weight;
        }
        None
    }
}
