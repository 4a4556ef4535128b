//! One dispatch of a request: its head and body to the worker, and the answer to the caller.

use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::StatusCode;

use super::caller::CallerWriter;
use super::dialect::AnswerTerms;
use super::dialect::DispatchStamp;
use super::exchange::CallExchange;
use super::exchange::ExchangeError;
use super::plan::CallError;
use super::relay::RelayEnd;
use super::worker::AnswerError;
use super::worker::WorkerAnswer;
use super::worker::WorkerConnection;
use super::worker::WorkerRequest;
use crate::cell::SlotLease;
use crate::kernel::attempt::RepeatPermit;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::WorkerName;

/// The time past the deadline for which a worker's own answer is waited for.
const ANSWER_GRACE: Duration = Duration::from_millis(150);

/// The most answers to other requests that are skipped on one connection.
const MAX_FOREIGN: usize = 2;

/// The time in which the rest of an answer that is not passed on must be there, to keep its connection.
const REST_TIME: Duration = Duration::from_millis(20);

/// What became of one dispatch.
pub(super) enum AttemptEnd {
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
    pub(super) fn request_for(&self, worker: &WorkerName, now: ClockTime) -> WorkerRequest {
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

    /// Sends the request and passes the answer on.
    pub(super) async fn exchange(
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
        if tokio::time::timeout(REST_TIME, rest).await.is_err() {
            return;
        }
        if let Some(connection) = answer.into_connection() {
            let now = self.host.clock.now();
            self.host
                .pool
                .put(now, worker, connection, terms.keep_alive);
        }
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
