//! The limit on the age of the configuration that a host acts on.

use std::time::Duration;

use crate::clock::ClockTime;

/// The divisor of the bound that gives the part kept in reserve, for clock error, queueing and the
/// latency to the worker.
const RESERVE_DIVISOR: u32 = 5;

/// Decides whether a host's configuration is recent enough to act on.
///
/// A read is only certain to return what the store held when the read began, so the age of its
/// content counts from then. The clock must count the time for which the machine was suspended.
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

    /// Records a read that confirmed the newest version and began at `begin`.
    pub fn confirmed(&mut self, begin: ClockTime) {
        self.begin = self.begin.max(Some(begin));
    }

    /// Returns whether the configuration may be acted on, which is false before the first read.
    #[must_use]
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        self.begin
            .is_some_and(|begin| now.since(begin) < self.bound)
    }

    /// Returns the age of the configuration, or `None` before the first read.
    #[must_use]
    pub fn age(&self, now: ClockTime) -> Option<Duration> {
        self.begin.map(|begin| now.since(begin))
    }
}
