//! The registration of a worker, and the updates in which registrations are read.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::WorkerState;
use crate::name::DatacenterName;
use crate::name::ServiceName;
use crate::name::WorkerName;
use crate::name::WorkerVersion;

/// The registration of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// The name of the worker, which is new with each of its starts.
    pub worker: WorkerName,
    /// The service that the worker provides.
    pub service: ServiceName,
    /// The data centre in which the worker runs.
    pub datacenter: DatacenterName,
    /// The address at which the worker accepts requests.
    pub address: SocketAddr,
    /// The version of the worker's software; `None` if the registration states none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<WorkerVersion>,
    /// The maximum number of requests that the worker runs at once.
    pub slots: u32,
    /// Whether the worker may be granted new requests.
    pub state: WorkerState,
    /// The time of the worker's start, in Unix milliseconds; `None` if the registration states none.
    ///
    /// A worker that starts again under its name knows nothing of what it said before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

/// A revision of the store's rows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

/// A number that rises each time the store is back from an older copy; 0 if it is not known.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Returns whether the era is not known.
    #[must_use]
    pub const fn is_unknown(&self) -> bool {
        self.0 == 0
    }
}

/// The result of a read of the registered workers.
#[derive(Clone, Debug, Default)]
pub struct RosterUpdate {
    /// The revision up to which the update includes all changes.
    pub revision: StoreRevision,
    /// The era of the store in which it was read.
    pub era: StoreEra,
    /// Whether `present` lists all workers, not only changed ones.
    pub complete: bool,
    /// The registered workers; only the added or changed ones if `complete` is false.
    pub present: Vec<UpstreamRecord>,
    /// The workers whose registration was removed or is invalid.
    pub removed: BTreeSet<WorkerName>,
}
