//! Baseline policy: rendezvous hashing of the prompt prefix with bounded loads.

use super::Choice;
use super::ChoiceReason;
use super::ChoiceView;
use super::OpenCandidate;
use super::PolicyEntry;
use super::WorkerCandidate;
use super::WorkerPolicy;
use crate::limit::LimitMode;
use crate::prefix::mix_bits;
use crate::queue::QueueOrder;

/// The maximum load of a worker relative to the mean load, in percent; the mean counts the request
/// to be placed as well.
const LOAD_BOUND_PERCENT: u64 = 125;

struct PrefixHash;

impl WorkerPolicy for PrefixHash {
    fn name(&self) -> &'static str {
        "prefix-hash"
    }

    fn order(&self) -> QueueOrder {
        QueueOrder::Arrival
    }

    fn limits(&self) -> LimitMode {
        LimitMode::Unlimited
    }

    fn refuses_early(&self) -> bool {
        false
    }

    fn choose(&self, view: &ChoiceView<'_>) -> Choice {
        let key = view
            .ask
            .prefix
            .first()
            .map_or(view.grants, |digest| digest.0);
        let bound = load_bound(view.candidates);
        let below = |open: &OpenCandidate<'_>| open.candidate.running < bound;
        let weight = |open: &OpenCandidate<'_>| mix_bits(open.candidate.identity ^ mix_bits(key));
        let first = view.open().filter(below).max_by_key(weight);
        let candidate = first.map_or(0, |open| open.position);
        let reason = ChoiceReason::Hashed;
        Choice::Worker { candidate, reason }
    }
}

inventory::submit! {
    PolicyEntry { policy: &PrefixHash }
}

/// Returns the number of running requests at which a worker is no longer considered.
fn load_bound(candidates: &[WorkerCandidate]) -> u32 {
    let running: u64 = candidates
        .iter()
        .map(|candidate| u64::from(candidate.running))
        .sum();
    let count = u64::try_from(candidates.len()).unwrap_or(1).max(1);
    let bound = ((running + 1) * LOAD_BOUND_PERCENT).div_ceil(count * 100);
    u32::try_from(bound).unwrap_or(u32::MAX)
}
