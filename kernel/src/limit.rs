//! The number of requests that a worker may run at once, learned from how it answers.

use std::time::Duration;

use crate::ask::LoadReport;
use crate::clock::ClockTime;

/// The limit with which a worker starts, in requests.
const FIRST_LIMIT: u32 = 16;

/// The lowest limit, in requests.
const LOWEST_LIMIT: u32 = 1;

/// The time during which a limit is cut at most once.
const CUT_INTERVAL: Duration = Duration::from_secs(2);

/// The factor of a cut, in thousandths.
const CUT_FACTOR: u32 = 800;

/// The factor over the lowest token gap from which on a worker counts as overloaded, in percent.
const GAP_TOLERANCE: u64 = 600;

/// The factor over the expected first-token time from which on a worker counts as overloaded.
const FIRST_TOKEN_TOLERANCE: u32 = 3;

/// The first-token time that is never taken as a sign of overload.
const FIRST_TOKEN_FLOOR: Duration = Duration::from_millis(500);

/// The token gaps of one finished answer beside what the worker can do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GapSignal {
    /// The requests that ran at the worker, the finished one included.
    pub running: u32,
    /// The mean time between two tokens of the answer, in microseconds.
    pub gap_micros: u64,
    /// The lowest time between two tokens that the worker showed lately, in microseconds.
    pub lowest_gap_micros: u64,
}

/// How the limits of a policy come about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitMode {
    /// The same number for every worker.
    Fixed(u32),
    /// Learned for each worker.
    Learned,
    /// None: what waits, waits in the workers.
    Unlimited,
}

/// The limit of one worker: additive increase, multiplicative decrease.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::limit::LimitMode;
/// use borageladder_kernel::limit::WorkerLimit;
///
/// let mut limit = WorkerLimit::new(LimitMode::Learned, 4);
/// assert_eq!(limit.slots(), 4);
/// limit.failed(ClockTime::ZERO);
/// assert_eq!(limit.slots(), 2);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct WorkerLimit {
    mode: LimitMode,
    ceiling: u32,
    thousandths: u32,
    cut_at: Option<ClockTime>,
}

impl WorkerLimit {
    /// Creates a limit that never exceeds `ceiling`, unless the mode is unlimited.
    #[must_use]
    pub fn new(mode: LimitMode, ceiling: u32) -> Self {
        Self {
            mode,
            ceiling: ceiling.max(LOWEST_LIMIT),
            thousandths: FIRST_LIMIT.min(ceiling.max(LOWEST_LIMIT)) * 1_000,
            cut_at: None,
        }
    }

    /// Returns the number of requests that may run at once.
    #[must_use]
    pub fn slots(&self) -> u32 {
        match self.mode {
            LimitMode::Fixed(slots) => slots.min(self.ceiling),
            LimitMode::Learned => (self.thousandths / 1_000).clamp(LOWEST_LIMIT, self.ceiling),
            LimitMode::Unlimited => u32::MAX,
        }
    }

    /// Sets the most requests that the operators allow.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling.max(LOWEST_LIMIT);
        self.thousandths = self.thousandths.min(self.ceiling.saturating_mul(1_000));
    }

    /// Learns from a finished answer: raises the limit by one for a limit's worth of good answers.
    pub fn finished(&mut self, now: ClockTime, signal: GapSignal) {
        let tolerated = signal.lowest_gap_micros.saturating_mul(GAP_TOLERANCE) / 100;
        if signal.gap_micros > tolerated {
            self.cut(now);
        } else if signal.running >= self.slots() {
            let raised = self.thousandths + 1_000_000 / self.thousandths.max(1);
            self.thousandths = raised.min(self.ceiling.saturating_mul(1_000));
        }
    }

    /// Learns from the time to a first token beside the time that was expected.
    pub fn first_token(&mut self, now: ClockTime, after: Duration, expected: Duration) {
        if after > FIRST_TOKEN_FLOOR + expected * FIRST_TOKEN_TOLERANCE {
            self.cut(now);
        }
    }

    /// Learns from a late load report, which only lowers the limit.
    pub fn load_reported(&mut self, now: ClockTime, load: LoadReport) {
        if load.waiting > 0 {
            self.cut(now);
        }
    }

    /// Halves the limit after a failure of the worker.
    pub fn failed(&mut self, now: ClockTime) {
        self.thousandths = (self.thousandths / 2).max(LOWEST_LIMIT * 1_000);
        self.cut_at = Some(now);
    }

    fn cut(&mut self, now: ClockTime) {
        let recent = self
            .cut_at
            .is_some_and(|cut_at| now.since(cut_at) < CUT_INTERVAL);
        if recent {
            return;
        }
        self.cut_at = Some(now);
        let lowered =
            self.thousandths / 1_000 * CUT_FACTOR + self.thousandths % 1_000 * CUT_FACTOR / 1_000;
        self.thousandths = lowered.max(LOWEST_LIMIT * 1_000);
    }
}
