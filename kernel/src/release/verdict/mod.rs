//! The comparison of the target with the baseline.
//!
//! Both sides are compared in the same span of time and on the same route, so faults from which both
//! suffer count for neither. The answers of a few workers of the target alone give no verdict, since
//! workers of a good version can fail too.

mod comparison;
mod sides;

use serde::Deserialize;
use serde::Serialize;

use super::evidence::ReleaseEvidence;

use comparison::Comparison;
use comparison::Level;
use sides::RouteSides;

/// What of the answers of a target is bad.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum BadMeasure {
    /// Failures.
    Failed,
    /// Failures and lost answers.
    FailedOrLost,
    /// Answers that are much slower than those of the baseline.
    Slow,
    /// Failures and slow answers.
    FailedOrSlow,
}

/// The counts by which a target was found to be bad.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VerdictCounts {
    /// What is bad.
    pub measure: BadMeasure,
    /// The route; `None` if the answers of all routes were compared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// Whether only the answers of the last seconds were compared.
    pub recent: bool,
    /// The bad answers of the target.
    pub target_bad: u64,
    /// All answers of the target.
    pub target_answers: u64,
    /// The bad answers of the baseline.
    pub baseline_bad: u64,
    /// All answers of the baseline.
    pub baseline_answers: u64,
}

/// What the evidence says of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReleaseVerdict {
    /// Nothing speaks against the target.
    Sound,
    /// The target may be bad, but there is not enough evidence to revert at once.
    Doubtful,
    /// The target is worse than the baseline.
    Bad(VerdictCounts),
}

impl ReleaseVerdict {
    /// Judges the target by all evidence and by that since `earlier`, which is the evidence as it was
    /// some seconds before.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use borageladder_kernel::release::ReleaseEvidence;
    /// use borageladder_kernel::release::ReleaseOrder;
    /// use borageladder_kernel::release::ReleaseVerdict;
    /// use borageladder_kernel::release::TallyKey;
    /// use borageladder_kernel::release::VersionSide;
    /// use borageladder_kernel::roster::StoreRevision;
    ///
    /// let mut evidence = ReleaseEvidence::new(ReleaseOrder {
    ///     service: "drafter".parse()?,
    ///     revision: StoreRevision(7),
    ///     target: "v2".parse()?,
    ///     duration: Duration::from_secs(12),
    /// });
    /// let key = |side| TallyKey { route: "letters.example/".to_owned(), side, worker: None };
    /// for _ in 0..100 {
    ///     let baseline = evidence.tally(key(VersionSide::Baseline));
    ///     baseline.record_answer(Duration::from_millis(20));
    /// }
    /// assert_eq!(ReleaseVerdict::judge(&evidence, None), ReleaseVerdict::Sound);
    /// for _ in 0..10 {
    ///     evidence.tally(key(VersionSide::Target)).record_failure();
    /// }
    /// let verdict = ReleaseVerdict::judge(&evidence, None);
    /// assert!(matches!(verdict, ReleaseVerdict::Bad(_)));
    /// # Ok::<(), borageladder_kernel::name::NameError>(())
    /// ```
    #[must_use]
    pub fn judge(evidence: &ReleaseEvidence, earlier: Option<&ReleaseEvidence>) -> Self {
        let whole = RouteSides::of(evidence);
        let workers = whole.target_workers();
        let verdict = judge_span(&whole, workers, false);
        let Some(earlier) = earlier else {
            return verdict;
        };
        if matches!(verdict, Self::Bad(_)) {
            return verdict;
        }
        let recent = evidence.since(earlier);
        verdict.or(judge_span(&RouteSides::of(&recent), workers, true))
    }

    /// Returns the worse of two verdicts.
    fn or(self, other: Self) -> Self {
        match (&self, &other) {
            (Self::Bad(_), _) | (_, Self::Sound) => self,
            _ => other,
        }
    }
}

/// Judges the target by each route and by all together.
fn judge_span(routes: &RouteSides<'_>, workers: usize, recent: bool) -> ReleaseVerdict {
    let mut verdict = ReleaseVerdict::Sound;
    for (route, sides) in routes.scopes() {
        for comparison in Comparison::all(sides, workers) {
            let judged = match comparison.level() {
                Level::Sound => ReleaseVerdict::Sound,
                Level::Doubtful => ReleaseVerdict::Doubtful,
                Level::Bad => ReleaseVerdict::Bad(comparison.counts(route, recent)),
            };
            verdict = verdict.or(judged);
        }
    }
    verdict
}
