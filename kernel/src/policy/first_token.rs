//! The gateway's policy: as many requests on a worker as it has slots, and workers that meet the
//! caller's latency targets.
//!
//! Callers of the gateway state a target for the time to the first token, the longest token gap
//! and the approximate length of the answer. A slow worker is used for the requests whose
//! targets it is predicted to meet, typically short answers; other requests are deferred briefly
//! until a faster worker has a free slot. Among the workers that miss equally few targets, failures
//! and the network distance raise the cost of a worker.

use std::time::Duration;

use super::CandidateScope;
use super::Choice;
use super::ChoiceReason;
use super::ChoiceView;
use super::PolicyEntry;
use super::WorkerCandidate;
use super::WorkerPolicy;
use crate::limit::LimitMode;
use crate::location::NetworkDistance;

/// The name by which settings refer to this policy.
pub const FIRST_TOKEN_POLICY: &str = "first-token";

/// The cost of a worker that fails every request; longer than any useful wait.
const FAILURE_COST: Duration = Duration::from_secs(10);

/// The divisor of the decode time in the cost of a worker.
///
/// Callers notice only the token gaps, but a long decode keeps the slot from other requests.
const DECODE_DIVISOR: u32 = 5;

/// The cost of a worker in another data centre of the region, for the traffic between them.
const REGION_COST: Duration = Duration::from_millis(30);

/// The cost of a worker in another region or at an unknown location, for the traffic to it.
const BETWEEN_REGIONS_COST: Duration = Duration::from_millis(300);

/// The divisor that gives the longest deferral of a request, applied to its first-token target or,
/// if that is shorter or there is no target, to the time left until its deadline.
const DEFERRAL_DIVISOR: u32 = 2;

/// The longest wait for a slot as a share of the first-token target, in percent.
///
/// A later answer is of little use, and it takes the slot of a request that would be in time.
const MAX_WAIT_PERCENT: u32 = 100;

struct FirstToken;

impl WorkerPolicy for FirstToken {
    fn name(&self) -> &'static str {
        FIRST_TOKEN_POLICY
    }

    fn limits(&self) -> LimitMode {
        LimitMode::Fixed(u32::MAX)
    }

    fn candidate_scope(&self) -> CandidateScope {
        CandidateScope::All
    }

    fn max_wait_percent(&self) -> Option<u32> {
        Some(MAX_WAIT_PERCENT)
    }

    fn staggers_retries(&self) -> bool {
        true
    }

    fn straggler_factor(&self) -> Option<u64> {
        None
    }

    fn has_suitable_worker(&self, view: &ChoiceView<'_>) -> bool {
        view.open()
            .any(|open| missed_targets(view, open.candidate) == 0)
    }

    fn choose(&self, view: &ChoiceView<'_>) -> Choice {
        let best = view.open().min_by_key(|open| {
            let candidate = open.candidate;
            (missed_targets(view, candidate), cost(candidate))
        });
        let Some(best) = best else {
            return deferred(view, 0);
        };
        if missed_targets(view, best.candidate) > 0
            && !view.deferral_spent
            && let Some(position) = best_after_wait(view)
        {
            return deferred(view, position);
        }
        Choice::Worker {
            candidate: best.position,
            reason: ChoiceReason::FirstToken {
                first: time_to_first_token(best.candidate),
            },
        }
    }
}

inventory::submit! {
    PolicyEntry { policy: &FirstToken }
}

/// Returns the worker with the lowest sum of wait and cost among those that are not open but are
/// predicted to meet all targets.
fn best_after_wait(view: &ChoiceView<'_>) -> Option<usize> {
    let candidates = view.candidates.iter().enumerate();
    let suitable =
        candidates.filter(|(_, candidate)| !candidate.open && missed_targets(view, candidate) == 0);
    let best = suitable.min_by_key(|(_, candidate)| candidate.slot_wait + cost(candidate));
    best.map(|(position, _)| position)
}

fn deferred(view: &ChoiceView<'_>, candidate: usize) -> Choice {
    let target = view.ask.first_token_target.unwrap_or(view.remaining);
    Choice::Wait {
        candidate,
        max_deferral: target.min(view.remaining) / DEFERRAL_DIVISOR,
    }
}

/// Returns how many of the caller's targets the worker is predicted to miss.
///
/// The targets are those for the first token and the token gap, and the deadline of the whole
/// answer.
fn missed_targets(view: &ChoiceView<'_>, candidate: &WorkerCandidate) -> u8 {
    let first = candidate.slot_wait + time_to_first_token(candidate);
    let late = view
        .ask
        .first_token_target
        .is_some_and(|target| first > target);
    let slow = view
        .ask
        .token_gap_target
        .is_some_and(|target| candidate.token_gap > target);
    let past_deadline = first + candidate.decode > view.remaining;
    u8::from(late) + u8::from(slow) + u8::from(past_deadline)
}

/// Returns the predicted time from the grant of a slot to the first token.
fn time_to_first_token(candidate: &WorkerCandidate) -> Duration {
    candidate.backlog + candidate.prefill
}

/// Returns the cost of a worker: its time to the first token and a share of its decode time, plus
/// penalties for failures and distance.
fn cost(candidate: &WorkerCandidate) -> Duration {
    let risk = FAILURE_COST * candidate.failure_rate / 1_000;
    let distance = match candidate.distance {
        NetworkDistance::Datacenter => Duration::ZERO,
        NetworkDistance::Region => REGION_COST,
        NetworkDistance::BetweenRegions => BETWEEN_REGIONS_COST,
    };
    time_to_first_token(candidate) + candidate.decode / DECODE_DIVISOR + risk + distance
}
