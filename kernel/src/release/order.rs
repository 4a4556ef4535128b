//! The orders by which operators start releases.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::name::ServiceName;
use crate::name::WorkerVersion;
use crate::roster::StoreRevision;

/// An operator's order to move the requests of a service to the workers of one version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseOrder {
    /// The service.
    pub service: ServiceName,
    /// The revision at which the order's row was written. Together with the target and the duration it
    /// identifies the order.
    pub revision: StoreRevision,
    /// The version to which the requests move.
    pub target: WorkerVersion,
    /// The time within which the release is due, from the write of the order.
    pub duration: Duration,
}

impl ReleaseOrder {
    /// Returns whether the order asks for the same as another one, which may stand in another row.
    ///
    /// A store that is back from an older copy can hold the same order at another revision.
    #[must_use]
    pub fn asks_same(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target == other.target
            && self.duration == other.duration
    }
}
