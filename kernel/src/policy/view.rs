//! What a policy sees when it chooses a worker.

use std::time::Duration;

use crate::ask::Ask;
use crate::ask::LoadReport;
use crate::location::NetworkDistance;

/// A worker that serves what the request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerCandidate {
    /// A number drawn from the name of the worker, the same on every host.
    pub identity: u64,
    /// The place of the worker among those that are to hold the request's prefix, the first being
    /// zero; `None` if it is not among them.
    pub home: Option<u32>,
    /// Whether the worker may get the request now.
    pub open: bool,
    /// Whether the worker is a straggler and waits for a request as a probe.
    pub probed: bool,
    /// The requests that hold a slot of the worker.
    pub running: u32,
    /// The requests that wait for a slot of just this worker.
    pub queued: u32,
    /// The most requests that the worker may run at once.
    pub limit: u32,
    /// The last load report of the worker.
    pub load: Option<LoadReport>,
    /// The leading prompt tokens that the worker has cached.
    pub cached_tokens: u32,
    /// The leading prompt tokens that will be cached when a running request has its first token;
    /// equal to `cached_tokens` if none is being computed.
    pub pending_tokens: u32,
    /// The time until the pending tokens are cached.
    pub pending_wait: Duration,
    /// The time until the worker has a free slot for the request; zero if it is open.
    pub slot_wait: Duration,
    /// The time that the worker needs for the prompts that it is already prefilling.
    pub backlog: Duration,
    /// The time to prefill the tokens that are not cached.
    pub prefill: Duration,
    /// The time to prefill the tokens that are neither cached nor pending.
    pub pending_prefill: Duration,
    /// The time to generate the answer.
    pub decode: Duration,
    /// The time between two tokens.
    pub gap: Duration,
    /// The rate at which the worker fails what it runs, in thousandths.
    pub faults: u32,
    /// How far the worker is from the entry that holds the request.
    pub distance: NetworkDistance,
}

impl WorkerCandidate {
    /// Returns the predicted time until the answer is whole if the request goes there as it stands.
    #[must_use]
    pub fn finish(&self) -> Duration {
        self.slot_wait + self.backlog + self.prefill + self.decode
    }

    /// Returns the predicted time until the answer is whole if the request first waits until the
    /// prefix that the worker is computing is cached.
    #[must_use]
    pub fn finish_after_pending(&self) -> Duration {
        let wait = self.slot_wait.max(self.pending_wait);
        wait + self.pending_prefill + self.decode
    }

    /// Returns whether the worker is computing a longer part of the prefix than it has cached.
    #[must_use]
    pub const fn computes_prefix(&self) -> bool {
        self.pending_tokens > self.cached_tokens
    }
}

/// A request and the workers that serve it.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceView<'a> {
    /// The request.
    pub ask: &'a Ask,
    /// The time left until the answer is due.
    pub remaining: Duration,
    /// Whether the request has used up its patience and must not wait for a candidate.
    pub patience_spent: bool,
    /// The number of grants that were issued so far.
    pub grants: u64,
    /// The workers of the cell that hold the first block of the prompt.
    pub holders: usize,
    /// The workers that the policy weighs; always the same order for the same workers.
    pub candidates: &'a [WorkerCandidate],
}

impl ChoiceView<'_> {
    /// Iterates over the candidates with room, with their positions.
    pub fn open(&self) -> impl Iterator<Item = OpenCandidate<'_>> {
        let open = |(position, candidate): (usize, _)| OpenCandidate {
            position,
            candidate,
        };
        self.candidates
            .iter()
            .enumerate()
            .map(open)
            .filter(|open| open.candidate.open)
    }
}

/// A candidate with room and its position in the view.
#[derive(Clone, Copy, Debug)]
pub struct OpenCandidate<'a> {
    /// The position in the view.
    pub position: usize,
    /// The candidate.
    pub candidate: &'a WorkerCandidate,
}
