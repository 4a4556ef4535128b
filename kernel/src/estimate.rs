//! Estimates of answer lengths and worker speeds, derived from the requests served so far.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::name::TierRank;
use crate::name::WorkspaceName;

/// The largest length that a histogram distinguishes, in tokens or milliseconds; longer ones count
/// as this length.
const MAX_LENGTH: u64 = 1 << 20;

/// The number of samples below which a histogram gives no estimate.
const MIN_SAMPLES: u64 = 8;

/// The number of samples at which all counts are halved, so that older samples lose weight.
const HALVING_SAMPLES: u64 = 1_024;

/// The answer length at which the token gap of an answer reaches its full weight, in tokens.
const FULL_GAP_WEIGHT_TOKENS: u32 = 100;

/// The sum of the weights of a new token gap and of the running average, in tokens.
const GAP_WEIGHT_SUM: u64 = 800;

/// The maximum number of workspaces with answer lengths of their own.
const MAX_WORKSPACES: usize = 1_024;

/// The quantile of the answer lengths that is used as the low estimate.
const LOW_QUANTILE: f64 = 0.6;

/// The factor by which the low and high estimates differ from a caller's hint.
const HINT_SPREAD: u32 = 2;

/// The quantile of the answer lengths that is used as the high estimate.
const HIGH_QUANTILE: f64 = 0.9;

/// The estimated length of an answer, in tokens for models and milliseconds for plain services.
///
/// Without a hint and before enough samples, the values are defaults. `low` is not always below
/// `typical`, since the mean of past lengths can be less than their quantile.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerEstimate {
    /// The length for optimistic predictions: a quantile of past lengths, or a fraction of a hint.
    pub low: u32,
    /// The mean of past lengths, or the hint of the caller.
    pub typical: u32,
    /// The length for cautious predictions: a quantile of past lengths, or a multiple of a hint.
    pub high: u32,
}

impl AnswerEstimate {
    /// Returns the estimate for a caller's hint, which is about the median length.
    #[must_use]
    pub const fn from_hint(hint: u32) -> Self {
        Self {
            low: hint / HINT_SPREAD,
            typical: hint,
            high: hint.saturating_mul(HINT_SPREAD),
        }
    }

    /// Returns the estimate with all lengths limited to `max_length`.
    #[must_use]
    pub fn capped(self, max_length: u32) -> Self {
        Self {
            low: self.low.min(max_length),
            typical: self.typical.min(max_length),
            high: self.high.min(max_length),
        }
    }
}

/// The recent answer lengths of a tier, or of a workspace in a tier, and the estimate from them.
#[derive(Clone, Debug)]
struct LengthHistogram {
    counts: Histogram<u16>,
    estimate: AnswerEstimate,
}

impl LengthHistogram {
    fn new() -> Option<Self> {
        let counts = Histogram::new_with_bounds(1, MAX_LENGTH, 1).ok()?;
        let estimate = AnswerEstimate {
            low: 0,
            typical: 0,
            high: 0,
        };
        Some(Self { counts, estimate })
    }

    fn record(&mut self, length: u32) {
        self.counts.saturating_record(u64::from(length.max(1)));
        if self.counts.len() >= HALVING_SAMPLES {
            self.halve();
        }
        let count = self.counts.len();
        // The computation visits all counts, so from 64 samples on it is done for every eighth
        // only.
        if count < 64 || count.is_multiple_of(8) {
            self.refresh();
        }
    }

    fn halve(&mut self) {
        let mut halved = self.counts.clone();
        halved.reset();
        for step in self.counts.iter_recorded() {
            let kept = step.count_at_value() / 2;
            halved.saturating_record_n(step.value_iterated_to(), kept);
        }
        self.counts = halved;
    }

    fn refresh(&mut self) {
        let mut weighted = 0;
        let mut count = 0;
        for step in self.counts.iter_recorded() {
            let here = u64::from(step.count_at_value());
            weighted += here * step.value_iterated_to();
            count += here;
        }
        let mean = weighted / count.max(1);
        let low = self.counts.value_at_quantile(LOW_QUANTILE);
        let high = self.counts.value_at_quantile(HIGH_QUANTILE);
        self.estimate = AnswerEstimate {
            low: u32::try_from(low).unwrap_or(u32::MAX),
            typical: u32::try_from(mean).unwrap_or(u32::MAX),
            high: u32::try_from(high).unwrap_or(u32::MAX),
        };
    }

    fn ready(&self) -> Option<AnswerEstimate> {
        (self.counts.len() >= MIN_SAMPLES).then_some(self.estimate)
    }
}

/// Answer lengths by workspace and tier, in tokens or, for plain services, milliseconds.
///
/// A workspace with too few samples gets the estimate of the tier, and a tier with too few samples
/// the default length.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::estimate::AnswerEstimator;
/// use borageladder_kernel::name::TierRank;
/// use borageladder_kernel::name::WorkspaceName;
///
/// # fn main() -> Result<(), borageladder_kernel::name::NameError> {
/// let mut estimator = AnswerEstimator::new(256);
/// let union = WorkspaceName::try_from("union")?;
/// assert_eq!(estimator.estimate(&union, TierRank(0)).typical, 256);
/// for _ in 0..20 {
///     estimator.record(&union, TierRank(0), 30);
/// }
/// assert!(estimator.estimate(&union, TierRank(0)).high <= 31);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct AnswerEstimator {
    default_length: u32,
    tiers: BTreeMap<TierRank, LengthHistogram>,
    workspaces: BTreeMap<WorkspaceName, BTreeMap<TierRank, LengthHistogram>>,
}

impl AnswerEstimator {
    /// Creates an estimator whose typical and high estimates are `default_length` for a tier
    /// without enough samples; the low estimate is then one.
    #[must_use]
    pub const fn new(default_length: u32) -> Self {
        Self {
            default_length,
            tiers: BTreeMap::new(),
            workspaces: BTreeMap::new(),
        }
    }

    /// Records the length of a complete answer.
    pub fn record(&mut self, workspace: &WorkspaceName, tier: TierRank, length: u32) {
        record_in(&mut self.tiers, tier, length);
        if let Some(tiers) = self.workspaces.get_mut(workspace) {
            record_in(tiers, tier, length);
        } else if self.workspaces.len() < MAX_WORKSPACES {
            let tiers = self.workspaces.entry(workspace.clone()).or_default();
            record_in(tiers, tier, length);
        }
    }

    /// Returns the estimate for a workspace and tier.
    #[must_use]
    pub fn estimate(&self, workspace: &WorkspaceName, tier: TierRank) -> AnswerEstimate {
        let own = self
            .workspaces
            .get(workspace)
            .and_then(|tiers| tiers.get(&tier))
            .and_then(LengthHistogram::ready);
        let common = || self.tiers.get(&tier).and_then(LengthHistogram::ready);
        own.or_else(common).unwrap_or(AnswerEstimate {
            low: 1,
            typical: self.default_length,
            high: self.default_length,
        })
    }
}

fn record_in(tiers: &mut BTreeMap<TierRank, LengthHistogram>, tier: TierRank, length: u32) {
    if let Entry::Vacant(vacant) = tiers.entry(tier) {
        let Some(histogram) = LengthHistogram::new() else {
            return;
        };
        vacant.insert(histogram);
    }
    if let Some(histogram) = tiers.get_mut(&tier) {
        histogram.record(length);
    }
}

/// The speed of a worker, or the median or highest speed of those that serve a model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerSpeed {
    /// The time to prefill one prompt token, in nanoseconds.
    pub prefill_nanos: u64,
    /// The token gap, in microseconds.
    pub gap_micros: u64,
}

impl Default for WorkerSpeed {
    fn default() -> Self {
        Self {
            prefill_nanos: 200_000,
            gap_micros: 25_000,
        }
    }
}

impl WorkerSpeed {
    /// Returns the time to prefill `tokens` prompt tokens.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use borageladder_kernel::estimate::WorkerSpeed;
    ///
    /// let speed = WorkerSpeed { prefill_nanos: 100_000, gap_micros: 20_000 };
    /// assert_eq!(speed.prefill(1_000), Duration::from_millis(100));
    /// assert_eq!(speed.decode(10), Duration::from_millis(200));
    /// ```
    #[must_use]
    pub const fn prefill(&self, tokens: u32) -> Duration {
        Duration::from_nanos(self.prefill_nanos.saturating_mul(tokens as u64))
    }

    /// Returns the time to generate `tokens` answer tokens.
    #[must_use]
    pub const fn decode(&self, tokens: u32) -> Duration {
        Duration::from_micros(self.gap_micros.saturating_mul(tokens as u64))
    }
}

/// The speed of one worker, estimated from its times to first tokens and its token gaps.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedEstimate {
    prefill_nanos: Option<u64>,
    gap_micros: Option<u64>,
    lowest_gap_micros: Option<u64>,
}

impl SpeedEstimate {
    /// Returns the estimated speed; values without a sample are taken from `typical`.
    #[must_use]
    pub fn speed(&self, typical: WorkerSpeed) -> WorkerSpeed {
        WorkerSpeed {
            prefill_nanos: self.prefill_nanos.unwrap_or(typical.prefill_nanos),
            gap_micros: self.gap_micros.unwrap_or(typical.gap_micros),
        }
    }

    /// Returns the estimated token gap in microseconds; `None` before the first sample.
    #[must_use]
    pub const fn gap_micros(&self) -> Option<u64> {
        self.gap_micros
    }

    /// Returns the estimated prefill time of one token in nanoseconds; `None` before the first
    /// sample.
    #[must_use]
    pub const fn prefill_nanos(&self) -> Option<u64> {
        self.prefill_nanos
    }

    /// Returns the lowest recent token gap in microseconds; `None` before the first sample.
    #[must_use]
    pub const fn lowest_gap_micros(&self) -> Option<u64> {
        self.lowest_gap_micros
    }

    /// Records that the first token came `after` the dispatch of a prompt with `tokens` uncached
    /// tokens.
    pub fn record_prefill(&mut self, tokens: u32, after: Duration) {
        let nanos = u64::try_from(after.as_nanos()).unwrap_or(u64::MAX);
        let sample = nanos / u64::from(tokens.max(1));
        self.prefill_nanos = Some(smoothed(self.prefill_nanos, sample));
    }

    /// Records the mean token gap of an answer of `tokens` tokens.
    ///
    /// Short answers have less weight, because a single prefill running at the same time distorts
    /// their mean. The lowest gap rises by 1/256 with each sample, so that it follows a worker that
    /// became slower.
    pub fn record_gap(&mut self, tokens: u32, gap: Duration) {
        let sample = u64::try_from(gap.as_micros()).unwrap_or(u64::MAX).max(1);
        let weight = u64::from(tokens.min(FULL_GAP_WEIGHT_TOKENS));
        let average = self.gap_micros.map_or(sample, |old| {
            let kept = old.saturating_mul(GAP_WEIGHT_SUM - weight);
            kept.saturating_add(sample.saturating_mul(weight)) / GAP_WEIGHT_SUM
        });
        self.gap_micros = Some(average);
        let lowest = self.lowest_gap_micros.map_or(sample, |lowest| {
            let raised = lowest + lowest / 256;
            raised.min(sample)
        });
        self.lowest_gap_micros = Some(lowest);
    }

    /// Replaces the estimated token gap by `gap`, for example after a probe.
    pub fn reset_gap(&mut self, gap: Duration) {
        self.gap_micros = None;
        self.record_gap(FULL_GAP_WEIGHT_TOKENS, gap);
    }
}

fn smoothed(old: Option<u64>, sample: u64) -> u64 {
    old.map_or(sample, |old| old - old / 8 + sample / 8)
}
