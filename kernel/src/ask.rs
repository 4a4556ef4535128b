//! Messages between the entry that holds a request and the broker of its cell.

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
use crate::name::WorkspaceName;

/// A request for a slot on a worker of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// The request that waits for the slot.
    pub request: RequestId,
    /// The service whose workers can run the request.
    pub service: ServiceName,
    /// The model that the request names; `None` for plain services.
    pub model: Option<ModelName>,
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The tier in which the request was placed.
    pub tier: TierRank,
    /// The time left until the whole answer is due.
    pub budget: Duration,
    /// The time left until the first token is due, if the caller has such an aim.
    pub target: Option<Duration>,
    /// The longest time between two tokens that is of full use to the caller, if there is one.
    pub pause: Option<Duration>,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have, as the request states it.
    pub max_answer_tokens: u32,
    /// The caller's own estimate of the answer's tokens, right at the median but often far off.
    pub hinted_tokens: Option<u32>,
    /// The digests of the leading blocks of the prompt, first block first.
    pub prefix: Vec<BlockDigest>,
    /// Whether the request may have crashed a worker and must run alone.
    pub suspect: bool,
}

/// The permission to dispatch one request to one worker, once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The identifier of the grant.
    pub grant: GrantId,
    /// The request that may be dispatched.
    pub request: RequestId,
    /// The worker that has a slot for the request.
    pub worker: WorkerName,
    /// The time after which the entry must not use the grant any more.
    pub expires_in: Duration,
    /// The reason why this worker was chosen, for `explain`.
    pub choice: String,
}

/// The reason why a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The bound on waiting work is reached.
    Capacity,
    /// The answer can't be complete before its deadline.
    Deadline,
    /// The operators dropped the request.
    Dropped,
    /// No worker serves what the request asks for.
    NoWorker,
    /// The platform, which the request needs, does not answer.
    Platform,
    /// The request crashed too many workers.
    Quarantined,
    /// The host holds no configuration that is known to be in force.
    Stale,
}

/// The final answer to an ask that gets no slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// The request that is refused.
    pub request: RequestId,
    /// The reason of the refusal.
    pub reason: RefusalReason,
    /// The time after which the caller may try again.
    pub retry_after: Duration,
}

/// What an entry learned about a granted request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkProgress {
    /// The first byte of the request was written to the worker.
    Dispatched,
    /// The first token arrived.
    FirstToken {
        /// The time since the dispatch.
        after: Duration,
    },
    /// The whole answer arrived.
    Finished {
        /// The number of tokens in the answer.
        answer_tokens: u32,
        /// The mean time between two tokens.
        token_gap: Duration,
    },
    /// The request ended at the worker without a whole answer: cancelled, cut or rejected.
    Stopped,
    /// The worker broke the connection or could not be reached.
    Failed,
    /// The worker answered that it failed to run the request.
    Erred,
    /// The grant was not used and nothing was written to the worker.
    Released,
}

/// A report from an entry about one grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkReport {
    /// The request that the grant was for.
    pub request: RequestId,
    /// The grant that was used.
    pub grant: GrantId,
    /// The worker that the grant named.
    pub worker: WorkerName,
    /// What happened.
    pub progress: WorkProgress,
}

/// A request that runs on a worker, as an entry declares it to a broker that takes over a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningWork {
    /// The request that runs.
    pub request: RequestId,
    /// The grant under which it was dispatched.
    pub grant: GrantId,
    /// The worker that runs it.
    pub worker: WorkerName,
    /// The tier of the request.
    pub tier: TierRank,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
}

/// The load that a worker reports about itself; it is late and used only to lower a limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The requests in the running batch.
    pub running: u32,
    /// The requests that the worker has queued.
    pub waiting: u32,
    /// Whether the worker says that it is leaving.
    pub leaving: bool,
}

/// One change of a worker's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CacheChange {
    /// The block was stored.
    Stored(BlockDigest),
    /// The block was evicted.
    Evicted(BlockDigest),
}

/// Consecutive cache changes of one worker.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheBatch {
    /// The number of the first change in the batch; numbers have gaps where events were lost.
    pub first: u64,
    /// The changes in their order.
    pub changes: Vec<CacheChange>,
}

/// An event for the broker of one cell.
#[derive(Clone, Debug, PartialEq)]
pub enum BrokerEvent {
    /// An entry asks for a slot.
    Asked {
        /// The host whose entry asks.
        host: HostName,
        /// The ask.
        ask: Ask,
    },
    /// An entry no longer wants a slot: the caller left or another broker answered.
    Withdrawn {
        /// The host whose entry asked.
        host: HostName,
        /// The request.
        request: RequestId,
    },
    /// An entry reports about a grant.
    Reported {
        /// The host whose entry reports.
        host: HostName,
        /// The report.
        report: WorkReport,
    },
    /// An entry declares all that it runs in this cell, after this broker took over.
    Declared {
        /// The host whose entry declares.
        host: HostName,
        /// All of its running work in the cell.
        running: Vec<RunningWork>,
    },
    /// A host was declared dead.
    HostLost {
        /// The host.
        host: HostName,
    },
    /// The workers of the cell, as configuration and drains now have them.
    WorkersChanged {
        /// The workers that may get new work.
        workers: Vec<CellWorker>,
    },
    /// A worker reported its load.
    LoadReported {
        /// The worker.
        worker: WorkerName,
        /// Its report.
        load: LoadReport,
    },
    /// A worker published cache events.
    CacheReported {
        /// The worker.
        worker: WorkerName,
        /// The events.
        batch: CacheBatch,
    },
}

/// A worker as its cell's broker needs it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CellWorker {
    /// The name of the worker.
    pub worker: WorkerName,
    /// The models that it serves; empty for a plain service.
    pub models: Vec<ModelName>,
    /// The most requests that it may run at once, as the operators set it.
    pub max_running: u32,
    /// Where it stands, if that is known.
    pub place: Option<NetworkLocation>,
}

/// What a broker wants to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BrokerAction {
    /// Send a grant to the entry on the host.
    Grant {
        /// The host.
        host: HostName,
        /// The grant.
        grant: Grant,
    },
    /// Send a refusal to the entry on the host.
    Refuse {
        /// The host.
        host: HostName,
        /// The refusal.
        refusal: Refusal,
        /// The tier of the refused request.
        tier: TierRank,
    },
}
