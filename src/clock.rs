//! The monotonic clock and the wall clock of the process.

use std::time::Duration;
use std::time::SystemTime;

use nix::time::ClockId;
use nix::time::clock_gettime;

use crate::kernel::clock::ClockTime;

/// A monotonic clock that counts the time since the process started.
///
/// It includes the time for which the machine was suspended, since configurations, grants and leases
/// also expire during that time.
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
    start: Duration,
}

impl ProcessClock {
    /// Starts the clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        ClockTime::ZERO + boot_time().saturating_sub(self.start)
    }
}

/// Returns the time since boot, including the time for which the machine was suspended.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(time.expect("every supported kernel has this clock"))
}

/// Returns the processor time that this process has used; `None` if the kernel does not tell.
#[must_use]
pub fn processor_time() -> Option<Duration> {
    let time = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID);
    time.map(Duration::from).ok()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
///
/// It can jump when the system time is set, so leases and timeouts use [`ProcessClock`] instead.
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
