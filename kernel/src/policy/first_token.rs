//! The gateway's policy: declared slots, and workers that keep what the caller aims at.
//!
//! Callers of the gateway state when the first token is due, how long a pause may be and about how
//! long the answer will be. A slow worker is worth its slots as long as it keeps all three, so short
//! answers go there and long ones wait a little for a faster one. Workers that fail what they run come
//! last, and near ones go before far ones where the caller does not notice.

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

/// The name of the policy.
pub const FIRST_TOKEN_POLICY: &str = "first-token";

/// The time that a certain failure costs: more than any wait that is of use.
const FAULT_COST: Duration = Duration::from_secs(10);

/// The part of the time to generate an answer that counts, as a divisor: callers see only the pauses,
/// but the slot is taken from others.
const DECODE_DIVISOR: u32 = 5;

/// The time that another data centre of the region costs, for the bytes between them.
const REGION_COST: Duration = Duration::from_millis(30);

/// The time that another region costs, for the bytes between them.
const FAR_COST: Duration = Duration::from_millis(300);

/// The part of the time to the first token that a request waits for a fit worker, as a divisor.
const PATIENCE_DIVISOR: u32 = 2;

/// The longest wait as a part of the time until the first token is due, in percent: a later answer is
/// of little use, and takes the slot of one that would be in time.
const WAIT_PERCENT: u32 = 100;

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

    fn wait_percent(&self) -> Option<u32> {
        Some(WAIT_PERCENT)
    }

    fn spreads_returns(&self) -> bool {
        true
    }

    fn straggler_factor(&self) -> Option<u64> {
        None
    }

    fn suits_now(&self, view: &ChoiceView<'_>) -> bool {
        view.open().any(|open| misses(view, open.candidate) == 0)
    }

    fn choose(&self, view: &ChoiceView<'_>) -> Choice {
        let best = view.open().min_by_key(|open| {
            let candidate = open.candidate;
            (misses(view, candidate), cost(candidate))
        });
        let Some(best) = best else {
            return waiting(view, 0);
        };
        if misses(view, best.candidate) > 0
            && !view.patience_spent
            && let Some(position) = fit_later(view)
        {
            return waiting(view, position);
        }
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

/// Returns the worker without room that is predicted to keep all aims once it has room.
fn fit_later(view: &ChoiceView<'_>) -> Option<usize> {
    let candidates = view.candidates.iter().enumerate();
    let fit = candidates.filter(|(_, candidate)| !candidate.open && misses(view, candidate) == 0);
    let best = fit.min_by_key(|(_, candidate)| candidate.slot_wait + cost(candidate));
    best.map(|(position, _)| position)
}

fn waiting(view: &ChoiceView<'_>, candidate: usize) -> Choice {
    let aim = view.ask.target.unwrap_or(view.remaining);
    Choice::Wait {
        candidate,
        patience: aim.min(view.remaining) / PATIENCE_DIVISOR,
    }
}

/// Returns how many of the caller's aims the worker is predicted to miss.
fn misses(view: &ChoiceView<'_>, candidate: &WorkerCandidate) -> u8 {
    let first = candidate.slot_wait + first_token(candidate);
    let late = view.ask.target.is_some_and(|target| first > target);
    let halting = view.ask.pause.is_some_and(|pause| candidate.gap > pause);
    let cut = first + candidate.decode > view.remaining;
    u8::from(late) + u8::from(halting) + u8::from(cut)
}

fn first_token(candidate: &WorkerCandidate) -> Duration {
    candidate.backlog + candidate.prefill
}

/// Returns what a choice costs: the time that it takes, the failures that it risks and the way.
fn cost(candidate: &WorkerCandidate) -> Duration {
    let risk = FAULT_COST * candidate.faults / 1_000;
    let way = match candidate.distance {
        NetworkDistance::Datacenter => Duration::ZERO,
        NetworkDistance::Region => REGION_COST,
        NetworkDistance::BetweenRegions => FAR_COST,
    };
    first_token(candidate) + candidate.decode / DECODE_DIVISOR + risk + way
}
