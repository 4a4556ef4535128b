//! The grants of a broker, from issue to release.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ask::WorkspaceWork;
use crate::clock::ClockTime;
use crate::name::BlockDigest;
use crate::name::GrantId;
use crate::name::HostName;
use crate::name::RequestId;
use crate::name::TierRank;
use crate::name::WorkspaceName;
use crate::policy::ChoiceReason;

/// The progress of a granted request, as far as the broker knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GrantState {
    /// The grant was sent and may still be used.
    Issued,
    /// The grant expired without a report; its slot still counts as used.
    Expired,
    /// The request was written to the worker.
    Dispatched,
    /// The first token was received, so the prompt is processed.
    Prefilled,
}

/// How the length of the answer is recorded: for which workspace and tier, and in which unit.
#[derive(Clone, Debug)]
pub(super) struct GrantObservation {
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The tier of the request.
    pub tier: TierRank,
    /// Whether the answer is measured in tokens (model) or in time (plain service).
    pub in_tokens: bool,
}

/// A grant that holds a slot.
#[derive(Clone, Debug)]
pub(super) struct GrantRecord {
    /// The host whose entry holds the request.
    pub host: HostName,
    /// The granted request.
    pub request: RequestId,
    /// The position of the worker in the worker table.
    pub worker: usize,
    /// The reported progress of the request.
    pub state: GrantState,
    /// The time from which the entry must not use the grant.
    pub expires: ClockTime,
    /// The time at which this broker issued the grant; `None` for requests that were adopted.
    pub issued_at: Option<ClockTime>,
    /// The time at which the dispatch was reported, or that of the grant before the report.
    pub started: ClockTime,
    /// The predicted time for which the request holds the slot.
    pub work: Duration,
    /// The time at which the slot is released; `None` unless the host is lost.
    pub release_at: Option<ClockTime>,
    /// Whether the answer named the rate of requests that the worker takes.
    pub rate_named: bool,
    /// The prompt tokens that the worker had not cached when the grant was issued.
    pub uncached_tokens: u32,
    /// The digests of the leading prompt blocks; emptied at the first token.
    pub prefix: Vec<BlockDigest>,
    /// Whether the request must run alone on the worker.
    pub exclusive: bool,
    /// How to record the answer; `None` for requests that were adopted from an entry.
    pub observation: Option<GrantObservation>,
    /// The workspace of a request that was adopted from an entry, if the entry declared it.
    pub declared: Option<WorkspaceWork>,
    /// The reason for the choice of worker; `None` for requests that were adopted from an entry.
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

    /// Iterates over all grants that hold a slot.
    pub(super) fn iter(&self) -> impl Iterator<Item = &GrantRecord> {
        self.records.values()
    }

    /// Returns the latest grant of a request that still holds a slot.
    pub(super) fn of_request(&self, request: RequestId) -> Option<GrantId> {
        self.requests.get(&request).copied()
    }

    /// Returns the grants whose requests are held by the host's entry.
    pub(super) fn of_host(&self, host: &HostName) -> Vec<GrantId> {
        let records = self.records.iter();
        records
            .filter(|(_, record)| record.host == *host)
            .map(|(grant, _)| *grant)
            .collect()
    }
}
