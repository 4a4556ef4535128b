//! The state of a request at its entry.

use std::time::Duration;

use borageladder_kernel::ask::Grant;
use borageladder_kernel::ask::RefusalReason;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::RequestId;

use crate::trace::TraceRequest;

/// Content digest of the crashing request.
const CRASHING_REQUEST_DIGEST: u64 = u64::MAX;

/// Progress of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestPhase {
    /// The entry waits for a grant or a refusal of its ask.
    Waiting,
    /// The request was dispatched to a worker and has not ended.
    Running,
    /// The request ended.
    Ended(RequestOutcome),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestOutcome {
    /// The complete answer arrived within the deadline.
    InTime,
    /// The deadline passed before the complete answer arrived.
    Late,
    /// The request was refused for the given reason.
    Refused(RefusalReason),
    /// The worker or the host failed, so the connection was lost.
    Lost,
}

/// A request and its state at the entry of its host.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    pub(super) id: RequestId,
    pub(super) host: usize,
    pub(super) request: TraceRequest,
    /// Number of earlier sends of a crashing request, `None` for an ordinary request.
    pub(super) crashing_attempt: Option<u32>,
    pub(super) phase: RequestPhase,
    /// Whether the ask is pending at the broker.
    pub(super) waiting_at_broker: bool,
    pub(super) grant: Option<Grant>,
    pub(super) worker: Option<usize>,
    pub(super) dispatches: u32,
    pub(super) dispatched_at: ClockTime,
    pub(super) first_token_at: Option<ClockTime>,
    pub(super) computed_tokens: u32,
    pub(super) recomputed_tokens: u32,
}

impl RequestRecord {
    pub(super) fn new(id: RequestId, host: usize, request: TraceRequest) -> Self {
        Self {
            id,
            host,
            request,
            crashing_attempt: None,
            phase: RequestPhase::Waiting,
            waiting_at_broker: false,
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

    /// Returns the digest of the request's content, which all sends of the crashing request share.
    pub(super) fn digest(&self) -> u64 {
        if self.crashing_attempt.is_some() {
            CRASHING_REQUEST_DIGEST
        } else {
            self.id.sequence
        }
    }

    pub(super) fn in_time(&self) -> bool {
        self.phase == RequestPhase::Ended(RequestOutcome::InTime)
    }

    /// Returns the mean time between two tokens of an answer that ends at `now`.
    pub(super) fn token_gap(&self, now: ClockTime) -> Duration {
        let first = self.first_token_at.unwrap_or(now);
        let gaps = self.request.answer_tokens.saturating_sub(1).max(1);
        now.since(first) / gaps
    }
}
