//! The project's first policy: tiers, learned limits, and the worker that is predicted to finish first.

use std::time::Duration;

use super::CandidateScope;
use super::Choice;
use super::ChoiceReason;
use super::ChoiceView;
use super::OpenCandidate;
use super::PolicyEntry;
use super::WorkerCandidate;
use super::WorkerPolicy;

/// How often the prefill of uncached tokens counts, since it takes time from other requests too.
const PREFILL_WEIGHT: u32 = 3;

/// The factor on a predicted wait for a candidate that gives the patience, in percent.
const PATIENCE_PERCENT: u32 = 150;

struct PredictedFinish;

impl WorkerPolicy for PredictedFinish {
    fn name(&self) -> &'static str {
        "predicted-finish"
    }

    fn weighs(&self) -> CandidateScope {
        CandidateScope::Related
    }

    fn choose(&self, view: &ChoiceView<'_>) -> Choice {
        let Some(best) = best_open(view) else {
            return waiting_for(view, 0);
        };
        if !view.patience_spent
            && let Some(position) = better_by_waiting(view, &best)
        {
            return waiting_for(view, position);
        }
        let reason = ChoiceReason::Soonest {
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

/// Returns the open candidate with the lowest cost, those that finish in time before the others.
fn best_open<'a>(view: &'a ChoiceView<'_>) -> Option<OpenCandidate<'a>> {
    view.open().min_by_key(|open| {
        let late = open.candidate.finish() > view.remaining;
        (late, cost(open.candidate))
    })
}

/// Returns the candidate for which waiting in time costs least, if it costs less than `best` does.
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

/// Returns the cost of waiting for a slot or a prefix of a candidate, if it ends in time.
fn wait_cost(candidate: &WorkerCandidate, remaining: Duration) -> Option<Duration> {
    let (finish, prefill) = if candidate.computes_prefix() {
        (candidate.finish_after_pending(), candidate.pending_prefill)
    } else if candidate.open {
        return None;
    } else {
        (candidate.finish(), candidate.prefill)
    };
    let weight = prefill * (PREFILL_WEIGHT - 1);
    (finish <= remaining).then_some(finish + weight)
}

/// Returns the decision to wait for a candidate somewhat longer than predicted.
fn waiting_for(view: &ChoiceView<'_>, position: usize) -> Choice {
    let candidate = &view.candidates[position];
    let wait = candidate.slot_wait.max(candidate.pending_wait);
    Choice::Wait {
        candidate: position,
        patience: wait * PATIENCE_PERCENT / 100,
    }
}

fn cost(candidate: &WorkerCandidate) -> Duration {
    candidate.finish() + candidate.prefill * (PREFILL_WEIGHT - 1)
}
