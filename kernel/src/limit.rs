//! Concurrency limits of workers, adapted to observed latencies, load reports and failures.

use std::time::Duration;

use crate::ask::LoadReport;
use crate::clock::ClockTime;

/// The initial limit of a worker, in requests.
const INITIAL_LIMIT: u32 = 16;

/// The smallest limit, in requests.
const MIN_LIMIT: u32 = 1;

/// The minimum time from any decrease of a limit to the next one for overload.
const DECREASE_INTERVAL: Duration = Duration::from_secs(2);

/// The factor of a decrease for overload, in thousandths.
const DECREASE_FACTOR_THOUSANDTHS: u32 = 800;

/// The token gap above which a worker counts as overloaded, in percent of its lowest recent gap.
const GAP_TOLERANCE_PERCENT: u64 = 600;

/// The multiple of the expected time to the first token that is tolerated before a worker counts as
/// overloaded.
const FIRST_TOKEN_TOLERANCE_FACTOR: u32 = 3;

/// The time to the first token that never counts as a sign of overload; it is added to the
/// tolerated multiple of the expected time.
const FIRST_TOKEN_ALLOWANCE: Duration = Duration::from_millis(500);

/// The token gap of a finished answer, compared with the lowest recent gap of its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GapSignal {
    /// The number of slots in use at the worker when the end of the answer is processed.
    pub running: u32,
    /// The mean time between two tokens of the answer, in microseconds.
    pub gap_micros: u64,
    /// The lowest recent mean time between two tokens among the answers of the worker, in
    /// microseconds; it rises slowly while answers have longer gaps.
    pub lowest_gap_micros: u64,
}

/// How the concurrency limits of workers are determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitMode {
    /// The given number of requests for every worker, but at most its ceiling.
    Fixed(u32),
    /// A limit for each worker that adapts to observations.
    Adaptive,
    /// No limit, so that requests queue in the workers.
    Unlimited,
}

/// The concurrency limit of one worker, with additive increase and multiplicative decrease.
///
/// Observations change the limit only in [`LimitMode::Adaptive`].
///
/// # Examples
///
/// ```
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::limit::LimitMode;
/// use borageladder_kernel::limit::WorkerLimit;
///
/// let mut limit = WorkerLimit::new(LimitMode::Adaptive, 4);
/// assert_eq!(limit.slots(), 4);
/// limit.halve(ClockTime::ZERO);
/// assert_eq!(limit.slots(), 2);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct WorkerLimit {
    mode: LimitMode,
    ceiling: u32,
    /// The adaptive limit, in thousandths of a request.
    thousandths: u32,
    decreased_at: Option<ClockTime>,
}

impl WorkerLimit {
    /// Creates a limit of at most `ceiling` requests, unless the mode is unlimited; a ceiling of
    /// zero counts as one.
    #[must_use]
    pub fn new(mode: LimitMode, ceiling: u32) -> Self {
        Self {
            mode,
            ceiling: ceiling.max(MIN_LIMIT),
            thousandths: INITIAL_LIMIT.min(ceiling.max(MIN_LIMIT)) * 1_000,
            decreased_at: None,
        }
    }

    /// Returns the number of requests that the worker may run at once.
    #[must_use]
    pub fn slots(&self) -> u32 {
        match self.mode {
            LimitMode::Fixed(slots) => slots.min(self.ceiling),
            LimitMode::Adaptive => (self.thousandths / 1_000).clamp(MIN_LIMIT, self.ceiling),
            LimitMode::Unlimited => u32::MAX,
        }
    }

    /// Sets the upper bound of the limit, in requests; zero counts as one.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling.max(MIN_LIMIT);
        self.thousandths = self.thousandths.min(self.ceiling.saturating_mul(1_000));
    }

    /// Observes the token gap of a finished answer.
    ///
    /// A gap above the tolerance decreases the limit, unless it was decreased recently. For any
    /// other gap, if the worker is fully used, a limit of `n` requests grows by `1/n`, so that
    /// about `n` answers raise it by one request.
    pub fn observe_answer(&mut self, now: ClockTime, signal: GapSignal) {
        let tolerated = signal
            .lowest_gap_micros
            .saturating_mul(GAP_TOLERANCE_PERCENT)
            / 100;
        if signal.gap_micros > tolerated {
            self.decrease(now);
        } else if signal.running >= self.slots() {
            let raised = self.thousandths + 1_000_000 / self.thousandths.max(1);
            self.thousandths = raised.min(self.ceiling.saturating_mul(1_000));
        }
    }

    /// Observes the time to a first token and decreases the limit if it far exceeds the expected
    /// time.
    pub fn observe_first_token(&mut self, now: ClockTime, after: Duration, expected: Duration) {
        if after > FIRST_TOKEN_ALLOWANCE + expected * FIRST_TOKEN_TOLERANCE_FACTOR {
            self.decrease(now);
        }
    }

    /// Observes a load report and decreases the limit if requests wait inside the worker.
    ///
    /// Reports lag behind the actual load, so they never raise the limit.
    pub fn observe_load(&mut self, now: ClockTime, load: LoadReport) {
        if load.waiting > 0 {
            self.decrease(now);
        }
    }

    /// Halves the limit immediately, for example after a failure of the worker.
    pub fn halve(&mut self, now: ClockTime) {
        self.thousandths = (self.thousandths / 2).max(MIN_LIMIT * 1_000);
        self.decreased_at = Some(now);
    }

    fn decrease(&mut self, now: ClockTime) {
        let recent = self
            .decreased_at
            .is_some_and(|decreased_at| now.since(decreased_at) < DECREASE_INTERVAL);
        if recent {
            return;
        }
        self.decreased_at = Some(now);
        let lowered = self.thousandths / 1_000 * DECREASE_FACTOR_THOUSANDTHS
            + self.thousandths % 1_000 * DECREASE_FACTOR_THOUSANDTHS / 1_000;
        self.thousandths = lowered.max(MIN_LIMIT * 1_000);
    }
}
