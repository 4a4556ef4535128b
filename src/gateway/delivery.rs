//! One dispatch of a request: sends it to a worker, checks the answer and relays it to the caller.

use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::StatusCode;

use super::call_error::CallError;
use super::caller::CallerWriter;
use super::crash::DispatchEvidence;
use super::dialect::AnswerMetadata;
use super::dialect::DispatchMetadata;
use super::exchange::CallExchange;
use super::exchange::ExchangeError;
use super::relay::AnsweringWorker;
use super::relay::RelayEnd;
use super::worker::AnswerError;
use super::worker::WorkerAnswer;
use super::worker::WorkerConnection;
use super::worker::WorkerRequest;
use crate::cell::SlotLease;
use crate::kernel::attempt::NotRunProof;
use crate::kernel::attempt::RetryPermit;
use crate::kernel::attempt::RunStatement;
use crate::kernel::attempt::is_final_status;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::WorkerName;

/// Time past the deadline for which the worker's answer is still awaited.
const ANSWER_GRACE: Duration = Duration::from_millis(150);

/// Upper bound on the answers to other attempts that are skipped on one connection.
const MAX_FOREIGN_ANSWERS: usize = 2;

/// Time limit for reading the rest of an answer before its connection is reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

/// Result of one dispatch.
pub(super) enum DispatchEnd {
    /// The complete answer was relayed to the caller.
    Answered {
        /// The status of the answer.
        status: StatusCode,
    },
    /// The worker stated that it did not run the request.
    NotRun {
        proof: NotRunProof,
        /// The time for which it wants no requests; zero if it named none.
        rest: Duration,
    },
    /// The worker answered with a server error, and a retry is permitted.
    Erred(RetryPermit),
    /// The answer was late, missing, truncated or unsigned, or its status must not be relayed.
    Broken {
        /// Error for the caller if no retry is permitted.
        error: CallError,
        /// The failure to read the answer, which may mean that the worker crashed; `None` if the
        /// answer was late or can't be used.
        lost: Option<AnswerError>,
    },
}

impl CallExchange<'_> {
    /// Builds the request for a worker; it resumes the stream after the last relayed event, if any.
    pub(super) fn worker_request(&self, worker: &WorkerName, now: ClockTime) -> WorkerRequest {
        let head = &self.request.head;
        let dispatch = DispatchMetadata {
            remaining: self.planned.deadline.since(now),
            worker,
            workspace: self.planned.workspace_label(),
            resume_after: self.relay.last_event_id(),
        };
        WorkerRequest {
            method: head.method().clone(),
            target: head.uri().clone(),
            headers: self
                .host
                .dialect
                .dispatch_headers(head.headers(), &dispatch),
            body: self.request.body.clone(),
        }
    }

    /// Sends the request and relays the answer if it can be used.
    ///
    /// An unsigned success and a status that would state that the request did not run count as a
    /// lost answer.
    pub(super) async fn send_and_relay(
        &mut self,
        connection: WorkerConnection,
        request: WorkerRequest,
        evidence: &DispatchEvidence,
        lease: &mut SlotLease,
        dispatched_at: ClockTime,
        caller: &mut CallerWriter<'_>,
    ) -> Result<DispatchEnd, ExchangeError> {
        let worker = &evidence.worker;
        let time_left = self.planned.deadline.since(dispatched_at) + ANSWER_GRACE;
        let limit = tokio::time::Instant::now() + time_left;
        let connected_at = connection.opened_at();
        let answering = self.matching_answer(connection, request);
        let Ok(answer) = tokio::time::timeout_at(limit, answering).await else {
            let error = CallError::TimedOut;
            return Ok(DispatchEnd::Broken { error, lost: None });
        };
        let (answer, metadata) = match answer {
            Ok(answer) => answer,
            Err(error) => {
                return Ok(DispatchEnd::Broken {
                    error: CallError::Lost,
                    lost: Some(error),
                });
            }
        };
        if !is_final_status(answer.head().status.as_u16()) {
            // Nothing that the answer says counts, a statement that the request did not run included.
            self.trace.answer_unused(answer.head().status, &metadata);
            let error = CallError::Lost;
            return Ok(DispatchEnd::Broken { error, lost: None });
        }
        self.record_statements(
            &evidence.worker,
            &metadata,
            lease,
            dispatched_at,
            connected_at,
        );
        let statement = RunStatement {
            not_run: metadata.not_run,
            names_request: metadata.attempt_id.is_some(),
        };
        if let Some(proof) = NotRunProof::of(statement) {
            let status = answer.head().status;
            self.trace.turned_away(worker, status, &metadata);
            self.return_to_pool(worker, answer, &metadata).await;
            let rest = metadata.rest.unwrap_or_default();
            return Ok(DispatchEnd::NotRun { proof, rest });
        }
        if metadata.not_run {
            self.trace.answer_unused(answer.head().status, &metadata);
        }
        if !metadata.signed && answer.head().status.is_success() {
            let error = CallError::Lost;
            return Ok(DispatchEnd::Broken { error, lost: None });
        }
        if answer.head().status.is_server_error()
            && let Some(permit) = self.retry_permit()
        {
            self.return_to_pool(worker, answer, &metadata).await;
            return Ok(DispatchEnd::Erred(permit));
        }
        if implies_not_run(answer.head().status) {
            // The caller would take this status to mean that the request did not run.
            self.return_to_pool(worker, answer, &metadata).await;
            return Ok(DispatchEnd::Broken {
                error: CallError::Lost,
                lost: None,
            });
        }
        if caller.has_started() && !answer.head().status.is_success() {
            // A further head would become part of the body that the caller is reading.
            self.return_to_pool(worker, answer, &metadata).await;
            return Ok(DispatchEnd::Broken {
                error: CallError::Lost,
                lost: None,
            });
        }
        let status = answer.head().status;
        let time_to_head = self.host.clock.now().since(dispatched_at);
        let answering = AnsweringWorker {
            host: self.host,
            evidence,
        };
        let relaying = self
            .relay
            .relay_answer(answer, caller, lease, time_to_head, &answering);
        match tokio::time::timeout_at(limit, relaying).await {
            Ok(RelayEnd::Complete(answer)) => {
                self.return_to_pool(worker, *answer, &metadata).await;
                Ok(DispatchEnd::Answered { status })
            }
            Ok(RelayEnd::Truncated(error)) => Ok(DispatchEnd::Broken {
                error: CallError::Lost,
                lost: Some(error),
            }),
            Ok(RelayEnd::CallerFailed(error)) => Err(error.into()),
            Err(_elapsed) if caller.has_started() => Err(ExchangeError::Truncated),
            Err(_elapsed) => Ok(DispatchEnd::Broken {
                error: CallError::TimedOut,
                lost: None,
            }),
        }
    }

    /// Sends the request and reads the head of the answer to the caller's attempt.
    ///
    /// Answers with the identifier of another attempt are skipped. One without any is accepted only as
    /// the first answer of a connection, which can be an answer to nothing else.
    async fn matching_answer(
        &self,
        connection: WorkerConnection,
        request: WorkerRequest,
    ) -> Result<(WorkerAnswer, AnswerMetadata), AnswerError> {
        let mut may_be_anonymous = !connection.was_used();
        let mut answer = connection.exchange(request).await?;
        for _ in 0..=MAX_FOREIGN_ANSWERS {
            let head = answer.head();
            let status = head.status.as_u16();
            let metadata = self.host.dialect.answer_metadata(status, head.headers());
            let is_own = metadata
                .attempt_id
                .as_ref()
                .map_or(may_be_anonymous, |attempt_id| {
                    *attempt_id == self.planned.attempt_id
                });
            if is_own {
                return Ok((answer, metadata));
            }
            self.trace.answer_unused(head.status, &metadata);
            may_be_anonymous = false;
            answer = answer.next_answer().await?;
        }
        Err(AnswerError::Closed)
    }

    /// Records what the head of an answer says of its worker.
    fn record_statements(
        &self,
        worker: &WorkerName,
        metadata: &AnswerMetadata,
        lease: &mut SlotLease,
        dispatched_at: ClockTime,
        connected_at: ClockTime,
    ) {
        if lease.observe_rate(dispatched_at, metadata.rate) {
            self.trace.rate_changed(worker, metadata.rate);
        }
        if metadata.leaving {
            lease.leaving_named();
            let is_new = self.host.mark_leaving(worker, Some(connected_at));
            self.trace.leaving_stated(worker, is_new);
        }
        if let Some(rest) = metadata.rest {
            let now = self.host.clock.now();
            self.host.rests.borrow_mut().record(now, worker, rest);
        }
        if let Some(tolerance) = metadata.tolerance {
            lease.tolerance_named(tolerance);
        }
    }

    /// Reads the rest of an answer and returns its connection to the pool if it can be reused.
    async fn return_to_pool(
        &self,
        worker: &WorkerName,
        mut answer: WorkerAnswer,
        metadata: &AnswerMetadata,
    ) {
        // Rejections have short bodies; opening a new connection is cheaper than waiting for a long
        // one.
        let rest = async { while let Ok(Some(_)) = answer.next_chunk().await {} };
        if tokio::time::timeout(DRAIN_TIMEOUT, rest).await.is_err() {
            return;
        }
        if let Some(connection) = answer.into_connection() {
            self.host
                .keep_connection(worker, connection, metadata.keep_alive);
        }
    }
}

/// Returns whether callers take a status to mean that the request did not run and will not run.
const fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
