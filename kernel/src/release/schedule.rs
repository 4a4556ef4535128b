//! How many requests may go to a target that is not known to be good.

use std::time::Duration;

use super::state::ReleaseCounts;
use super::state::TrafficShare;

/// The part of the bounds that is planned with; the rest is for requests that the driver has not
/// heard of yet and for errors of the predicted rate.
const PLANNED_PART: f64 = 0.8;

/// The part of the bounds at which a shift that has begun goes no further. It is above
/// [`PLANNED_PART`], so that a shift that began within the plan is not held up by errors of counting.
const SHIFT_PART: f64 = 0.9;

/// The limit of the canary, as a multiple of the exposure share. Services with few requests would
/// allow more, but their rate can rise many times over before the driver hears of it.
const MAX_CANARY_SHARES: f64 = 2.0;

/// The longest time before the deadline at which a shift begins, for the same reason.
const MAX_SHIFT_LEAD: Duration = Duration::from_secs(2);

/// The part of the duration, as a divisor, that a shift takes at most.
const MIN_CANARY_DIVISOR: u32 = 4;

/// The shares of a shift.
const SHIFT_STEPS: [f64; 3] = [0.25, 0.5, 1.0];

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

impl ReleaseLoad {
    /// Returns the predicted number of requests until the deadline.
    fn coming(&self) -> f64 {
        self.rate * self.left.as_secs_f64()
    }

    /// Returns the share of the coming requests with which the target gets `budget` requests in all.
    fn share_within(&self, budget: f64) -> f64 {
        let coming = self.coming();
        if coming <= 0.0 {
            return 1.0;
        }
        ((budget - self.target_requests()) / coming).clamp(0.0, 1.0)
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "a release has far fewer requests than 2^52"
    )]
    const fn requests(&self) -> f64 {
        self.counts.requests as f64
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "a release has far fewer requests than 2^52"
    )]
    const fn target_requests(&self) -> f64 {
        self.counts.target_requests as f64
    }
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
    ///
    /// It is the one that a steady rate allows from the start to the deadline, so that the part of the
    /// budget that grows meanwhile is left for the shift.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use borageladder_kernel::release::ReleaseBounds;
    /// use borageladder_kernel::release::ReleaseCounts;
    /// use borageladder_kernel::release::ReleaseLoad;
    /// use borageladder_kernel::release::ReleaseSchedule;
    ///
    /// let bounds = ReleaseBounds { exposure_share: 0.1, exposure_headroom: 50.0 };
    /// let duration = Duration::from_secs(12);
    /// let schedule = ReleaseSchedule::new(bounds, duration);
    /// let load = ReleaseLoad {
    ///     counts: ReleaseCounts::default(),
    ///     rate: 1_000.0,
    ///     left: duration,
    /// };
    /// let share = schedule.canary_share(&load).ratio();
    /// assert!((0.04..0.045).contains(&share));
    /// assert!(!schedule.allows_shift(&load));
    /// ```
    #[must_use]
    pub fn canary_share(&self, load: &ReleaseLoad) -> TrafficShare {
        let ReleaseBounds {
            exposure_share,
            exposure_headroom,
        } = self.bounds;
        let whole = load.rate * self.duration.as_secs_f64();
        // Without a known rate nothing is planned from the headroom, which holds for all rates.
        let headroom = if whole > 0.0 {
            exposure_headroom / whole
        } else {
            0.0
        };
        let steady = PLANNED_PART * (exposure_share + headroom) / 2.0;
        let limit = MAX_CANARY_SHARES * exposure_share;
        let left = load.share_within(self.planned_budget(load));
        TrafficShare::from_ratio(steady.min(limit).min(left))
    }

    /// Returns whether the shift may begin: all requests that are left until the deadline may go to the
    /// target.
    #[must_use]
    pub fn allows_shift(&self, load: &ReleaseLoad) -> bool {
        let longest = MAX_SHIFT_LEAD.min(self.duration / MIN_CANARY_DIVISOR);
        load.left <= longest && load.share_within(self.planned_budget(load)) >= 1.0
    }

    /// Returns the highest share of a shift that has begun.
    #[must_use]
    pub fn shift_limit(&self, load: &ReleaseLoad) -> TrafficShare {
        let bounds = self.bounds;
        let expected = load.requests() + load.coming() / 2.0;
        let budget = bounds.exposure_share * expected + bounds.exposure_headroom;
        TrafficShare::from_ratio(load.share_within(SHIFT_PART * budget))
    }

    /// Returns the share of a shift that follows a share; `None` after the last.
    #[must_use]
    pub fn next_step(share: TrafficShare) -> Option<TrafficShare> {
        let mut steps = SHIFT_STEPS.into_iter().map(TrafficShare::from_ratio);
        steps.find(|step| *step > share)
    }

    /// Returns the number of requests that the target may have had by the deadline, by the plan.
    ///
    /// Of the requests to come only half is counted, since they may stay away, and of the headroom half,
    /// since requests reach the target for some time after a verdict.
    fn planned_budget(&self, load: &ReleaseLoad) -> f64 {
        let expected = load.requests() + load.coming() / 2.0;
        let bounds = self.bounds;
        PLANNED_PART * (bounds.exposure_share * expected + bounds.exposure_headroom / 2.0)
    }
}
