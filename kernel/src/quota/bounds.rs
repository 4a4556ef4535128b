//! The bounds of a quota, and the use beyond them that operators tolerate.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The rate and burst of a quota over all hosts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaBounds {
    /// The sustained rate, in units per second.
    pub rate: f64,
    /// The capacity of the bucket, in units: what may be used at once on top of the rate.
    pub burst: f64,
}

/// The use of a quota beyond its bounds that operators tolerate, for what hosts can't know of each
/// other in time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use borageladder_kernel::quota::QuotaBounds;
/// use borageladder_kernel::quota::QuotaTolerance;
///
/// let tolerance = QuotaTolerance {
///     ratio: 0.1,
///     headroom: 50.0,
///     window: Duration::from_secs(8),
/// };
/// let bounds = QuotaBounds { rate: 100.0, burst: 200.0 };
/// assert!((tolerance.units(bounds) - 150.0).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// The tolerated use as a fraction of what the bounds allow in the window.
    pub ratio: f64,
    /// The units tolerated in addition in each window.
    pub headroom: f64,
    /// The length of the window.
    pub window: Duration,
}

impl QuotaTolerance {
    /// Returns the units that may be used beyond the bounds in a window.
    #[must_use]
    pub fn units(&self, bounds: QuotaBounds) -> f64 {
        let allowed = bounds.rate.mul_add(self.window.as_secs_f64(), bounds.burst);
        self.ratio.mul_add(allowed, self.headroom)
    }
}
