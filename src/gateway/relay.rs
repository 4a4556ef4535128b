//! Relays a worker's answer to the caller. The relay that polls the reader for its data centre is
//! another; see [`crate::kernel::share`].
//!
//! The answer to streaming work is relayed event by event, so that the stream can be resumed on
//! another worker after the last complete event. Any other answer is buffered up to a limit, so that
//! nothing is sent to the caller if the worker fails early.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::time::Instant;

use super::caller::CallerWriter;
use super::crash;
use super::crash::DispatchEvidence;
use super::host::GatewayHost;
use super::worker::AnswerError;
use super::worker::AnswerFraming;
use super::worker::WorkerAnswer;
use crate::cell::SlotLease;
use crate::kernel::attempt::WorkKind;
use crate::sse::EventBuffer;

/// Upper bound on the buffered part of an answer in bytes; a longer answer is relayed as it arrives.
pub(super) const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Time after its first event from which an answer is past its beginning.
const ESTABLISHED_TIME: Duration = Duration::from_secs(1);

/// The worker that writes an answer, as the host knows it from the dispatch.
#[derive(Debug)]
pub(super) struct AnsweringWorker<'a> {
    pub(super) host: &'a Rc<GatewayHost>,
    pub(super) evidence: &'a DispatchEvidence,
}

/// A function that is called before the first event of an answer is relayed.
pub(super) struct FirstEventReport(Box<dyn FnOnce()>);

impl FirstEventReport {
    pub(super) fn new(report: impl FnOnce() + 'static) -> Self {
        Self(Box::new(report))
    }
}

impl fmt::Debug for FirstEventReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FirstEventReport").finish_non_exhaustive()
    }
}

/// A function that is called once when an answer is past its beginning, with the time of its first
/// event.
pub(super) struct BeginReport(Box<dyn FnOnce(Instant)>);

impl BeginReport {
    pub(super) fn new(report: impl FnOnce(Instant) + 'static) -> Self {
        Self(Box::new(report))
    }
}

impl fmt::Debug for BeginReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BeginReport").finish_non_exhaustive()
    }
}

/// Result of relaying an answer.
#[derive(Debug)]
pub enum RelayEnd {
    /// The complete answer was relayed.
    Complete(Box<WorkerAnswer>),
    /// The worker's answer ended early or could not be read.
    Truncated(AnswerError),
    /// Writing to the caller failed.
    CallerFailed(std::io::Error),
}

impl From<std::io::Error> for RelayEnd {
    fn from(error: std::io::Error) -> Self {
        Self::CallerFailed(error)
    }
}

impl From<AnswerError> for RelayEnd {
    fn from(error: AnswerError) -> Self {
        Self::Truncated(error)
    }
}

/// Relay state of the answer to one request over all of its dispatches.
#[derive(Debug)]
pub struct AnswerRelay {
    kind: WorkKind,
    events: EventBuffer,
    event_tokens: u32,
    /// Whether the head of a stream was relayed, so that only events may follow.
    streaming: bool,
    /// The framing of the worker's last answer; `None` before the first.
    framing: Option<AnswerFraming>,
    /// The number of bytes after the last complete event of a stream that has ended.
    partial_bytes: usize,
    time_to_first_event: Option<Duration>,
    first_event_at: Option<Instant>,
    /// The time of the first event of the present dispatch; `None` before it.
    dispatch_began_at: Option<Instant>,
    /// Called before the first event of the present dispatch is relayed; `None` afterwards, or if
    /// nobody needs to know.
    first_event_report: Option<FirstEventReport>,
    /// Called when the answer to the present dispatch is established; `None` afterwards.
    begin_report: Option<BeginReport>,
    last_event_at: Option<Instant>,
}

impl AnswerRelay {
    /// Creates the relay of a request that has not been answered.
    ///
    /// `event_tokens` is the number of tokens counted for each event.
    #[must_use]
    pub fn new(kind: WorkKind, event_tokens: u32) -> Self {
        Self {
            kind,
            events: EventBuffer::default(),
            event_tokens,
            streaming: false,
            framing: None,
            partial_bytes: 0,
            time_to_first_event: None,
            first_event_at: None,
            dispatch_began_at: None,
            first_event_report: None,
            begin_report: None,
            last_event_at: None,
        }
    }

    /// Returns whether the answer can be continued with that of another dispatch: if nothing was
    /// relayed yet, or if events of a stream were.
    #[must_use]
    pub fn can_continue(&self, caller: &CallerWriter<'_>) -> bool {
        self.streaming || !caller.has_started()
    }

    /// Returns whether events of a stream were relayed, so that only the same stream may follow.
    #[must_use]
    pub const fn has_begun(&self) -> bool {
        self.streaming
    }

    /// Returns the identifier of the last relayed event, or `None` if no event with one was relayed.
    #[must_use]
    pub fn last_event_id(&self) -> Option<u64> {
        (self.events.events() > 0).then(|| self.events.last_id())
    }

    /// Prepares for the answer to a further dispatch; `established` is called once it is established.
    pub(super) fn start_dispatch(
        &mut self,
        first_event: Option<FirstEventReport>,
        established: BeginReport,
    ) {
        self.dispatch_began_at = None;
        self.first_event_report = first_event;
        self.begin_report = Some(established);
    }

    /// Returns the time of the first event of the present dispatch, or `None` before it.
    #[must_use]
    pub const fn dispatch_began_at(&self) -> Option<Instant> {
        self.dispatch_began_at
    }

    /// Returns whether events of the present dispatch have been arriving for [`ESTABLISHED_TIME`].
    #[must_use]
    pub fn is_established(&self) -> bool {
        let began = self.dispatch_began_at;
        began.is_some_and(|began| began.elapsed() >= ESTABLISHED_TIME)
    }

    /// Drops the incomplete event at the end of a truncated answer.
    pub fn discard_partial(&mut self) {
        self.events.discard_partial();
    }

    /// Returns the framing of the worker's last answer, or `None` before the first.
    #[must_use]
    pub const fn framing(&self) -> Option<AnswerFraming> {
        self.framing
    }

    /// Returns the number of bytes after the last complete event of a stream that has ended.
    #[must_use]
    pub const fn partial_bytes(&self) -> usize {
        self.partial_bytes
    }

    /// Returns the number of tokens in the answer, estimated from its events with an identifier.
    #[must_use]
    pub const fn tokens(&self) -> u32 {
        self.events.events().saturating_mul(self.event_tokens)
    }

    /// Returns the time to the first event from the dispatch that produced it, or
    /// `None` before it.
    #[must_use]
    pub const fn time_to_first_event(&self) -> Option<Duration> {
        self.time_to_first_event
    }

    /// Returns the mean time between two tokens, or zero before the second event.
    #[must_use]
    pub fn token_gap(&self) -> Duration {
        let (Some(first), Some(last)) = (self.first_event_at, self.last_event_at) else {
            return Duration::ZERO;
        };
        let later = self.tokens().saturating_sub(self.event_tokens);
        (last - first).checked_div(later).unwrap_or_default()
    }

    /// Relays an answer to its end.
    ///
    /// `time_to_head` is the time from the dispatch until the head of the answer was read.
    pub(super) async fn relay_answer(
        &mut self,
        answer: WorkerAnswer,
        caller: &mut CallerWriter<'_>,
        lease: &mut SlotLease,
        time_to_head: Duration,
        worker: &AnsweringWorker<'_>,
    ) -> RelayEnd {
        self.framing = Some(answer.framing());
        let success = answer.head().status.is_success();
        let relayed = if success && self.kind.is_stream() {
            self.relay_events(answer, caller, lease, time_to_head, worker)
                .await
        } else {
            relay_buffered(answer, caller).await
        };
        relayed.unwrap_or_else(|end| end)
    }

    /// Relays complete events as they arrive, and the bytes between events at the end of the stream.
    ///
    /// The stream is truncated if it ends inside an event. If it ends with its connection, a complete
    /// event before the end shows that the worker did not fail at the start, and the worker is asked for
    /// another connection, since the kernel closes those of a process that has ended in the same way.
    async fn relay_events(
        &mut self,
        mut answer: WorkerAnswer,
        caller: &mut CallerWriter<'_>,
        lease: &mut SlotLease,
        time_to_head: Duration,
        worker: &AnsweringWorker<'_>,
    ) -> Result<RelayEnd, RelayEnd> {
        let head_at = Instant::now();
        let mut has_event = false;
        while let Some(bytes) = caller.run_while(answer.next_chunk()).await?? {
            self.events.push(&bytes);
            let taken = self.events.take();
            if self.events.is_oversized() {
                return Err(AnswerError::EventTooLong.into());
            }
            let Some(events) = taken else {
                continue;
            };
            has_event = true;
            let now = Instant::now();
            if self.first_event_at.is_none() {
                self.first_event_at = Some(now);
                let after = time_to_head + (now - head_at);
                self.time_to_first_event = Some(after);
                lease.first_token(after);
            }
            if let Some(report) = self.first_event_report.take() {
                report.0();
            }
            let began_at = *self.dispatch_began_at.get_or_insert(now);
            if self.is_established()
                && let Some(report) = self.begin_report.take()
            {
                report.0(began_at);
            }
            self.last_event_at = Some(now);
            self.relay_stream_head(&answer, caller)?;
            caller.write_body(events)?;
        }
        self.partial_bytes = self.events.partial_bytes();
        if self.events.is_within_event() {
            return Err(AnswerError::WithinEvent.into());
        }
        if answer.framing() == AnswerFraming::UntilClose {
            if !has_event {
                return Err(AnswerError::NoEvent.into());
            }
            if crash::has_ended(worker.host, worker.evidence).await {
                return Err(AnswerError::WorkerEnded.into());
            }
        }
        self.relay_stream_head(&answer, caller)?;
        let rest = self.events.take_rest();
        if !rest.is_empty() {
            caller.write_body(rest)?;
        }
        caller.finish_body()?;
        Ok(RelayEnd::Complete(Box::new(answer)))
    }

    fn relay_stream_head(
        &mut self,
        answer: &WorkerAnswer,
        caller: &mut CallerWriter<'_>,
    ) -> Result<(), RelayEnd> {
        if !caller.has_started() {
            self.streaming = true;
            caller.relay_head(answer.head(), None)?;
        }
        Ok(())
    }
}

/// Relays an answer once it is complete, or as it arrives if it exceeds [`MAX_BUFFERED_BYTES`] or the memory
/// for answers.
async fn relay_buffered(
    mut answer: WorkerAnswer,
    caller: &mut CallerWriter<'_>,
) -> Result<RelayEnd, RelayEnd> {
    let mut buffered = BytesMut::new();
    while let Some(bytes) = caller.run_while(answer.next_chunk()).await?? {
        buffered.extend_from_slice(&bytes);
        let has_memory = caller.reserve_beginning(buffered.capacity());
        if buffered.len() > MAX_BUFFERED_BYTES || !has_memory {
            return relay_long(answer, buffered.freeze(), caller).await;
        }
    }
    let length = if answer.is_to_head_request() {
        answer.stated_length()
    } else {
        Some(buffered.len() as u64)
    };
    caller.relay_head(answer.head(), length)?;
    if !buffered.is_empty() {
        caller.write_body(buffered.freeze())?;
    }
    Ok(RelayEnd::Complete(Box::new(answer)))
}

/// Relays an answer as it arrives, starting with its buffered beginning.
async fn relay_long(
    mut answer: WorkerAnswer,
    buffered: Bytes,
    caller: &mut CallerWriter<'_>,
) -> Result<RelayEnd, RelayEnd> {
    let length = answer.declared_length();
    caller.relay_head(answer.head(), length)?;
    caller.write_body(buffered)?;
    while let Some(bytes) = caller.run_while(answer.next_chunk()).await?? {
        caller.write_body(bytes)?;
    }
    if length.is_none() {
        caller.finish_body()?;
    }
    Ok(RelayEnd::Complete(Box::new(answer)))
}
