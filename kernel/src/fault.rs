//! How often a worker fails what it runs.

/// The weight of the newest answer, as a divisor.
const NEWEST_DIVISOR: u32 = 10;

/// A rate of one, in thousandths.
const ALWAYS: u32 = 1_000;

/// The mean rate of failed answers of one worker.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::fault::FaultRate;
///
/// let mut faults = FaultRate::default();
/// faults.erred();
/// assert_eq!(faults.thousandths(), 100);
/// faults.answered();
/// assert_eq!(faults.thousandths(), 90);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FaultRate {
    thousandths: u32,
}

impl FaultRate {
    /// Notes an answer that tells of a failure.
    pub const fn erred(&mut self) {
        self.thousandths += (ALWAYS - self.thousandths) / NEWEST_DIVISOR;
    }

    /// Notes a good answer.
    pub const fn answered(&mut self) {
        self.thousandths -= self.thousandths.div_ceil(NEWEST_DIVISOR);
    }

    /// Returns the rate, in thousandths.
    #[must_use]
    pub const fn thousandths(self) -> u32 {
        self.thousandths
    }
}
