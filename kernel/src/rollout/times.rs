//! The time bounds of a rollout.

use std::time::Duration;

use crate::membership::HEARTBEAT_TIMEOUT;

/// The time without news from the table or a host after which no new work is taken.
pub const FRESHNESS_BOUND: Duration = Duration::from_secs(2);

/// The time after which a change that is not accepted is reported as recorded.
pub const CHANGE_DEADLINE: Duration = Duration::from_millis(6_800);

/// The time between two events from which on this host counts as having been frozen.
pub const FREEZE_GAP: Duration = Duration::from_secs(1);

/// The time after which a version that was asked for is asked for again elsewhere.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// The time after which a silent host counts as dead for good.
pub const SILENT_MEMORY: Duration = Duration::from_mins(10);

/// The time bounds of a rollout.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RolloutTimes {
    /// The time without news after which no new work is taken.
    pub freshness: Duration,
    /// The time without a heartbeat after which a host counts as silent.
    pub silence: Duration,
    /// The time from the last confirmation to the acceptance; longer than `freshness`.
    pub settle: Duration,
    /// The time between two events from which on this host counts as having been frozen.
    pub freeze_gap: Duration,
    /// The time after which a version is asked for again.
    pub fetch: Duration,
    /// The time after which a change that is not accepted is reported as recorded.
    pub deadline: Duration,
    /// The time after which a silent host counts as dead for good.
    pub memory: Duration,
}

impl Default for RolloutTimes {
    fn default() -> Self {
        Self {
            freshness: FRESHNESS_BOUND,
            silence: HEARTBEAT_TIMEOUT,
            settle: HEARTBEAT_TIMEOUT,
            freeze_gap: FREEZE_GAP,
            fetch: FETCH_TIMEOUT,
            deadline: CHANGE_DEADLINE,
            memory: SILENT_MEMORY,
        }
    }
}
