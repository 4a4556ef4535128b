//! The retry-after times of refused callers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::name::TierRank;

/// The minimum retry-after time.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The divisor of a caller's remaining time that gives the latest retry. A later retry would leave
/// too little time for queueing and running.
const LATEST_RETRY_DIVISOR: u32 = 3;

/// The fraction of the slots that is planned for retries. Most of the other slots go to first
/// attempts, which can still be answered long before their deadline.
const RETRY_SLOT_FRACTION: f64 = 0.05;

/// The schedule of assigned retry-after times, by tier.
///
/// Callers that are refused together and retry at the same time would be refused together again.
/// Each caller therefore gets the first time at which the slots planned for retries have finished
/// the work of the callers scheduled before it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::name::TierRank;
/// use borageladder_kernel::retry_after::RetryAfterRequest;
/// use borageladder_kernel::retry_after::RetryAfterSchedule;
///
/// let mut schedule = RetryAfterSchedule::default();
/// let refused = RetryAfterRequest {
///     tier: TierRank(1),
///     earliest: Duration::ZERO,
///     remaining: Duration::from_secs(12),
///     work: Duration::from_millis(100),
///     slots: 10,
/// };
/// let first = schedule.book(ClockTime::ZERO, &refused);
/// let second = schedule.book(ClockTime::ZERO, &refused);
/// assert_eq!(first, Duration::from_secs(1));
/// assert_eq!(second, Duration::from_millis(1_200));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryAfterSchedule {
    next: BTreeMap<TierRank, ClockTime>,
}

/// A refused request whose caller may retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterRequest {
    /// The tier of the request; each tier has a schedule of its own.
    pub tier: TierRank,
    /// The predicted time before which a retry would be refused again.
    pub earliest: Duration,
    /// The time until the deadline of the caller.
    pub remaining: Duration,
    /// The slot time that the request is expected to take.
    pub work: Duration,
    /// The number of slots of all workers that may run the request.
    pub slots: u32,
}

impl RetryAfterSchedule {
    /// Assigns the next retry-after time of the tier.
    ///
    /// The time is at least [`MIN_RETRY_AFTER`] and otherwise at most a third of the time that
    /// remains until the deadline. Within these limits, it is at least the earliest one of the
    /// request.
    pub fn book(&mut self, now: ClockTime, refused: &RetryAfterRequest) -> Duration {
        let latest = (refused.remaining / LATEST_RETRY_DIVISOR).max(MIN_RETRY_AFTER);
        let earliest = refused.earliest.clamp(MIN_RETRY_AFTER, latest);
        let next = self.next.entry(refused.tier).or_insert(now);
        let wait = next.since(now).clamp(earliest, latest);
        let retry_slots = f64::from(refused.slots.max(1)) * RETRY_SLOT_FRACTION;
        *next = now + wait + refused.work.div_f64(retry_slots);
        wait
    }
}
