//! The life of one request on a gateway host: plan, slot, dispatch, answer.

use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use thiserror::Error;

use super::caller::CallerWriter;
use super::delivery::AttemptEnd;
use super::dialect::CallTerms;
use super::front::IncomingCall;
use super::host::GatewayHost;
use super::plan;
use super::plan::CallError;
use super::plan::PlannedCall;
use super::relay::AnswerRelay;
use super::trace::CallTrace;
use super::trace::SentCall;
use super::worker::WorkerConnection;
use crate::cell::SlotAnswer;
use crate::cell::SlotLease;
use crate::connection::OpenError;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::attempt::AttemptLedger;
use crate::kernel::attempt::NotExecuted;
use crate::kernel::attempt::RepeatPermit;
use crate::kernel::clock::ClockTime;
use crate::kernel::lifecycle::DispatchError;
use crate::kernel::lifecycle::DispatchedState;
use crate::kernel::lifecycle::GrantedState;
use crate::kernel::lifecycle::RequestLife;
use crate::kernel::lifecycle::WaitingState;
use crate::kernel::name::WorkerName;

/// The most slots that are asked for before a request is given up: each unused one was granted on a
/// worker that could not be reached.
const MAX_SLOTS: usize = 6;

/// The time after which a caller may come back whose worker could not be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_secs(1);

/// The way in which an exchange ends without a whole answer.
#[derive(Debug, Error)]
pub(super) enum ExchangeError {
    /// The gateway answers itself.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The caller's connection failed.
    #[error("the caller's connection failed: {0}")]
    Caller(#[from] std::io::Error),
    /// The answer was cut after a part of it was passed on.
    #[error("the answer was cut")]
    Cut,
}

/// Serves one request; returns whether the caller's connection can be used for another one.
pub async fn serve(
    host: &Rc<GatewayHost>,
    call: IncomingCall,
    caller: &mut CallerWriter<'_>,
) -> bool {
    let arrival = host.clock.now();
    let terms = host.dialect.call_terms(call.head.headers());
    let id = terms.id.clone().unwrap_or_default();
    let mut trace = CallTrace::new(host, id, arrival);
    let outcome = run(host, &call, terms, caller, &trace, arrival).await;
    trace.mark_ended();
    match outcome {
        Ok(()) => caller.keeps(),
        Err(ExchangeError::Call(error)) if !caller.has_started() => {
            trace.refused(&error);
            let retry = error.retry_after();
            let retry = retry.map(|time| host.dialect.retry_after(time));
            let status = error.status();
            let text = error.to_string();
            let answered = caller.own_answer(status, retry.as_deref(), &text).await;
            answered.is_ok() && caller.keeps()
        }
        Err(error) => {
            trace.truncated(&error);
            false
        }
    }
}

async fn run(
    host: &Rc<GatewayHost>,
    call: &IncomingCall,
    terms: CallTerms,
    caller: &mut CallerWriter<'_>,
    trace: &CallTrace<'_>,
    arrival: ClockTime,
) -> Result<(), ExchangeError> {
    let planned = plan::plan_call(host, call, terms, arrival)?;
    trace.set_labels(&planned);
    let mut exchange = CallExchange {
        host,
        call,
        trace,
        attempts: AttemptLedger::new(planned.route.attempt_limit),
        relay: AnswerRelay::new(planned.route.kind, planned.event_tokens),
        planned,
    };
    exchange.run(caller).await
}

/// One request and what became of it so far.
pub(super) struct CallExchange<'a> {
    pub(super) host: &'a Rc<GatewayHost>,
    pub(super) call: &'a IncomingCall,
    trace: &'a CallTrace<'a>,
    pub(super) planned: PlannedCall,
    attempts: AttemptLedger,
    pub(super) relay: AnswerRelay,
}

/// A request that was handed to a worker.
struct DispatchedCall {
    life: RequestLife<DispatchedState>,
    lease: SlotLease,
    worker: WorkerName,
    at: ClockTime,
}

/// The reason why a granted slot was not used.
#[derive(Debug, Error)]
enum SlotError {
    /// The worker has left.
    #[error("the worker has left")]
    WorkerGone,
    /// The worker can't be reached.
    #[error(transparent)]
    Unreachable(#[from] OpenError),
    /// The grant can't be used any more.
    #[error(transparent)]
    Dispatch(#[from] DispatchError),
    /// The request must not be sent any more.
    #[error(transparent)]
    Call(#[from] CallError),
}

impl CallExchange<'_> {
    async fn run(&mut self, caller: &mut CallerWriter<'_>) -> Result<(), ExchangeError> {
        let planned = &self.planned;
        let mut life = RequestLife::waiting(planned.id, planned.tier, planned.deadline);
        let mut unused = 0;
        loop {
            let (granted, lease) = self.wait_for_slot(life).await?;
            let worker = granted.grant().worker.clone();
            let (dispatched, connection) = match self.use_slot(granted, lease).await {
                Ok(used) => used,
                Err((SlotError::Call(error), _)) => return Err(self.unsent(error).into()),
                Err((SlotError::Dispatch(DispatchError::DeadlinePassed), _)) => {
                    let error = refusal("the time ran out", UNREACHABLE_RETRY);
                    return Err(self.unsent(error).into());
                }
                Err((error, waiting)) => {
                    self.trace.slot_unused(&worker, &error);
                    unused += 1;
                    if unused >= MAX_SLOTS {
                        let error = refusal(&error.to_string(), UNREACHABLE_RETRY);
                        return Err(self.unsent(error).into());
                    }
                    life = waiting;
                    continue;
                }
            };
            let attempt = self.attempt(dispatched, connection, caller).await?;
            let Some(waiting) = attempt else {
                return Ok(());
            };
            life = waiting;
        }
    }

    /// Waits for a slot on a worker.
    async fn wait_for_slot(
        &self,
        life: RequestLife<WaitingState>,
    ) -> Result<(RequestLife<GrantedState>, SlotLease), CallError> {
        let now = self.host.clock.now();
        let ask = self.planned.ask(now);
        let answer = self.host.cells.ask(ask, self.planned.deadline).await;
        match answer {
            Some(SlotAnswer::Granted { grant, received }) => {
                let lease = SlotLease::new(Rc::clone(&self.host.cells), grant.clone());
                Ok((life.granted(grant, received), lease))
            }
            Some(SlotAnswer::Refused(answer)) => Err(self.unsent(Self::refused(&answer))),
            None => Err(self.unsent(refusal("the host is stopping", UNREACHABLE_RETRY))),
        }
    }

    /// Opens a connection and crosses the line to the worker, without waiting between the last
    /// check and the dispatch.
    async fn use_slot(
        &mut self,
        granted: RequestLife<GrantedState>,
        mut lease: SlotLease,
    ) -> Result<(DispatchedCall, WorkerConnection), (SlotError, RequestLife<WaitingState>)> {
        let worker = granted.grant().worker.clone();
        let Some(record) = self.host.worker(&worker) else {
            return Err((SlotError::WorkerGone, granted.release_grant()));
        };
        let now = self.host.clock.now();
        let choice = granted.grant().choice.clone();
        let kept = self.host.pool.take(now, &worker);
        let is_kept = kept.is_some();
        let connection = if let Some(connection) = kept {
            connection
        } else {
            let opened = WorkerConnection::open(record.address, self.host.http.clone()).await;
            match opened {
                Ok(connection) => connection,
                Err(error) => {
                    self.host.pool.drop_worker(&worker);
                    lease.failed();
                    return Err((error.into(), granted.release_grant()));
                }
            }
        };
        let now = self.host.clock.now();
        match plan::replan_call(self.host, self.call, &self.planned, now) {
            Ok(None) => (),
            Ok(Some(planned)) if planned.service == self.planned.service => self.planned = planned,
            Ok(Some(planned)) => {
                self.planned = planned;
                return Err((SlotError::WorkerGone, granted.release_grant()));
            }
            Err(error) => return Err((error.into(), granted.release_grant())),
        }
        if self.host.worker(&worker).is_none() {
            return Err((SlotError::WorkerGone, granted.release_grant()));
        }
        let life = granted
            .dispatch(now)
            .map_err(|(error, life)| (error.into(), life))?;
        lease.dispatched();
        self.attempts.sent();
        let sent = SentCall {
            worker: &worker,
            attempt: self.attempts.sends(),
            choice: &choice,
            reused: is_kept,
            at: now,
        };
        self.trace.sent(&self.planned, &sent);
        let dispatched = DispatchedCall {
            life,
            lease,
            worker,
            at: now,
        };
        Ok((dispatched, connection))
    }

    /// Sends the request and passes the answer on; returns the request as it waits again if it may
    /// be sent once more.
    async fn attempt(
        &mut self,
        dispatched: DispatchedCall,
        connection: WorkerConnection,
        caller: &mut CallerWriter<'_>,
    ) -> Result<Option<RequestLife<WaitingState>>, ExchangeError> {
        let DispatchedCall {
            life,
            mut lease,
            worker,
            at,
        } = dispatched;
        let request = self.request_for(&worker, at);
        let end = self
            .exchange(connection, request, &worker, &mut lease, at, caller)
            .await?;
        match end {
            AttemptEnd::Answered { erred: true } => {
                lease.erred();
                Ok(None)
            }
            AttemptEnd::Answered { erred: false } => {
                self.trace.answered(&self.planned, &self.relay, &worker, at);
                lease.finished(self.relay.tokens(), self.relay.token_gap());
                self.host.crashes.clear(self.planned.digest);
                Ok(None)
            }
            AttemptEnd::Failed(permit) => {
                lease.erred();
                Ok(Some(life.repeat(permit)))
            }
            AttemptEnd::NotExecuted => {
                drop(lease);
                let proof = NotExecuted::stated();
                let permit = self.attempts.permit_after_rejection(&proof);
                match permit {
                    Some(permit) if self.take_retry() => Ok(Some(life.repeat(permit))),
                    _ => {
                        let error = refusal("the worker was full", UNREACHABLE_RETRY);
                        Err(self.unsent(error).into())
                    }
                }
            }
            AttemptEnd::Broken { error, died } => {
                self.trace.failed(&worker, &error);
                self.host.pool.drop_worker(&worker);
                lease.failed();
                if died {
                    self.check_crash(&worker);
                }
                match self.repeat_permit() {
                    Some(permit) => {
                        self.relay.discard_partial();
                        Ok(Some(life.repeat(permit)))
                    }
                    _ if caller.has_started() => Err(ExchangeError::Cut),
                    _ => Err(error.into()),
                }
            }
        }
    }

    /// Permits a further run if the kind of the work, its attempts and the budget allow one.
    pub(super) fn repeat_permit(&mut self) -> Option<RepeatPermit> {
        let right = self.planned.route.kind.repeatable()?;
        let permit = self.attempts.permit_repeat(right)?;
        self.take_retry().then_some(permit)
    }

    fn take_retry(&self) -> bool {
        let now = self.host.clock.now();
        self.host.take_retry(now, &self.planned.service)
    }

    /// Strikes the request if its worker no longer accepts connections, in a task of its own.
    fn check_crash(&self, worker: &WorkerName) {
        let Some(record) = self.host.worker(worker) else {
            return;
        };
        let host = Rc::clone(self.host);
        let worker = worker.clone();
        let digest = self.planned.digest;
        actix_rt::spawn(async move {
            let opened = WorkerConnection::open(record.address, host.http.clone()).await;
            if matches!(opened, Err(OpenError::Refused { .. })) {
                host.record_worker_crash(&worker, digest);
            }
        });
    }

    fn refused(answer: &Refusal) -> CallError {
        let reason = match answer.reason {
            RefusalReason::Capacity => "too much work waits",
            RefusalReason::Deadline => "no worker can answer in time",
            RefusalReason::Dropped => "the operators dropped the request",
            RefusalReason::NoWorker => "no worker serves this",
            RefusalReason::Platform => "the platform does not answer",
            RefusalReason::Quarantined => "requests like this one crashed workers",
            RefusalReason::Stale => "no configuration is known to be in force",
        };
        refusal(reason, answer.retry_after)
    }

    /// Gives back what the request took, since it was not sent.
    fn unsent(&self, error: CallError) -> CallError {
        if self.attempts.is_first() {
            plan::give_back_quota(self.host, &self.planned);
            return error;
        }
        // After an attempt that may have run, nothing may promise that the request did not.
        if self.planned.route.kind.repeatable().is_some() && self.attempts.may_have_run() {
            return CallError::Lost;
        }
        error
    }
}

fn refusal(reason: &str, retry_after: Duration) -> CallError {
    CallError::NoRoom {
        reason: reason.to_owned(),
        retry_after,
    }
}
