//! The grants of a broker, from issue to release.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::name::BlockDigest;
use crate::name::GrantId;
use crate::name::HostName;
use crate::name::RequestId;
use crate::name::TierRank;
use crate::name::WorkspaceName;
use crate::policy::ChoiceReason;

/// How far the request of a grant has come, as far as the broker knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GrantState {
    /// The grant was sent and may still be used.
    Issued,
    /// The grant has expired and nothing was heard of it; it counts as used.
    Lapsed,
    /// The request was written to the worker.
    Dispatched,
    /// The first token arrived.
    Prefilled,
}

/// What the broker learns from when the request of a grant ends.
#[derive(Clone, Debug)]
pub(super) struct GrantLesson {
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The tier of the request.
    pub tier: TierRank,
    /// Whether the answer is measured in tokens rather than in time.
    pub tokens: bool,
}

/// A grant that holds a slot.
#[derive(Clone, Debug)]
pub(super) struct GrantRecord {
    /// The host whose entry holds the request.
    pub host: HostName,
    /// The request.
    pub request: RequestId,
    /// The position of the worker in the worker table.
    pub worker: usize,
    /// How far the request has come.
    pub state: GrantState,
    /// The time after which the entry does not use the grant.
    pub expires: ClockTime,
    /// The time at which the request was written to the worker, or at which the grant was issued.
    pub started: ClockTime,
    /// The time at which the slot is free because the host was lost.
    pub lost_until: Option<ClockTime>,
    /// The prompt tokens that were not cached at the worker.
    pub uncached_tokens: u32,
    /// The leading blocks of the prompt, until the first token.
    pub prefix: Vec<BlockDigest>,
    /// Whether the request runs alone.
    pub alone: bool,
    /// What to learn from; `None` for work that an entry declared.
    pub lesson: Option<GrantLesson>,
    /// The reason of the choice; `None` for work that an entry declared.
    pub reason: Option<ChoiceReason>,
}

/// All grants that hold a slot.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantLedger {
    records: BTreeMap<GrantId, GrantRecord>,
    requests: BTreeMap<RequestId, GrantId>,
}

impl GrantLedger {
    pub(super) fn insert(&mut self, grant: GrantId, record: GrantRecord) {
        self.requests.insert(record.request, grant);
        self.records.insert(grant, record);
    }

    pub(super) fn get(&self, grant: GrantId) -> Option<&GrantRecord> {
        self.records.get(&grant)
    }

    pub(super) fn get_mut(&mut self, grant: GrantId) -> Option<&mut GrantRecord> {
        self.records.get_mut(&grant)
    }

    pub(super) fn remove(&mut self, grant: GrantId) -> Option<GrantRecord> {
        let record = self.records.remove(&grant)?;
        if self.requests.get(&record.request) == Some(&grant) {
            self.requests.remove(&record.request);
        }
        Some(record)
    }

    /// Returns the latest grant for a request.
    pub(super) fn of_request(&self, request: RequestId) -> Option<GrantId> {
        self.requests.get(&request).copied()
    }

    /// Returns the grants of a host.
    pub(super) fn of_host(&self, host: &HostName) -> Vec<GrantId> {
        let records = self.records.iter();
        records
            .filter(|(_, record)| record.host == *host)
            .map(|(grant, _)| *grant)
            .collect()
    }
}
