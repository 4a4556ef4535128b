//! Default policy: predicted finish, a preferred worker for each prefix, and deferral within the
//! slack.
//!
//! A candidate that has none of the prompt's prefix cached costs more the later it ranks for that
//! prefix by rendezvous hashing, so that the prefixes are divided among the caches. A request is
//! deferred to a worker with a lower cost, typically one that holds its prefix, for at most a share
//! of its slack; the more slack it has, the less the wait adds to the cost.

use std::time::Duration;

use super::CandidateScope;
use super::Choice;
use super::ChoiceReason;
use super::ChoiceView;
use super::OpenCandidate;
use super::PolicyEntry;
use super::WorkerCandidate;
use super::WorkerPolicy;
use crate::prefix::mix_bits;

/// The weight of the prefill time of uncached tokens, because prefill also delays other requests;
/// one part of it is in the predicted finish.
const PREFILL_WEIGHT: u32 = 3;

/// The cost of each rank below the first by rendezvous hash, at a worker without a cached prefix.
const RANK_COST: Duration = Duration::from_secs(3);

/// The slack up to which the whole predicted wait is added to the cost of a worker. With more
/// slack, the wait is multiplied by this time divided by the slack.
const FULL_WAIT_SLACK: Duration = Duration::from_secs(5);

/// The largest share of its slack that a request may wait for one worker, in percent.
const MAX_WAIT_PERCENT: u32 = 90;

/// The minimum deferral relative to the slack if no open worker is idle, in percent.
const SLACK_DEFERRAL_PERCENT: u32 = 50;

/// The deferral relative to the predicted wait, in percent, before the slack raises or limits it.
const WAIT_DEFERRAL_PERCENT: u32 = 150;

struct PrefixAffinity;

impl WorkerPolicy for PrefixAffinity {
    fn name(&self) -> &'static str {
        "prefix-affinity"
    }

    fn candidate_scope(&self) -> CandidateScope {
        CandidateScope::Related
    }

    fn choose(&self, view: &ChoiceView<'_>) -> Choice {
        AffinityChoice::new(view).choose()
    }
}

inventory::submit! {
    PolicyEntry { policy: &PrefixAffinity }
}

/// The choice of a worker for one request.
struct AffinityChoice<'a> {
    view: &'a ChoiceView<'a>,
    /// Whether an open worker is idle, so that a deferral would waste its capacity.
    idle: bool,
}

impl<'a> AffinityChoice<'a> {
    fn new(view: &'a ChoiceView<'a>) -> Self {
        let idle = view.open().any(|open| open.candidate.running == 0);
        Self { view, idle }
    }

    fn choose(&self) -> Choice {
        let Some(best) = self.best_open() else {
            return self.deferred_to(0);
        };
        if !self.view.deferral_spent
            && let Some(position) = self.better_by_waiting(&best)
        {
            return self.deferred_to(position);
        }
        let reason = ChoiceReason::EarliestFinish {
            finish: best.candidate.finish(),
            cached_tokens: best.candidate.cached_tokens,
            open: self.view.open().count(),
        };
        Choice::Worker {
            candidate: best.position,
            reason,
        }
    }

    /// Returns the open candidate with the lowest cost, preferring those predicted to meet the
    /// deadline.
    fn best_open(&self) -> Option<OpenCandidate<'a>> {
        let key = |open: &OpenCandidate<'_>| (self.late(open.candidate), self.cost(open.candidate));
        self.view.open().min_by_key(key)
    }

    /// Returns the candidate that is cheapest to wait for within the deadline, if it is cheaper
    /// than `best` or `best` is predicted to be late.
    fn better_by_waiting(&self, best: &OpenCandidate<'_>) -> Option<usize> {
        let bound = if self.late(best.candidate) {
            Duration::MAX
        } else {
            self.cost(best.candidate)
        };
        let candidates = self.view.candidates.iter().enumerate();
        candidates
            .filter_map(|(position, candidate)| Some((self.deferred_cost(candidate)?, position)))
            .filter(|(cost, _)| *cost < bound)
            .min()
            .map(|(_, position)| position)
    }

    fn late(&self, candidate: &WorkerCandidate) -> bool {
        candidate.finish() > self.view.remaining
    }

    /// Returns the cost of a candidate for a request that does not wait for a pending prefix.
    fn cost(&self, candidate: &WorkerCandidate) -> Duration {
        let wait = self.weighted_wait(candidate);
        let finish = wait + candidate.backlog + candidate.prefill + candidate.decode;
        let prefill_cost = candidate.prefill * (PREFILL_WEIGHT - 1);
        let rank_cost = if candidate.cached_tokens > 0 {
            Duration::ZERO
        } else {
            self.rendezvous_cost(candidate)
        };
        finish + prefill_cost + rank_cost
    }

    /// Returns the cost of waiting for a slot or a pending prefix of a candidate.
    ///
    /// `None` if there is nothing to wait for, if the wait would take up too much of the slack, or
    /// if the request would miss its deadline.
    fn deferred_cost(&self, candidate: &WorkerCandidate) -> Option<Duration> {
        let max_wait = self.slack(candidate) * MAX_WAIT_PERCENT / 100;
        if predicted_wait(candidate) > max_wait {
            return None;
        }
        if candidate.computes_prefix() {
            let finish = candidate.finish_after_pending();
            let prefill_cost = candidate.pending_prefill * (PREFILL_WEIGHT - 1);
            (finish <= self.view.remaining).then_some(finish + prefill_cost)
        } else if candidate.open || self.late(candidate) {
            None
        } else {
            Some(self.cost(candidate))
        }
    }

    /// Returns a deferral to a candidate, with a margin over the predicted wait as far as the slack
    /// allows.
    fn deferred_to(&self, position: usize) -> Choice {
        let candidate = &self.view.candidates[position];
        let slack = self.slack(candidate);
        let wait = predicted_wait(candidate) * WAIT_DEFERRAL_PERCENT / 100;
        let deferral = if self.idle {
            wait
        } else {
            wait.max(slack * SLACK_DEFERRAL_PERCENT / 100)
        };
        Choice::Wait {
            candidate: position,
            max_deferral: deferral.min(slack * MAX_WAIT_PERCENT / 100),
        }
    }

    /// Returns how long the request can wait before the candidate could no longer meet the
    /// deadline, even without a backlog.
    fn slack(&self, candidate: &WorkerCandidate) -> Duration {
        let needed = candidate.prefill + candidate.decode;
        self.view.remaining.saturating_sub(needed)
    }

    /// Returns the predicted wait for a slot, scaled down if the request has much slack and no open
    /// worker is idle.
    fn weighted_wait(&self, candidate: &WorkerCandidate) -> Duration {
        let slack = self.slack(candidate);
        if self.idle || slack <= FULL_WAIT_SLACK {
            return candidate.slot_wait;
        }
        let share = FULL_WAIT_SLACK.as_secs_f64() / slack.as_secs_f64();
        candidate.slot_wait.mul_f64(share)
    }

    /// Returns the cost of a candidate's rank for the prefix by rendezvous hash; zero without a
    /// prefix.
    ///
    /// The rank is the expected number of candidates that precede this one.
    fn rendezvous_cost(&self, candidate: &WorkerCandidate) -> Duration {
        let Some(digest) = self.view.ask.prefix.first() else {
            return Duration::ZERO;
        };
        let weight = mix_bits(candidate.identity ^ mix_bits(digest.0));
        let highest = RANK_COST.as_micros() * self.view.candidates.len() as u128;
        let cost = (highest * u128::from(u64::MAX - weight)) >> u64::BITS;
        Duration::from_micros(u64::try_from(cost).unwrap_or(u64::MAX))
    }
}

/// Returns the time until the candidate has a free slot and its pending prefix is cached.
fn predicted_wait(candidate: &WorkerCandidate) -> Duration {
    if candidate.computes_prefix() {
        candidate.slot_wait.max(candidate.pending_wait)
    } else {
        candidate.slot_wait
    }
}
