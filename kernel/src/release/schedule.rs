//! How many requests may go to a target that is not known to be good.

use std::time::Duration;

use super::state::ReleaseCounts;
use super::state::TrafficShare;

/// The bounds on the requests that a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseBounds {
    /// The part of the requests from the order to its deadline (`exposure_share`).
    pub exposure_share: f64,
    /// The requests beyond that part (`exposure_headroom`).
    pub exposure_headroom: f64,
}

/// The requests of a release so far, and those to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseLoad {
    /// The requests so far.
    pub counts: ReleaseCounts,
    /// The requests to the service in a second.
    pub rate: f64,
    /// The time left until the deadline; zero after it.
    pub left: Duration,
}

/// The shares that a release may have by its bounds.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseSchedule {
    bounds: ReleaseBounds,
    duration: Duration,
}

impl ReleaseSchedule {
    /// Creates the schedule of a release that is due after `duration`.
    #[must_use]
    pub const fn new(bounds: ReleaseBounds, duration: Duration) -> Self {
        Self { bounds, duration }
    }

    /// Returns the share of the canary.
    #[must_use]
    pub fn canary_share(&self, load: &ReleaseLoad) -> TrafficShare {
        let _ = (self.bounds, self.duration, load);
        TrafficShare::NONE
    }
}
