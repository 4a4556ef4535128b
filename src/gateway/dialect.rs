//! Interface to the header names and formats used by callers and workers.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;

use crate::kernel::name::ModelName;
use crate::kernel::name::WorkerName;
use crate::kernel::pace::RateStatement;
use crate::kernel::prompt::PartDigest;
use crate::kernel::pushback::RejectionTolerance;

/// Values from the headers of a caller's request; `None` where a header is absent or invalid.
#[derive(Clone, Debug, Default)]
pub struct CallMetadata {
    /// Identifier that the caller assigned to this attempt.
    pub attempt_id: Option<String>,
    /// Time for which the caller waits for the complete answer.
    pub timeout: Option<Duration>,
    /// Key that authenticates the caller's workspace.
    pub key: Option<String>,
    /// Requested model.
    pub model: Option<ModelName>,
    /// The parts of the prompt, in order; callers share all but the last one. Empty if not stated.
    pub prompt_parts: Vec<PartDigest>,
    /// Length of the prompt and upper bound on the length of the answer, in tokens.
    pub usage: Option<TokenUsage>,
    /// The caller's estimate of the length of the answer, in tokens.
    pub answer_hint: Option<u32>,
    /// Identifier of the event after which the stream of an earlier attempt continues.
    pub resume_after: Option<u64>,
    /// Identifier of the caller's attempt that brought the first event of the continued stream.
    pub resumed_attempt: Option<String>,
}

/// Token counts declared by a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Upper bound on the tokens of the answer.
    pub answer: u32,
}

impl TokenUsage {
    /// Returns the upper bound on the tokens of prompt and answer together.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.prompt as u64 + self.answer as u64
    }
}

/// Values that the gateway adds to the headers of a dispatched request.
#[derive(Clone, Debug)]
pub struct DispatchMetadata<'a> {
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Intended worker; any other worker must reject the request.
    pub worker: &'a WorkerName,
    /// Text that workers know the caller's workspace by, if the request belongs to one.
    pub workspace: Option<&'a str>,
    /// Identifier of the event after which the stream continues; `None` unless it is resumed.
    pub resume_after: Option<u64>,
}

/// Values from the status and the headers of a worker's answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerMetadata {
    /// Identifier of the caller's attempt that is answered, if the worker states it.
    pub attempt_id: Option<String>,
    /// Whether the worker states that it did not run the request.
    pub not_run: bool,
    /// Whether the worker signed the answer.
    pub signed: bool,
    /// The rate of requests that the worker takes from all hosts together.
    pub rate: RateStatement,
    /// Whether the worker states that it is leaving.
    pub leaving: bool,
    /// The time for which a worker without room wants no requests from this host, if it names one.
    pub rest: Option<Duration>,
    /// The number of rejections in a second beyond which the worker ends; `None` if it names none.
    pub tolerance: Option<RejectionTolerance>,
    /// Time for which the worker keeps the idle connection open, if the worker states it.
    pub keep_alive: Option<Duration>,
    /// Name of the worker, which answers to health checks state.
    pub worker: Option<String>,
}

/// Reads and writes the headers exchanged between callers, the gateway and workers.
pub trait GatewayDialect: fmt::Debug {
    /// Returns the path of the readiness check made by the load balancer.
    fn readiness_path(&self) -> &str;

    /// Reads the headers of a caller's request; an invalid value counts as absent.
    fn call_metadata(&self, headers: &HeaderMap) -> CallMetadata;

    /// Returns the headers of a request for a worker, derived from those of the caller.
    fn dispatch_headers(&self, caller: &HeaderMap, dispatch: &DispatchMetadata<'_>) -> HeaderMap;

    /// Returns the name of the header by which a worker states that it is leaving.
    fn leaving_header(&self) -> &str;

    /// Returns the headers of a health check that only the named worker may answer.
    fn health_headers(&self, worker: &WorkerName, address: SocketAddr) -> HeaderMap;

    /// Reads the status and the headers of a worker's answer.
    fn answer_metadata(&self, status: u16, headers: &HeaderMap) -> AnswerMetadata;

    /// Formats the value of the `Retry-After` header.
    fn retry_after(&self, time: Duration) -> String;
}
