//! The times at which refused callers are told to come back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::name::TierRank;

/// The shortest time after which a refused caller is told to come back.
pub const SHORTEST_RETURN: Duration = Duration::from_secs(1);

/// The part of the time that a caller has left after which it must be back, as a divisor: later it
/// lacks the time for a wait and the work.
const LATEST_DIVISOR: u32 = 3;

/// The part of the slots that is kept in mind for callers who come back: most of the rest goes to
/// those who come for the first time and can still be answered early.
const RETURN_SHARE: f64 = 0.05;

/// The times that were given out, by tier.
///
/// Callers who are refused together and told the same time come back together and are refused again.
/// So each gets the first time at which those who come back before it have taken their part of the
/// slots.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::name::TierRank;
/// use borageladder_kernel::returns::ReturnRequest;
/// use borageladder_kernel::returns::ReturnSchedule;
///
/// let mut schedule = ReturnSchedule::default();
/// let refused = ReturnRequest {
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
pub struct ReturnSchedule {
    next: BTreeMap<TierRank, ClockTime>,
}

/// A refused request whose caller may come back.
#[derive(Clone, Copy, Debug)]
pub struct ReturnRequest {
    /// The tier.
    pub tier: TierRank,
    /// The time before which there is no room for certain.
    pub earliest: Duration,
    /// The time that the caller has left.
    pub remaining: Duration,
    /// The slot time that the request needs.
    pub work: Duration,
    /// The slots of all workers.
    pub slots: u32,
}

impl ReturnSchedule {
    /// Returns the time after which a caller is to come back.
    pub fn book(&mut self, now: ClockTime, refused: &ReturnRequest) -> Duration {
        let latest = (refused.remaining / LATEST_DIVISOR).max(SHORTEST_RETURN);
        let earliest = refused.earliest.clamp(SHORTEST_RETURN, latest);
        let next = self.next.entry(refused.tier).or_insert(now);
        let wait = next.since(now).clamp(earliest, latest);
        let part = f64::from(refused.slots.max(1)) * RETURN_SHARE;
        *next = now + wait + refused.work.div_f64(part);
        wait
    }
}
