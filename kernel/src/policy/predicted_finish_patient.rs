//! The project's second policy: a request waits, within its slack, for a worker that holds its prefix.

use std::time::Duration;

use super::CandidateScope;
use super::Choice;
use super::ChoiceReason;
use super::ChoiceView;
use super::PolicyEntry;
use super::WorkerCandidate;
use super::WorkerPolicy;

/// The part of the remaining time within which a predicted finish leaves slack, in percent.
const COMFORT_PERCENT: u32 = 60;

/// How often the prefill of uncached tokens counts, since it takes time from other requests too.
const PREFILL_WEIGHT: u32 = 30;

/// The rank of a worker that is no home of the prefix.
const HOME_RANKS: u32 = 6;

/// How often the prefill counts more with each rank of a home.
const RANK_WEIGHT: u32 = 5;

struct PredictedFinishPatient;

impl WorkerPolicy for PredictedFinishPatient {
    fn name(&self) -> &'static str {
        "predicted-finish-patient"
    }

    fn weighs(&self) -> CandidateScope {
        CandidateScope::Related
    }

    fn choose(&self, view: &ChoiceView<'_>) -> Choice {
        let comfort = view.remaining * COMFORT_PERCENT / 100;
        let plans = view.candidates.iter().enumerate();
        let plans = plans.filter_map(|(candidate, worker)| WorkPlan::of(view, candidate, worker));
        let best = plans.min_by_key(|plan| {
            let late = plan.finish > view.remaining;
            let tight = plan.finish > comfort;
            let cost = if tight { plan.finish } else { plan.cost };
            (late, tight, cost)
        });
        match best {
            Some(plan) if plan.waits => Choice::Wait {
                candidate: plan.candidate,
                patience: comfort.saturating_sub(plan.service),
            },
            Some(plan) => Choice::Worker {
                candidate: plan.candidate,
                reason: ChoiceReason::Soonest {
                    finish: plan.finish,
                    cached_tokens: view.candidates[plan.candidate].cached_tokens,
                    open: view.open().count(),
                },
            },
            None => Choice::Wait {
                candidate: 0,
                patience: Duration::ZERO,
            },
        }
    }
}

inventory::submit! {
    PolicyEntry { policy: &PredictedFinishPatient }
}

/// Returns how often the prefill at a candidate counts: less at the homes of the prefix, so that it
/// is computed again at the same few workers.
fn weight(worker: &WorkerCandidate) -> u32 {
    let rank = worker.home.unwrap_or(HOME_RANKS);
    PREFILL_WEIGHT + rank * RANK_WEIGHT
}

/// One way to serve a request.
#[derive(Clone, Copy, Debug)]
struct WorkPlan {
    candidate: usize,
    waits: bool,
    finish: Duration,
    service: Duration,
    cost: Duration,
}

impl WorkPlan {
    /// Returns the plan for a candidate, or `None` if it has no room and the request can't wait.
    fn of(view: &ChoiceView<'_>, candidate: usize, worker: &WorkerCandidate) -> Option<Self> {
        let waits = !worker.open || worker.computes_prefix();
        if waits && view.patience_spent {
            return worker.open.then(|| Self::now(candidate, worker));
        }
        if !waits {
            return Some(Self::now(candidate, worker));
        }
        let prefill = worker.pending_prefill;
        let finish = worker.finish_after_pending() + worker.backlog;
        Some(Self {
            candidate,
            waits,
            finish,
            service: prefill + worker.decode,
            cost: finish + prefill * weight(worker),
        })
    }

    fn now(candidate: usize, worker: &WorkerCandidate) -> Self {
        let finish = worker.finish();
        Self {
            candidate,
            waits: false,
            finish,
            service: worker.prefill + worker.decode,
            cost: finish + worker.prefill * weight(worker),
        }
    }
}
