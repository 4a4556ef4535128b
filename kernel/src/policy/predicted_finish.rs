//! Policy with tiers and adaptive limits that chooses the worker with the lowest sum of predicted
//! finish and weighted prefill time, and defers a request to a worker that is worth the wait.

use std::time::Duration;

use super::CandidateScope;
use super::Choice;
use super::ChoiceReason;
use super::ChoiceView;
use super::OpenCandidate;
use super::PolicyEntry;
use super::WorkerCandidate;
use super::WorkerPolicy;

/// The weight of the prefill time of uncached tokens, because prefill also delays other requests;
/// one part of it is in the predicted finish.
const PREFILL_WEIGHT: u32 = 3;

/// The longest deferral relative to the predicted wait for the candidate, in percent.
const DEFERRAL_PERCENT: u32 = 150;

struct PredictedFinish;

impl WorkerPolicy for PredictedFinish {
    fn name(&self) -> &'static str {
        "predicted-finish"
    }

    fn candidate_scope(&self) -> CandidateScope {
        CandidateScope::Related
    }

    fn choose(&self, view: &ChoiceView<'_>) -> Choice {
        let Some(best) = best_open(view) else {
            return deferred_to(view, 0);
        };
        if !view.deferral_spent
            && let Some(position) = better_by_waiting(view, &best)
        {
            return deferred_to(view, position);
        }
        let reason = ChoiceReason::EarliestFinish {
            finish: best.candidate.finish(),
            cached_tokens: best.candidate.cached_tokens,
            open: view.open().count(),
        };
        Choice::Worker {
            candidate: best.position,
            reason,
        }
    }
}

inventory::submit! {
    PolicyEntry { policy: &PredictedFinish }
}

/// Returns the open candidate with the lowest cost, preferring those predicted to meet the
/// deadline.
fn best_open<'a>(view: &'a ChoiceView<'_>) -> Option<OpenCandidate<'a>> {
    view.open().min_by_key(|open| {
        let late = open.candidate.finish() > view.remaining;
        (late, cost(open.candidate))
    })
}

/// Returns the candidate that is cheapest to wait for within the deadline, if it is cheaper than
/// `best` or `best` is predicted to be late.
fn better_by_waiting(view: &ChoiceView<'_>, best: &OpenCandidate<'_>) -> Option<usize> {
    let late = best.candidate.finish() > view.remaining;
    let bound = if late {
        Duration::MAX
    } else {
        cost(best.candidate)
    };
    let candidates = view.candidates.iter().enumerate();
    candidates
        .filter_map(|(position, candidate)| Some((wait_cost(candidate, view.remaining)?, position)))
        .filter(|(cost, _)| *cost < bound)
        .min()
        .map(|(_, position)| position)
}

/// Returns the cost of waiting for a slot or a pending prefix of a candidate.
///
/// `None` if there is nothing to wait for or if the request would miss its deadline.
fn wait_cost(candidate: &WorkerCandidate, remaining: Duration) -> Option<Duration> {
    let (finish, prefill) = if candidate.computes_prefix() {
        (candidate.finish_after_pending(), candidate.pending_prefill)
    } else if candidate.open {
        return None;
    } else {
        (candidate.finish(), candidate.prefill)
    };
    let prefill_cost = prefill * (PREFILL_WEIGHT - 1);
    (finish <= remaining).then_some(finish + prefill_cost)
}

/// Returns a deferral to a candidate for at most [`DEFERRAL_PERCENT`] of the predicted wait.
fn deferred_to(view: &ChoiceView<'_>, position: usize) -> Choice {
    let candidate = &view.candidates[position];
    let wait = candidate.slot_wait.max(candidate.pending_wait);
    Choice::Wait {
        candidate: position,
        max_deferral: wait * DEFERRAL_PERCENT / 100,
    }
}

fn cost(candidate: &WorkerCandidate) -> Duration {
    candidate.finish() + candidate.prefill * (PREFILL_WEIGHT - 1)
}
