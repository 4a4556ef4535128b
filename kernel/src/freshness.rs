//! The limit on the age of the configuration that a gateway host acts on, counted from its last
//! read of the store. The freshness of a rollout is another: see [`crate::rollout`].

use std::time::Duration;

use crate::clock::ClockTime;

/// The part of the bound, as a divisor, that is kept in reserve for clock error, queueing and the
/// latency to the worker.
const RESERVE_DIVISOR: u32 = 5;

/// Decides whether a gateway host's configuration was read from the store recently enough to act
/// on.
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
/// gate.record_read(ClockTime::from_millis(100));
/// assert!(gate.is_fresh(ClockTime::from_millis(4_000)));
/// assert!(!gate.is_fresh(ClockTime::from_millis(4_200)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FreshnessGate {
    /// The age from which the configuration may no longer be acted on.
    max_age: Duration,
    /// The time at which the latest recorded read began.
    read_began: Option<ClockTime>,
}

impl FreshnessGate {
    /// Creates a gate without a recorded read; after a read, the configuration may be acted on for
    /// `bound` less a reserve.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            max_age: bound.saturating_sub(bound / RESERVE_DIVISOR),
            read_began: None,
        }
    }

    /// Records a read that began at `began` and returned or confirmed the newest version.
    pub fn record_read(&mut self, began: ClockTime) {
        self.read_began = self.read_began.max(Some(began));
    }

    /// Returns whether the configuration may be acted on, which is false before the first read.
    #[must_use]
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        self.read_began
            .is_some_and(|began| now.since(began) < self.max_age)
    }

    /// Returns the time since the latest recorded read began, or `None` before the first read.
    #[must_use]
    pub fn age(&self, now: ClockTime) -> Option<Duration> {
        self.read_began.map(|began| now.since(began))
    }
}
