//! What this host knows about its own requests, for `show` and `explain`.

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

/// The most ended requests that are remembered.
pub const MAX_ENDED: usize = 2_000;

/// The most steps that are remembered of one request.
pub const MAX_STEPS: usize = 32;

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestPhase {
    /// It waits for a slot.
    Waiting,
    /// It was dispatched.
    Running,
    /// Its whole answer went to the caller.
    Finished,
    /// It was refused before it ran.
    Refused,
    /// It ended after its dispatch without a whole answer.
    Failed,
    /// Its caller left.
    Abandoned,
}

impl RequestPhase {
    /// Returns the phase as operators read it.
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

/// One thing that happened to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestStep {
    /// The time since the request arrived.
    pub after: Duration,
    /// What happened.
    pub text: String,
}

/// What is known of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The identifier of the request.
    pub request: RequestId,
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The service that the request is for.
    pub service: ServiceName,
    /// The model that the request names.
    pub model: Option<ModelName>,
    /// The tier in which it was placed.
    pub tier: TierName,
    /// The rank of the tier.
    pub rank: TierRank,
    /// The length of the body, in bytes.
    pub body_bytes: usize,
    /// Whether it was refused to make room and its caller is about to be told.
    pub gave_way: bool,
    /// The rule that placed it; `None` if no rule matched.
    pub rule: Option<RuleName>,
    /// Where it stands.
    pub phase: RequestPhase,
    /// The time of its arrival on the monotonic clock.
    pub received: ClockTime,
    /// The time at which the whole answer is due.
    pub deadline: ClockTime,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The tokens of the answer that were passed on.
    pub answer_tokens: u32,
    /// The worker to which it was dispatched.
    pub worker: Option<WorkerName>,
    /// The code of the error that the caller was told.
    pub code: Option<&'static str>,
    /// Whether it ran, as the caller was told.
    pub ran: Option<RunOutcome>,
    /// The time after which the caller may come back, as it was told.
    pub retry_after: Option<Duration>,
    /// The reason of the refusal, if it was refused.
    pub refusal: Option<RefusalReason>,
    /// What happened, oldest first.
    pub steps: Vec<RequestStep>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestEnd {
    /// Where it stands now.
    pub phase: RequestPhase,
    /// The code of the error that the caller was told.
    pub code: Option<&'static str>,
    /// Whether it ran, as the caller was told.
    pub ran: RunOutcome,
    /// The time after which the caller may come back, as it was told.
    pub retry_after: Option<Duration>,
    /// The reason of the refusal, if it was refused.
    pub refusal: Option<RefusalReason>,
}

/// The records of the requests that this host holds, and of the last ones that ended.
#[derive(Debug, Default)]
pub struct RequestJournal {
    active: BTreeMap<RequestId, RequestRecord>,
    ended: VecDeque<RequestRecord>,
    by_workspace: BTreeMap<WorkspaceName, usize>,
    waiting_bytes: usize,
    giving_way: usize,
}

impl RequestJournal {
    /// Adds a request that arrived.
    pub fn open(&mut self, record: RequestRecord) {
        self.waiting_bytes += record.body_bytes;
        *self
            .by_workspace
            .entry(record.workspace.clone())
            .or_default() += 1;
        self.active.insert(record.request, record);
    }

    /// Returns the number of requests that take room: the active ones but for those that gave way.
    #[must_use]
    pub fn held_requests(&self) -> usize {
        self.active.len() - self.giving_way
    }

    /// Returns the bytes of the bodies of waiting requests, but for those that gave way.
    #[must_use]
    pub const fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Returns the requests that wait and did not give way.
    pub fn waiting(&self) -> impl Iterator<Item = &RequestRecord> {
        let records = self.active.values();
        records.filter(|record| record.phase == RequestPhase::Waiting && !record.gave_way)
    }

    /// Takes a waiting request that is being refused out of the count of what is held.
    pub fn give_way(&mut self, request: RequestId) {
        let Some(record) = self.active.get_mut(&request) else {
            return;
        };
        if record.phase == RequestPhase::Waiting && !record.gave_way {
            record.gave_way = true;
            self.giving_way += 1;
            self.waiting_bytes -= record.body_bytes;
        }
    }

    /// Returns the number of requests that have not ended.
    #[must_use]
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Returns the number of active requests of a workspace.
    #[must_use]
    pub fn workspace_count(&self, workspace: &WorkspaceName) -> usize {
        self.by_workspace.get(workspace).copied().unwrap_or(0)
    }

    /// Adds a step to an active request.
    pub fn step(&mut self, request: RequestId, now: ClockTime, text: impl Into<String>) {
        let Some(record) = self.active.get_mut(&request) else {
            return;
        };
        if record.steps.len() >= MAX_STEPS {
            // The first steps tell how the request was placed, the last how it ended.
            record.steps.remove(MAX_STEPS / 2);
        }
        let after = now.since(record.received);
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
        if record.phase == RequestPhase::Waiting && !record.gave_way {
            self.waiting_bytes -= record.body_bytes;
        }
        record.phase = RequestPhase::Running;
        record.worker = Some(worker.clone());
    }

    /// Records how many tokens of the answer were passed on.
    pub fn answered(&mut self, request: RequestId, tokens: u32) {
        if let Some(record) = self.active.get_mut(&request) {
            record.answer_tokens = tokens;
        }
    }

    /// Records the end of a request and returns its record; a second end is ignored.
    pub fn end(&mut self, request: RequestId, end: RequestEnd) -> Option<&RequestRecord> {
        let mut record = self.active.remove(&request)?;
        self.forget_room(&record);
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

    fn forget_room(&mut self, record: &RequestRecord) {
        if record.gave_way {
            self.giving_way -= 1;
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

    /// Returns the requests that have not ended.
    pub fn active(&self) -> impl Iterator<Item = &RequestRecord> {
        self.active.values()
    }

    /// Returns the record of a request that is active or ended lately.
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

    /// Returns the records in a phase, in order of arrival.
    pub fn in_phase(&self, phase: RequestPhase) -> impl Iterator<Item = &RequestRecord> {
        let records = self.ended.iter().chain(self.active.values());
        records.filter(move |record| record.phase == phase)
    }
}
