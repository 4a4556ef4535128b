//! Failure rates of workers.

/// The divisor that gives the weight of the newest answer in the moving average.
const SMOOTHING_DIVISOR: u32 = 10;

/// The rate of a worker whose answers are all failures, in thousandths.
const MAX_RATE: u32 = 1_000;

/// The share of failures among the answers of one worker, as an exponential moving average.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::failure::FailureRate;
///
/// let mut failures = FailureRate::default();
/// failures.record_failure();
/// assert_eq!(failures.thousandths(), 100);
/// failures.record_success();
/// assert_eq!(failures.thousandths(), 90);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FailureRate {
    thousandths: u32,
}

impl FailureRate {
    /// Records an answer that reports a failure.
    pub const fn record_failure(&mut self) {
        self.thousandths += (MAX_RATE - self.thousandths) / SMOOTHING_DIVISOR;
    }

    /// Records a successful answer.
    pub const fn record_success(&mut self) {
        self.thousandths -= self.thousandths.div_ceil(SMOOTHING_DIVISOR);
    }

    /// Returns the failure rate, in thousandths.
    #[must_use]
    pub const fn thousandths(self) -> u32 {
        self.thousandths
    }
}
