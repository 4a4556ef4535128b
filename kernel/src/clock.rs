//! The monotonic time that is passed to the state machines.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point on the monotonic clock of one process, in microseconds since that process started.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::clock::ClockTime;
///
/// let start = ClockTime::ZERO;
/// let later = start + Duration::from_millis(5);
/// assert_eq!(later.since(start), Duration::from_millis(5));
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// The last representable point in time.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a time from microseconds since the process started.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::clock::ClockTime;
    ///
    /// assert_eq!(ClockTime::from_micros(7).as_micros(), 7);
    /// ```
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a time from milliseconds since the process started.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::clock::ClockTime;
    ///
    /// assert_eq!(ClockTime::from_millis(7).as_micros(), 7_000);
    /// ```
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the process started.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::clock::ClockTime;
    ///
    /// assert_eq!(ClockTime::ZERO.as_micros(), 0);
    /// ```
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use borageladder_kernel::clock::ClockTime;
    ///
    /// let later = ClockTime::from_millis(3);
    /// assert_eq!(later.since(ClockTime::ZERO), Duration::from_millis(3));
    /// assert_eq!(ClockTime::ZERO.since(later), Duration::ZERO);
    /// ```
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for ClockTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
