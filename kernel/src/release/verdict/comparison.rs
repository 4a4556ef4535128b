//! The statistical test of one measure.

use super::BadMeasure;
use super::VerdictCounts;
use super::sides::ComparedSides;
use crate::release::tally::VersionTally;

/// The bad answers beyond the baseline's share from which on a small difference counts too, and one from a
/// small baseline, so that a bad version is found soon after its 50th bad answer.
const MAX_EXCESS: f64 = 40.0;

/// The maximum number of workers left out at [`MAX_EXCESS`]. A quarter of many workers could hold all
/// bad answers of a version whose workers have had few requests each.
const MAX_LEFT_OUT_AT_EXCESS: usize = 8;

/// The number of the target's workers from which on the worst ones are left out.
const MIN_WORKERS: usize = 3;

/// The part of the target's workers, as a divisor, that is left out.
const LEFT_OUT_DIVISOR: usize = 4;

/// The number of the baseline's answers below which nothing is compared.
const MIN_BASELINE_ANSWERS: u64 = 8;

/// The number of the baseline's answers below which their times are not compared, since the quantile is
/// not known well enough.
const MIN_BASELINE_TIMES: u64 = 20;

/// The quantile of the baseline's times, in hundredths, that slow answers take more than twice of.
const SLOW_QUANTILE: u64 = 90;

/// The number of buckets from one to that of times twice as long.
const SLOW_BUCKETS: u8 = 2;

/// How much speaks against a target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Level {
    Sound,
    Doubtful,
    Bad,
}

/// What a test demands.
#[derive(Clone, Copy, Debug)]
struct TestBounds {
    /// The minimum number of bad answers of the target.
    bad: u64,
    /// The difference of the bad shares of target and baseline that must be exceeded.
    difference: f64,
    /// The z-score that must be exceeded.
    score: f64,
}

/// The bounds by which a target is bad.
const BAD_BOUNDS: TestBounds = TestBounds {
    bad: 8,
    difference: 0.05,
    score: 4.0,
};

/// The bounds by which a target is doubtful.
const DOUBT_BOUNDS: TestBounds = TestBounds {
    bad: 4,
    difference: 0.04,
    score: 3.0,
};

/// Bad answers out of all.
#[derive(Clone, Copy, Debug, Default)]
struct BadCount {
    bad: u64,
    all: u64,
}

impl BadCount {
    fn of(tally: &VersionTally, kind: CountedKind) -> Self {
        let slow = |limit| tally.times.count_from(limit);
        let (bad, all) = match kind {
            CountedKind::Failed => (tally.failures, tally.answers),
            CountedKind::Lost => (tally.lost, tally.answers + tally.lost),
            CountedKind::FailedOrLost => (tally.failures + tally.lost, tally.answers + tally.lost),
            CountedKind::Slow(limit) => (slow(limit), tally.times.count()),
            CountedKind::FailedOrSlow(limit) => (tally.failures + slow(limit), tally.answers),
        };
        Self { bad, all }
    }

    const fn plus(self, other: Self) -> Self {
        Self {
            bad: self.bad + other.bad,
            all: self.all + other.all,
        }
    }

    const fn minus(self, other: Self) -> Self {
        Self {
            bad: self.bad.saturating_sub(other.bad),
            all: self.all.saturating_sub(other.all),
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "a release has far fewer answers than 2^52"
    )]
    fn share(self) -> f64 {
        if self.all == 0 {
            return 0.0;
        }
        self.bad as f64 / self.all as f64
    }

    /// Returns the bad answers beyond those that a share of all explains.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a release has far fewer answers than 2^52"
    )]
    fn excess(self, share: f64) -> f64 {
        self.bad as f64 - self.all as f64 * share
    }

    /// Returns the z-score of the bad answers beyond those that the share of another count explains, by
    /// that share alone. One bad and one good answer are added to the other count, for one without bad
    /// answers.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a release has far fewer answers than 2^52"
    )]
    fn excess_score(self, other: Self) -> f64 {
        let share = (other.bad + 1) as f64 / (other.all + 2) as f64;
        let all = self.all as f64;
        let variance = share * (1.0 - share) * all * (1.0 + all / other.all as f64);
        self.excess(share) / variance.sqrt()
    }

    /// Returns the z-score of the difference from another count, by the share of both together.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a release has far fewer answers than 2^52"
    )]
    fn score(self, other: Self) -> f64 {
        let pooled = self.plus(other).share();
        let variance = pooled * (1.0 - pooled) * (1.0 / self.all as f64 + 1.0 / other.all as f64);
        if variance > 0.0 && variance.is_finite() {
            (self.share() - other.share()) / variance.sqrt()
        } else {
            0.0
        }
    }
}

/// What is counted as bad; slow answers are those from a bucket on.
#[derive(Clone, Copy, Debug)]
enum CountedKind {
    Failed,
    Lost,
    FailedOrLost,
    Slow(u8),
    FailedOrSlow(u8),
}

/// The counts of one measure on both sides.
#[derive(Clone, Debug)]
pub(super) struct Comparison {
    measure: BadMeasure,
    baseline: BadCount,
    target: BadCount,
    /// The counts of the target's workers.
    by_worker: Vec<BadCount>,
    /// The number of the target's workers, including those without answers in this scope.
    workers: usize,
}

impl Comparison {
    /// Returns the comparisons of all measures that apply.
    pub(super) fn all(sides: &ComparedSides<'_>, workers: usize) -> Vec<Self> {
        let build = |measure, kind| Self::new(sides, workers, measure, kind);
        let mut comparisons = vec![build(BadMeasure::Failed, CountedKind::Failed)];
        let lost = build(BadMeasure::FailedOrLost, CountedKind::Lost);
        if lost.level() == Level::Bad {
            comparisons.push(build(BadMeasure::FailedOrLost, CountedKind::FailedOrLost));
        }
        let times = &sides.baseline.times;
        if times.count() >= MIN_BASELINE_TIMES
            && let Some(bucket) = times.quantile_bucket(SLOW_QUANTILE)
        {
            let limit = bucket.saturating_add(SLOW_BUCKETS);
            comparisons.push(build(BadMeasure::Slow, CountedKind::Slow(limit)));
            let both = CountedKind::FailedOrSlow(limit);
            comparisons.push(build(BadMeasure::FailedOrSlow, both));
        }
        comparisons
    }

    fn new(
        sides: &ComparedSides<'_>,
        workers: usize,
        measure: BadMeasure,
        kind: CountedKind,
    ) -> Self {
        let by_worker = sides.target.values();
        let by_worker: Vec<BadCount> = by_worker.map(|tally| BadCount::of(tally, kind)).collect();
        let total = by_worker.iter().copied();
        Self {
            measure,
            baseline: BadCount::of(&sides.baseline, kind),
            target: total.fold(BadCount::default(), BadCount::plus),
            by_worker,
            workers,
        }
    }

    pub(super) fn level(&self) -> Level {
        if self.baseline.all < MIN_BASELINE_ANSWERS {
            return Level::Sound;
        }
        let has_excess = self.target.excess(self.baseline.share()) >= MAX_EXCESS;
        if self.holds(BAD_BOUNDS, has_excess) {
            Level::Bad
        } else if self.holds(DOUBT_BOUNDS, false) {
            Level::Doubtful
        } else {
            Level::Sound
        }
    }

    /// Returns whether the target exceeds the bounds, with and without its worst workers.
    fn holds(&self, bounds: TestBounds, has_excess: bool) -> bool {
        let exceeds = |count: BadCount| {
            if count.bad < bounds.bad {
                return false;
            }
            let difference = count.share() - self.baseline.share();
            let differs =
                difference > bounds.difference && count.score(self.baseline) > bounds.score;
            differs || (has_excess && count.excess_score(self.baseline) > bounds.score)
        };
        exceeds(self.target) && exceeds(self.without_worst(has_excess))
    }

    /// Returns the count without the workers that contribute most to the difference.
    fn without_worst(&self, has_excess: bool) -> BadCount {
        if self.workers < MIN_WORKERS {
            return self.target;
        }
        let mut left_out = (self.workers / LEFT_OUT_DIVISOR).max(1);
        if has_excess {
            left_out = left_out.min(MAX_LEFT_OUT_AT_EXCESS);
        }
        let share = self.baseline.share();
        let mut by_worker = self.by_worker.clone();
        by_worker.sort_by(|a, b| b.excess(share).total_cmp(&a.excess(share)));
        let worst = by_worker.into_iter().take(left_out);
        worst.fold(self.target, BadCount::minus)
    }

    /// Returns the counts, for the record.
    pub(super) fn counts(&self, route: Option<&str>, recent: bool) -> VerdictCounts {
        VerdictCounts {
            measure: self.measure,
            route: route.map(str::to_owned),
            recent,
            target_bad: self.target.bad,
            target_answers: self.target.all,
            baseline_bad: self.baseline.bad,
            baseline_answers: self.baseline.all,
        }
    }
}
