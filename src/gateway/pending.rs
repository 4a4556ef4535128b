//! A dispatch whose answer is awaited, and the matching of answers to requests.

use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout_at;

use super::crash::DispatchEvidence;
use super::delivery::implies_not_run;
use super::dialect::AnswerMetadata;
use super::exchange::CallExchange;
use super::host::GatewayHost;
use super::relay::MAX_BUFFERED_BYTES;
use super::slot::DispatchedCall;
use super::trace::CallTrace;
use super::worker::AnswerError;
use super::worker::AnswerFraming;
use super::worker::WorkerAnswer;
use super::worker::WorkerConnection;
use super::worker::WorkerRequest;
use crate::cell::SlotLease;
use crate::kernel::attempt::WorkKind;
use crate::kernel::attempt::is_final_status;
use crate::kernel::clock::ClockTime;
use crate::kernel::lifecycle::DispatchedState;
use crate::kernel::lifecycle::RequestLife;
use crate::kernel::name::WorkerName;
use crate::kernel::name::WorkerVersion;
use crate::sse::EventBuffer;

/// Time past the deadline for which the worker's answer is still awaited.
const ANSWER_GRACE: Duration = Duration::from_millis(150);

/// Upper bound on the answers to other attempts that are skipped on one connection.
const MAX_FOREIGN_ANSWERS: usize = 2;

/// An answer to the request whose head has been read.
#[derive(Debug)]
pub(super) struct MatchedAnswer {
    pub(super) answer: WorkerAnswer,
    pub(super) metadata: AnswerMetadata,
    /// Whether the reading ahead found its first event or, if it is no stream, its body; true if
    /// nothing was read ahead.
    has_begun: bool,
}

impl MatchedAnswer {
    /// Returns whether the answer can be relayed to the caller as it is.
    pub(super) fn is_usable(&self) -> bool {
        let status = self.answer.head().status;
        let is_final = is_final_status(status.as_u16());
        let is_relayed = is_final && !status.is_server_error() && !implies_not_run(status);
        let is_signed = self.metadata.signed || !status.is_success();
        let is_sound = self.has_begun && !self.answer.has_failed();
        is_relayed && is_signed && is_sound && !self.metadata.not_run
    }
}

/// The answer of a dispatch; `None` if it did not come in time.
pub(super) type AwaitedAnswer = Option<Result<MatchedAnswer, AnswerError>>;

/// Returns whether a dispatch ended with an answer that can be relayed to the caller as it is.
pub(super) fn is_usable(answer: &AwaitedAnswer) -> bool {
    matches!(answer, Some(Ok(matched)) if matched.is_usable())
}

/// A dispatch whose answer is awaited.
///
/// If it is dropped before that, its connection is reset and its slot reported as stopped.
pub(super) struct PendingDispatch<'a> {
    pub(super) life: RequestLife<DispatchedState>,
    pub(super) lease: SlotLease,
    pub(super) evidence: DispatchEvidence,
    /// The version of the worker's software, if it states one.
    pub(super) version: Option<WorkerVersion>,
    pub(super) dispatched_at: ClockTime,
    pub(super) sent_at: Instant,
    /// The time until which the complete answer is awaited.
    pub(super) limit: Instant,
    pub(super) connected_at: ClockTime,
    pub(super) is_direct: bool,
    answering: Pin<Box<dyn Future<Output = Result<MatchedAnswer, AnswerError>> + 'a>>,
}

impl fmt::Debug for PendingDispatch<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PendingDispatch")
            .field("evidence", &self.evidence)
            .finish_non_exhaustive()
    }
}

impl PendingDispatch<'_> {
    /// Sends the request, if that has not been done, and waits for its answer.
    pub(super) async fn answer(&mut self) -> AwaitedAnswer {
        timeout_at(self.limit, &mut self.answering).await.ok()
    }
}

impl<'a> CallExchange<'a> {
    /// Returns the dispatch that sends the request on a connection once its answer is awaited.
    pub(super) fn begin_dispatch(
        &self,
        dispatched: DispatchedCall,
        connection: WorkerConnection,
    ) -> PendingDispatch<'a> {
        let DispatchedCall {
            life,
            lease,
            worker,
            endpoint,
            suspected,
            version,
            dispatched_at,
            ..
        } = dispatched;
        let request = self.worker_request(&worker, dispatched_at);
        let time_left = self.planned.deadline.since(dispatched_at) + ANSWER_GRACE;
        let sent_at = Instant::now();
        let matcher = AnswerMatcher {
            host: self.host,
            trace: self.trace,
            attempt_id: self.planned.attempt_id.clone(),
            worker: worker.clone(),
            read_ahead: self.may_hedge().then_some(self.planned.route.kind),
        };
        PendingDispatch {
            life,
            lease,
            evidence: DispatchEvidence {
                worker,
                endpoint,
                suspected,
            },
            version,
            dispatched_at,
            sent_at,
            limit: sent_at + time_left,
            connected_at: connection.opened_at(),
            is_direct: connection.tunnel().is_none(),
            answering: Box::pin(matcher.exchange(connection, request)),
        }
    }
}

/// Finds the answer to one dispatch.
struct AnswerMatcher<'a> {
    host: &'a Rc<GatewayHost>,
    trace: &'a CallTrace<'a>,
    attempt_id: String,
    worker: WorkerName,
    /// The kind of work if the beginning of the answer's body is read ahead.
    read_ahead: Option<WorkKind>,
}

impl AnswerMatcher<'_> {
    async fn exchange(
        self,
        connection: WorkerConnection,
        request: WorkerRequest,
    ) -> Result<MatchedAnswer, AnswerError> {
        let mut matched = self.matching_answer(connection, request).await?;
        let has_sound_head = matched.is_usable();
        if let Some(kind) = self.read_ahead.filter(|_| has_sound_head) {
            matched.has_begun = read_beginning(&mut matched.answer, kind).await;
        }
        Ok(matched)
    }

    /// Sends the request and reads the head of the answer to the caller's attempt.
    ///
    /// Answers with the identifier of another attempt are skipped. One without any is accepted only as
    /// the first answer of a connection, which can be an answer to nothing else.
    async fn matching_answer(
        &self,
        connection: WorkerConnection,
        request: WorkerRequest,
    ) -> Result<MatchedAnswer, AnswerError> {
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
                    *attempt_id == self.attempt_id
                });
            if is_own {
                return Ok(MatchedAnswer {
                    answer,
                    metadata,
                    has_begun: true,
                });
            }
            self.trace
                .answer_unused(&self.worker, head.status, &metadata);
            may_be_anonymous = false;
            answer = answer.next_answer().await?;
        }
        Err(AnswerError::Closed)
    }
}

/// Reads ahead until the first event of a stream, or an answer that is no stream as far as it would be
/// buffered; returns whether that was found.
async fn read_beginning(answer: &mut WorkerAnswer, kind: WorkKind) -> bool {
    if !kind.is_stream() || !answer.head().status.is_success() {
        let mut length = 0;
        let read = answer.read_ahead(|bytes| {
            length += bytes.len();
            length > MAX_BUFFERED_BYTES
        });
        read.await;
        return true;
    }
    let mut events = EventBuffer::default();
    let mut has_event = false;
    let read = answer.read_ahead(|bytes| {
        events.push(bytes);
        has_event = events.take().is_some();
        has_event || events.is_oversized()
    });
    read.await;
    let is_complete = answer.framing() != AnswerFraming::UntilClose && !events.is_within_event();
    has_event || is_complete
}
