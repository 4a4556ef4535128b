//! Timeouts and delays of a rollout.

use std::time::Duration;

use crate::membership::HEARTBEAT_TIMEOUT;

/// The time after which a host that could not verify that its version is the newest takes no new
/// work. It is not the limit of a gateway host on the age of its last read of the store.
pub const FRESHNESS_BOUND: Duration = Duration::from_secs(2);

/// The time from an operator's request after which a change that is not accepted is reported as
/// recorded.
pub const CHANGE_DEADLINE: Duration = Duration::from_millis(6_800);

/// The shortest gap between two events after which the process counts as having been paused.
pub const ROLLOUT_PAUSE_GAP: Duration = Duration::from_secs(1);

/// The time after which an unanswered request for a version is sent to another source.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// The time without a heartbeat after which a host counts as permanently dead and is removed.
pub const SILENT_HOST_RETENTION: Duration = Duration::from_mins(10);

/// The timeouts and delays of a rollout.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RolloutTimes {
    /// The time for which one verification against the platform's table or a fresh host allows new
    /// work.
    pub freshness: Duration,
    /// The time without a heartbeat after which a host counts as silent.
    pub heartbeat_timeout: Duration,
    /// The time from the last confirmation to the acceptance of a change; longer than `freshness`,
    /// so that a host that was cut off has stopped taking work before the change is accepted.
    pub acceptance_delay: Duration,
    /// The shortest gap between two events after which the process counts as having been paused.
    pub pause_gap: Duration,
    /// The time after which an unanswered request for a version is sent to another source.
    pub fetch_timeout: Duration,
    /// The time from an operator's request after which a change that is not accepted is reported as
    /// recorded.
    pub deadline: Duration,
    /// The time without a heartbeat after which a host counts as permanently dead and is removed.
    pub retention: Duration,
}

impl Default for RolloutTimes {
    fn default() -> Self {
        Self {
            freshness: FRESHNESS_BOUND,
            heartbeat_timeout: HEARTBEAT_TIMEOUT,
            acceptance_delay: HEARTBEAT_TIMEOUT,
            pause_gap: ROLLOUT_PAUSE_GAP,
            fetch_timeout: FETCH_TIMEOUT,
            deadline: CHANGE_DEADLINE,
            retention: SILENT_HOST_RETENTION,
        }
    }
}
