//! What log lines state of a request: of its dispatches, and of its end without an answer of a worker.

use std::time::Duration;

use super::plan::PlannedCall;
use super::streams::OriginEvidence;
use super::worker::ConnectionNumber;
use super::worker::ConnectionTunnel;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::WorkerName;
use crate::kernel::name::WorkerVersion;

/// What log lines state of a planned request that ends without an answer of a worker.
#[derive(Debug)]
pub(super) struct CallFacts {
    pub(super) service: String,
    pub(super) workspace: Option<String>,
    /// The path prefix of the route.
    pub(super) prefix: String,
    pub(super) tier: u8,
    pub(super) prompt_tokens: Option<u32>,
    /// The time from the arrival of the request to its deadline.
    pub(super) time: Duration,
}

impl From<&PlannedCall> for CallFacts {
    fn from(planned: &PlannedCall) -> Self {
        Self {
            service: planned.service.to_string(),
            workspace: planned.workspace.as_ref().map(ToString::to_string),
            prefix: planned.route.prefix.clone(),
            tier: planned.tier.0,
            prompt_tokens: planned.metadata.usage.map(|usage| usage.prompt),
            time: planned.deadline.since(planned.arrival),
        }
    }
}

/// A dispatch to a worker.
#[derive(Debug)]
pub(super) struct SentCall<'a> {
    pub worker: &'a WorkerName,
    /// The version of the worker's software.
    pub version: Option<&'a WorkerVersion>,
    /// What shows the version of the stream that the caller resumes; `None` if it resumes none.
    pub origin: Option<OriginEvidence>,
    /// The number of the dispatch, from one.
    pub number: u32,
    /// The broker's reason for the choice of the worker.
    pub choice: &'a str,
    /// Identifier of the last event that was relayed to the caller before the dispatch.
    pub resume_after: Option<u64>,
    /// The connection that carries the dispatch.
    pub connection: ConnectionNumber,
    /// Whether the connection was taken from the pool.
    pub reused: bool,
    /// Whether the dispatch is a hedge of another one that goes on.
    pub hedge: bool,
    /// The tunnel that carries the connection; `None` if it is direct.
    pub tunnel: Option<&'a ConnectionTunnel>,
    pub dispatched_at: ClockTime,
}
