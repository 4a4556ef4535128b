//! Baseline policy: the worker whose last load report shows the fewest requests.
//!
//! Load reports lag behind the actual load; a worker without a report counts as idle. Ties are
//! broken by rotating through the candidates.

use super::Choice;
use super::ChoiceReason;
use super::ChoiceView;
use super::PolicyEntry;
use super::WorkerCandidate;
use super::WorkerPolicy;
use crate::limit::LimitMode;
use crate::queue::QueueOrder;

struct LeastLoaded;

impl WorkerPolicy for LeastLoaded {
    fn name(&self) -> &'static str {
        "least-loaded"
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
        let count = view.candidates.len().max(1);
        let turn = usize::try_from(view.grants).unwrap_or(0) % count;
        let load = |candidate: &WorkerCandidate| {
            let load = candidate.load.unwrap_or_default();
            load.running + load.waiting
        };
        let after_turn = |position: usize| (position + count - turn) % count;
        let least = view
            .open()
            .min_by_key(|open| (load(open.candidate), after_turn(open.position)));
        let candidate = least.map_or(0, |open| open.position);
        let reason = ChoiceReason::LeastLoaded;
        Choice::Worker { candidate, reason }
    }
}

inventory::submit! {
    PolicyEntry { policy: &LeastLoaded }
}
