//! The measures of an experiment: goodput, wasted prefill and counts of outcomes.

use std::collections::BTreeMap;

use borageladder_kernel::ask::RefusalReason;
use serde::Serialize;

use super::ExperimentSpec;
use super::record::RequestOutcome;
use super::record::RequestPhase;
use super::record::RequestRecord;
use crate::trace::TIER_COUNT;

/// The goodput of one tier.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct TierMeasure {
    /// Number of requests offered.
    pub offered: u64,
    /// Number of requests whose complete answer arrived within the deadline.
    pub in_time: u64,
    /// Number of answer tokens of all offered requests.
    pub offered_tokens: u64,
    /// Number of answer tokens of the requests counted in `in_time`.
    pub in_time_tokens: u64,
}

impl TierMeasure {
    /// Returns the share of requests answered completely and in time; 1 if none was offered.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_standin::experiment::TierMeasure;
    ///
    /// let measure = TierMeasure { offered: 4, in_time: 3, ..TierMeasure::default() };
    /// assert_eq!(measure.goodput(), 0.75);
    /// ```
    #[must_use]
    pub fn goodput(&self) -> f64 {
        share(self.in_time, self.offered, 1.0)
    }

    /// Returns the share of answer tokens that belong to requests answered in time; 1 if none was
    /// offered.
    #[must_use]
    pub fn token_goodput(&self) -> f64 {
        share(self.in_time_tokens, self.offered_tokens, 1.0)
    }
}

/// Prompt tokens computed by the engines, and the wasted part of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct PrefillMeasure {
    /// Number of prompt tokens computed.
    pub computed: u64,
    /// Tokens computed for requests that were not answered completely and in time.
    pub unanswered: u64,
    /// Tokens computed for requests answered in time although another live worker had them cached.
    pub recomputed: u64,
}

impl PrefillMeasure {
    /// Returns the share of computed tokens that was wasted; 0 if nothing was computed.
    #[must_use]
    pub fn wasted(&self) -> f64 {
        share(self.unanswered + self.recomputed, self.computed, 0.0)
    }

    /// Returns the share of computed tokens that was recomputed; 0 if nothing was computed.
    #[must_use]
    pub fn recomputed_share(&self) -> f64 {
        share(self.recomputed, self.computed, 0.0)
    }
}

/// Number of requests refused for one reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct RefusalCount {
    /// Reason for the refusals.
    pub reason: RefusalReason,
    /// Number of requests refused.
    pub requests: u64,
}

/// The result of an experiment.
///
/// Crashing requests count in all fields but `tiers`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExperimentResult {
    /// Specification of the experiment.
    pub spec: ExperimentSpec,
    /// Goodput of each tier, highest tier first.
    pub tiers: Vec<TierMeasure>,
    /// Computed and wasted prompt tokens.
    pub prefill: PrefillMeasure,
    /// Number of refused requests by reason.
    pub refused: Vec<RefusalCount>,
    /// Number of requests whose deadline passed before they ended.
    pub late: u64,
    /// Number of requests lost with a worker or host.
    pub lost: u64,
    /// Number of worker crashes caused by the crashing request.
    pub crashed_workers: u64,
    /// Number of requests dispatched more than once.
    pub dispatched_twice: u64,
    /// Number of refusals for lack of capacity while a request of a lower tier waited.
    pub higher_tier_sheds: u64,
}

impl ExperimentResult {
    /// Returns the share of the answer tokens of all tiers that belong to requests answered in
    /// time; 1 if none was offered.
    #[must_use]
    pub fn token_goodput(&self) -> f64 {
        let sum = |tokens: fn(&TierMeasure) -> u64| self.tiers.iter().map(tokens).sum();
        let in_time = sum(|tier| tier.in_time_tokens);
        share(in_time, sum(|tier| tier.offered_tokens), 1.0)
    }
}

/// Counters that are updated while an experiment runs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunCounts {
    pub(super) crashed_workers: u64,
    pub(super) higher_tier_sheds: u64,
}

/// Summarises the records of all requests; crashing requests do not count towards goodput.
pub(super) fn measure(
    spec: ExperimentSpec,
    records: &[RequestRecord],
    counts: RunCounts,
) -> ExperimentResult {
    let mut result = ExperimentResult {
        spec,
        tiers: vec![TierMeasure::default(); TIER_COUNT],
        prefill: PrefillMeasure::default(),
        refused: refusals(records),
        late: ended(records, RequestOutcome::Late),
        lost: ended(records, RequestOutcome::Lost),
        crashed_workers: counts.crashed_workers,
        dispatched_twice: count(records, |record| record.dispatches > 1),
        higher_tier_sheds: counts.higher_tier_sheds,
    };
    for record in records {
        add_prefill(&mut result.prefill, record);
        if record.crashing_attempt.is_none() {
            add_goodput(&mut result.tiers, record);
        }
    }
    result
}

fn add_goodput(tiers: &mut [TierMeasure], record: &RequestRecord) {
    let tier = &mut tiers[usize::from(record.request.tier.0)];
    let tokens = u64::from(record.request.answer_tokens);
    tier.offered += 1;
    tier.offered_tokens += tokens;
    if record.in_time() {
        tier.in_time += 1;
        tier.in_time_tokens += tokens;
    }
}

fn add_prefill(prefill: &mut PrefillMeasure, record: &RequestRecord) {
    let computed = u64::from(record.computed_tokens);
    prefill.computed += computed;
    if record.in_time() {
        prefill.recomputed += u64::from(record.recomputed_tokens);
    } else {
        prefill.unanswered += computed;
    }
}

fn refusals(records: &[RequestRecord]) -> Vec<RefusalCount> {
    let mut counts: BTreeMap<RefusalReason, u64> = BTreeMap::new();
    for record in records {
        if let RequestPhase::Ended(RequestOutcome::Refused(reason)) = record.phase {
            *counts.entry(reason).or_default() += 1;
        }
    }
    let count = |(reason, requests)| RefusalCount { reason, requests };
    counts.into_iter().map(count).collect()
}

fn ended(records: &[RequestRecord], outcome: RequestOutcome) -> u64 {
    count(records, |record| {
        record.phase == RequestPhase::Ended(outcome)
    })
}

fn count(records: &[RequestRecord], predicate: impl Fn(&RequestRecord) -> bool) -> u64 {
    records
        .iter()
        .map(|record| u64::from(predicate(record)))
        .sum()
}

/// Returns `part` / `whole`, or `empty` if `whole` is 0.
fn share(part: u64, whole: u64, empty: f64) -> f64 {
    if whole == 0 {
        return empty;
    }
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of an experiment are far below 2^52"
    )]
    let share = part as f64 / whole as f64;
    share
}
