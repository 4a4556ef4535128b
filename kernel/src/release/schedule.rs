//! How many requests may go to a target that is not known to be good.

use std::time::Duration;

use super::state::ReleaseCounts;
use super::state::TrafficShare;

/// The part of the bounds that is planned with; the rest is for requests that the driver has not
/// heard of yet and for errors of the predicted rate.
const PLANNED_PART: f64 = 0.8;

/// The part of the bounds that the target may have had at the deadline after a shift. It is higher than
/// [`PLANNED_PART`], because a shift is short and the driver hears of the requests meanwhile.
const SHIFT_PART: f64 = 0.95;

/// The standard deviations of the number of coming requests that a shift leaves room for.
const RATE_DEVIATIONS: f64 = 1.5;

/// The part of the bounds at which a shift that has begun goes no further. It is above [`SHIFT_PART`], so
/// that a shift is not held up by errors of counting.
const LIMIT_PART: f64 = 1.0;

/// The parts of the bounds that the canary uses up at a steady rate: the least, the most that it takes from
/// the shift for the sake of [`WANTED_CANARY_REQUESTS`], and the most.
const CANARY_PARTS: [f64; 3] = [0.12, 0.4, 0.7];

/// The number of requests of a canary from which a bad version can be told.
const WANTED_CANARY_REQUESTS: f64 = 50.0;

/// How the rate of requests may rise before the driver hears of it: tenfold and by this number in a
/// second. Half of the headroom is kept for this.
const MAX_RATE_RISE: [f64; 2] = [10.0, 50.0];

/// The part of the duration, as a divisor, that a shift takes at most.
const MAX_SHIFT_DIVISOR: u32 = 4;

/// The shares of a shift.
const SHIFT_STEPS: [f64; 3] = [0.25, 0.5, 1.0];

/// The time before the deadline at which the completion of a release is decided: 0.3 s by the
/// requirements, and the time of two ticks and of the write.
const COMPLETION_LEAD: Duration = Duration::from_millis(370);

/// The shortest time from the last step to the completion, in which most hosts take the state.
const MIN_FULL_TIME: Duration = Duration::from_millis(100);

/// The time from the decision on a step until the driver knows that the store holds it: a tick, the write
/// and a read.
const STEP_OVERHEAD: Duration = Duration::from_millis(50);

/// The time that a step of a shift should last: hosts take a state within about 100 ms, send their evidence
/// every 100 ms, and some answers must have come.
const WANTED_STEP_TIME: Duration = Duration::from_millis(250);

/// The longest time that a step of a shift is planned to take. Services with few requests would allow
/// more, but their rate can rise many times over before the driver hears of it.
const MAX_STEP_TIME: Duration = Duration::from_millis(500);

/// The time that a step takes after the deadline, when evidence counts for more than haste.
const LATE_STEP_TIME: Duration = Duration::from_millis(600);

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
    /// The time by which the deadline may be later, since the order was written at an unknown time
    /// between two reads.
    pub uncertainty: Duration,
}

impl ReleaseLoad {
    /// Returns the predicted number of requests until the deadline. None count after it.
    fn coming(&self) -> f64 {
        if self.left.is_zero() {
            return 0.0;
        }
        self.rate * (self.left + self.uncertainty).as_secs_f64()
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
    /// At a steady rate it leaves as much of the budget as the shift needs, if that leaves enough for the
    /// canary.
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
    ///     uncertainty: Duration::ZERO,
    /// };
    /// let share = schedule.canary_share(&load).ratio();
    /// assert!((0.02..0.045).contains(&share));
    /// assert!(!schedule.allows_shift(&load));
    /// ```
    #[must_use]
    pub fn canary_share(&self, load: &ReleaseLoad) -> TrafficShare {
        let whole = load.rate * self.duration.as_secs_f64();
        // Without a known rate nothing is planned from the headroom, which holds for all rates.
        let headroom = if whole > 0.0 {
            self.bounds.exposure_headroom / whole
        } else {
            0.0
        };
        let bound = self.bounds.exposure_share + headroom;
        let shift = WANTED_STEP_TIME.as_secs_f64() * step_sum() + full_time_after(load);
        let after_shift = SHIFT_PART * bound - shift / self.duration.as_secs_f64();
        let samples = if whole > 0.0 {
            WANTED_CANARY_REQUESTS / whole
        } else {
            0.0
        };
        let least = samples.clamp(CANARY_PARTS[0] * bound, CANARY_PARTS[1] * bound);
        let steady = after_shift.clamp(least, CANARY_PARTS[2] * bound);
        let risen = MAX_RATE_RISE[0].mul_add(load.rate, MAX_RATE_RISE[1]);
        let limit = self.bounds.exposure_share + self.bounds.exposure_headroom / 2.0 / risen;
        // Half of the headroom is left for requests that reach the target before and after a verdict.
        let left = load.share_within(self.budget(PLANNED_PART, 0.5, load));
        TrafficShare::from_ratio(steady.min(limit).min(left))
    }

    /// Returns whether the shift may begin: its steps, each of the same time, and all requests after
    /// them until the deadline are within the bounds.
    ///
    /// The steps take as long as the bounds allow, because a version that is bad under load can be found
    /// only by their answers.
    #[must_use]
    pub fn allows_shift(&self, load: &ReleaseLoad) -> bool {
        let deviation = RATE_DEVIATIONS * load.coming().sqrt();
        let room = self.budget(SHIFT_PART, 1.0, load) - load.target_requests() - deviation;
        // The time for which all requests may go to the target.
        let full = if load.rate > 0.0 {
            (room / load.rate).max(0.0)
        } else {
            f64::INFINITY
        };
        let step = (full - full_time_after(load)) / step_sum();
        let step = step.min(MAX_STEP_TIME.as_secs_f64());
        let needed = if step > 0.0 {
            step.mul_add(f64::from(step_count()), COMPLETION_LEAD.as_secs_f64())
        } else {
            full - load.uncertainty.as_secs_f64()
        };
        let longest = self.duration / MAX_SHIFT_DIVISOR;
        load.left.is_zero() || (load.left <= longest && load.left.as_secs_f64() <= needed)
    }

    /// Returns the time that a step of a shift lasts which begins with `left` until the deadline: an equal
    /// part of what is left for it and those that follow.
    #[must_use]
    pub fn step_time(share: TrafficShare, left: Duration) -> Duration {
        if left.is_zero() {
            return LATE_STEP_TIME;
        }
        if share == TrafficShare::ALL {
            let latest = left.saturating_sub(STEP_OVERHEAD);
            let available = left.saturating_sub(COMPLETION_LEAD);
            return available.max(MIN_FULL_TIME.min(latest));
        }
        let following = steps().filter(|step| *step > share).count();
        let following = u32::try_from(following).unwrap_or(0);
        let reserved = COMPLETION_LEAD + STEP_OVERHEAD * following;
        left.saturating_sub(reserved) / (following + 1)
    }

    /// Returns the highest share of a shift that has begun.
    #[must_use]
    pub fn shift_limit(&self, load: &ReleaseLoad) -> TrafficShare {
        TrafficShare::from_ratio(load.share_within(self.budget(LIMIT_PART, 1.0, load)))
    }

    /// Returns the share of a shift that follows a share, with `left` until the deadline; `None` after the
    /// last. Steps are skipped if there is no time for them.
    #[must_use]
    pub fn next_step(share: TrafficShare, left: Duration) -> Option<TrafficShare> {
        let is_short = !left.is_zero() && left <= COMPLETION_LEAD;
        let mut steps = steps().filter(|step| *step > share);
        if is_short { steps.last() } else { steps.next() }
    }

    /// Returns the number of requests that the target may have had by the deadline, by a part of the
    /// bounds and of their headroom.
    ///
    /// Of the requests to come only half is counted, since they may stay away.
    fn budget(&self, part: f64, headroom_part: f64, load: &ReleaseLoad) -> f64 {
        let expected = load.requests() + load.coming() / 2.0;
        let headroom = self.bounds.exposure_headroom * headroom_part;
        part * self.bounds.exposure_share.mul_add(expected, headroom)
    }
}

fn steps() -> impl Iterator<Item = TrafficShare> {
    SHIFT_STEPS.into_iter().map(TrafficShare::from_ratio)
}

/// Returns the requests that the steps of a shift send to the target, as a multiple of those of one step's
/// time.
fn step_sum() -> f64 {
    SHIFT_STEPS.into_iter().sum()
}

/// Returns the time after the steps of a shift for which the requests count, in seconds.
fn full_time_after(load: &ReleaseLoad) -> f64 {
    (COMPLETION_LEAD + load.uncertainty).as_secs_f64()
}

fn step_count() -> u32 {
    u32::try_from(SHIFT_STEPS.len()).unwrap_or(0)
}
