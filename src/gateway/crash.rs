//! Crashes of workers: attribution to the requests that were running, what clears a request, and
//! the quarantine.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::call_error::CallError;
use super::connector::ConnectError;
use super::exchange::CallExchange;
use super::frontend::CallerRequest;
use super::host::GatewayHost;
use super::plan::PlannedCall;
use super::plan::first_u64;
use super::relay::BeginReport;
use super::worker::AnswerFraming;
use super::worker::WorkerConnection;
use super::worker::WorkerEndpoint;
use crate::event::LogEvent;
use crate::kernel::name::WorkerName;
use crate::kernel::name::WorkspaceName;
use crate::kernel::poison::CrashedRequest;
use crate::kernel::prompt::PartDigest;
use crate::log_event;

/// The time for which a worker must keep a connection open to count as alive.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// What is known about a dispatch when its answer has ended, to judge a crash of its worker.
#[derive(Clone, Debug)]
pub(super) struct DispatchEvidence {
    pub(super) worker: WorkerName,
    pub(super) endpoint: WorkerEndpoint,
    /// The crash candidates that had a crash on record when the request was sent.
    pub(super) suspected: Vec<PartDigest>,
}

impl CallExchange<'_> {
    /// Records that a worker completed the request, so neither its content nor the parts of its
    /// prompt crash workers.
    ///
    /// An answer without framing may have ended by a crash, so it counts only if its worker still
    /// accepts connections.
    pub(super) async fn record_completion(&self, evidence: &DispatchEvidence, sent_at: Instant) {
        // An answer that isn't a stream may have begun at any time since it was asked for.
        let began_at = self.relay.dispatch_began_at().unwrap_or(sent_at);
        if self.relay.framing() == Some(AnswerFraming::UntilClose) {
            self.check_crash(evidence, Some(began_at)).await;
        } else {
            let candidates = &self.planned.crash_candidates;
            record_answer(self.host, &self.planned.attempt_id, candidates, began_at);
        }
    }

    /// Returns a function that records that the parts of the request don't crash workers.
    pub(super) fn begin_report(&self) -> BeginReport {
        let host = Rc::clone(self.host);
        let attempt_id = self.planned.attempt_id.clone();
        let candidates = self.planned.crash_candidates.clone();
        BeginReport::new(move |began_at| record_answer(&host, &attempt_id, &candidates, began_at))
    }

    /// Attributes a crash to the request if its worker has ended.
    ///
    /// `completed` is the begin of an answer that the worker has completed if it is alive; `None` if
    /// the answer was lost. The check runs in a separate task, except for a suspect: what is found out about it is known
    /// before its slot is free for the next one.
    pub(super) async fn check_crash(
        &self,
        evidence: &DispatchEvidence,
        completed: Option<Instant>,
    ) {
        // A worker crashes as it begins to answer the request that crashes it.
        let is_candidate = !self.relay.is_established();
        let host = Rc::clone(self.host);
        let (planned, evidence) = (self.planned.clone(), evidence.clone());
        let check = judge_crash(host, planned, evidence, completed, is_candidate);
        if self.is_suspect {
            check.await;
        } else {
            actix_rt::spawn(check);
        }
    }
}

/// Finds out whether a worker has ended, and records what that says of the request.
async fn judge_crash(
    host: Rc<GatewayHost>,
    planned: PlannedCall,
    evidence: DispatchEvidence,
    completed: Option<Instant>,
    is_candidate: bool,
) {
    match check_worker(&host, &evidence).await {
        WorkerCheck::Alive(connection) => {
            if let Some(began_at) = completed {
                let candidates = &planned.crash_candidates;
                record_answer(&host, &planned.attempt_id, candidates, began_at);
            }
            host.keep_connection(&evidence.worker, connection, None);
        }
        WorkerCheck::Ended(error) if is_candidate && !error.is_local_shortage() => {
            record_crash(&host, &planned, &evidence, error.blames_worker);
        }
        WorkerCheck::Ended(_) | WorkerCheck::Unclear => (),
    }
}

/// Returns whether the worker of an answer has ended, so that the end of its connection does not show
/// that the answer is complete.
pub(super) async fn has_ended(host: &Rc<GatewayHost>, evidence: &DispatchEvidence) -> bool {
    match check_worker(host, evidence).await {
        WorkerCheck::Alive(connection) => {
            host.keep_connection(&evidence.worker, connection, None);
            false
        }
        WorkerCheck::Ended(_) => true,
        // A worker that has no room for further connections closes them, too.
        WorkerCheck::Unclear => false,
    }
}

/// What a host finds out about a worker after the end of an answer.
enum WorkerCheck {
    /// The worker keeps a new connection open.
    Alive(WorkerConnection),
    /// The worker accepts no connection.
    Ended(ConnectError),
    /// The worker accepts connections and closes them.
    Unclear,
}

/// Finds out whether a worker has ended.
///
/// A worker that ends may still accept a connection, which it then closes.
async fn check_worker(host: &Rc<GatewayHost>, evidence: &DispatchEvidence) -> WorkerCheck {
    let connect = || host.connect_worker(&evidence.worker, evidence.endpoint);
    match connect().await {
        Ok(connection) => {
            actix_rt::time::sleep(SETTLE_TIME).await;
            if connection.is_idle() {
                return WorkerCheck::Alive(connection);
            }
        }
        Err(error) => return WorkerCheck::Ended(error),
    }
    match connect().await {
        Ok(_accepted) => WorkerCheck::Unclear,
        Err(error) => WorkerCheck::Ended(error),
    }
}

/// Clears the parts of a request to which a sound answer began at `began_at`.
fn record_answer(
    host: &GatewayHost,
    attempt_id: &str,
    candidates: &[PartDigest],
    began_at: Instant,
) {
    let cleared = host.crashes.record_answer(began_at.elapsed(), candidates);
    if !cleared.is_empty() {
        log_cleared(host, attempt_id, &cleared);
    }
}

fn record_crash(
    host: &GatewayHost,
    planned: &PlannedCall,
    evidence: &DispatchEvidence,
    confirmed: bool,
) {
    host.crashes.record_crash(&CrashedRequest {
        worker: &evidence.worker,
        workspace: planned.workspace.as_ref(),
        parts: &planned.crash_candidates,
        suspected: &evidence.suspected,
        confirmed,
    });
    if confirmed {
        log_crash(host, planned, evidence);
    } else {
        log_unconfirmed(host, planned, &evidence.worker);
    }
}

/// Checks that neither the content of the request nor a part of its prompt is in quarantine.
///
/// # Errors
///
/// Returns [`CallError::Quarantined`] or [`CallError::PartQuarantined`] if one is.
pub(super) fn check_quarantine(host: &GatewayHost, planned: &PlannedCall) -> Result<(), CallError> {
    let workspace = planned.workspace.as_ref();
    let Some((content, parts)) = planned.crash_candidates.split_first() else {
        return Ok(());
    };
    if let Some(retry_after) = host.crashes.quarantine(workspace, &[*content]) {
        return Err(CallError::Quarantined { retry_after });
    }
    match host.crashes.quarantine(workspace, parts) {
        Some(retry_after) => Err(CallError::PartQuarantined { retry_after }),
        None => Ok(()),
    }
}

/// Returns whether the request may crash its worker, so that it must not run beside another one of
/// that kind.
pub(super) fn is_suspect(host: &GatewayHost, planned: &PlannedCall) -> bool {
    let workspace = planned.workspace.as_ref();
    host.crashes
        .is_suspect(workspace, &planned.crash_candidates)
}

/// Waits until a suspect is in quarantine or is one no longer.
pub(super) async fn wait_until_judged(host: &GatewayHost, planned: &PlannedCall) {
    while is_suspect(host, planned) && check_quarantine(host, planned).is_ok() {
        host.crashes.wait_for_change().await;
    }
}

/// Returns what a crash of a request's worker may be attributed to; the last part of the prompt
/// belongs to the request itself.
pub(super) fn crash_candidates(request: &CallerRequest, planned: &PlannedCall) -> Vec<PartDigest> {
    let content = content_digest(request, planned.workspace.as_ref());
    let parts = planned.metadata.prompt_parts.split_last();
    let shared = parts.map_or(&[][..], |(_own, shared)| shared);
    let mut candidates = vec![content];
    candidates.extend_from_slice(shared);
    candidates
}

/// Returns the digest of a request's content; its headers are not included.
fn content_digest(request: &CallerRequest, workspace: Option<&WorkspaceName>) -> PartDigest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.head.method().as_str().as_bytes());
    hasher.update(request.head.uri().to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(workspace.map_or(&[], |name| name.as_str().as_bytes()));
    hasher.update(&[0]);
    hasher.update(&request.body);
    PartDigest(first_u64(hasher.finalize()))
}

/// Logs that a worker crashed while it ran a request.
fn log_crash(host: &GatewayHost, planned: &PlannedCall, evidence: &DispatchEvidence) {
    log_event!(host.log, LogEvent::WorkerCrashed,
        "request" => planned.attempt_id.clone(),
        "worker" => evidence.worker.as_str(),
        "candidates" => digest_list(&planned.crash_candidates),
        "suspected" => digest_list(&evidence.suspected),
        "crashes" => host.crashes.most_crashes(&planned.crash_candidates));
}

/// Logs that a worker may have crashed while it ran a request.
fn log_unconfirmed(host: &GatewayHost, planned: &PlannedCall, worker: &WorkerName) {
    log_event!(host.log, LogEvent::CrashUnconfirmed,
        "request" => planned.attempt_id.clone(),
        "worker" => worker.as_str(),
        "candidates" => digest_list(&planned.crash_candidates),
        "crashes" => host.crashes.most_crashes(&planned.crash_candidates));
}

/// Logs that a complete answer removed the crashes on record for some parts of prompts.
fn log_cleared(host: &GatewayHost, attempt_id: &str, parts: &[PartDigest]) {
    log_event!(host.log, LogEvent::CrashesCleared,
        "request" => attempt_id.to_owned(), "parts" => digest_list(parts));
}

fn digest_list(parts: &[PartDigest]) -> String {
    let digests: Vec<String> = parts.iter().map(ToString::to_string).collect();
    digests.join(" ")
}
