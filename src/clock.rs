//! The clocks of the process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::kernel::clock::ClockTime;

/// Reads the monotonic clock as time since the process started.
///
/// # Examples
///
/// ```
/// use borageladder::clock::ProcessClock;
///
/// let clock = ProcessClock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts the clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        ClockTime::ZERO + self.start.elapsed()
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for people to read.
#[must_use]
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let millis = elapsed.unwrap_or(Duration::ZERO).as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Returns the hour of the day in UTC, from 0 to 23.
#[must_use]
pub fn utc_hour() -> u8 {
    const MILLIS_PER_HOUR: u64 = 3_600_000;
    let hour = unix_millis() / MILLIS_PER_HOUR % 24;
    u8::try_from(hour).unwrap_or(0)
}
