//! Messages between the entry that dispatches a request and the broker of its cell.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::location::NetworkLocation;
use crate::name::BlockDigest;
use crate::name::GrantId;
use crate::name::HostName;
use crate::name::ModelName;
use crate::name::RequestId;
use crate::name::ServiceName;
use crate::name::TierRank;
use crate::name::WorkerName;
use crate::name::WorkerVersion;
use crate::name::WorkspaceName;
use crate::pace::NamedRate;
use crate::pace::RequestRate;
use crate::pushback::RejectionTolerance;

/// A request for a slot on a worker of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// The request that needs the slot.
    pub request: RequestId,
    /// The service whose workers may run the request.
    pub service: ServiceName,
    /// The model that the request names; `None` for plain services.
    pub model: Option<ModelName>,
    /// The only version of a worker that may run the request, which continues a stream; `None` if
    /// any may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<WorkerVersion>,
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The rank of the tier in which the request was placed.
    pub tier: TierRank,
    /// The time left until the deadline of the complete answer.
    pub budget: Duration,
    /// The time left until the first token is due; `None` if the request has no such latency
    /// target.
    #[serde(rename = "target")]
    pub first_token_target: Option<Duration>,
    /// The longest time between two tokens that has full value for the caller; `None` if the
    /// request has no such latency target.
    #[serde(rename = "pause")]
    pub token_gap_target: Option<Duration>,
    /// The approximate length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The maximum length of the answer, in tokens; zero if it is not known.
    pub max_answer_tokens: u32,
    /// The caller's estimate of the answer's length, in tokens; correct at the median, but single
    /// estimates are often far off. `None` if the caller gave none.
    pub hinted_tokens: Option<u32>,
    /// The digests of the leading blocks of the prompt, in prompt order.
    pub prefix: Vec<BlockDigest>,
    /// Whether the request may have crashed a worker and must therefore run alone.
    pub suspect: bool,
    /// The worker that has the first dispatch of the request if the slot is for a hedge; `None` for
    /// any other ask.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedged_worker: Option<WorkerName>,
}

/// The permission to dispatch one request once to one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The identifier of the grant.
    pub grant: GrantId,
    /// The request that may be dispatched.
    pub request: RequestId,
    /// The worker on which a slot is reserved for the request.
    pub worker: WorkerName,
    /// The time until the grant expires; the entry must not use it afterwards.
    pub expires_in: Duration,
    /// The reason for the choice of the worker, shown by the `explain` command.
    pub choice: String,
}

/// The reason why a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The limit on waiting work is reached.
    Capacity,
    /// The answer can't be completed before its deadline, or the latency target for its first token
    /// is predicted to be missed.
    Deadline,
    /// An operator dropped the request.
    Dropped,
    /// No worker serves the requested service or model, or none of the granted slots could be
    /// used.
    NoWorker,
    /// The platform, on which the request depends, does not answer.
    Platform,
    /// The request crashed too many workers.
    Quarantined,
    /// The host has no configuration that is verified as up to date.
    Stale,
}

/// The final answer to an ask that is not granted a slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// The refused request.
    pub request: RequestId,
    /// The reason of the refusal.
    pub reason: RefusalReason,
    /// The time after which the caller may retry.
    pub retry_after: Duration,
}

/// The progress of a granted request, as its entry observed it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkProgress {
    /// The first byte of the request was written to the worker.
    Dispatched,
    /// The head of the answer arrived and named the rate of requests that the worker takes.
    RateNamed {
        /// The rate.
        rate: RequestRate,
    },
    /// The head of the answer arrived and named the number of rejections that the worker tolerates.
    ToleranceNamed {
        /// The tolerance.
        tolerance: RejectionTolerance,
    },
    /// The worker said in the head of an answer that it is leaving.
    LeavingNamed,
    /// The first token arrived.
    FirstToken {
        /// The time since the dispatch.
        after: Duration,
    },
    /// The complete answer arrived.
    Finished {
        /// The number of tokens in the answer.
        answer_tokens: u32,
        /// The mean time between two tokens; zero if it is not known.
        token_gap: Duration,
    },
    /// The request ended at the worker without a complete answer: cancelled or truncated.
    Stopped,
    /// The worker turned the request away without running it, or the entry returned the grant because
    /// the worker had asked its host for rest.
    Rejected {
        /// The time for which the worker wants no requests; zero if it named none.
        rest: Duration,
    },
    /// The worker closed the connection or could not be reached.
    Failed,
    /// The worker answered that it failed to run the request.
    Erred,
    /// The grant was returned unused; nothing was written to the worker.
    Released,
}

impl WorkProgress {
    /// Returns whether the worker may have crashed under the request.
    #[must_use]
    pub const fn may_follow_crash(self) -> bool {
        matches!(self, Self::Stopped | Self::Failed | Self::Erred)
    }
}

/// A report of an entry about one grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkReport {
    /// The request to which the grant was issued.
    pub request: RequestId,
    /// The grant that the report is about.
    pub grant: GrantId,
    /// The worker of the grant.
    pub worker: WorkerName,
    /// The progress of the request.
    pub progress: WorkProgress,
}

/// A request that holds a slot, as its entry declares it to the brokers of the cell.
///
/// A granted request is declared even before it is dispatched.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningWork {
    /// The request that holds the slot.
    pub request: RequestId,
    /// The grant of the slot.
    pub grant: GrantId,
    /// The worker of the slot.
    pub worker: WorkerName,
    /// The rank of the tier of the request.
    pub tier: TierRank,
    /// The approximate length of the prompt, in tokens.
    pub prompt_tokens: u32,
}

/// The workspace of a request that holds a slot, from which a new broker computes the shares of
/// workspaces.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceWork {
    /// The request that holds the slot.
    pub request: RequestId,
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The rank of the tier of the request.
    pub tier: TierRank,
}

/// The load that a worker reports about itself.
///
/// The report arrives with a delay, so it may lower a concurrency limit but never raises one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The number of requests in the running batch.
    pub running: u32,
    /// The number of requests in the worker's queue.
    pub waiting: u32,
    /// Whether the worker reports that it is about to shut down.
    pub leaving: bool,
}

/// An event of a worker's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CacheEvent {
    /// The block was stored.
    Stored(BlockDigest),
    /// The block was evicted.
    Evicted(BlockDigest),
}

/// Consecutive cache events of one worker.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheBatch {
    /// The sequence number of the first event; a gap between batches means that events were lost.
    pub first: u64,
    /// The events, in the order of their sequence numbers.
    #[serde(rename = "changes")]
    pub events: Vec<CacheEvent>,
}

/// An event for the broker of one cell.
#[derive(Clone, Debug, PartialEq)]
pub enum BrokerEvent {
    /// An entry asks for a slot.
    Asked {
        /// The host of the entry.
        host: HostName,
        /// The ask.
        ask: Ask,
    },
    /// An entry withdraws its ask, because the caller disconnected, an operator dropped the request
    /// or another broker answered.
    Withdrawn {
        /// The host of the entry.
        host: HostName,
        /// The request whose ask is withdrawn.
        request: RequestId,
    },
    /// An entry reports about a grant.
    Reported {
        /// The host of the entry.
        host: HostName,
        /// The report.
        report: WorkReport,
    },
    /// An entry declares all requests for which it holds slots of this cell: when this broker has
    /// taken over, and periodically, because reports can be lost.
    Declared {
        /// The host of the entry.
        host: HostName,
        /// All requests of the entry that hold a slot of the cell.
        running: Vec<RunningWork>,
    },
    /// An entry declares the workspaces of the requests for which it holds slots of this cell, after
    /// the requests themselves.
    WorkspacesDeclared {
        /// The host of the entry.
        host: HostName,
        /// The workspaces of the requests.
        running: Vec<WorkspaceWork>,
    },
    /// An entry declares the rates that workers of this cell named to it, when this broker has
    /// taken over.
    RatesDeclared {
        /// The rates.
        rates: Vec<NamedRate>,
    },
    /// A host was declared dead.
    HostLost {
        /// The host.
        host: HostName,
    },
    /// The list of the cell's workers changed, through the configuration, a drain or a worker that
    /// is leaving.
    WorkersChanged {
        /// All workers that may receive new work.
        workers: Vec<CellWorker>,
    },
    /// A worker reported its load.
    LoadReported {
        /// The worker.
        worker: WorkerName,
        /// The report of the worker.
        load: LoadReport,
    },
    /// A worker published cache events.
    CacheReported {
        /// The worker.
        worker: WorkerName,
        /// The published events.
        batch: CacheBatch,
    },
}

/// The properties of a worker that the broker of its cell uses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CellWorker {
    /// The name of the worker.
    pub worker: WorkerName,
    /// The models that the worker serves; empty for a plain service.
    pub models: Vec<ModelName>,
    /// The version of the worker's software; `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<WorkerVersion>,
    /// The maximum number of concurrent requests, as set by the operators.
    pub max_running: u32,
    /// The region and data centre of the worker; `None` if unknown.
    #[serde(rename = "place")]
    pub location: Option<NetworkLocation>,
}

/// A message that a broker requests to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BrokerAction {
    /// Send a grant to the entry on a host.
    Grant {
        /// The host.
        host: HostName,
        /// The grant.
        grant: Grant,
    },
    /// Send a refusal to the entry on a host.
    Refuse {
        /// The host.
        host: HostName,
        /// The refusal.
        refusal: Refusal,
        /// The rank of the tier of the refused request.
        tier: TierRank,
    },
}
