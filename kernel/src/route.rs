//! Routes, which select the service for a request by host name and path prefix.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::attempt::RepeatLimits;
use crate::attempt::WorkKind;
use crate::name::ServiceName;
use crate::name::TierRank;

/// A service that receives a weighted share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteBackend {
    /// The service.
    pub service: ServiceName,
    /// The weight, relative to the sum of the weights of all backends of the route.
    pub weight: u32,
}

/// A route as defined by operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteSpec {
    /// The host name to which the route applies, in lower case.
    pub hostname: String,
    /// The path prefix to which the route applies; starts and ends with a slash.
    pub prefix: String,
    /// The kind of work, which determines whether requests may be retried.
    pub kind: WorkKind,
    /// The services that share the requests; at least one has a weight above zero, unless the route
    /// serves no request.
    pub backends: Vec<RouteBackend>,
    /// The maximum time from the arrival of a request to its deadline.
    pub timeout: Duration,
    /// The latency target: an answer within this time has its full value for the caller. The ask
    /// states it as the time by which the first token is due.
    pub target: Duration,
    /// The target for the longest gap between two events of a stream; `None` for no such target.
    #[serde(rename = "max_pause")]
    pub event_gap_target: Option<Duration>,
    /// The maximum number of runs of one request; dispatches that a worker reports as not run do
    /// not count.
    #[serde(rename = "attempt_limit")]
    pub run_limit: u32,
    /// The tier of the route's requests.
    pub tier: TierRank,
    /// Whether the route is open to callers without a workspace key; on an open route, keys are
    /// ignored.
    pub open: bool,
}

/// The reason why a route was rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RouteError {
    /// The prefix does not start and end with a slash.
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

/// The routes of one configuration version, indexed by host name and path prefix.
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
///     event_gap_target: None,
///     run_limit: 2,
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
    #[serde(rename = "hosts")]
    by_hostname: BTreeMap<String, BTreeMap<String, RouteSpec>>,
}

impl RouteTable {
    /// Adds a route, replacing one with the same host name and prefix.
    ///
    /// # Errors
    ///
    /// Returns [`RouteError`] if the prefix does not start and end with a slash or if no backend
    /// has a weight above zero.
    pub fn insert(&mut self, route: RouteSpec) -> Result<(), RouteError> {
        let prefix = route.prefix.clone();
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return Err(RouteError::Prefix { prefix });
        }
        if route.backends.iter().all(|backend| backend.weight == 0) {
            return Err(RouteError::NoBackend { prefix });
        }
        let prefixes = self.by_hostname.entry(route.hostname.clone()).or_default();
        prefixes.insert(prefix, route);
        Ok(())
    }

    /// Adds a route that serves no request, for one whose definition can't be used: requests for it
    /// must not fall to a route with a shorter prefix.
    pub fn insert_unserved(&mut self, hostname: String, prefix: String) {
        let route = RouteSpec::unserved(hostname, prefix);
        let prefixes = self.by_hostname.entry(route.hostname.clone()).or_default();
        prefixes.insert(route.prefix.clone(), route);
    }

    /// Returns the route of the host name with the longest matching path prefix.
    ///
    /// `hostname` must be in lower case, and `path` must not contain the query. A prefix matches
    /// whole path segments only, each with the slash that ends it: `/a/` matches `/a/b`, but not
    /// `/a`.
    #[must_use]
    pub fn find(&self, hostname: &str, path: &str) -> Option<&RouteSpec> {
        let prefixes = self.by_hostname.get(hostname)?;
        let slashes = path.rmatch_indices('/');
        let mut candidates = slashes.map(|(position, _)| &path[..=position]);
        candidates.find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_hostname.values().map(BTreeMap::len).sum()
    }

    /// Returns whether the table has no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_hostname.is_empty()
    }
}

impl RouteSpec {
    fn unserved(hostname: String, prefix: String) -> Self {
        Self {
            hostname,
            prefix,
            kind: WorkKind::Unsafe,
            backends: Vec::new(),
            timeout: Duration::ZERO,
            target: Duration::ZERO,
            event_gap_target: None,
            run_limit: 0,
            tier: TierRank::default(),
            open: false,
        }
    }

    /// Returns what the route allows of repeats.
    #[must_use]
    pub const fn repeat_limits(&self) -> RepeatLimits {
        RepeatLimits {
            kind: self.kind,
            max_runs: self.run_limit,
        }
    }

    /// Selects the service of a backend by weight from a random number.
    ///
    /// Every residue of `draw` modulo the sum of the weights maps to one backend, so that a
    /// uniformly distributed `draw` gives each backend its share. Returns `None` if the sum is
    /// zero.
    #[must_use]
    pub fn select_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut offset = draw.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if offset < weight {
                return Some(&backend.service);
            }
            offset -= weight;
        }
        None
    }
}
