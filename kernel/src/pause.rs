//! Detection of pauses of the whole process.
//!
//! A process that was stopped and woke again may find messages in its sockets that were sent long
//! ago. A grant among them has expired for its broker, although it has only just been read here. So
//! grants that are read right after a pause are given back.

use std::time::Duration;

use crate::clock::ClockTime;

/// The time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The gap between two ticks from which on the process counts as paused.
pub const PAUSE_GAP: Duration = Duration::from_millis(600);

/// The time after a pause in which messages may still be old.
pub const PAUSE_SHADOW: Duration = Duration::from_millis(600);

/// Finds pauses from ticks that should come every [`TICK_INTERVAL`].
///
/// # Examples
///
/// ```
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::pause::PauseDetector;
///
/// let mut detector = PauseDetector::new(ClockTime::ZERO);
/// detector.tick(ClockTime::from_millis(100));
/// assert!(!detector.is_suspect(ClockTime::from_millis(150)));
/// assert!(detector.is_suspect(ClockTime::from_millis(5_000)));
/// detector.tick(ClockTime::from_millis(5_000));
/// assert!(detector.is_suspect(ClockTime::from_millis(5_100)));
/// detector.tick(ClockTime::from_millis(5_600));
/// assert!(!detector.is_suspect(ClockTime::from_millis(5_601)));
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
    pub fn is_suspect(&self, now: ClockTime) -> bool {
        if now.since(self.last_tick) > PAUSE_GAP {
            return true;
        }
        self.last_pause_end
            .is_some_and(|end| now.since(end) <= PAUSE_SHADOW)
    }
}
