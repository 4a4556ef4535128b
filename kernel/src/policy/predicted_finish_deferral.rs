//! Predicted-finish policy that defers a request, within its slack, to a worker with a lower cost,
//! typically one that holds its prefix.

use std::time::Duration;

use super::CandidateScope;
use super::Choice;
use super::ChoiceReason;
use super::ChoiceView;
use super::PolicyEntry;
use super::WorkerCandidate;
use super::WorkerPolicy;

/// The share of the remaining time after which a predicted finish leaves too little slack, in
/// percent.
const TIGHT_FINISH_PERCENT: u32 = 60;

/// The weight of the prefill time that is added to the predicted finish, because prefill also
/// delays other requests.
const PREFILL_WEIGHT: u32 = 30;

/// The rank used for a worker that is not a home of the prefix.
const NON_HOME_RANK: u32 = 6;

/// The increase of the prefill weight with each home rank.
const RANK_WEIGHT: u32 = 5;

struct PredictedFinishDeferral;

impl WorkerPolicy for PredictedFinishDeferral {
    fn name(&self) -> &'static str {
        "predicted-finish-patient"
    }

    fn candidate_scope(&self) -> CandidateScope {
        CandidateScope::Related
    }

    fn choose(&self, view: &ChoiceView<'_>) -> Choice {
        let tight_after = view.remaining * TIGHT_FINISH_PERCENT / 100;
        let plans = view.candidates.iter().enumerate();
        let plans = plans.filter_map(|(candidate, worker)| WorkPlan::of(view, candidate, worker));
        let best = plans.min_by_key(|plan| {
            let late = plan.finish > view.remaining;
            let tight = plan.finish > tight_after;
            let cost = if tight { plan.finish } else { plan.cost };
            (late, tight, cost)
        });
        match best {
            Some(plan) if plan.waits => Choice::Wait {
                candidate: plan.candidate,
                max_deferral: tight_after.saturating_sub(plan.service_time),
            },
            Some(plan) => Choice::Worker {
                candidate: plan.candidate,
                reason: ChoiceReason::EarliestFinish {
                    finish: plan.finish,
                    cached_tokens: view.candidates[plan.candidate].cached_tokens,
                    open: view.open().count(),
                },
            },
            None => Choice::Wait {
                candidate: 0,
                max_deferral: Duration::ZERO,
            },
        }
    }
}

inventory::submit! {
    PolicyEntry { policy: &PredictedFinishDeferral }
}

/// Returns the weight of the prefill time at a candidate.
///
/// The weight is lower at the homes of the prefix, so that a prefix is recomputed on the same few
/// workers.
fn prefill_weight(worker: &WorkerCandidate) -> u32 {
    let rank = worker.home_rank.unwrap_or(NON_HOME_RANK);
    PREFILL_WEIGHT + rank * RANK_WEIGHT
}

/// The predicted times and the cost of a request on one worker.
#[derive(Clone, Copy, Debug)]
struct WorkPlan {
    candidate: usize,
    waits: bool,
    finish: Duration,
    /// The time that the request holds the slot.
    service_time: Duration,
    cost: Duration,
}

impl WorkPlan {
    /// Returns the plan for a candidate; `None` if it is not open and the request must not wait.
    fn of(view: &ChoiceView<'_>, candidate: usize, worker: &WorkerCandidate) -> Option<Self> {
        let waits = !worker.open || worker.computes_prefix();
        if waits && view.deferral_spent {
            return worker.open.then(|| Self::without_wait(candidate, worker));
        }
        if !waits {
            return Some(Self::without_wait(candidate, worker));
        }
        let prefill = worker.pending_prefill;
        let finish = worker.finish_after_pending() + worker.backlog;
        Some(Self {
            candidate,
            waits,
            finish,
            service_time: prefill + worker.decode,
            cost: finish + prefill * prefill_weight(worker),
        })
    }

    fn without_wait(candidate: usize, worker: &WorkerCandidate) -> Self {
        let finish = worker.finish();
        Self {
            candidate,
            waits: false,
            finish,
            service_time: worker.prefill + worker.decode,
            cost: finish + worker.prefill * prefill_weight(worker),
        }
    }
}
