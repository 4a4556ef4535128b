//! The time that a late host allows others beyond its timeouts.

use std::time::Duration;

/// The delay of a timer below which a host counts as running in time.
const MIN_DELAY: Duration = Duration::from_millis(250);

/// The longest time that is added to a timeout.
const MAX_ALLOWANCE: Duration = Duration::from_secs(10);

/// The time that a host adds to the timeouts by which it judges others, since it runs late itself.
///
/// What others sent waits unread while a host gets no processor time, and a host that shares its
/// machine with them runs as late as they do. An allowance is twice the delay of the last timer, and
/// is halved with each further one that is in time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::membership::LatenessAllowance;
///
/// let mut allowance = LatenessAllowance::default();
/// allowance.record_delay(Duration::from_millis(100));
/// assert_eq!(allowance.get(), Duration::ZERO);
/// allowance.record_delay(Duration::from_secs(3));
/// assert_eq!(allowance.get(), Duration::from_secs(6));
/// allowance.record_delay(Duration::ZERO);
/// assert_eq!(allowance.get(), Duration::from_secs(3));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LatenessAllowance(Duration);

impl LatenessAllowance {
    /// Records by how much a timer of the host was late.
    pub fn record_delay(&mut self, delay: Duration) {
        let own = if delay < MIN_DELAY {
            Duration::ZERO
        } else {
            delay * 2
        };
        let allowance = own.max(self.0 / 2).min(MAX_ALLOWANCE);
        self.0 = if allowance < MIN_DELAY {
            Duration::ZERO
        } else {
            allowance
        };
    }

    /// Returns the time to add to timeouts.
    #[must_use]
    pub const fn get(self) -> Duration {
        self.0
    }
}
