//! How long a host may act on the configuration that it read.

use std::time::Duration;

use crate::clock::ClockTime;

/// The part of the bound that is kept in reserve, as a divisor: clocks, queues and the way to the
/// worker take time of their own.
const RESERVE_DIVISOR: u32 = 5;

/// Decides whether a host may still act on its configuration.
///
/// What a read tells held at its begin at the earliest, so its age counts from there. The clock must
/// count the time for which the machine was suspended.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::freshness::FreshnessGate;
///
/// let mut gate = FreshnessGate::new(Duration::from_secs(5));
/// assert!(!gate.is_fresh(ClockTime::ZERO));
/// gate.confirmed(ClockTime::from_millis(100));
/// assert!(gate.is_fresh(ClockTime::from_millis(4_000)));
/// assert!(!gate.is_fresh(ClockTime::from_millis(4_200)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FreshnessGate {
    bound: Duration,
    begin: Option<ClockTime>,
}

impl FreshnessGate {
    /// Creates a closed gate; a configuration may be used for `bound` less a reserve.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            bound: bound.saturating_sub(bound / RESERVE_DIVISOR),
            begin: None,
        }
    }

    /// Notes a read that confirmed the newest version and began at the time.
    pub fn confirmed(&mut self, begin: ClockTime) {
        self.begin = self.begin.max(Some(begin));
    }

    /// Returns whether the configuration may be acted on.
    #[must_use]
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        self.begin
            .is_some_and(|begin| now.since(begin) < self.bound)
    }

    /// Returns the age of the configuration, or `None` if none was read.
    #[must_use]
    pub fn age(&self, now: ClockTime) -> Option<Duration> {
        self.begin.map(|begin| now.since(begin))
    }
}
