//! The life of a request at its entry.

use std::time::Duration;

use borageladder_kernel::ask::Grant;
use borageladder_kernel::ask::RefusalReason;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::RequestId;

use crate::trace::TraceRequest;

/// The digest of the content that crashes workers.
const POISON_DIGEST: u64 = u64::MAX;

/// How far a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LifePhase {
    /// The entry waits for a grant or a refusal.
    Waiting,
    /// The request was dispatched.
    Running,
    /// The caller got its last word.
    Ended(LifeOutcome),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LifeOutcome {
    /// The whole answer arrived within the deadline.
    InTime,
    /// The deadline passed first.
    Late,
    /// The request was refused.
    Refused(RefusalReason),
    /// The connection broke, upstream or to the caller.
    Lost,
}

/// A request at its entry.
#[derive(Clone, Debug)]
pub(super) struct RequestLife {
    pub(super) id: RequestId,
    pub(super) host: usize,
    pub(super) request: TraceRequest,
    /// How often the request was sent before if it crashes workers, `None` if it does not.
    pub(super) poison: Option<u32>,
    pub(super) phase: LifePhase,
    /// Whether the broker has the ask and has not answered it.
    pub(super) at_broker: bool,
    pub(super) grant: Option<Grant>,
    pub(super) worker: Option<usize>,
    pub(super) dispatches: u32,
    pub(super) dispatched_at: ClockTime,
    pub(super) first_token_at: Option<ClockTime>,
    pub(super) computed_tokens: u32,
    pub(super) recomputed_tokens: u32,
}

impl RequestLife {
    pub(super) fn new(id: RequestId, host: usize, request: TraceRequest) -> Self {
        Self {
            id,
            host,
            request,
            poison: None,
            phase: LifePhase::Waiting,
            at_broker: false,
            grant: None,
            worker: None,
            dispatches: 0,
            dispatched_at: ClockTime::ZERO,
            first_token_at: None,
            computed_tokens: 0,
            recomputed_tokens: 0,
        }
    }

    pub(super) fn deadline(&self) -> ClockTime {
        self.request.at + self.request.budget
    }

    pub(super) fn remaining(&self, now: ClockTime) -> Duration {
        self.deadline().since(now)
    }

    /// Returns the digest of the request's content; the crashing request has one whenever it is sent.
    pub(super) fn digest(&self) -> u64 {
        if self.poison.is_some() {
            POISON_DIGEST
        } else {
            self.id.sequence
        }
    }

    pub(super) fn in_time(&self) -> bool {
        self.phase == LifePhase::Ended(LifeOutcome::InTime)
    }

    /// Returns the mean time between two tokens, had the answer ended now.
    pub(super) fn token_gap(&self, now: ClockTime) -> Duration {
        let first = self.first_token_at.unwrap_or(now);
        let gaps = self.request.answer_tokens.saturating_sub(1).max(1);
        now.since(first) / gaps
    }
}
