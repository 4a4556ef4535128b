//! The request and the candidate workers that a policy chooses from.

use std::time::Duration;

use crate::ask::Ask;
use crate::ask::LoadReport;
use crate::location::NetworkDistance;

/// A worker that serves the service and model of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerCandidate {
    /// A hash of the worker's name, equal on every host.
    pub identity: u64,
    /// The rank of the worker among the homes of the request's prefix, starting at zero; `None` if
    /// it is not one of the homes.
    pub home_rank: Option<u32>,
    /// Whether the request may be granted a slot of the worker now.
    pub open: bool,
    /// Whether the worker is a straggler, so that its next request serves as a probe.
    pub is_straggler: bool,
    /// The number of requests that hold a slot of the worker.
    pub running: u32,
    /// The number of requests that wait for a slot of this particular worker.
    pub queued: u32,
    /// The current concurrency limit of the worker, in requests; `u32::MAX` if the policy sets
    /// none.
    pub limit: u32,
    /// The last load report of the worker; `None` before the first one.
    pub load: Option<LoadReport>,
    /// The number of leading prompt tokens that the worker has cached.
    pub cached_tokens: u32,
    /// The number of leading prompt tokens that will be cached once running requests finish their
    /// prefill; equal to `cached_tokens` if no more of the prefix is being computed.
    pub pending_tokens: u32,
    /// The predicted time until the pending tokens are cached; zero if there are none.
    pub pending_wait: Duration,
    /// The predicted time until the worker has a free slot for the request; zero if it is open, an
    /// hour if it is suspended, leaving or removed.
    pub slot_wait: Duration,
    /// The predicted time to finish the prefills already in progress at the worker.
    pub backlog: Duration,
    /// The predicted time to prefill the tokens that are not cached.
    pub prefill: Duration,
    /// The predicted time to prefill the tokens that are neither cached nor pending.
    pub pending_prefill: Duration,
    /// The predicted time to generate an answer of the high estimate of its length.
    pub decode: Duration,
    /// The predicted token gap.
    pub token_gap: Duration,
    /// The smoothed share of failed answers of the worker, in thousandths.
    pub failure_rate: u32,
    /// The network distance between the worker and the entry that holds the request.
    pub distance: NetworkDistance,
}

impl WorkerCandidate {
    /// Returns the predicted time until the answer is complete without a wait for pending tokens.
    #[must_use]
    pub fn finish(&self) -> Duration {
        self.slot_wait + self.backlog + self.prefill + self.decode
    }

    /// Returns the predicted time until the answer is complete if the request first waits until the
    /// pending tokens are cached; the backlog is not added, since that wait covers it.
    #[must_use]
    pub fn finish_after_pending(&self) -> Duration {
        let wait = self.slot_wait.max(self.pending_wait);
        wait + self.pending_prefill + self.decode
    }

    /// Returns whether the worker is computing prefix tokens beyond those it has cached.
    #[must_use]
    pub const fn computes_prefix(&self) -> bool {
        self.pending_tokens > self.cached_tokens
    }
}

/// The input of a policy: a request and its candidate workers.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceView<'a> {
    /// The request.
    pub ask: &'a Ask,
    /// The time left until the deadline of the answer.
    pub remaining: Duration,
    /// Whether the request has used up its deferral and must not wait for a particular candidate
    /// again.
    pub deferral_spent: bool,
    /// The number of grants that the broker has issued so far.
    pub grants: u64,
    /// The number of workers of the cell that have the first block of the prompt cached; zero in
    /// views for [`super::WorkerPolicy::has_suitable_worker`].
    pub holders: usize,
    /// The workers to choose from, in an order that does not depend on the request.
    pub candidates: &'a [WorkerCandidate],
}

impl ChoiceView<'_> {
    /// Iterates over the open candidates and their positions in `candidates`.
    pub fn open(&self) -> impl Iterator<Item = OpenCandidate<'_>> {
        let with_position = |(position, candidate): (usize, _)| OpenCandidate {
            position,
            candidate,
        };
        self.candidates
            .iter()
            .enumerate()
            .map(with_position)
            .filter(|open| open.candidate.open)
    }
}

/// An open candidate and its position in the view.
#[derive(Clone, Copy, Debug)]
pub struct OpenCandidate<'a> {
    /// The position in [`ChoiceView::candidates`].
    pub position: usize,
    /// The candidate.
    pub candidate: &'a WorkerCandidate,
}
