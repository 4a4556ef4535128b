//! Serving of one request: planning, waiting for a slot, dispatch, and retries.
//!
//! After a dispatch, a request is sent to a worker again only with a [`RetryPermit`].

use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use thiserror::Error;

use super::call_error::CallError;
use super::caller::CallerWriter;
use super::delivery::DispatchEnd;
use super::dialect::CallMetadata;
use super::frontend::CallerRequest;
use super::host::GatewayHost;
use super::pending::PendingDispatch;
use super::plan;
use super::plan::PlannedCall;
use super::relay::AnswerRelay;
use super::release::DispatchCount;
use super::release::VersionDemand;
use super::slot::DispatchedCall;
use super::slot::SlotError;
use super::stop;
use super::streams;
use super::streams::OriginEvidence;
use super::streams::StreamOrigin;
use super::trace::CallTrace;
use super::worker::ConnectionNumber;
use super::worker::WorkerConnection;
use crate::kernel::attempt::DispatchTally;
use crate::kernel::attempt::RetryPermit;
use crate::kernel::clock::ClockTime;
use crate::kernel::lifecycle::DispatchError;
use crate::kernel::lifecycle::RequestLife;
use crate::kernel::lifecycle::WaitingState;
use crate::kernel::name::WorkerVersion;

/// Number of unused slots at which a request is refused.
///
/// A granted slot is unused if, for example, its worker can't be reached or is not registered any
/// more.
const MAX_UNUSED_SLOTS: usize = 6;

/// Time until a request that was twice granted a worker unknown to this host, or unconfirmed, asks
/// again; it doubles with each further grant, so that the last one comes later than the next poll of
/// the state.
const MIN_REPEAT_DELAY: Duration = Duration::from_millis(100);

/// Retry-after time of a request for a stream of unknown origin, which another host may know.
const UNKNOWN_ORIGIN_RETRY: Duration = Duration::from_millis(200);

/// Retry-after time of refusals that do not come from the broker.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason why a request ended without a complete answer of a worker.
#[derive(Debug, Error)]
pub(super) enum ExchangeError {
    /// The gateway answers the request itself.
    #[error(transparent)]
    Call(#[from] CallError),
    /// Writing to the caller failed.
    #[error("the caller's connection failed: {0}")]
    Caller(#[from] std::io::Error),
    /// The caller disconnected before the request was sent to a worker.
    #[error("the caller disconnected")]
    CallerLeft,
    /// The worker's answer ended early or timed out, after part of it was relayed.
    #[error("the answer was truncated after part of it was relayed")]
    Truncated,
}

/// Serves one request; returns whether its answer was written to its end.
pub async fn serve(
    host: &Rc<GatewayHost>,
    request: CallerRequest,
    caller: &mut CallerWriter<'_>,
) -> bool {
    let arrival = host.clock.now();
    let metadata = host.dialect.call_metadata(request.head.headers());
    let attempt_id = metadata.attempt_id.clone().unwrap_or_default();
    let mut trace = CallTrace::new(host, attempt_id, arrival);
    let deadline = arrival + metadata.timeout.unwrap_or_default();
    let outcome = run(host, &request, metadata, caller, &trace, arrival).await;
    // A caller that reads its answer slowly doesn't need the memory of its request.
    let CallerRequest {
        body, reservation, ..
    } = request;
    drop((body, reservation));
    if matches!(outcome, Err(ExchangeError::CallerLeft)) {
        return false;
    }
    trace.mark_ended();
    match outcome {
        Ok(()) => caller.flush(deadline).await.is_ok(),
        Err(ExchangeError::Call(error)) if !caller.has_started() => {
            trace.answered_with_error(&error);
            let retry_after = error.retry_after();
            let retry_after = retry_after.map(|time| host.dialect.retry_after(time));
            let status = error.status();
            let text = error.to_string();
            let answered = caller
                .write_local_answer(status, retry_after.as_deref(), &text)
                .await;
            answered.is_ok()
        }
        Err(error) => {
            trace.truncated(&error);
            if !matches!(error, ExchangeError::Caller(_)) {
                // What was relayed belongs to the caller; the answer stays recognisably truncated.
                let _ = caller.flush(deadline).await;
            }
            false
        }
    }
}

async fn run(
    host: &Rc<GatewayHost>,
    request: &CallerRequest,
    metadata: CallMetadata,
    caller: &mut CallerWriter<'_>,
    trace: &CallTrace<'_>,
    arrival: ClockTime,
) -> Result<(), ExchangeError> {
    let planned = plan::plan_request(host, request, metadata, arrival)?;
    trace.set_labels(&planned);
    let mut exchange = CallExchange {
        host,
        request,
        trace,
        dispatches: DispatchTally::default(),
        used_connections: Vec::new(),
        relay: AnswerRelay::new(planned.route.kind, planned.event_tokens),
        is_suspect: false,
        is_hedged: false,
        required_version: None,
        demand: VersionDemand::Any,
        avoids_target: false,
        count: None,
        origin: None,
        planned,
    };
    let has_started = caller.start_flag();
    tokio::select! {
        biased;
        ended = exchange.run(caller) => ended,
        () = stop::wait_for_final_answer(host, &has_started) => Err(exchange.interruption_error().into()),
    }
}

/// State of one planned request over all of its dispatches.
pub(super) struct CallExchange<'a> {
    pub(super) host: &'a Rc<GatewayHost>,
    pub(super) request: &'a CallerRequest,
    pub(super) trace: &'a CallTrace<'a>,
    pub(super) planned: PlannedCall,
    pub(super) dispatches: DispatchTally,
    /// The connections on which the request was sent. Each is used once, as a late copy of an answer
    /// bears the identifier of the attempt, which all dispatches share.
    pub(super) used_connections: Vec<ConnectionNumber>,
    pub(super) relay: AnswerRelay,
    /// Whether the last slot was asked for as a suspect.
    pub(super) is_suspect: bool,
    /// Whether a hedge was sent.
    pub(super) is_hedged: bool,
    /// The only version of a worker at which the stream may continue; `None` if any may run the
    /// request.
    pub(super) required_version: Option<WorkerVersion>,
    /// The versions that the last ask allowed.
    pub(super) demand: VersionDemand,
    /// Whether the request failed at the target of a release, or the target had no worker for it.
    pub(super) avoids_target: bool,
    /// Counts the answer to the last dispatch, during a release.
    pub(super) count: Option<Rc<DispatchCount>>,
    /// What shows the version of the stream that the caller resumes; `None` if it resumes none.
    pub(super) origin: Option<OriginEvidence>,
}

impl<'a> CallExchange<'a> {
    /// Finds the version at which the stream that the caller resumes may continue.
    async fn find_version(&mut self) -> Result<(), CallError> {
        let stream = self.planned.stream_key();
        let origin = streams::find_origin(self.host, stream, &self.planned.service).await;
        (self.required_version, self.origin) = match origin {
            StreamOrigin::Any => (None, Some(OriginEvidence::Unversioned)),
            StreamOrigin::At(version, evidence) => (Some(version), Some(evidence)),
            StreamOrigin::Unknown => {
                let reason = "the version that began the stream is not known";
                let error = refusal_error(reason, UNKNOWN_ORIGIN_RETRY);
                return Err(self.fail_unsent(error));
            }
        };
        Ok(())
    }

    /// Requests slots and dispatches until a dispatch ends the request.
    async fn run(&mut self, caller: &mut CallerWriter<'_>) -> Result<(), ExchangeError> {
        if self.planned.continues_stream() {
            self.find_version().await?;
        }
        let planned = &self.planned;
        let mut life = RequestLife::waiting(planned.id, planned.tier, planned.deadline);
        let mut unused = 0;
        // The first of several grants may come from a broker that is just behind.
        let mut repeat_delay = Duration::ZERO;
        loop {
            let (granted, lease) = self.wait_for_slot(life).await?;
            let worker = granted.grant().worker.clone();
            let (dispatched, connection) = match self.use_slot(granted, lease, caller).await {
                Ok(used) => used,
                Err((SlotError::CallerLeft, _)) => return Err(ExchangeError::CallerLeft),
                Err((SlotError::Call(error), _)) => return Err(self.fail_unsent(error).into()),
                Err((SlotError::Dispatch(DispatchError::DeadlinePassed), _)) => {
                    let error = refusal_error("the deadline has passed", DEFAULT_RETRY_AFTER);
                    return Err(self.fail_unsent(error).into());
                }
                Err((error @ SlotError::Repeat(_), _)) => {
                    self.trace.slot_unused(&worker, &error);
                    return Err(CallError::Lost.into());
                }
                Err((SlotError::Suspect, waiting)) => {
                    self.trace.slot_unused(&worker, &SlotError::Suspect);
                    life = waiting;
                    continue;
                }
                Err((error, waiting)) => {
                    self.trace.slot_unused(&worker, &error);
                    if error.may_pass() {
                        actix_rt::time::sleep(repeat_delay).await;
                        repeat_delay = (repeat_delay * 2).max(MIN_REPEAT_DELAY);
                    }
                    unused += 1;
                    if unused >= MAX_UNUSED_SLOTS {
                        let error = refusal_error(&error.to_string(), DEFAULT_RETRY_AFTER);
                        return Err(self.fail_unsent(error).into());
                    }
                    life = waiting;
                    continue;
                }
            };
            let retried = self.send_dispatched(dispatched, connection, caller).await?;
            let Some(waiting) = retried else {
                return Ok(());
            };
            life = waiting;
        }
    }

    /// Sends the request to the worker and relays its answer.
    ///
    /// Returns the request in its waiting state if it is to be sent again, or `None` if it has ended.
    async fn send_dispatched(
        &mut self,
        dispatched: DispatchedCall,
        connection: WorkerConnection,
        caller: &mut CallerWriter<'_>,
    ) -> Result<Option<RequestLife<WaitingState>>, ExchangeError> {
        let to_target = dispatched.to_target;
        let first_event = self.first_event_report(dispatched.version.as_ref());
        self.relay.start_dispatch(first_event, self.begin_report());
        let first = self.begin_dispatch(dispatched, connection);
        let (mut dispatch, answer) = self.await_answer(first, caller).await;
        if dispatch.lease.grant().request != self.planned.id {
            // The answer is that of the hedge.
            let first_event = self.first_event_report(dispatch.version.as_ref());
            self.relay.start_dispatch(first_event, self.begin_report());
        }
        let end = self.relay_awaited(&mut dispatch, answer, caller).await;
        self.count_end(&end);
        self.avoids_target |= to_target;
        self.finish_dispatch(dispatch, end?, caller).await
    }

    /// Ends a dispatch; returns the same as [`Self::send_dispatched`].
    async fn finish_dispatch(
        &mut self,
        dispatch: PendingDispatch<'a>,
        end: DispatchEnd,
        caller: &CallerWriter<'_>,
    ) -> Result<Option<RequestLife<WaitingState>>, ExchangeError> {
        match end {
            DispatchEnd::Answered { status } if status.is_server_error() => {
                dispatch.lease.erred();
                Ok(None)
            }
            DispatchEnd::Answered { status } => {
                let (evidence, dispatched_at) = (&dispatch.evidence, dispatch.dispatched_at);
                self.trace
                    .answered(&self.planned, &self.relay, &evidence.worker, dispatched_at);
                if status.is_success() {
                    self.record_completion(evidence, dispatch.sent_at).await;
                }
                dispatch
                    .lease
                    .finished(self.relay.tokens(), self.relay.token_gap());
                Ok(None)
            }
            DispatchEnd::Erred(permit) => {
                dispatch.lease.erred();
                Ok(Some(dispatch.life.retry(permit)))
            }
            DispatchEnd::NotRun { proof, rest } => {
                dispatch.lease.rejected(rest);
                let permit = self.dispatches.permit_after_rejection(&proof);
                match permit {
                    Some(permit) if self.take_retry() => Ok(Some(dispatch.life.retry(permit))),
                    _ => {
                        let error =
                            refusal_error("the worker had no free slot", DEFAULT_RETRY_AFTER);
                        Err(self.fail_unsent(error).into())
                    }
                }
            }
            DispatchEnd::Broken { error, lost } => {
                let version = dispatch.version.clone();
                let life = self.end_broken(dispatch, &error, lost).await;
                if self.relay.has_begun() {
                    self.required_version = self.required_version.take().or(version);
                }
                let permit = if self.relay.can_continue(caller) {
                    self.retry_permit()
                } else {
                    None
                };
                match permit {
                    Some(permit) => {
                        self.relay.discard_partial();
                        Ok(Some(life.retry(permit)))
                    }
                    _ if caller.has_started() => Err(ExchangeError::Truncated),
                    _ => Err(error.into()),
                }
            }
        }
    }

    /// Returns a permit for a retry if the kind of work, the run limit and the retry budget allow
    /// one; a permit uses up one retry of the budget.
    pub(super) fn retry_permit(&self) -> Option<RetryPermit> {
        let limits = self.planned.route.repeat_limits();
        let permit = self.dispatches.permit_retry(limits)?;
        self.take_retry().then_some(permit)
    }

    fn take_retry(&self) -> bool {
        let now = self.host.clock.now();
        self.host.take_retry(now, &self.planned.service)
    }

    /// Returns the error of a request that a stopping host answers itself.
    fn interruption_error(&self) -> CallError {
        match self.fail_unsent(stop::stop_refusal(self.host)) {
            CallError::Lost => CallError::Interrupted,
            error => error,
        }
    }

    /// Returns the error of a request that is not sent, or not sent again.
    ///
    /// Refunds the quota if the request was never dispatched.
    pub(super) fn fail_unsent(&self, error: CallError) -> CallError {
        if self.dispatches.is_undispatched() {
            plan::refund_quota(self.host, &self.planned);
            return error;
        }
        // After a dispatch that may have run, the answer must not state that the request did not run.
        if self.dispatches.may_have_run() {
            return CallError::Lost;
        }
        error
    }
}

/// Returns the error for a request that was refused a slot or could not use one.
pub(super) fn refusal_error(reason: &str, retry_after: Duration) -> CallError {
    CallError::Refused {
        reason: reason.to_owned(),
        retry_after,
    }
}
