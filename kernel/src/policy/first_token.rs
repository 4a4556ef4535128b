//! The gateway's policy: declared slots, and the worker with the soonest first token.
//!
//! Callers of the gateway state when the first token is due and how long a pause may be, so a slow
//! worker is worth its slots as long as it keeps both. Workers that fail what they run come last.

use std::time::Duration;

use super::CandidateScope;
use super::Choice;
use super::ChoiceReason;
use super::ChoiceView;
use super::PolicyEntry;
use super::WorkerCandidate;
use super::WorkerPolicy;
use crate::limit::LimitMode;

/// The name of the policy.
pub const FIRST_TOKEN_POLICY: &str = "first-token";

/// The time that a certain failure costs: more than any wait that is of use.
const FAULT_COST: Duration = Duration::from_secs(10);

struct FirstToken;

impl WorkerPolicy for FirstToken {
    fn name(&self) -> &'static str {
        FIRST_TOKEN_POLICY
    }

    fn limits(&self) -> LimitMode {
        LimitMode::Fixed(u32::MAX)
    }

    fn weighs(&self) -> CandidateScope {
        CandidateScope::All
    }

    fn straggler_factor(&self) -> Option<u64> {
        None
    }

    fn choose(&self, view: &ChoiceView<'_>) -> Choice {
        let best = view.open().min_by_key(|open| {
            let candidate = open.candidate;
            (misses(view, candidate), cost(candidate))
        });
        let Some(best) = best else {
            return Choice::Wait {
                candidate: 0,
                patience: view.remaining,
            };
        };
        Choice::Worker {
            candidate: best.position,
            reason: ChoiceReason::FirstToken {
                first: first_token(best.candidate),
            },
        }
    }
}

inventory::submit! {
    PolicyEntry { policy: &FirstToken }
}

/// Returns how many of the caller's aims the worker is predicted to miss.
fn misses(view: &ChoiceView<'_>, candidate: &WorkerCandidate) -> u8 {
    let first = view.ask.target.is_some_and(|target| first_token(candidate) > target);
    let pause = view.ask.pause.is_some_and(|pause| candidate.gap > pause);
    u8::from(first) + u8::from(pause)
}

fn first_token(candidate: &WorkerCandidate) -> Duration {
    candidate.backlog + candidate.prefill
}

/// Returns what a choice costs: the time that it takes and the failures that it risks.
fn cost(candidate: &WorkerCandidate) -> Duration {
    let risk = FAULT_COST * candidate.faults / 1_000;
    first_token(candidate) + candidate.decode + risk
}
