//! What the gateway needs to know of the headers that callers and workers use.

use std::fmt;
use std::time::Duration;

use actix_http::header::HeaderMap;

use crate::kernel::name::ModelName;
use crate::kernel::name::WorkerName;
use crate::kernel::name::WorkspaceName;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default)]
pub struct CallTerms {
    /// The identifier that the caller gave this attempt.
    pub id: Option<String>,
    /// The time for which the caller waits.
    pub patience: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The model that the caller asks for.
    pub model: Option<ModelName>,
    /// The length of the prompt and the most tokens of the answer.
    pub usage: Option<TokenUsage>,
    /// The caller's guess of the length of the answer, in tokens.
    pub answer_hint: Option<u32>,
}

/// The tokens that a request states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenUsage {
    /// The length of the prompt, in tokens.
    pub prompt: u32,
    /// The most tokens of the answer.
    pub answer: u32,
}

impl TokenUsage {
    /// Returns all tokens that the request may use.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.prompt as u64 + self.answer as u64
    }
}

/// What the gateway adds to a request for a worker.
#[derive(Clone, Debug)]
pub struct DispatchStamp<'a> {
    /// The time that is left.
    pub left: Duration,
    /// The worker that is meant; any other must reject the request.
    pub worker: &'a WorkerName,
    /// The workspace of the caller.
    pub workspace: Option<&'a WorkspaceName>,
    /// The event after which the stream goes on, if it is resumed.
    pub resume_after: Option<u64>,
}

/// What the head of a worker's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerTerms {
    /// The identifier of the attempt that is answered.
    pub id: Option<String>,
    /// Whether the worker states that it did not run the request.
    pub not_executed: bool,
    /// Whether the worker signed the answer.
    pub signed: bool,
    /// The time in seconds for which the worker keeps the connection open when idle.
    pub keep_alive: Option<Duration>,
}

/// The names and formats of headers between callers, the gateway and workers.
pub trait GatewayDialect: fmt::Debug {
    /// Returns the path of the balancer's question whether the host is ready.
    fn readiness_path(&self) -> &str;

    /// Reads the head of a caller's request; what can't be read counts as not said.
    fn call_terms(&self, headers: &HeaderMap) -> CallTerms;

    /// Returns the headers of a request for a worker, made from those of the caller.
    fn dispatch_headers(&self, caller: &HeaderMap, stamp: &DispatchStamp<'_>) -> HeaderMap;

    /// Reads the head of a worker's answer.
    fn answer_terms(&self, status: u16, headers: &HeaderMap) -> AnswerTerms;

    /// Returns the value of the header that tells a caller when to come back.
    fn retry_after(&self, time: Duration) -> String;
}
