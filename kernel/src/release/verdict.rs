//! The comparison of the target with the baseline.

use serde::Deserialize;
use serde::Serialize;

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
    /// The target may be bad, but there is not enough evidence.
    Doubtful,
    /// The target is worse than the baseline.
    Bad(VerdictCounts),
}
