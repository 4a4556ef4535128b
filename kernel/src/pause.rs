//! Detection of pauses of the whole process.
//!
//! After a pause (a stopped process or a suspended machine), the sockets may hold messages that
//! were sent long before. A grant among them may have expired at its broker, because its lifetime
//! on this host only starts when it is read. Grants that are read right after a pause are therefore
//! returned unused.

use std::time::Duration;

use crate::clock::ClockTime;

/// The longest interval at which [`PauseDetector::tick`] is to be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The gap between two ticks above which the process counts as paused.
pub const PAUSE_GAP: Duration = Duration::from_millis(600);

/// The time after a pause for which messages that are read may have been sent before it.
pub const STALE_MESSAGE_TIME: Duration = Duration::from_millis(600);

/// Detects pauses by gaps between ticks, which are due at least every [`TICK_INTERVAL`].
///
/// # Examples
///
/// ```
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::pause::PauseDetector;
///
/// let mut detector = PauseDetector::new(ClockTime::ZERO);
/// detector.tick(ClockTime::from_millis(100));
/// assert!(!detector.may_be_stale(ClockTime::from_millis(150)));
/// assert!(detector.may_be_stale(ClockTime::from_millis(5_000)));
/// detector.tick(ClockTime::from_millis(5_000));
/// assert!(detector.may_be_stale(ClockTime::from_millis(5_100)));
/// detector.tick(ClockTime::from_millis(5_600));
/// assert!(!detector.may_be_stale(ClockTime::from_millis(5_601)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_tick: ClockTime,
    last_pause_end: Option<ClockTime>,
}

impl PauseDetector {
    /// Creates a detector at the start of the process.
    #[must_use]
    pub const fn new(now: ClockTime) -> Self {
        Self {
            last_tick: now,
            last_pause_end: None,
        }
    }

    /// Records a tick.
    pub fn tick(&mut self, now: ClockTime) {
        if now.since(self.last_tick) > PAUSE_GAP {
            self.last_pause_end = Some(now);
        }
        self.last_tick = now;
    }

    /// Returns whether a message that is read now may have been sent before a pause.
    #[must_use]
    pub fn may_be_stale(&self, now: ClockTime) -> bool {
        if now.since(self.last_tick) > PAUSE_GAP {
            return true;
        }
        self.last_pause_end
            .is_some_and(|end| now.since(end) <= STALE_MESSAGE_TIME)
    }
}
