//! The state of a release, as it stands in the store and is known to the hosts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::order::ReleaseOrder;
use super::verdict::VerdictCounts;
use crate::roster::StoreEra;

/// The value of [`TrafficShare`] that stands for all requests.
const WHOLE: u32 = 1_000_000;

/// The interval at which hosts send their evidence to the driver, if it has changed.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(250);

/// The interval while the share rises, when the driver has little time to find a version that is bad
/// under load.
const SHIFT_EVIDENCE_INTERVAL: Duration = Duration::from_millis(100);

/// The part of new requests that goes to the target, in millionths.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct TrafficShare(u32);

impl TrafficShare {
    /// No requests.
    pub const NONE: Self = Self(0);

    /// All requests.
    pub const ALL: Self = Self(WHOLE);

    /// Creates the share that is nearest below a ratio, which is limited to 0 and 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::release::TrafficShare;
    ///
    /// let share = TrafficShare::from_ratio(0.25);
    /// assert!(share.covers(u64::MAX / 5));
    /// assert!(!share.covers(u64::MAX / 3));
    /// assert_eq!(TrafficShare::from_ratio(7.0), TrafficShare::ALL);
    /// ```
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is between 0 and 1,000,000"
    )]
    pub fn from_ratio(ratio: f64) -> Self {
        Self((ratio.clamp(0.0, 1.0) * f64::from(WHOLE)) as u32)
    }

    /// Returns the share as a ratio between 0 and 1.
    #[must_use]
    pub fn ratio(self) -> f64 {
        f64::from(self.0.min(WHOLE)) / f64::from(WHOLE)
    }

    /// Returns whether requests with a hash belong to the share.
    #[must_use]
    pub fn covers(self, hash: u64) -> bool {
        let scaled = (u128::from(hash) * u128::from(WHOLE)) >> u64::BITS;
        scaled < u128::from(self.0)
    }
}

/// The phase of a release.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ReleasePhase {
    /// A small share of the requests goes to the target, so that its answers can be judged.
    Canary,
    /// The share rises to all requests.
    Shift,
    /// All requests go to the target. Final.
    Completed,
    /// All requests go to the baseline. Final.
    Reverted,
}

impl ReleasePhase {
    /// Returns whether the phase never changes for the same order.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }

    /// Returns the interval at which hosts send their evidence to the driver, if it has changed.
    #[must_use]
    pub const fn evidence_interval(self) -> Duration {
        match self {
            Self::Shift => SHIFT_EVIDENCE_INTERVAL,
            Self::Canary | Self::Completed | Self::Reverted => EVIDENCE_INTERVAL,
        }
    }

    /// Returns what the operators are told.
    #[must_use]
    pub const fn status(self) -> ReleaseStatus {
        match self {
            Self::Canary | Self::Shift => ReleaseStatus::InProgress,
            Self::Completed => ReleaseStatus::Completed,
            Self::Reverted => ReleaseStatus::Reverted,
        }
    }
}

/// What the operators are told of a release.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseStatus {
    /// The requests move to the target.
    InProgress,
    /// All requests go to the target.
    Completed,
    /// All requests go to the baseline.
    Reverted,
}

/// The requests of a release.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseCounts {
    /// The requests that have reached the service since the order.
    pub requests: u64,
    /// The requests of these that were sent to the target.
    pub target_requests: u64,
}

/// The state of a release.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseState {
    /// The order.
    pub order: ReleaseOrder,
    /// The era of the store in which the state was last written or read. A host that reads the state
    /// from the store sets it.
    #[serde(default)]
    pub era: StoreEra,
    /// The number of the state among those of its order, which rises with each write.
    pub sequence: u64,
    /// The phase.
    pub phase: ReleasePhase,
    /// The share of requests that goes to the target; without meaning in a final phase.
    pub share: TrafficShare,
    /// The earliest time at which the order may have been written, on the store's steady clock.
    pub start: Duration,
    /// The time of the read that first showed the order, on the store's steady clock. The order was written
    /// between the start and this time.
    #[serde(default)]
    pub seen: Duration,
    /// The time at which the release is due, on the store's steady clock.
    pub deadline: Duration,
    /// The requests that the driver knew of when it wrote the state.
    #[serde(default)]
    pub counts: ReleaseCounts,
    /// The counts by which the target was found to be bad; `None` if it was not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdict: Option<VerdictCounts>,
}

impl ReleaseState {
    /// Creates the first state of an order that was written at `start`. Nothing goes to the target.
    #[must_use]
    pub fn begin(order: ReleaseOrder, start: Duration, era: StoreEra) -> Self {
        let deadline = start.saturating_add(order.duration);
        Self {
            order,
            era,
            sequence: 1,
            phase: ReleasePhase::Canary,
            share: TrafficShare::NONE,
            start,
            seen: start,
            deadline,
            counts: ReleaseCounts::default(),
            verdict: None,
        }
    }

    /// Returns whether the target was found to be bad, but the store may not hold this yet.
    ///
    /// The driver sends such a state to all hosts. It sends nothing to the target, whatever other
    /// states of the order say that are not final.
    #[must_use]
    pub fn is_halted(&self) -> bool {
        !self.phase.is_final() && self.verdict.is_some()
    }
}
