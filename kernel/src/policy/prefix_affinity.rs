//! The project's policy: predicted finish, a home for each prefix, and patience with slack.
//!
//! A prompt whose prefix nobody has cached goes to the worker that comes first for that prefix by
//! rendezvous hashing, so that caches divide the prefixes among them. A request waits for the worker
//! that holds its prefix while its deadline allows it, and the more slack it has the less its wait
//! counts.

use std::time::Duration;

use super::CandidateScope;
use super::Choice;
use super::ChoiceReason;
use super::ChoiceView;
use super::OpenCandidate;
use super::PolicyEntry;
use super::WorkerCandidate;
use super::WorkerPolicy;
use crate::prefix::mixed;

/// How often the prefill of uncached tokens counts, since it takes time from other requests too.
const PREFILL_WEIGHT: u32 = 3;

/// What a request without a cached prefix pays for a worker that is one place further from home.
const PLACE_COST: Duration = Duration::from_secs(3);

/// The slack up to which a predicted wait counts in full; beyond it, it counts in proportion.
const FULL_WAIT_SLACK: Duration = Duration::from_secs(5);

/// The most of its slack that a request is predicted to wait for one worker, in percent.
const WAIT_PERCENT: u32 = 90;

/// The share of its slack for which a request stays patient, in percent.
const SLACK_PATIENCE_PERCENT: u32 = 50;

/// The factor on a predicted wait for which a request stays patient at least, in percent.
const WAIT_PATIENCE_PERCENT: u32 = 150;

struct PrefixAffinity;

impl WorkerPolicy for PrefixAffinity {
    fn name(&self) -> &'static str {
        "prefix-affinity"
    }

    fn weighs(&self) -> CandidateScope {
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
    /// Whether a worker has nothing to do, so that waiting for another one wastes its time.
    idle: bool,
}

impl<'a> AffinityChoice<'a> {
    fn new(view: &'a ChoiceView<'a>) -> Self {
        let idle = view.open().any(|open| open.candidate.running == 0);
        Self { view, idle }
    }

    fn choose(&self) -> Choice {
        let Some(best) = self.best_open() else {
            return self.waiting_for(0);
        };
        if !self.view.patience_spent
            && let Some(position) = self.better_by_waiting(&best)
        {
            return self.waiting_for(position);
        }
        let reason = ChoiceReason::Soonest {
            finish: best.candidate.finish(),
            cached_tokens: best.candidate.cached_tokens,
            open: self.view.open().count(),
        };
        Choice::Worker {
            candidate: best.position,
            reason,
        }
    }

    /// Returns the open candidate with the lowest cost, those that finish in time before the others.
    fn best_open(&self) -> Option<OpenCandidate<'a>> {
        let key = |open: &OpenCandidate<'_>| (self.late(open.candidate), self.cost(open.candidate));
        self.view.open().min_by_key(key)
    }

    /// Returns the candidate for which waiting in time costs least, if it costs less than `best`.
    fn better_by_waiting(&self, best: &OpenCandidate<'_>) -> Option<usize> {
        let bound = if self.late(best.candidate) {
            Duration::MAX
        } else {
            self.cost(best.candidate)
        };
        let candidates = self.view.candidates.iter().enumerate();
        candidates
            .filter_map(|(position, candidate)| Some((self.cost_later(candidate)?, position)))
            .filter(|(cost, _)| *cost < bound)
            .min()
            .map(|(_, position)| position)
    }

    fn late(&self, candidate: &WorkerCandidate) -> bool {
        candidate.finish() > self.view.remaining
    }

    /// Returns the cost of a candidate for a request that does not wait for a prefix.
    fn cost(&self, candidate: &WorkerCandidate) -> Duration {
        let wait = self.weighted_wait(candidate);
        let finish = wait + candidate.backlog + candidate.prefill + candidate.decode;
        let weight = candidate.prefill * (PREFILL_WEIGHT - 1);
        let distance = if candidate.cached_tokens > 0 {
            Duration::ZERO
        } else {
            self.home_distance(candidate)
        };
        finish + weight + distance
    }

    /// Returns the cost of waiting for a slot or a prefix of a candidate, if it ends in time.
    fn cost_later(&self, candidate: &WorkerCandidate) -> Option<Duration> {
        let most = self.slack(candidate) * WAIT_PERCENT / 100;
        if predicted_wait(candidate) > most {
            return None;
        }
        if candidate.computes_prefix() {
            let finish = candidate.finish_after_pending();
            let weight = candidate.pending_prefill * (PREFILL_WEIGHT - 1);
            (finish <= self.view.remaining).then_some(finish + weight)
        } else if candidate.open || self.late(candidate) {
            None
        } else {
            Some(self.cost(candidate))
        }
    }

    /// Returns the decision to wait for a candidate longer than predicted if there is slack.
    fn waiting_for(&self, position: usize) -> Choice {
        let candidate = &self.view.candidates[position];
        let slack = self.slack(candidate);
        let wait = predicted_wait(candidate) * WAIT_PATIENCE_PERCENT / 100;
        let patience = if self.idle {
            wait
        } else {
            wait.max(slack * SLACK_PATIENCE_PERCENT / 100)
        };
        Choice::Wait {
            candidate: position,
            patience: patience.min(slack * WAIT_PERCENT / 100),
        }
    }

    /// Returns the time that the request can wait if it runs on the candidate.
    fn slack(&self, candidate: &WorkerCandidate) -> Duration {
        let needed = candidate.prefill + candidate.decode;
        self.view.remaining.saturating_sub(needed)
    }

    /// Returns the wait for a slot, which counts less if the request has slack.
    fn weighted_wait(&self, candidate: &WorkerCandidate) -> Duration {
        let slack = self.slack(candidate);
        if self.idle || slack <= FULL_WAIT_SLACK {
            return candidate.slot_wait;
        }
        let share = FULL_WAIT_SLACK.as_secs_f64() / slack.as_secs_f64();
        candidate.slot_wait.mul_f64(share)
    }

    /// Returns the cost of a candidate's distance from the home of the prefix.
    ///
    /// The distance is the number of candidates that are expected to come before this one.
    fn home_distance(&self, candidate: &WorkerCandidate) -> Duration {
        let Some(digest) = self.view.ask.prefix.first() else {
            return Duration::ZERO;
        };
        let weight = mixed(candidate.identity ^ mixed(digest.0));
        let farthest = PLACE_COST.as_micros() * self.view.candidates.len() as u128;
        let distance = (farthest * u128::from(u64::MAX - weight)) >> u64::BITS;
        Duration::from_micros(u64::try_from(distance).unwrap_or(u64::MAX))
    }
}

/// Returns the time until the candidate has a slot and what it computes of the prefix is cached.
fn predicted_wait(candidate: &WorkerCandidate) -> Duration {
    if candidate.computes_prefix() {
        candidate.slot_wait.max(candidate.pending_wait)
    } else {
        candidate.slot_wait
    }
}
