//! Baseline policy: first come, first served without tiers, on the worker with the fewest requests.

use super::Choice;
use super::ChoiceReason;
use super::ChoiceView;
use super::PolicyEntry;
use super::WorkerPolicy;
use crate::limit::LimitMode;
use crate::queue::QueueOrder;

/// The concurrency limit of every worker whose own maximum is not lower, in requests.
const SLOTS: u32 = 16;

struct ArrivalOrder;

impl WorkerPolicy for ArrivalOrder {
    fn name(&self) -> &'static str {
        "arrival-order"
    }

    fn order(&self) -> QueueOrder {
        QueueOrder::Arrival
    }

    fn limits(&self) -> LimitMode {
        LimitMode::Fixed(SLOTS)
    }

    fn refuses_early(&self) -> bool {
        false
    }

    fn choose(&self, view: &ChoiceView<'_>) -> Choice {
        let least = view.open().min_by_key(|open| open.candidate.running);
        let candidate = least.map_or(0, |open| open.position);
        let reason = ChoiceReason::LeastLoaded;
        Choice::Worker { candidate, reason }
    }
}

inventory::submit! {
    PolicyEntry { policy: &ArrivalOrder }
}
