//! The life of one request on a gateway host: plan, slot, dispatch, answer.

use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::StatusCode;
use thiserror::Error;

use super::caller::CallerWriter;
use super::dialect::AnswerTerms;
use super::dialect::CallTerms;
use super::dialect::DispatchStamp;
use super::front::IncomingCall;
use super::host::GatewayHost;
use super::plan;
use super::plan::CallError;
use super::plan::PlannedCall;
use super::relay::AnswerRelay;
use super::relay::RelayEnd;
use super::worker::AnswerError;
use super::worker::WorkerAnswer;
use super::worker::WorkerConnection;
use super::worker::WorkerRequest;
use crate::cell::SlotAnswer;
use crate::cell::SlotLease;
use crate::connection::OpenError;
use crate::event::LogEvent;
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
use crate::log_event;

/// The most slots that are asked for before a request is given up: each unused one was granted on a
/// worker that could not be reached.
const MAX_SLOTS: usize = 6;

/// The time after which a caller may come back whose worker could not be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_secs(1);

/// The time past the deadline for which a worker's own answer is waited for.
const ANSWER_GRACE: Duration = Duration::from_millis(150);

/// The most answers to other requests that are skipped on one connection.
const MAX_FOREIGN: usize = 2;

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
    let watch = CallerWatch { host, id: &id };
    let outcome = run(host, &call, terms, caller, arrival).await;
    watch.ended();
    match outcome {
        Ok(()) => caller.keeps(),
        Err(ExchangeError::Call(error)) if !caller.has_started() => {
            log_refusal(host, &id, &error);
            let retry = error.retry_after();
            let retry = retry.map(|time| host.dialect.retry_after(time));
            let status = error.status();
            let text = error.to_string();
            let answered = caller.own_answer(status, retry.as_deref(), &text).await;
            answered.is_ok() && caller.keeps()
        }
        Err(error) => {
            log_event!(host.log, LogEvent::OutcomeUnknown,
                "request" => id, "error" => error.to_string());
            false
        }
    }
}

/// Logs that a caller left, if it is dropped before its request has ended.
struct CallerWatch<'a> {
    host: &'a GatewayHost,
    id: &'a str,
}

impl CallerWatch<'_> {
    fn ended(self) {
        std::mem::forget(self);
    }
}

impl Drop for CallerWatch<'_> {
    fn drop(&mut self) {
        log_event!(self.host.log, LogEvent::CallerLeft, "request" => self.id.to_owned());
    }
}

fn log_refusal(host: &GatewayHost, id: &str, error: &CallError) {
    let status = error.status().as_u16();
    log_event!(host.log, LogEvent::RequestRejected,
        "request" => id, "status" => status, "reason" => error.to_string());
}

async fn run(
    host: &Rc<GatewayHost>,
    call: &IncomingCall,
    terms: CallTerms,
    caller: &mut CallerWriter<'_>,
    arrival: ClockTime,
) -> Result<(), ExchangeError> {
    let planned = plan::plan_call(host, call, terms, arrival)?;
    let mut exchange = CallExchange {
        host,
        call,
        attempts: AttemptLedger::new(planned.route.attempt_limit),
        relay: AnswerRelay::new(planned.route.kind, planned.event_tokens),
        planned,
    };
    exchange.run(caller).await
}

/// One request and what became of it so far.
struct CallExchange<'a> {
    host: &'a Rc<GatewayHost>,
    call: &'a IncomingCall,
    planned: PlannedCall,
    attempts: AttemptLedger,
    relay: AnswerRelay,
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

/// What became of one dispatch.
enum AttemptEnd {
    /// The whole answer was passed on.
    Answered {
        /// Whether the answer tells of a failure of the worker.
        erred: bool,
    },
    /// The worker stated that it did not run the request.
    NotExecuted,
    /// The worker answered that it failed, and another one may mend that.
    Failed(RepeatPermit),
    /// The answer was cut or could not be used.
    Broken {
        /// What the caller is told if nothing else can be done.
        error: CallError,
        /// Whether the connection broke, not just the answer.
        died: bool,
    },
}

impl CallExchange<'_> {
    async fn run(&mut self, caller: &mut CallerWriter<'_>) -> Result<(), ExchangeError> {
        let planned = &self.planned;
        let mut life = RequestLife::waiting(planned.id, planned.tier, planned.deadline);
        let mut unused = 0;
        loop {
            let (granted, lease) = self.wait_for_slot(life).await?;
            let (dispatched, connection) = match self.use_slot(granted, lease).await {
                Ok(used) => used,
                Err((SlotError::Call(error), _)) => return Err(self.unsent(error).into()),
                Err((SlotError::Dispatch(DispatchError::DeadlinePassed), _)) => {
                    let error = refusal("the time ran out", UNREACHABLE_RETRY);
                    return Err(self.unsent(error).into());
                }
                Err((error, waiting)) => {
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
            return Err((SlotError::WorkerGone, granted.give_back()));
        };
        let now = self.host.clock.now();
        let kept = self.host.pool.take(now, &worker);
        let connection = if let Some(connection) = kept {
            connection
        } else {
            let opened = WorkerConnection::open(record.address, self.host.http.clone()).await;
            match opened {
                Ok(connection) => connection,
                Err(error) => {
                    self.host.pool.drop_worker(&worker);
                    lease.failed();
                    return Err((error.into(), granted.give_back()));
                }
            }
        };
        let now = self.host.clock.now();
        match plan::replan_call(self.host, self.call, &self.planned, now) {
            Ok(None) => (),
            Ok(Some(planned)) if planned.service == self.planned.service => self.planned = planned,
            Ok(Some(planned)) => {
                self.planned = planned;
                return Err((SlotError::WorkerGone, granted.give_back()));
            }
            Err(error) => return Err((error.into(), granted.give_back())),
        }
        if self.host.worker(&worker).is_none() {
            return Err((SlotError::WorkerGone, granted.give_back()));
        }
        let life = granted
            .dispatch(now)
            .map_err(|(error, life)| (error.into(), life))?;
        lease.dispatched();
        self.attempts.sent();
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
                self.log_answer(&worker, at);
                lease.finished(self.relay.tokens(), self.relay.token_gap());
                self.host.strikes.clear(self.planned.digest);
                Ok(None)
            }
            AttemptEnd::Failed(permit) => {
                lease.erred();
                Ok(Some(life.repeat(permit)))
            }
            AttemptEnd::NotExecuted => {
                drop(lease);
                let proof = NotExecuted::stated();
                let permit = self.attempts.not_executed(&proof);
                match permit {
                    Some(permit) if self.take_retry() => Ok(Some(life.repeat(permit))),
                    _ => {
                        let error = refusal("the worker was full", UNREACHABLE_RETRY);
                        Err(self.unsent(error).into())
                    }
                }
            }
            AttemptEnd::Broken { error, died } => {
                log_event!(self.host.log, LogEvent::WorkerFailed,
                    "worker" => worker.as_str(), "request" => self.planned.attempt.clone(),
                    "reason" => error.to_string());
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

    fn request_for(&self, worker: &WorkerName, now: ClockTime) -> WorkerRequest {
        let head = &self.call.head;
        let stamp = DispatchStamp {
            left: self.planned.deadline.since(now),
            worker,
            workspace: self.planned.workspace.as_ref(),
            resume_after: self.relay.last_event(),
        };
        WorkerRequest {
            method: head.method().clone(),
            target: head.uri().clone(),
            headers: self.host.dialect.dispatch_headers(head.headers(), &stamp),
            body: self.call.body.clone(),
        }
    }

    async fn exchange(
        &mut self,
        connection: WorkerConnection,
        request: WorkerRequest,
        worker: &WorkerName,
        lease: &mut SlotLease,
        at: ClockTime,
        caller: &mut CallerWriter<'_>,
    ) -> Result<AttemptEnd, ExchangeError> {
        let limit = self.planned.deadline.since(at) + ANSWER_GRACE;
        let limit = tokio::time::Instant::now() + limit;
        let answering = self.own_answer(connection, request);
        let Ok(answer) = tokio::time::timeout_at(limit, answering).await else {
            let error = CallError::TimedOut;
            return Ok(AttemptEnd::Broken { error, died: false });
        };
        let (answer, terms) = match answer {
            Ok(answer) => answer,
            Err(_error) => {
                return Ok(AttemptEnd::Broken {
                    error: CallError::Lost,
                    died: true,
                });
            }
        };
        if terms.not_executed {
            self.keep(worker, answer, &terms).await;
            return Ok(AttemptEnd::NotExecuted);
        }
        if !terms.signed && answer.head().status.is_success() {
            let error = CallError::Lost;
            return Ok(AttemptEnd::Broken { error, died: false });
        }
        if answer.head().status.is_server_error()
            && let Some(permit) = self.repeat_permit()
        {
            self.keep(worker, answer, &terms).await;
            return Ok(AttemptEnd::Failed(permit));
        }
        if promises_not_run(answer.head().status) {
            // Passed on, the status would tell the caller that the request did not run.
            self.keep(worker, answer, &terms).await;
            return Ok(AttemptEnd::Broken {
                error: CallError::Lost,
                died: false,
            });
        }
        let erred = answer.head().status.is_server_error();
        let first = self.host.clock.now().since(at);
        let relaying = self.relay.pass_on(answer, caller, lease, first);
        match tokio::time::timeout_at(limit, relaying).await {
            Ok(RelayEnd::Whole(answer)) => {
                self.keep(worker, *answer, &terms).await;
                Ok(AttemptEnd::Answered { erred })
            }
            Ok(RelayEnd::Cut) => Ok(AttemptEnd::Broken {
                error: CallError::Lost,
                died: true,
            }),
            Ok(RelayEnd::Caller(error)) => Err(error.into()),
            Err(_elapsed) if caller.has_started() => Err(ExchangeError::Cut),
            Err(_elapsed) => Ok(AttemptEnd::Broken {
                error: CallError::TimedOut,
                died: false,
            }),
        }
    }

    /// Sends the request and reads the head of its own answer, past answers to other requests.
    async fn own_answer(
        &self,
        connection: WorkerConnection,
        request: WorkerRequest,
    ) -> Result<(WorkerAnswer, AnswerTerms), AnswerError> {
        let mut answer = connection.exchange(request).await?;
        for _ in 0..=MAX_FOREIGN {
            let head = answer.head();
            let status = head.status.as_u16();
            let terms = self.host.dialect.answer_terms(status, head.headers());
            let foreign = terms
                .id
                .as_ref()
                .is_some_and(|id| *id != self.planned.attempt);
            if !foreign {
                return Ok((answer, terms));
            }
            answer = answer.skip().await?;
        }
        Err(AnswerError::Ended)
    }

    /// Keeps the connection of a whole answer for further requests.
    async fn keep(&self, worker: &WorkerName, mut answer: WorkerAnswer, terms: &AnswerTerms) {
        // A rejection has a short body, and what can't be read at once is not worth a wait.
        let rest = async { while let Ok(Some(_)) = answer.next().await {} };
        if tokio::time::timeout(Duration::from_millis(20), rest)
            .await
            .is_err()
        {
            return;
        }
        if let Some(connection) = answer.into_connection() {
            let now = self.host.clock.now();
            self.host
                .pool
                .put(now, worker, connection, terms.keep_alive);
        }
    }

    fn log_answer(&self, worker: &WorkerName, at: ClockTime) {
        let planned = &self.planned;
        let usage = planned.terms.usage;
        let now = self.host.clock.now();
        log_event!(self.host.log, LogEvent::RequestAnswered,
            "request" => planned.attempt.as_str(),
            "worker" => worker.as_str(),
            "tier" => planned.tier.0,
            "prompt_tokens" => usage.map_or(0, |usage| usage.prompt),
            "most_tokens" => usage.map_or(0, |usage| usage.answer),
            "hint_tokens" => planned.terms.answer_hint,
            "answer_tokens" => self.relay.tokens(),
            "gap_us" => micros(self.relay.token_gap()),
            "first_us" => self.relay.first_after().map(micros),
            "wait_us" => micros(at.since(planned.arrival)),
            "total_us" => micros(now.since(planned.arrival)),
        );
    }

    /// Permits a further run if the kind of the work, its attempts and the budget allow one.
    fn repeat_permit(&mut self) -> Option<RepeatPermit> {
        let right = self.planned.route.kind.repeatable()?;
        let permit = self.attempts.again(right)?;
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
                host.worker_died(&worker, digest);
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
        if self.planned.route.kind.repeatable().is_some() && self.attempts.has_run() {
            return CallError::Lost;
        }
        error
    }
}

/// Returns whether a status tells callers that the request did not run and never will.
const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn refusal(reason: &str, retry_after: Duration) -> CallError {
    CallError::NoRoom {
        reason: reason.to_owned(),
        retry_after,
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
