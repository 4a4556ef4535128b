//! Baseline policy: round robin over the open workers, without concurrency limits.

use super::Choice;
use super::ChoiceReason;
use super::ChoiceView;
use super::PolicyEntry;
use super::WorkerPolicy;
use crate::limit::LimitMode;
use crate::queue::QueueOrder;

struct RoundRobin;

impl WorkerPolicy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
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
        let count = view.open().count().max(1);
        let turn = usize::try_from(view.grants).unwrap_or(0) % count;
        let candidate = view.open().nth(turn).map_or(0, |open| open.position);
        let reason = ChoiceReason::Turn;
        Choice::Worker { candidate, reason }
    }
}

inventory::submit! {
    PolicyEntry { policy: &RoundRobin }
}
