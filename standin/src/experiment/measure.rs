//! The measures of an experiment.

use std::collections::BTreeMap;

use borageladder_kernel::ask::RefusalReason;
use serde::Serialize;

use super::ExperimentSpec;
use super::life::LifeOutcome;
use super::life::LifePhase;
use super::life::RequestLife;
use crate::trace::TIER_COUNT;

/// The goodput of one tier.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct TierMeasure {
    /// The requests offered.
    pub offered: u64,
    /// The requests whose whole answer arrived within the deadline.
    pub in_time: u64,
    /// The tokens of the answers that were wanted.
    pub offered_tokens: u64,
    /// The tokens of the answers that arrived whole and in time.
    pub in_time_tokens: u64,
}

impl TierMeasure {
    /// Returns the share of requests answered whole and in time; 1 if none was offered.
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

    /// Returns the goodput in answer tokens; 1 if none was offered.
    #[must_use]
    pub fn token_goodput(&self) -> f64 {
        share(self.in_time_tokens, self.offered_tokens, 1.0)
    }
}

/// The prompt tokens that engines computed, and those computed in vain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct PrefillMeasure {
    /// The tokens computed.
    pub computed: u64,
    /// The tokens computed for requests whose answer did not arrive whole and in time.
    pub unanswered: u64,
    /// The tokens computed again for the others although another live worker had them cached.
    pub recomputed: u64,
}

impl PrefillMeasure {
    /// Returns the wasted share; 0 if nothing was computed.
    #[must_use]
    pub fn wasted(&self) -> f64 {
        share(self.unanswered + self.recomputed, self.computed, 0.0)
    }

    /// Returns the share that was computed again; 0 if nothing was computed.
    #[must_use]
    pub fn recomputed_share(&self) -> f64 {
        share(self.recomputed, self.computed, 0.0)
    }
}

/// The requests refused for one reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct RefusalCount {
    /// The reason.
    pub reason: RefusalReason,
    /// The number of requests.
    pub requests: u64,
}

/// The result of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExperimentResult {
    /// What was run.
    pub spec: ExperimentSpec,
    /// The measures of the tiers, highest tier first.
    pub tiers: Vec<TierMeasure>,
    /// The prefill.
    pub prefill: PrefillMeasure,
    /// The refused requests by reason.
    pub refused: Vec<RefusalCount>,
    /// The requests whose deadline passed.
    pub late: u64,
    /// The requests whose connection broke.
    pub lost: u64,
    /// The workers that a request crashed.
    pub crashed_workers: u64,
    /// The requests that were dispatched more than once.
    pub dispatched_twice: u64,
    /// The refusals for capacity at which a lower tier waited.
    pub higher_tier_sheds: u64,
}

impl ExperimentResult {
    /// Returns the goodput in tokens over all tiers.
    #[must_use]
    pub fn token_goodput(&self) -> f64 {
        let sum = |tokens: fn(&TierMeasure) -> u64| self.tiers.iter().map(tokens).sum();
        let in_time = sum(|tier| tier.in_time_tokens);
        share(in_time, sum(|tier| tier.offered_tokens), 1.0)
    }
}

/// What is counted while an experiment runs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunCounts {
    pub(super) crashed_workers: u64,
    pub(super) higher_tier_sheds: u64,
}

/// Sums up the lives of all requests; the request that crashes workers is left out of goodput.
pub(super) fn measure(
    spec: ExperimentSpec,
    lives: &[RequestLife],
    counts: RunCounts,
) -> ExperimentResult {
    let mut result = ExperimentResult {
        spec,
        tiers: vec![TierMeasure::default(); TIER_COUNT],
        prefill: PrefillMeasure::default(),
        refused: refusals(lives),
        late: ended(lives, LifeOutcome::Late),
        lost: ended(lives, LifeOutcome::Lost),
        crashed_workers: counts.crashed_workers,
        dispatched_twice: count(lives, |life| life.dispatches > 1),
        higher_tier_sheds: counts.higher_tier_sheds,
    };
    for life in lives {
        add_prefill(&mut result.prefill, life);
        if life.poison.is_none() {
            add_goodput(&mut result.tiers, life);
        }
    }
    result
}

fn add_goodput(tiers: &mut [TierMeasure], life: &RequestLife) {
    let tier = &mut tiers[usize::from(life.request.tier.0)];
    let tokens = u64::from(life.request.answer_tokens);
    tier.offered += 1;
    tier.offered_tokens += tokens;
    if life.in_time() {
        tier.in_time += 1;
        tier.in_time_tokens += tokens;
    }
}

fn add_prefill(prefill: &mut PrefillMeasure, life: &RequestLife) {
    let computed = u64::from(life.computed_tokens);
    prefill.computed += computed;
    if life.in_time() {
        prefill.recomputed += u64::from(life.recomputed_tokens);
    } else {
        prefill.unanswered += computed;
    }
}

fn refusals(lives: &[RequestLife]) -> Vec<RefusalCount> {
    let mut counts: BTreeMap<RefusalReason, u64> = BTreeMap::new();
    for life in lives {
        if let LifePhase::Ended(LifeOutcome::Refused(reason)) = life.phase {
            *counts.entry(reason).or_default() += 1;
        }
    }
    let count = |(reason, requests)| RefusalCount { reason, requests };
    counts.into_iter().map(count).collect()
}

fn ended(lives: &[RequestLife], outcome: LifeOutcome) -> u64 {
    count(lives, |life| life.phase == LifePhase::Ended(outcome))
}

fn count(lives: &[RequestLife], holds: impl Fn(&RequestLife) -> bool) -> u64 {
    lives.iter().map(|life| u64::from(holds(life))).sum()
}

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
