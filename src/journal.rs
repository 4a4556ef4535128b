//! The journal of the requests of this host, for the operator commands `show` and `explain`, and for
//! the capacity limits.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::kernel::ask::RefusalReason;
use crate::kernel::clock::ClockTime;
use crate::kernel::lifecycle::RunOutcome;
use crate::kernel::name::ModelName;
use crate::kernel::name::RequestId;
use crate::kernel::name::RuleName;
use crate::kernel::name::ServiceName;
use crate::kernel::name::TierName;
use crate::kernel::name::TierRank;
use crate::kernel::name::WorkerName;
use crate::kernel::name::WorkspaceName;

/// The maximum number of ended requests that are kept.
pub const MAX_ENDED: usize = 2_000;

/// The maximum number of steps that are kept per request.
pub const MAX_STEPS: usize = 32;

/// The phase of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestPhase {
    /// The request waits for a slot.
    Waiting,
    /// The request was dispatched and has not ended.
    Running,
    /// The complete answer has arrived; its last bytes may still have to be sent to the caller.
    Finished,
    /// The request ended with an error and did not run.
    Refused,
    /// The request ended with an error and ran or may have run.
    Failed,
    /// The caller disconnected before the request ended.
    Abandoned,
}

impl RequestPhase {
    /// Returns the name of the phase in lower case.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Finished => "finished",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Abandoned => "abandoned",
        }
    }
}

/// One recorded step in the handling of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestStep {
    /// The time since the request was placed.
    pub after: Duration,
    /// The description of the step.
    pub text: String,
}

/// The journal record of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The identifier of the request.
    pub request: RequestId,
    /// The workspace that the caller's key belongs to.
    pub workspace: WorkspaceName,
    /// The service that the request is for.
    pub service: ServiceName,
    /// The requested model; `None` for plain services.
    pub model: Option<ModelName>,
    /// The tier in which the request was placed.
    pub tier: TierName,
    /// The rank of the tier.
    pub rank: TierRank,
    /// The length of the body, in bytes.
    pub body_bytes: usize,
    /// Whether the request was shed and is about to be answered with a refusal.
    pub is_shed: bool,
    /// The rule that placed the request; `None` if no rule matched.
    pub rule: Option<RuleName>,
    /// The current phase.
    pub phase: RequestPhase,
    /// The time of placement, after the body was read, on the monotonic clock.
    pub placed_at: ClockTime,
    /// The time by which the answer must be complete.
    pub deadline: ClockTime,
    /// The approximate length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The number of answer tokens that were recorded; for a stream, each event with a numeric
    /// identifier counts as one token.
    pub answer_tokens: u32,
    /// The worker to which the request was dispatched; `None` before the dispatch.
    pub worker: Option<WorkerName>,
    /// The error code of the answer; `None` if there was no error.
    pub code: Option<&'static str>,
    /// Whether the request ran; `None` until it has ended.
    pub ran: Option<RunOutcome>,
    /// The Retry-After time of the answer; `None` if it had none.
    pub retry_after: Option<Duration>,
    /// The reason for the refusal; `None` after another error or without one.
    pub refusal: Option<RefusalReason>,
    /// The recorded steps, oldest first.
    pub steps: Vec<RequestStep>,
}

/// The values that the record of a request gets at its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestEnd {
    /// The final phase.
    pub phase: RequestPhase,
    /// The error code of the answer; `None` if there was no error.
    pub code: Option<&'static str>,
    /// Whether the request ran.
    pub ran: RunOutcome,
    /// The Retry-After time of the answer; `None` if it had none.
    pub retry_after: Option<Duration>,
    /// The reason for the refusal; `None` after another error or without one.
    pub refusal: Option<RefusalReason>,
}

/// The records of the active requests of this host and of the last [`MAX_ENDED`] that ended.
#[derive(Debug, Default)]
pub struct RequestJournal {
    active: BTreeMap<RequestId, RequestRecord>,
    ended: VecDeque<RequestRecord>,
    by_workspace: BTreeMap<WorkspaceName, usize>,
    waiting_bytes: usize,
    shed_count: usize,
}

impl RequestJournal {
    /// Adds the record of a request that waits for a slot.
    pub fn open(&mut self, record: RequestRecord) {
        self.waiting_bytes += record.body_bytes;
        *self
            .by_workspace
            .entry(record.workspace.clone())
            .or_default() += 1;
        self.active.insert(record.request, record);
    }

    /// Returns the number of active requests that were not shed.
    #[must_use]
    pub fn held_requests(&self) -> usize {
        self.active.len() - self.shed_count
    }

    /// Returns the total body size of the waiting requests that were not shed, in bytes.
    #[must_use]
    pub const fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Returns the waiting requests that were not shed.
    pub fn waiting(&self) -> impl Iterator<Item = &RequestRecord> {
        let records = self.active.values();
        records.filter(|record| record.phase == RequestPhase::Waiting && !record.is_shed)
    }

    /// Marks a waiting request as shed, so that it no longer counts towards the capacity limits.
    pub fn mark_shed(&mut self, request: RequestId) {
        let Some(record) = self.active.get_mut(&request) else {
            return;
        };
        if record.phase == RequestPhase::Waiting && !record.is_shed {
            record.is_shed = true;
            self.shed_count += 1;
            self.waiting_bytes -= record.body_bytes;
        }
    }

    /// Returns the number of requests that have not ended, including those that were shed.
    #[must_use]
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Returns the number of active requests of a workspace.
    #[must_use]
    pub fn workspace_count(&self, workspace: &WorkspaceName) -> usize {
        self.by_workspace.get(workspace).copied().unwrap_or(0)
    }

    /// Adds a step to the record of an active request.
    pub fn step(&mut self, request: RequestId, now: ClockTime, text: impl Into<String>) {
        let Some(record) = self.active.get_mut(&request) else {
            return;
        };
        if record.steps.len() >= MAX_STEPS {
            // The middle step is removed: the first ones show the placement, the last ones the end.
            record.steps.remove(MAX_STEPS / 2);
        }
        let after = now.since(record.placed_at);
        record.steps.push(RequestStep {
            after,
            text: text.into(),
        });
    }

    /// Records that a request was dispatched to a worker.
    pub fn dispatched(&mut self, request: RequestId, worker: &WorkerName) {
        let Some(record) = self.active.get_mut(&request) else {
            return;
        };
        if record.phase == RequestPhase::Waiting && !record.is_shed {
            self.waiting_bytes -= record.body_bytes;
        }
        record.phase = RequestPhase::Running;
        record.worker = Some(worker.clone());
    }

    /// Records the total number of answer tokens that have arrived.
    pub fn set_answer_tokens(&mut self, request: RequestId, tokens: u32) {
        if let Some(record) = self.active.get_mut(&request) {
            record.answer_tokens = tokens;
        }
    }

    /// Records the end of a request and returns its record, or `None` if the request is not active;
    /// nothing is recorded then.
    pub fn end(&mut self, request: RequestId, end: RequestEnd) -> Option<&RequestRecord> {
        let mut record = self.active.remove(&request)?;
        self.release_capacity(&record);
        record.phase = end.phase;
        record.code = end.code;
        record.ran = Some(end.ran);
        record.retry_after = end.retry_after;
        record.refusal = end.refusal;
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(record);
        self.ended.back()
    }

    fn release_capacity(&mut self, record: &RequestRecord) {
        if record.is_shed {
            self.shed_count -= 1;
        } else if record.phase == RequestPhase::Waiting {
            self.waiting_bytes -= record.body_bytes;
        }
        if let Some(count) = self.by_workspace.get_mut(&record.workspace) {
            *count -= 1;
            if *count == 0 {
                self.by_workspace.remove(&record.workspace);
            }
        }
    }

    /// Returns the requests that have not ended, including those that were shed.
    pub fn active(&self) -> impl Iterator<Item = &RequestRecord> {
        self.active.values()
    }

    /// Returns the record of a request; `None` if it is neither active nor among the last ended.
    #[must_use]
    pub fn find(&self, request: RequestId) -> Option<&RequestRecord> {
        let ended = || {
            self.ended
                .iter()
                .rev()
                .find(|record| record.request == request)
        };
        self.active.get(&request).or_else(ended)
    }

    /// Returns the records in a phase: ended requests in the order of their end, then active ones.
    pub fn in_phase(&self, phase: RequestPhase) -> impl Iterator<Item = &RequestRecord> {
        let records = self.ended.iter().chain(self.active.values());
        records.filter(move |record| record.phase == phase)
    }
}
